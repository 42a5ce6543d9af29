#include "entry_memory.h"

#include <algorithm>

namespace cyclamen {

void entry_memory::greeted(std::uint64_t incarnation, std::uint64_t next_sequence,
                           std::uint64_t sent_at_ms, millis now)
{
    const auto [row, added] = records_.try_emplace(incarnation);
    if (added) {
        row->second.clock_offset_ms = now.count() - static_cast<std::int64_t>(sent_at_ms);
        row->second.proof_floor = dropped_ ? next_sequence : 0;
    }
    record_message(incarnation, sent_at_ms, now);
    if (records_.size() > options_.most_entries) {
        drop_oldest();
    }
}

void entry_memory::record_message(std::uint64_t incarnation, std::uint64_t sent_at_ms, millis now)
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

millis entry_memory::time_left(std::uint64_t incarnation, std::uint64_t sent_at_ms, millis allowed,
                               millis now) const
{
    const auto found = records_.find(incarnation);
    if (found == records_.end()) {
        return 0ms;
    }
    const millis sent(static_cast<std::int64_t>(sent_at_ms) + found->second.clock_offset_ms);
    return std::min(allowed, sent + allowed - now);
}

void entry_memory::forgot(std::uint64_t incarnation, std::uint64_t sequence)
{
    const auto found = records_.find(incarnation);
    if (found != records_.end()) {
        found->second.proof_floor = std::max(found->second.proof_floor, sequence + 1);
    }
}

bool entry_memory::proves_absence(std::uint64_t incarnation, std::uint64_t sequence) const
{
    const auto found = records_.find(incarnation);
    return found != records_.end() && sequence >= found->second.proof_floor;
}

void entry_memory::drop_oldest()
{
    records_.erase(
        std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
            return left.second.heard < right.second.heard;
        }));
    dropped_ = true;
}

} // namespace cyclamen
