#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cyclamen {

/// Place of a record in a log that may be restored from an older copy.  A restore begins a new era:
/// the log ends where the copy does, and offsets from there on are used again.
struct log_position {
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    friend bool operator==(const log_position&, const log_position&) = default;
    friend std::strong_ordering operator<=>(const log_position& left, const log_position& right)
    {
        return std::pair(left.era, left.offset) <=> std::pair(right.era, right.offset);
    }
};

/// Where the eras of one log began, which gives the records of different eras a common order.
class restore_history {
public:
    /// Notes that all records at `offset` or later were written after the restore that began `era`.
    /// The lowest known offset counts.  Returns true if that has changed.
    bool add(log_position begin);
    /// Returns when the record seen at this position was written: its era is that of the last
    /// restore before it, or 0 if no known restore came before.
    log_position written_at(log_position seen) const;
    /// Returns the lowest offset that was used again after `era`; empty if there is none.
    std::optional<std::uint64_t> reused_from(std::uint64_t era) const;
    /// The lowest known offset of each era, by era.
    const std::map<std::uint64_t, std::uint64_t>& begins() const { return begins_; }

private:
    std::map<std::uint64_t, std::uint64_t> begins_;
};

} // namespace cyclamen
