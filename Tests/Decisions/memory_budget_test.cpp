// Tests how the bytes that all connections hold together are bounded.

#include "memory_budget.h"

#include <gtest/gtest.h>

#include <list>

using namespace cyclamen;

TEST(memory_budget, counts_the_bytes_of_all_holders)
{
    memory_budget budget(1000);
    memory_budget::share first(budget);
    first.set(300);
    {
        memory_budget::share second(budget);
        second.set(400);
        second.set(200);
        EXPECT_EQ(budget.used(), 500U);
    }
    EXPECT_EQ(budget.used(), 300U);
    first.set(0);
    EXPECT_EQ(budget.used(), 0U);
}

// slow callers: guards against a bound for each holder that many of them exceed together.
TEST(memory_budget, allows_each_holder_less_the_more_they_hold_together)
{
    constexpr std::size_t limit = 1000000;
    constexpr std::size_t least = 100;
    constexpr std::size_t most = 50000;
    constexpr std::size_t holders = 500;
    memory_budget budget(limit);
    EXPECT_EQ(budget.allowance(least, most), most);
    std::list<memory_budget::share> shares;
    for (std::size_t count = 0; count < holders; ++count) {
        shares.emplace_back(budget).set(budget.allowance(least, most));
    }
    EXPECT_LE(budget.used(), limit + holders * least);
    EXPECT_EQ(budget.allowance(least, most), least) << "others are served meanwhile";
    shares.clear();
    EXPECT_EQ(budget.allowance(least, most), most);
}
