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
    std::size_t max_prefixes = 4096;  // maximum tracked; the others have the minimum width
};

/// Spreads a prompt prefix over more engines when its requests are refused because of load, so
/// that its callers need not try the whole ranking.  Owned by the entry.
class hot_prefix_tracker {
public:
    explicit hot_prefix_tracker(hot_prefix_tracker_options options) : options_(options) {}

    void record_refusal(std::uint64_t prefix, millis now);
    std::size_t width(std::uint64_t prefix, millis now) const;
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        double refusals = 0;
        millis updated_at{0};
    };

    double decayed(const entry& row, millis now) const;

    hot_prefix_tracker_options options_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace cyclamen
