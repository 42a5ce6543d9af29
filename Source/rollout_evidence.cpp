#include "rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {

// Routes of one service that are told apart; a configuration may have thousands.
constexpr std::size_t max_routes = 64;
constexpr const char* other_routes = "*";
constexpr std::size_t max_peer_processes = 1024;
// Half octaves above the usual median from which a response counts as slow: 2.8 times as long.
constexpr std::size_t slow_buckets = 3;
// Outcomes at the target on a route from which its verdict can be good.
constexpr std::uint32_t enough_outcomes = 20;
// Routes with fewer outcomes elsewhere need none at the target.
constexpr std::uint32_t least_usual_outcomes = 10;
// A version is bad if it has more bad responses than the usual share leads one to expect, by this
// many standard deviations and responses.
constexpr double sigmas = 3;
constexpr double least_excess = 3;

std::size_t bucket_of(millis took)
{
    if (took < 1ms) {
        return 0;
    }
    const double half_octaves = 2 * std::log2(static_cast<double>(took.count()));
    return std::min(rollout_outcomes::time_buckets - 1, 1 + static_cast<std::size_t>(half_octaves));
}

std::size_t median_bucket(const rollout_outcomes& outcomes)
{
    std::uint32_t total = 0;
    for (const std::uint32_t count : outcomes.times) {
        total += count;
    }
    std::uint32_t below = 0;
    for (std::size_t bucket = 0; bucket < outcomes.times.size(); ++bucket) {
        below += outcomes.times[bucket];
        if (2 * below >= total) {
            return bucket;
        }
    }
    return outcomes.times.size();
}

// Responses that failed, or are slow by the usual median.
std::uint32_t bad_responses(const rollout_outcomes& outcomes, std::size_t usual_median)
{
    std::uint32_t bad = outcomes.failed;
    for (std::size_t bucket = usual_median + slow_buckets; bucket < outcomes.times.size();
         ++bucket) {
        bad += outcomes.times[bucket];
    }
    return bad;
}

struct comparison {
    std::uint32_t ended = 0; // at the target
    std::uint32_t bad = 0;
    double expected = 0; // bad ones, by the share at the others

    bool is_bad() const
    {
        return static_cast<double>(bad) > expected + sigmas * std::sqrt(expected) + least_excess;
    }
};

comparison compare(const rollout_route_outcomes& route)
{
    const std::size_t usual = median_bucket(route.others);
    comparison result{.ended = route.target.ended, .bad = bad_responses(route.target, usual)};
    // One bad response more than was seen, since few outcomes may show none.
    const double share = (bad_responses(route.others, usual) + 1.0) / (route.others.ended + 2.0);
    result.expected = share * result.ended;
    return result;
}

std::uint64_t ended_in_all(const rollout_counts& counts)
{
    std::uint64_t ended = 0;
    for (const auto& [route, outcomes] : counts) {
        ended += std::uint64_t{outcomes.target.ended} + outcomes.others.ended;
    }
    return ended;
}

} // namespace

void rollout_outcomes::add(const rollout_outcomes& other)
{
    ended += other.ended;
    failed += other.failed;
    for (std::size_t bucket = 0; bucket < times.size(); ++bucket) {
        times[bucket] += other.times[bucket];
    }
}

rollout_verdict judge(const rollout_counts& counts)
{
    rollout_verdict verdict;
    comparison all;
    bool enough = !counts.empty();
    for (const auto& [name, route] : counts) {
        const comparison here = compare(route);
        all.ended += here.ended;
        all.bad += here.bad;
        all.expected += here.expected;
        if (here.is_bad() && verdict.finding != rollout_finding::bad) {
            verdict.finding = rollout_finding::bad;
            verdict.route = name;
        }
        enough =
            enough && (here.ended >= enough_outcomes || route.others.ended < least_usual_outcomes);
    }
    verdict.ended = all.ended;
    verdict.bad = all.bad;
    if (verdict.finding == rollout_finding::unknown && all.is_bad()) {
        verdict.finding = rollout_finding::bad;
    }
    if (verdict.finding == rollout_finding::unknown && enough && all.ended > 0) {
        verdict.finding = rollout_finding::good;
    }
    return verdict;
}

void rollout_evidence::record(const std::string& route, bool at_target, bool failed, millis took)
{
    const bool known = own_.contains(route) || own_.size() < max_routes;
    rollout_route_outcomes& outcomes = own_[known ? route : other_routes];
    rollout_outcomes& side = at_target ? outcomes.target : outcomes.others;
    ++side.ended;
    if (failed) {
        ++side.failed;
        return;
    }
    ++side.times[bucket_of(took)];
}

void rollout_evidence::set_peer(const std::string& address, std::uint64_t incarnation,
                                rollout_counts counts)
{
    const std::pair key(address, incarnation);
    const auto known = peers_.find(key);
    if (known == peers_.end() ? peers_.size() >= max_peer_processes
                              : ended_in_all(counts) < ended_in_all(known->second)) {
        return;
    }
    peers_[key] = std::move(counts);
}

rollout_counts rollout_evidence::total() const
{
    rollout_counts sum = own_;
    for (const auto& [peer, counts] : peers_) {
        for (const auto& [route, outcomes] : counts) {
            sum[route].target.add(outcomes.target);
            sum[route].others.add(outcomes.others);
        }
    }
    return sum;
}

} // namespace cyclamen
