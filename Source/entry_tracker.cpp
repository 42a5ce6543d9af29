#include "entry_tracker.h"

#include <algorithm>

namespace cyclamen {

void entry_tracker::on_hello(std::uint64_t incarnation, std::uint64_t next_sequence,
                             std::uint64_t sent_at_ms, millis now)
{
    const auto [found, added] = records_.try_emplace(incarnation);
    if (added) {
        found->second.clock_offset_ms = now.count() - static_cast<std::int64_t>(sent_at_ms);
        // The entry may be one that was evicted, so nothing is certain about its earlier requests.
        found->second.min_provable_sequence = evicted_any_ ? next_sequence : 0;
    }
    record_message(incarnation, sent_at_ms, now);
    if (records_.size() > options_.max_entries) {
        evict_least_recently_seen();
    }
}

void entry_tracker::record_message(std::uint64_t incarnation, std::uint64_t sent_at_ms, millis now)
{
    const auto found = records_.find(incarnation);
    if (found == records_.end()) {
        return;
    }
    record& entry = found->second;
    entry.clock_offset_ms =
        std::min(entry.clock_offset_ms, now.count() - static_cast<std::int64_t>(sent_at_ms));
    entry.last_seen = now;
}

millis entry_tracker::time_left(std::uint64_t incarnation, std::uint64_t sent_at_ms, millis allowed,
                                millis now) const
{
    const auto found = records_.find(incarnation);
    if (found == records_.end()) {
        return 0ms;
    }
    const millis sent(static_cast<std::int64_t>(sent_at_ms) + found->second.clock_offset_ms);
    return std::min(allowed, sent + allowed - now);
}

void entry_tracker::record_eviction(std::uint64_t incarnation, std::uint64_t sequence)
{
    const auto found = records_.find(incarnation);
    if (found != records_.end()) {
        found->second.min_provable_sequence =
            std::max(found->second.min_provable_sequence, sequence + 1);
    }
}

bool entry_tracker::proves_never_received(std::uint64_t incarnation, std::uint64_t sequence) const
{
    const auto found = records_.find(incarnation);
    return found != records_.end() && sequence >= found->second.min_provable_sequence;
}

void entry_tracker::evict_least_recently_seen()
{
    records_.erase(
        std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
            return left.second.last_seen < right.second.last_seen;
        }));
    evicted_any_ = true;
}

} // namespace cyclamen
