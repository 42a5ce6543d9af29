#pragma once

#include "time_types.h"

#include <wire.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamen {

struct crash_register_options {
    unsigned crashes_allowed = 2;    // a request that crashed so often never runs again
    millis remembered = 3600000ms;   // time after the last crash
    std::size_t most_entries = 4096; // the oldest are dropped beyond
};

/// Counts the backend servers that a request, known by its fingerprint, has crashed.
/// Each agent counts its own crashes, and the counts of an agent merge by maximum, so
/// that reports may repeat, cross and arrive in any order.  Owned by the agent's core.
class crash_register {
public:
    explicit crash_register(crash_register_options options) : options_(options) {}

    /// Counts a crash seen at `instance`; returns the report for peers.
    wire::crash_report record(std::uint64_t fingerprint, const std::string& instance, millis now);
    /// Merges a peer's report; returns true if it was news.
    bool merge(const wire::crash_report& report, millis now);

    /// Crashes over all agents that are known of.
    unsigned crashes(std::uint64_t fingerprint, millis now) const;
    bool quarantined(std::uint64_t fingerprint, millis now) const
    {
        return crashes(fingerprint, now) >= options_.crashes_allowed;
    }
    void forget(std::uint64_t fingerprint) { entries_.erase(fingerprint); }
    std::size_t size() const { return entries_.size(); }
    /// One of the reports that are remembered; `choice` picks which.
    std::optional<wire::crash_report> report(std::uint64_t choice) const;

private:
    struct entry {
        std::map<std::string, unsigned> by_instance;
        millis at{0};
    };

    void drop_oldest();

    crash_register_options options_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace cyclamen
