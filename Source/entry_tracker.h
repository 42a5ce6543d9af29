#pragma once

#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace cyclamen {

struct entry_tracker_options {
    std::size_t max_entries = 4096; // beyond this, the least recently seen entry is evicted
};

/// Tracks each entry process of which an agent has received a hello: its clock offset, and the
/// sequence number below which the agent may have evicted jobs.  Owned by the agent core.
class entry_tracker {
public:
    explicit entry_tracker(entry_tracker_options options) : options_(options) {}

    /// Handles a hello; `next_sequence` is the sequence number of the entry's next request.
    void on_hello(std::uint64_t incarnation, std::uint64_t next_sequence, std::uint64_t sent_at_ms,
                  millis now);
    /// Updates the clock offset from a message that was sent at `sent_at_ms` on the entry's
    /// clock and has just arrived.
    void record_message(std::uint64_t incarnation, std::uint64_t sent_at_ms, millis now);

    /// Returns the time left of `allowed`, which began when the message was sent.  Transit delay
    /// counts, except for the shortest delay observed, which is part of the clock offset.
    /// Returns 0 for an unknown entry.
    millis time_left(std::uint64_t incarnation, std::uint64_t sent_at_ms, millis allowed,
                     millis now) const;

    /// Records that the job of a request was evicted.  Up to this sequence number, the absence of
    /// a job no longer proves that the request was never received.
    void record_eviction(std::uint64_t incarnation, std::uint64_t sequence);
    /// True if a request without a job is certain never to have been received.
    bool proves_never_received(std::uint64_t incarnation, std::uint64_t sequence) const;

private:
    struct record {
        std::int64_t clock_offset_ms = 0;        // minimum of receive time minus send time
        std::uint64_t min_provable_sequence = 0; // jobs below may have been evicted
        millis last_seen{0};
    };

    void evict_least_recently_seen();

    entry_tracker_options options_;
    std::map<std::uint64_t, record> records_;
    bool evicted_any_ = false; // whether any entry has been evicted
};

} // namespace cyclamen
