// Tests which connections of clients are closed when memory or connections are short.

#include "connection_limiter.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

using namespace cyclamen;

namespace {

constexpr std::size_t budget = 1000000;
constexpr std::size_t large = 200000;

class limited_connections : public testing::Test {
protected:
    connection_limiter::connection& open(unsigned number)
    {
        connections[number] = std::make_unique<connection_limiter::connection>(
            limiter, [this, number](client_closing) { connections.erase(number); });
        return *connections[number];
    }

    memory_budget memory{budget};
    connection_limiter limiter{memory, {.max_connections = 5}};
    std::map<unsigned, std::unique_ptr<connection_limiter::connection>> connections;
};

} // namespace

// Guards against closing a passed-on request, a small one, or one that goes on before one that
// stalls.
TEST_F(limited_connections, release_memory_of_the_stalled_unfinished_request)
{
    open(0).set_bytes(large);
    connections[0]->set_busy(true);
    open(1).set_bytes(1000);
    open(2).set_bytes(large);
    open(3).set_bytes(large);
    open(4).set_bytes(large);
    connections[2]->on_progress();
    EXPECT_TRUE(limiter.memory_short());
    limiter.release_memory();
    EXPECT_FALSE(limiter.memory_short());
    EXPECT_FALSE(connections.contains(3));
    EXPECT_EQ(connections.size(), 4U);
    EXPECT_EQ(memory.used(), 3 * large + 1000);
}

// Guards against connections beyond the limit, also when none may be closed.
TEST_F(limited_connections, make_room_unless_each_has_an_open_request)
{
    for (unsigned number = 0; number < 5; ++number) {
        open(number).set_busy(number == 0);
    }
    EXPECT_TRUE(limiter.make_room());
    EXPECT_FALSE(connections.contains(1));
    open(5);
    for (const auto& [number, each] : connections) {
        each->set_busy(true);
    }
    EXPECT_FALSE(limiter.make_room());
    EXPECT_EQ(connections.size(), 5U);
}

TEST(connections_within, leave_a_reserve_of_descriptors)
{
    EXPECT_EQ(connections_within(140, 10000), 92U);
    EXPECT_EQ(connections_within(2870, 10000), 2153U);
    EXPECT_EQ(connections_within(65536, 10000), 10000U);
    EXPECT_EQ(connections_within(20, 10000), 1U);
}
