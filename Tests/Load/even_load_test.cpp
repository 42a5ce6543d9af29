// Tests that servers of a service without prompts are loaded evenly by entries whose information
// is old.  The test names give the load pattern.

#include "plain_pool_model.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <ostream>

using namespace cyclamen;

namespace {

constexpr std::array report_ages_ms{100.0, 1000.0, 5000.0};

plain_pool_result run(plain_pool_options pool, bool even)
{
    pool.chooser.even_load = even;
    return plain_pool_model(std::move(pool)).run();
}

struct comparison {
    plain_pool_result before;
    plain_pool_result after;
};

void add(plain_pool_result& sum, const plain_pool_result& part)
{
    sum.requests += part.requests;
    sum.calls += part.calls;
    sum.variance += part.variance;
    sum.over_slots += part.over_slots;
    sum.met_full += part.met_full;
    sum.mean_wait_ms += part.mean_wait_ms;
}

// Sums the results for all report ages.
comparison compare(plain_pool_options pool)
{
    comparison sums;
    for (const double age : report_ages_ms) {
        pool.report_interval_ms = age;
        add(sums.before, run(pool, false));
        add(sums.after, run(pool, true));
    }
    return sums;
}

// Requires that the figures are at most half of those before, with the same calls to servers.
void expect_halved(const plain_pool_options& pool)
{
    const comparison sums = compare(pool);
    const auto& [before, after] = sums;
    fmt::print("{} entries, {} servers, equal clocks {}, burst {}: variance {:.2f} -> {:.2f}, "
               "met full {:.4f} -> {:.4f}, over slots {:.4f} -> {:.4f}, wait {:.1f} -> {:.1f} ms\n",
               pool.entries, pool.servers, pool.equal_clocks, pool.burst_factor, before.variance,
               after.variance, before.met_full, after.met_full, before.over_slots, after.over_slots,
               before.mean_wait_ms, after.mean_wait_ms);
    EXPECT_LE(after.variance, before.variance / 2);
    EXPECT_LE(after.met_full, before.met_full / 2);
    EXPECT_LE(after.mean_wait_ms, before.mean_wait_ms);
    EXPECT_EQ(after.calls, after.requests);
    EXPECT_EQ(before.calls, before.requests);
}

struct load_case {
    const char* pattern;
    unsigned entries;
    unsigned servers;
    bool equal_clocks;
    double burst_factor;
};

// Part of the test's name in ctest, which must be the same in each run.
std::ostream& operator<<(std::ostream& out, const load_case& given)
{
    return out << given.pattern;
}

std::vector<load_case> load_cases()
{
    std::vector<load_case> cases;
    for (const unsigned servers : {3U, 40U, 300U}) {
        for (const unsigned entries : {3U, 20U, 38U, 300U}) {
            cases.push_back({"steady", entries, servers, false, 1});
            cases.push_back({"equal_clocks", entries, servers, true, 1});
        }
        cases.push_back({"burst", 20, servers, false, 1.6});
        cases.push_back({"burst", 38, servers, false, 1.6});
    }
    return cases;
}

class even_load_at : public testing::TestWithParam<load_case> {};

} // namespace

// Guards against entries that choose the same server by the same old information.
TEST_P(even_load_at, halves_variance_and_full_servers)
{
    const load_case& given = GetParam();
    expect_halved({.entries = given.entries,
                   .servers = given.servers,
                   .seconds = given.servers == 300  ? 3.0
                              : given.servers == 40 ? 10.0
                                                    : 60.0,
                   .equal_clocks = given.equal_clocks,
                   .burst_factor = given.burst_factor});
}

INSTANTIATE_TEST_SUITE_P(pattern, even_load_at, testing::ValuesIn(load_cases()),
                         [](const auto& info) {
                             return fmt::format("{}_{}_entries_{}_servers", info.param.pattern,
                                                info.param.entries, info.param.servers);
                         });

// Partition: guards against a choice by half of the requests only.
TEST(even_load, steady_with_entries_that_do_not_hear_each_other)
{
    const plain_pool_options pool{.entries = 20, .seconds = 60, .islands = 2};
    EXPECT_LE(run(pool, true).met_full, run(pool, false).met_full);
}

TEST(even_load, steady_with_silent_entries)
{
    const plain_pool_options pool{.entries = 20, .seconds = 60, .silent_entries = 4};
    EXPECT_LE(run(pool, true).met_full, run(pool, false).met_full);
}

// Guards against a server that gets no requests, or nearly all, because its report stands still.
TEST(even_load, steady_with_a_report_that_stands_still)
{
    const auto after = run({.entries = 20, .seconds = 60, .stuck_report = true}, true);
    EXPECT_GE(after.first_share, 0.2);
    EXPECT_LE(after.first_share, 0.5);
}

// Guards against a server that attracts all requests by reporting that it is idle.
TEST(even_load, steady_with_a_report_of_an_idle_server_that_is_not)
{
    const plain_pool_options pool{.entries = 20, .seconds = 60, .false_report = true};
    const auto after = run(pool, true);
    EXPECT_LE(after.first_share, 0.6);
    EXPECT_LE(after.met_full, run(pool, false).met_full);
}

TEST(even_load, steady_with_servers_that_leave_and_join)
{
    const plain_pool_options pool{
        .entries = 20, .servers = 5, .seconds = 60, .servers_change = true};
    const auto after = run(pool, true);
    EXPECT_EQ(after.calls, after.requests);
    EXPECT_LE(after.met_full, run(pool, false).met_full);
}

// The fourth figure alone enables the choice, and a slow server gets fewer requests.
TEST(even_load, steady_with_a_slow_server_that_reports_its_speed)
{
    plain_pool_options pool{.entries = 20, .seconds = 60, .utilization = 0.4, .slow_factor = 2};
    const auto without = run(pool, false);
    pool.reports_pace = true;
    const auto with = run(pool, false);
    EXPECT_LT(with.first_share, without.first_share);
    EXPECT_LE(with.mean_wait_ms, without.mean_wait_ms);
}

// Guards against a change for deployments that don't enable it: the least known load decides,
// among equals the first server.
TEST(even_load, off_takes_the_least_known_load_as_before)
{
    backend_table table;
    for (const char* id : {"s0", "s1", "s2"}) {
        table.put({.id = id, .service = "plain", .slots = 6, .started_at = 1}, 1000ms);
    }
    backend_chooser chooser({.seed = 7});
    for (unsigned request = 0; request < 60; ++request) {
        const backend_choice choice =
            chooser.choose(table, {.name = "plain"}, {.service = "plain"}, 1000ms);
        EXPECT_EQ(choice.server->entry.id, "s" + std::to_string(request % 3));
        EXPECT_FALSE(choice.expected_load);
        ++choice.server->in_flight;
    }
    EXPECT_EQ(chooser.even_load_choices().choices, 0U);
}
