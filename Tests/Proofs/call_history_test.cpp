#include "call_history.h"

#include <gtest/gtest.h>

using namespace cyclamen::test;

// Checks the checker: `find_violations` must accept a valid history and report each of the forged
// violations below.

namespace {

const recorded_call good_call{.key = "k",
                              .body = "jar",
                              .answer = R"({"echo":"jar"})",
                              .end = told::answered,
                              .begun_ms = 10};
const execution good_run{.instance = "desk-1", .key = "k", .body = "jar", .at_ms = 20};

} // namespace

TEST(call_history, a_good_history_passes)
{
    EXPECT_TRUE(violations({good_call}, {good_run}).empty());
}

TEST(call_history, two_runs_of_a_key_are_found)
{
    EXPECT_EQ(violations({good_call}, {good_run, good_run}).size(), 1U);
}

TEST(call_history, a_run_behind_not_run_is_found)
{
    recorded_call refused = good_call;
    refused.end = told::not_run;
    EXPECT_EQ(violations({refused}, {good_run}).size(), 1U);
}

TEST(call_history, a_run_before_the_only_call_that_may_have_run_is_found)
{
    recorded_call refused = good_call;
    refused.end = told::not_run;
    recorded_call later = good_call;
    later.begun_ms = 30;
    EXPECT_EQ(violations({refused, later}, {good_run}).size(), 1U);
}

TEST(call_history, an_answer_without_a_run_is_found)
{
    EXPECT_EQ(violations({good_call}, {}).size(), 1U);
}

TEST(call_history, a_crossed_or_truncated_answer_is_found)
{
    recorded_call crossed = good_call;
    crossed.answer = R"({"echo":"other"})";
    EXPECT_EQ(violations({crossed}, {good_run}).size(), 1U);
    recorded_call truncated = good_call;
    truncated.answer = R"({"echo":"ja)";
    EXPECT_EQ(violations({truncated}, {good_run}).size(), 1U);
}
