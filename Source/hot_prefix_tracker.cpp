#include "hot_prefix_tracker.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {
// Prefixes with a lower refusal count may be evicted: it is too low to add an engine.
constexpr double min_kept_refusals = 0.5;
} // namespace

double hot_prefix_tracker::decayed(const entry& row, millis now) const
{
    const double half_lives = std::chrono::duration<double, std::milli>(now - row.updated_at) /
                              std::chrono::duration<double, std::milli>(options_.half_life);
    return row.refusals * std::exp2(-half_lives);
}

void hot_prefix_tracker::record_refusal(std::uint64_t prefix, millis now)
{
    if (entries_.size() >= options_.max_prefixes && !entries_.contains(prefix)) {
        std::erase_if(entries_, [&](const auto& row) {
            return decayed(row.second, now) < min_kept_refusals;
        });
        if (entries_.size() >= options_.max_prefixes) {
            return;
        }
    }
    entry& row = entries_[prefix];
    row.refusals = decayed(row, now) + 1;
    row.updated_at = now;
}

std::size_t hot_prefix_tracker::width(std::uint64_t prefix, millis now) const
{
    const auto found = entries_.find(prefix);
    if (found == entries_.end()) {
        return options_.min_width;
    }
    const double added = decayed(found->second, now) / options_.refusals_per_widening;
    return std::min(options_.max_width, options_.min_width + static_cast<std::size_t>(added));
}

} // namespace cyclamen
