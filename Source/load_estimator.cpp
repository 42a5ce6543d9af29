#include "load_estimator.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {
constexpr double change_decay = 0.8; // weight of the previous value in the decaying mean
constexpr double rounding_tolerance =
    1e-9; // keeps `ceil` from rounding up an integer with rounding error
} // namespace

void load_estimator::record(const std::string& peer, unsigned in_flight, bool accepting, millis now)
{
    const auto [found, added] = reports_.try_emplace(peer);
    report& entry = found->second;
    if (!added && now > entry.at) {
        const double seconds = std::chrono::duration<double>(now - entry.at).count();
        const double change = double(in_flight) - double(entry.in_flight);
        entry.change = change;
        entry.change_seconds = seconds;
        entry.variance_per_second = change_decay * entry.variance_per_second +
                                    (1 - change_decay) * change * change / seconds;
    }
    entry.in_flight = in_flight;
    entry.expected = in_flight;
    entry.accepting = accepting;
    entry.at = now;
}

// Combines this engine's exact load with the mean of the peers that sent a usable report.
// Without any report the peers are assumed to be idle, which keeps the cap low.
load_estimate load_estimator::estimate(unsigned own_in_flight, millis now) const
{
    double sum = 0;
    double squares = 0;
    double drift_variance = 0;
    double ages = 0;
    double changes = 0;
    double change_seconds = 0;
    unsigned count = 0;
    for (const auto& [peer, entry] : reports_) {
        if (!entry.accepting || now - entry.at > options_.report_lifetime) {
            continue;
        }
        const double load = entry.in_flight;
        sum += load;
        squares += load * load;
        const double age = std::chrono::duration<double>(now - entry.at).count();
        // Models the load of one engine as a random walk, as requests start and finish in random
        // order; the variance grows with the age of the report.
        drift_variance += entry.variance_per_second * age;
        ages += age;
        changes += entry.change;
        change_seconds += entry.change_seconds;
        ++count;
    }
    const double population = std::max<double>(pool_size_, count + 1);
    const double peers = population - 1;
    load_estimate result;
    result.samples = count;
    if (count == 0) {
        result.mean = own_in_flight / population;
        return result;
    }
    // When the pool's load declines, all engines decline together.  The error of a single engine
    // does not cover this, so the trend is extrapolated over the age of the reports.
    const double decline = change_seconds > 0 ? std::min(0.0, changes / change_seconds) : 0.0;
    const double peer_mean = std::max(0.0, sum / count + decline * ages / count);
    // At least the variance of a Poisson distribution, which equals its mean.
    const double variance = std::max(peer_mean, squares / count - peer_mean * peer_mean);
    const double unsampled_share = (peers - count) / peers;
    const double peer_error =
        std::sqrt(variance / count * unsampled_share + drift_variance / count / count);
    result.mean = (own_in_flight + peers * peer_mean) / population;
    result.error = peer_error * peers / population;
    return result;
}

// Applies the load ratio to the mean reduced by the safety margin, but never caps below the mean.
// The mean includes the request that is about to start.
unsigned load_estimator::cap(unsigned own_in_flight, millis now) const
{
    const load_estimate estimated = estimate(own_in_flight, now);
    const double population = std::max<double>(pool_size_, estimated.samples + 1);
    const double mean = estimated.mean + 1.0 / population;
    const double low = std::max(0.0, mean - options_.margin_std_errors * estimated.error);
    const double bound =
        std::clamp(options_.max_load_ratio * low, mean, options_.max_load_ratio * mean);
    return std::max(1U, static_cast<unsigned>(std::ceil(bound - rounding_tolerance)));
}

void load_estimator::raise_expected_load(const std::string& peer, unsigned in_flight)
{
    const auto found = reports_.find(peer);
    if (found != reports_.end()) {
        found->second.expected = std::max(found->second.expected, in_flight);
    }
}

std::optional<std::string> load_estimator::hint(unsigned below, millis now)
{
    report* lightest = nullptr;
    std::optional<std::string> name;
    for (auto& [peer, entry] : reports_) {
        if (!entry.accepting || now - entry.at > options_.report_lifetime) {
            continue;
        }
        if (entry.expected < below &&
            (lightest == nullptr || entry.expected < lightest->expected)) {
            lightest = &entry;
            name = peer;
        }
    }
    if (lightest != nullptr) {
        ++lightest->expected;
    }
    return name;
}

} // namespace cyclamen
