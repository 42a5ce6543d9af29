#include "hot_prefix_tracker.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {
// Prefixes with a lower refusal count may be evicted: it is too low to add an engine.
constexpr double min_tracked_refusals = 0.5;
} // namespace

double hot_prefix_tracker::decayed_refusals(const tracked_prefix& tracked, millis now) const
{
    const double half_lives = std::chrono::duration<double, std::milli>(now - tracked.updated_at) /
                              std::chrono::duration<double, std::milli>(options_.half_life);
    return tracked.refusals * std::exp2(-half_lives);
}

void hot_prefix_tracker::record_refusal(std::uint64_t prefix, millis now)
{
    if (prefixes_.size() >= options_.max_prefixes && !prefixes_.contains(prefix)) {
        std::erase_if(prefixes_, [&](const auto& tracked) {
            return decayed_refusals(tracked.second, now) < min_tracked_refusals;
        });
        if (prefixes_.size() >= options_.max_prefixes) {
            return;
        }
    }
    tracked_prefix& tracked = prefixes_[prefix];
    tracked.refusals = decayed_refusals(tracked, now) + 1;
    tracked.updated_at = now;
}

std::size_t hot_prefix_tracker::width(std::uint64_t prefix, millis now) const
{
    const auto found = prefixes_.find(prefix);
    if (found == prefixes_.end()) {
        return options_.min_width;
    }
    const double added = decayed_refusals(found->second, now) / options_.refusals_per_widening;
    return std::min(options_.max_width, options_.min_width + static_cast<std::size_t>(added));
}

} // namespace cyclamen
