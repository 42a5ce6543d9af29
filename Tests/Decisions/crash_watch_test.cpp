// Tests that requests which crash backend servers are told apart from unrelated requests that are
// lost in the same crashes.  Words before a colon at the start of a comment, such as "srv_crash:",
// name the fault patterns that the test covers.

#include "crash_detector.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

constexpr std::uint64_t poison = 7;
constexpr std::uint64_t unrelated = 8;

// Entries that exchange crash reports without delay.
struct entries {
    void crash(std::size_t entry, std::uint64_t fingerprint, const std::string& server, millis now)
    {
        all[entry].record_loss(fingerprint, server, now);
        for (const wire::crash_report& report : all[entry].on_server_down(server, now + 100ms)) {
            for (crash_detector& other : all) {
                other.merge(report, now + 100ms);
            }
        }
    }

    std::vector<crash_detector> all{crash_detector("a"), crash_detector("b"), crash_detector("c")};
};

} // namespace

TEST(crash_watch, a_request_that_crashed_three_servers_is_refused_by_every_entry)
{
    entries fleet;
    fleet.crash(0, poison, "s1", 1000ms);
    fleet.crash(1, poison, "s2", 2000ms);
    for (const crash_detector& entry : fleet.all) {
        EXPECT_FALSE(entry.quarantined(poison, 2500ms));
    }
    fleet.crash(2, poison, "s3", 3000ms);
    for (const crash_detector& entry : fleet.all) {
        EXPECT_TRUE(entry.quarantined(poison, 3500ms));
    }
    EXPECT_FALSE(fleet.all[0].quarantined(poison, 3100ms + 61000ms));
}

// answer_lost, reset_conns: responses are lost while the server stays up.
TEST(crash_watch, lost_answers_of_servers_that_live_tell_nothing)
{
    crash_detector detector("a");
    for (int count = 0; count < 10; ++count) {
        detector.record_loss(unrelated, "s1", 1000ms);
    }
    EXPECT_TRUE(detector.on_server_down("s2", 1100ms).empty());
    EXPECT_TRUE(detector.empty());
    EXPECT_TRUE(detector.on_server_down("s1", 20000ms).empty())
        << "the crash is outside the detection window";
}

// srv_crash, cold_return: requests lost in a crash complete when they are retried.
TEST(crash_watch, a_request_that_ends_well_was_lost_by_chance)
{
    entries fleet;
    fleet.crash(0, unrelated, "s1", 1000ms);
    fleet.crash(0, unrelated, "s2", 2000ms);
    fleet.all[0].record_success(unrelated);
    fleet.crash(0, unrelated, "s3", 3000ms);
    EXPECT_FALSE(fleet.all[0].quarantined(unrelated, 3500ms));
}

TEST(crash_watch, one_crash_counts_once_however_often_it_shows)
{
    crash_detector detector("a");
    detector.record_loss(poison, "s1", 1000ms);
    EXPECT_EQ(detector.on_server_down("s1", 1100ms).size(), 1U);
    EXPECT_TRUE(detector.on_server_down("s1", 1200ms).empty());
}
