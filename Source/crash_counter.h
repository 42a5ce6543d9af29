#pragma once

#include "time_types.h"

#include <wire.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamen {

struct crash_counter_options {
    unsigned quarantine_threshold = 2; // number of crashes from which a request is quarantined
    millis retention = 3600000ms;      // retention after the last crash
    std::size_t max_entries = 4096;    // fingerprints kept; beyond that the oldest are evicted
};

/// Counts the crashes of backend servers that each request, identified by its fingerprint, has
/// caused.  Each process counts the crashes that it observes; the counts of one process merge
/// by maximum, so that duplicate and out-of-order reports are harmless.  Owned by the agent's
/// core, and by the crash detector of a relay entry.
class crash_counter {
public:
    explicit crash_counter(crash_counter_options options) : options_(options) {}

    /// Counts a crash observed by `instance`; returns the report for peers.
    wire::crash_report record(std::uint64_t fingerprint, const std::string& instance, millis now);
    /// Merges a peer's report; returns true if it raised a count.
    bool merge(const wire::crash_report& report, millis now);

    /// Sum of the known crashes over all instances; 0 once the retention has passed.
    unsigned crashes(std::uint64_t fingerprint, millis now) const;
    bool quarantined(std::uint64_t fingerprint, millis now) const
    {
        return crashes(fingerprint, now) >= options_.quarantine_threshold;
    }
    void forget(std::uint64_t fingerprint) { entries_.erase(fingerprint); }
    /// Number of fingerprints with stored counts.
    std::size_t size() const { return entries_.size(); }
    /// Returns a report of one stored count, selected by `choice` (any number, taken modulo the
    /// number of counts), or nothing if none is stored.
    std::optional<wire::crash_report> report(std::uint64_t choice) const;

private:
    struct entry {
        std::map<std::string, unsigned> by_instance; // number of crashes by observer
        millis last_crash{0};
    };

    void evict_oldest();

    crash_counter_options options_;
    std::map<std::uint64_t, entry> entries_; // by fingerprint
};

} // namespace cyclamen
