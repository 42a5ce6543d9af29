#include "call_history.h"

#include <gtest/gtest.h>

using namespace cyclamen::test;

// Checks the checker: `find_violations` must accept a valid history and report each of the forged
// violations below.

namespace {

const recorded_call valid_call{.key = "k",
                               .body = "jar",
                               .response = R"({"echo":"jar"})",
                               .outcome = call_outcome::answered,
                               .started_at_ms = 10};
const execution valid_execution{
    .instance = "desk-1", .key = "k", .body = "jar", .executed_at_ms = 20};

} // namespace

TEST(call_history, a_good_history_passes)
{
    EXPECT_TRUE(find_violations({valid_call}, {valid_execution}).empty());
}

TEST(call_history, two_runs_of_a_key_are_found)
{
    EXPECT_EQ(find_violations({valid_call}, {valid_execution, valid_execution}).size(), 1U);
}

TEST(call_history, a_run_behind_not_run_is_found)
{
    recorded_call refused = valid_call;
    refused.outcome = call_outcome::not_run;
    EXPECT_EQ(find_violations({refused}, {valid_execution}).size(), 1U);
}

TEST(call_history, a_run_before_the_only_call_that_may_have_run_is_found)
{
    recorded_call refused = valid_call;
    refused.outcome = call_outcome::not_run;
    recorded_call later = valid_call;
    later.started_at_ms = 30;
    EXPECT_EQ(find_violations({refused, later}, {valid_execution}).size(), 1U);
}

TEST(call_history, an_answer_without_a_run_is_found)
{
    EXPECT_EQ(find_violations({valid_call}, {}).size(), 1U);
}

TEST(call_history, a_crossed_or_truncated_answer_is_found)
{
    recorded_call crossed = valid_call;
    crossed.response = R"({"echo":"other"})";
    EXPECT_EQ(find_violations({crossed}, {valid_execution}).size(), 1U);
    recorded_call truncated = valid_call;
    truncated.response = R"({"echo":"ja)";
    EXPECT_EQ(find_violations({truncated}, {valid_execution}).size(), 1U);
}
