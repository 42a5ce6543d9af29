#pragma once

#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace cyclamen {

struct hot_prefix_tracker_options {
    std::size_t min_width = 2;        // number of engines for a prefix without load refusals
    std::size_t max_width = 64;       // maximum number of engines for one prefix
    double refusals_per_widening = 4; // number of load refusals that add one engine
    millis half_life = 10000ms;       // half-life of a prefix's refusal count
    // Maximum number of tracked prefixes; the others have the minimum width.
    std::size_t max_prefixes = 4096;
};

/// Spreads a prompt prefix over more engines when its requests are refused because of load, so
/// that further requests with the prefix need not try the whole ranking.  Owned by
/// `agent_ranking`.
class hot_prefix_tracker {
public:
    explicit hot_prefix_tracker(hot_prefix_tracker_options options) : options_(options) {}

    void record_refusal(std::uint64_t prefix, millis now);
    /// Number of engines over which the prefix is to be spread.
    std::size_t width(std::uint64_t prefix, millis now) const;
    /// Number of tracked prefixes.
    std::size_t size() const { return prefixes_.size(); }

private:
    struct tracked_prefix {
        double refusals = 0; // as of `updated_at`; decays with the half-life
        millis updated_at{0};
    };

    double decayed_refusals(const tracked_prefix& tracked, millis now) const;

    hot_prefix_tracker_options options_;
    std::unordered_map<std::uint64_t, tracked_prefix> prefixes_;
};

} // namespace cyclamen
