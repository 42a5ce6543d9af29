// Tests that requests which crash backend servers are told apart from unrelated requests that are
// lost in the same crashes.  Words before a colon at the start of a comment, such as "srv_crash:",
// name the fault patterns that the test covers.

#include "crash_detector.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

const std::vector<suspect> poison{{.hash = 7}};
const std::vector<suspect> unrelated{{.hash = 8}};

bool quarantined(const crash_detector& detector, const std::vector<suspect>& suspects, millis now)
{
    return detector.evidence().quarantined(suspects, now).has_value();
}

// Entries that exchange crash evidence without delay.
struct entries {
    void crash(std::size_t entry, const std::vector<suspect>& suspects, std::uint64_t server,
               millis now)
    {
        all[entry].record_loss(suspects, server, now);
        for (const std::uint64_t hash : all[entry].on_server_down(server, now + 100ms)) {
            const wire::suspect_record record = all[entry].evidence().record(hash, now + 100ms);
            for (crash_detector& other : all) {
                other.merge(record, now + 100ms);
            }
        }
    }

    std::vector<crash_detector> all{3};
};

} // namespace

TEST(crash_watch, a_request_that_crashed_three_servers_is_refused_by_every_entry)
{
    entries fleet;
    fleet.crash(0, poison, 1, 1000ms);
    fleet.crash(1, poison, 2, 2000ms);
    for (const crash_detector& entry : fleet.all) {
        EXPECT_FALSE(quarantined(entry, poison, 2500ms));
    }
    fleet.crash(2, poison, 3, 3000ms);
    for (const crash_detector& entry : fleet.all) {
        EXPECT_TRUE(quarantined(entry, poison, 3500ms));
    }
    const millis retention = crash_detector_options{}.evidence.retention;
    EXPECT_TRUE(quarantined(fleet.all[0], poison, 1000ms + retention));
    EXPECT_FALSE(quarantined(fleet.all[0], poison, 3100ms + retention + 1000ms));
}

// answer_lost, reset_conns: responses are lost while the server stays up.
TEST(crash_watch, lost_answers_of_servers_that_live_tell_nothing)
{
    crash_detector detector;
    for (int count = 0; count < 10; ++count) {
        detector.record_loss(unrelated, 1, 1000ms);
    }
    EXPECT_TRUE(detector.on_server_down(2, 1100ms).empty());
    EXPECT_EQ(detector.evidence().size(), 0U);
    const millis late = 1001ms + crash_detector_options{}.news_delay;
    EXPECT_TRUE(detector.on_server_down(1, late).empty())
        << "the crash is outside the detection window";
}

// srv_crash, cold_return: requests lost in a crash complete when they are retried.
TEST(crash_watch, a_request_that_ends_well_was_lost_by_chance)
{
    entries fleet;
    fleet.crash(0, unrelated, 1, 1000ms);
    fleet.crash(0, unrelated, 2, 2000ms);
    fleet.all[0].record_success(unrelated, 2500ms);
    fleet.crash(0, unrelated, 3, 3000ms);
    EXPECT_FALSE(quarantined(fleet.all[0], unrelated, 3500ms));
}

TEST(crash_watch, one_crash_counts_once_however_often_it_shows)
{
    crash_detector detector;
    detector.record_loss(poison, 1, 1000ms);
    EXPECT_EQ(detector.on_server_down(1, 1100ms).size(), 1U);
    EXPECT_TRUE(detector.on_server_down(1, 1200ms).empty());
}

// platform_down: guards against a crash that nobody counts because the news of the server's end
// come late, while the source of the servers' entries is away.
TEST(crash_watch, a_loss_waits_for_late_news_of_the_servers_end)
{
    crash_detector detector;
    detector.record_loss(poison, 1, 1000ms);
    EXPECT_EQ(detector.on_server_down(1, 26000ms).size(), 1U);
}

// srv_crash dark: guards against a crash that nobody counts because the attempt ended late, at the
// deadline of a request to a server that had fallen silent.
TEST(crash_watch, the_end_of_a_server_waits_for_a_late_loss)
{
    crash_detector detector;
    detector.on_server_down(1, 1000ms);
    EXPECT_EQ(detector.record_loss(poison, 1, 61000ms).size(), 1U);
}
