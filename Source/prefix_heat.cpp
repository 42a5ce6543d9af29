#include "prefix_heat.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {
constexpr double forgotten_below = 0.5; // too low a refusal count to add an engine
} // namespace

double prefix_heat::decayed(const entry& row, millis now) const
{
    const double half_lives = std::chrono::duration<double, std::milli>(now - row.at) /
                              std::chrono::duration<double, std::milli>(options_.half_life);
    return row.refusals * std::exp2(-half_lives);
}

void prefix_heat::refused(std::uint64_t prefix, millis now)
{
    if (entries_.size() >= options_.most_prefixes && !entries_.contains(prefix)) {
        std::erase_if(entries_,
                      [&](const auto& row) { return decayed(row.second, now) < forgotten_below; });
        if (entries_.size() >= options_.most_prefixes) {
            return;
        }
    }
    entry& row = entries_[prefix];
    row.refusals = decayed(row, now) + 1;
    row.at = now;
}

std::size_t prefix_heat::width(std::uint64_t prefix, millis now) const
{
    const auto found = entries_.find(prefix);
    if (found == entries_.end()) {
        return options_.least_width;
    }
    const double added = decayed(found->second, now) / options_.refusals_per_widening;
    return std::min(options_.most_width, options_.least_width + static_cast<std::size_t>(added));
}

} // namespace cyclamen
