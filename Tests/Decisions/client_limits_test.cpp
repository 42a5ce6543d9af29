#include "client_limits.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

constexpr std::size_t least_bytes = 1000;

const std::vector<client_candidate>& clients()
{
    static const std::vector<client_candidate> result{
        {.activity = client_activity::busy, .progress_at = 0ms, .held_bytes = 4000},
        {.activity = client_activity::reading, .progress_at = 1ms, .held_bytes = 999},
        {.activity = client_activity::reading, .progress_at = 300ms, .held_bytes = 4000},
        {.activity = client_activity::reading, .progress_at = 200ms, .held_bytes = 4000},
        {.activity = client_activity::idle, .progress_at = 500ms},
        {.activity = client_activity::idle, .progress_at = 400ms},
    };
    return result;
}

} // namespace

// Guards against giving up a request that runs, or one whose memory is no use to others.
TEST(client_limits, gives_up_the_body_that_stalled_first)
{
    EXPECT_EQ(longest_stalled(clients(), 200ms + stalled_after, least_bytes), 3U);
    EXPECT_EQ(longest_stalled(clients(), 1ms + stalled_after, 0), 1U);
}

// Guards against giving up bodies that are slow but move.
TEST(client_limits, keeps_bodies_that_make_progress)
{
    EXPECT_EQ(longest_stalled(clients(), 199ms + stalled_after, least_bytes), std::nullopt);
}

TEST(client_limits, closes_the_connection_that_is_idle_longest)
{
    EXPECT_EQ(longest_idle(clients()), 5U);
    EXPECT_EQ(longest_idle({{.activity = client_activity::reading}}), std::nullopt);
}

// Guards against fewer callers than before on the smallest machines, and against a bound of none.
TEST(client_limits, leaves_descriptors_for_files_and_control)
{
    EXPECT_EQ(max_connections_of(2870), 2500U);
    EXPECT_EQ(max_connections_of(420), 165U);
    EXPECT_GT(max_connections_of(100), 0U);
}
