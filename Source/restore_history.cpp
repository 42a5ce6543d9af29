#include "restore_history.h"

#include <algorithm>

namespace cyclamen {

namespace {

constexpr std::size_t max_eras = 16; // older restores no longer matter to any record

} // namespace

bool restore_history::add(log_position begin)
{
    const auto [known, added] = begins_.try_emplace(begin.era, begin.offset);
    const bool lower = begin.offset < known->second;
    known->second = std::min(known->second, begin.offset);
    if (begins_.size() > max_eras) {
        begins_.erase(begins_.begin());
    }
    return added || lower;
}

log_position restore_history::written_at(log_position seen) const
{
    log_position written{.era = 0, .offset = seen.offset};
    for (const auto& [era, offset] : begins_) {
        if (era <= seen.era && offset <= seen.offset) {
            written.era = era; // the latest such era, as they come in order
        }
    }
    return written;
}

std::optional<std::uint64_t> restore_history::reused_from(std::uint64_t era) const
{
    std::optional<std::uint64_t> lowest;
    for (auto begin = begins_.upper_bound(era); begin != begins_.end(); ++begin) {
        lowest = std::min(lowest.value_or(begin->second), begin->second);
    }
    return lowest;
}

} // namespace cyclamen
