// Tests roll-outs of good and bad versions at entries that each see a part of the requests.  The
// bounds are those of operators: a bad version gets a tenth of the requests and 50 more at most,
// and none later than 5 s after its 50th bad response; each order ends in its time.

#include "rollout.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <random>

using namespace cyclamen;

namespace {

constexpr double exposure_share = 0.1;
constexpr double exposure_tolerance = 50;
constexpr millis rollback_time = 5000ms;
constexpr unsigned bad_responses_allowed = 50;

struct response {
    bool failed = false;
    millis took{0};
};

/// How the ordered version answers: by route, time since the order and its share of the requests.
using version_behaviour = std::function<response(std::size_t route, millis since, double share)>;

struct route_load {
    std::string name;
    double per_second = 0;
    double usual_failures = 0;
    millis usual_time{0};
};

// Payments and lookups, as at a plain service, and a rarer third route.
const std::vector<route_load> routes{
    {.name = "pay", .per_second = 73, .usual_failures = 0.004, .usual_time = 60ms},
    {.name = "look", .per_second = 17, .usual_failures = 0.14, .usual_time = 60ms},
    {.name = "list", .per_second = 8, .usual_failures = 0, .usual_time = 90ms}};

struct rollout_day {
    unsigned entries = 22;
    millis duration = 12000ms;
    millis digest_interval = 300ms; // to each peer
    unsigned cut_off = 0;           // entries that hear nobody and are not heard
    millis decider_lost_at = millis::max();
};

struct day_result {
    rollout_step step = rollout_step::watching; // of the entries that hear each other
    millis ended_at{0};
    unsigned requests = 0; // to the service, in the order's time
    unsigned exposed = 0;  // of them at the ordered version
    unsigned late = 0;     // later than `rollback_time` after the 50th bad response

    void expect_bounds() const
    {
        EXPECT_LE(exposed, requests * exposure_share + exposure_tolerance);
        EXPECT_EQ(late, 0U);
    }
};

// Plays an order at entries that exchange their counts, each with its own clock of digests.
day_result play(const rollout_day& day, const version_behaviour& version)
{
    constexpr millis tick = 10ms;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> uniform;
    const rollout_order order{.service = "shop", .target = "v2", .duration = day.duration};
    std::vector<rollout> entries(
        day.entries, rollout(order, rollout_options{.news_age = day.digest_interval}, 0ms));
    day_result result;
    unsigned bad = 0;
    std::optional<millis> fiftieth;
    const auto heard = [&](unsigned entry) { return entry >= day.cut_off; };
    for (millis now = 0ms; now < day.duration; now += tick) {
        const unsigned decider = day.cut_off + (now >= day.decider_lost_at ? 1 : 0);
        for (std::size_t route = 0; route < routes.size(); ++route) {
            const double count =
                routes[route].per_second * static_cast<double>(tick.count()) / 1000;
            if (uniform(random) >= count) {
                continue;
            }
            const unsigned number = random() % day.entries;
            rollout& entry = entries[number];
            const bool to_target =
                entry.sends_to_target(routes[route].name, day.entries, uniform(random), now);
            entry.count_sent(to_target);
            ++result.requests;
            if (!to_target) {
                entry.evidence().record(routes[route].name, false,
                                        uniform(random) < routes[route].usual_failures,
                                        routes[route].usual_time);
                continue;
            }
            ++result.exposed;
            const double share = entry.step() == rollout_step::switching ? 1 : 0.07;
            const response answer = version(route, now, share);
            const bool slow = answer.took >= 2 * routes[route].usual_time;
            bad += answer.failed || slow ? 1 : 0;
            result.late += fiftieth && now > *fiftieth + rollback_time ? 1 : 0;
            fiftieth = !fiftieth && bad >= bad_responses_allowed ? now : fiftieth;
            entry.evidence().record(routes[route].name, true, answer.failed, answer.took);
            entry.halt_if_bad();
        }
        for (unsigned from = day.cut_off; from < day.entries; ++from) {
            if ((now.count() + static_cast<millis::rep>(from) * 37) % day.digest_interval.count() >=
                    tick.count() ||
                (from == day.cut_off && from != decider)) {
                continue;
            }
            for (unsigned to = day.cut_off; to < day.entries; ++to) {
                if (to == from || !heard(to)) {
                    continue;
                }
                entries[to].evidence().set_peer(fmt::format("{}", from), 1,
                                                entries[from].evidence().own());
                entries[to].merge(entries[from].age(now), entries[from].step(),
                                  entries[from].step_age(now), now);
            }
        }
        const rollout_step next =
            entries[decider].next_step({.target_listed = true, .others_idle = true}, now);
        if (next != entries[decider].step()) {
            for (unsigned to = day.cut_off; to < day.entries; ++to) { // told at once
                entries[to].set_step(next, now);
            }
        }
        if (entries[decider].ended()) {
            result.step = entries[decider].step();
            result.ended_at = result.ended_at == 0ms ? now : result.ended_at;
        }
    }
    return result;
}

std::mt19937& dice()
{
    static std::mt19937 random(11);
    return random;
}

bool chance(double probability)
{
    return std::uniform_real_distribution<double>()(dice()) < probability;
}

// Answers as the other versions do.
response usual(std::size_t route, millis /*since*/, double /*share*/)
{
    return {.failed = chance(routes[route].usual_failures), .took = routes[route].usual_time};
}

struct bad_version {
    std::string name;
    version_behaviour behaviour;
};

const std::vector<bad_version>& bad_versions()
{
    static const std::vector<bad_version> all{
        {"fails_at_once",
         [](std::size_t route, millis since, double share) {
             return chance(0.4) ? response{.failed = true} : usual(route, since, share);
         }},
        {"is_slow_at_once",
         [](std::size_t route, millis /*since*/, double /*share*/) {
             return response{.took = routes[route].usual_time * (chance(0.5) ? 5 : 1)};
         }},
        {"fails_later",
         [](std::size_t route, millis since, double share) {
             return since > 3000ms && chance(0.5) ? response{.failed = true}
                                                  : usual(route, since, share);
         }},
        {"fails_under_load",
         [](std::size_t route, millis since, double share) {
             return share > 0.5 && chance(0.5) ? response{.failed = true}
                                               : usual(route, since, share);
         }},
        {"fails_on_one_route",
         [](std::size_t route, millis since, double share) {
             return route == 0 && chance(0.4) ? response{.failed = true}
                                              : usual(route, since, share);
         }},
    };
    return all;
}

class bad_rollout : public testing::TestWithParam<bad_version> {};

} // namespace

// Guards against a bad version that reaches more callers than operators allow, at sizes where each
// entry sees few of its outcomes.
TEST_P(bad_rollout, is_rolled_back_within_the_bounds_at_3_and_22_entries)
{
    for (const unsigned entries : {3U, 22U}) {
        const day_result day = play({.entries = entries}, GetParam().behaviour);
        fmt::print("{} entries: {} of {} requests, ended after {} ms\n", entries, day.exposed,
                   day.requests, day.ended_at.count());
        EXPECT_EQ(day.step, rollout_step::rolled_back);
        day.expect_bounds();
    }
}

// The same where digests of a peer come every 3.75 s; an order of that fleet takes a minute.
TEST_P(bad_rollout, is_rolled_back_within_the_bounds_at_300_entries)
{
    const day_result day = play({.entries = 300, .duration = 60000ms, .digest_interval = 3750ms},
                                GetParam().behaviour);
    EXPECT_EQ(day.step, rollout_step::rolled_back);
    day.expect_bounds();
}

// Guards against a bound that holds only while all entries hear each other.
TEST_P(bad_rollout, stays_within_the_bounds_at_entries_that_are_cut_off)
{
    const day_result day = play({.entries = 22, .cut_off = 11}, GetParam().behaviour);
    EXPECT_LE(day.exposed, day.requests * exposure_share + exposure_tolerance);
    EXPECT_EQ(day.late, 0U);
}

INSTANTIATE_TEST_SUITE_P(versions, bad_rollout, testing::ValuesIn(bad_versions()),
                         [](const auto& info) { return info.param.name; });

// Guards against a good version that is given up because its services fail now and then.
TEST(good_rollout, is_completed_in_its_time)
{
    for (const unsigned entries : {1U, 3U, 22U}) {
        const day_result day = play({.entries = entries}, usual);
        EXPECT_EQ(day.step, rollout_step::completed) << entries;
    }
    const day_result large =
        play({.entries = 300, .duration = 60000ms, .digest_interval = 3750ms}, usual);
    EXPECT_EQ(large.step, rollout_step::completed);
}

// Guards against an order that waits for the entry that decided until it was killed.
TEST(good_rollout, is_completed_by_another_entry_if_the_deciding_one_is_lost)
{
    EXPECT_EQ(play({.decider_lost_at = 5000ms}, usual).step, rollout_step::completed);
}

// Guards against a roll-back for a common cause, such as a database that fails for all versions.
TEST(rollout_verdict, blames_no_version_for_failures_that_both_show)
{
    rollout_evidence evidence;
    for (int number = 0; number < 400; ++number) {
        evidence.record("pay", number % 8 == 0, number % 2 == 0 && number % 3 != 0, 60ms);
        evidence.record("pay", false, number % 2 == 0, 60ms);
    }
    EXPECT_NE(judge(evidence.total()).finding, rollout_finding::bad);
}

// Guards against counts that grow because a message came twice, late, or from a restarted peer.
TEST(rollout_evidence, counts_each_outcome_of_a_peer_once)
{
    rollout_evidence peer;
    peer.record("pay", true, true, 0ms);
    const rollout_counts early = peer.own();
    peer.record("pay", true, false, 60ms);
    rollout_evidence evidence;
    evidence.set_peer("a", 1, peer.own());
    evidence.set_peer("a", 1, peer.own());
    evidence.set_peer("a", 1, early);
    EXPECT_EQ(evidence.total().at("pay").target.ended, 2U);
    evidence.set_peer("a", 2, early); // the process before has ended; its counts stay
    EXPECT_EQ(evidence.total().at("pay").target.ended, 3U);
    EXPECT_EQ(evidence.total().at("pay").target.failed, 2U);
}

// Guards against an order that is completed although nothing runs at its version.
TEST(rollout_step, without_servers_of_the_target_is_rolled_back_at_the_end)
{
    rollout order({.service = "shop", .target = "v2", .duration = 10000ms}, {}, 0ms);
    EXPECT_EQ(order.next_step({.others_idle = true}, 8000ms), rollout_step::watching);
    EXPECT_EQ(order.next_step({.others_idle = true}, 9000ms), rollout_step::rolled_back);
}

// Guards against entries that go back to a step that others have left.
TEST(rollout_step, moves_only_forward_when_entries_differ)
{
    rollout order({.service = "shop", .target = "v2", .duration = 10000ms}, {}, 0ms);
    order.merge(3000ms, rollout_step::rolled_back, 100ms, 1000ms);
    EXPECT_EQ(order.age(1000ms), 3000ms);
    order.merge(3000ms, rollout_step::switching, 100ms, 1000ms);
    EXPECT_EQ(order.step(), rollout_step::rolled_back);
    EXPECT_FALSE(order.sends_to_target("pay", 1, 0, 1000ms));
}
