// Tests the state of backend servers while their entries appear, expire and reappear.  A word
// before a colon at the start of a comment, such as "srv_crash:", names the fault pattern that the
// test covers.

#include "backend_table.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

constexpr millis now = 50000ms;

backend_entry entry(std::uint64_t started_at, std::uint64_t sequence, bool draining = false)
{
    return {.id = "e1",
            .service = "engine",
            .address = {.host = "127.0.0.1", .port = 1000},
            .zone = "a",
            .draining = draining,
            .started_at = started_at,
            .sequence = sequence};
}

} // namespace

TEST(backend_table, an_older_entry_changes_nothing)
{
    backend_table table;
    table.put(entry(5, 8, true), now);
    EXPECT_EQ(table.put(entry(5, 7), now), backend_table::put_result::stale);
    EXPECT_EQ(table.put(entry(4, 99), now), backend_table::put_result::stale);
    EXPECT_TRUE(table.usable("engine").empty());
}

TEST(backend_table, a_server_that_began_anew_under_its_id_starts_with_nothing_known)
{
    backend_table table;
    table.put(entry(5, 8), now);
    table.record_load(*table.find("e1"), {.running = 30}, now);
    table.record_connect_failure(*table.find("e1"), now);
    EXPECT_EQ(table.put(entry(6, 1), now), backend_table::put_result::new_incarnation);
    EXPECT_EQ(table.find("e1")->load(now), 0U);
    EXPECT_FALSE(table.find("e1")->health.in_backoff(now));
}

TEST(backend_table, a_server_that_has_gone_is_dropped_at_once_while_its_source_answers)
{
    backend_table table;
    table.put(entry(5, 8), now);
    table.drop("e1", now);
    EXPECT_EQ(table.find("e1"), nullptr);
}

// platform_down with lapse: entries expire during an outage of their source.
TEST(backend_table, an_entry_that_lapsed_while_the_source_was_away_has_time_to_return)
{
    backend_table table;
    table.put(entry(5, 8), now);
    table.source_lost();
    table.source_regained(now);
    table.drop("e1", now);
    EXPECT_EQ(table.usable("engine").size(), 1U);
    table.sweep(now + 1500ms);
    EXPECT_EQ(table.usable("engine").size(), 1U);
    table.put(entry(5, 9), now + 1600ms);
    table.sweep(now + 5000ms);
    EXPECT_EQ(table.usable("engine").size(), 1U);
}

TEST(backend_table, an_entry_that_did_not_return_is_given_up)
{
    backend_table table;
    table.put(entry(5, 8), now);
    table.source_lost();
    table.source_regained(now);
    table.drop("e1", now);
    table.sweep(now + 2400ms);
    EXPECT_EQ(table.find("e1"), nullptr);
}

TEST(backend_table, a_server_that_says_it_is_cold_counts_as_cold_a_little_longer)
{
    backend_table table;
    backend_entry cold = entry(5, 8);
    cold.cold_for = 1000ms;
    table.put(cold, now);
    EXPECT_TRUE(table.find("e1")->cold(now + 1200ms));
    EXPECT_FALSE(table.find("e1")->cold(now + 1300ms));
}

// srv_crash: a restarted server may be cold before its entry says so.
TEST(backend_table, a_server_that_was_unreachable_counts_as_cold)
{
    backend_table table;
    table.put(entry(5, 8), now);
    table.record_connect_failure(*table.find("e1"), now);
    EXPECT_TRUE(table.find("e1")->cold(now + 1000ms));
}

// hot_key with many entries: the load that a server reports to one entry must reach its peers.
TEST(backend_table, a_crowded_server_is_told_of_and_passed_on_while_the_report_is_new)
{
    backend_table reporter;
    backend_table first;
    backend_table second;
    for (backend_table* table : {&reporter, &first, &second}) {
        for (const char* id : {"e1", "e2", "e3"}) {
            backend_entry listed = entry(5, 8);
            listed.id = id;
            table->put(listed, now);
        }
    }
    reporter.record_load(*reporter.find("e1"), {.running = 40}, now);
    reporter.record_load(*reporter.find("e2"), {.running = 1}, now);
    ASSERT_EQ(reporter.busy_to_report(now).size(), 1U);
    first.record_busy_report(reporter.busy_to_report(now)[0], now + 100ms);
    EXPECT_EQ(first.find("e1")->load(now + 100ms), 40U);
    ASSERT_EQ(first.busy_to_report(now + 200ms).size(), 1U);
    second.record_busy_report(first.busy_to_report(now + 200ms)[0], now + 300ms);
    EXPECT_EQ(second.find("e1")->load(now + 300ms), 40U);
    EXPECT_TRUE(second.busy_to_report(now + 1000ms).empty())
        << "forwarding must not renew the age of a report";
    EXPECT_EQ(second.find("e1")->load(now + 1000ms), 0U);
}

TEST(backend_table, what_a_server_said_later_goes_before_what_others_heard)
{
    backend_table table;
    table.put(entry(5, 8), now);
    backend& server = *table.find("e1");
    table.record_load(server, {.running = 3}, now);
    const auto hash = static_cast<std::uint32_t>(server.hash);
    table.record_busy_report({.server = hash, .held = 40, .at = now - 100ms}, now);
    EXPECT_EQ(server.load(now), 3U);
    table.record_busy_report({.server = hash, .held = 40, .at = now + 100ms}, now);
    EXPECT_EQ(server.load(now), 3U) << "a report with a time in the future must be ignored";
}
