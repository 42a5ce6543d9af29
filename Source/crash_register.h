#pragma once

#include "time_types.h"

#include <wire.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// Something that requests have in common and that may crash the backend servers that run them.
struct suspect {
    std::uint64_t hash = 0; // fingerprint of the request, or hash of a part of its prompt
    unsigned position = 0;  // 0 for the request itself, else the position of the part, from 1
};

struct crash_register_options {
    unsigned request_threshold = 2; // crashes from which a request is quarantined
    unsigned part_threshold = 3;    // crashes from which a part of prompts is quarantined
    // The same for a suspect with which requests have completed recently.  Crashes within
    // `proven_interval` count once, because an outage ends many servers at the same time.
    unsigned proven_threshold = 6;
    millis proven_interval = 500ms;
    millis success_retention = 60000ms;
    millis retention = 3600000ms;     // retention of crashes
    std::size_t max_suspects = 4096;  // beyond that the oldest are evicted
    std::size_t max_successes = 8192; // suspects whose success is stored; the oldest are dropped
};

/// Attributes crashes of backend servers to what the requests lost in them have in common.  A
/// suspect is quarantined if it is the best explanation of enough crashes: a crash counts only
/// for the suspect with the most crashes among those of the requests lost in it, and a completed
/// request with a suspect clears the crashes before.  Which suspects are quarantined follows from
/// the crashes and successes alone, which merge in any sequence and any number of times, so that
/// processes with the same evidence agree.  Reads no clock: the caller passes the current time.
/// Owned by the agent's core, and by the crash detector of a relay entry.
class crash_register {
public:
    explicit crash_register(crash_register_options options) : options_(options) {}

    /// Records that `server`, a hash that identifies one incarnation of a backend server, crashed
    /// at `at` while it ran a request with these suspects.  Returns those for which that is new.
    std::vector<std::uint64_t> record_crash(const std::vector<suspect>& suspects,
                                            std::uint64_t server, millis at, millis now);
    /// Records that a request with these suspects completed at `at`.  Returns those that this
    /// clears.
    std::vector<std::uint64_t> record_success(const std::vector<suspect>& suspects, millis at,
                                              millis now);
    /// Merges what a peer knows of a suspect; returns true if any of it is new.
    bool merge(const wire::suspect_record& record, millis now);

    bool quarantined(std::uint64_t hash, millis now) const;
    /// The first of the suspects that is quarantined, if any.
    std::optional<std::uint64_t> quarantined(const std::vector<suspect>& suspects,
                                             millis now) const;
    /// All quarantined suspects.
    const std::set<std::uint64_t>& quarantine(millis now) const;
    /// Number of known crashes since the last success of a request with the suspect.
    unsigned crashes(std::uint64_t hash, millis now) const;
    /// The suspects that are quarantined, or would be after one more crash.
    std::set<std::uint64_t> near_quarantine(millis now) const;
    std::size_t size() const { return entries_.size(); }

    /// What is known of a suspect, for a peer.
    wire::suspect_record record(std::uint64_t hash, millis now) const;
    /// The same for up to `count` suspects, at most half of them quarantined.  `start` is the
    /// number of the first of each kind, so that all have their turn.
    std::vector<wire::suspect_record> records(std::size_t start, std::size_t count,
                                              millis now) const;

private:
    struct entry {
        unsigned position = 0;
        std::map<std::uint64_t, millis> crashes; // time of each crash, by server
        std::optional<millis> last_success;
    };
    struct candidate {
        std::uint64_t hash = 0;
        unsigned crashes = 0; // that no other suspect explains
        bool proven = false;  // requests with it have completed recently
        unsigned position = 0;
        bool operator>(const candidate& other) const;
    };

    std::vector<millis>
    uncleared_crashes(const entry& row, const std::set<std::uint64_t>& explained, millis now) const;
    using entry_table = std::map<std::uint64_t, entry>;
    std::optional<candidate> best_explanation(const std::vector<entry_table::const_iterator>& rows,
                                              const std::set<std::uint64_t>& chosen,
                                              const std::set<std::uint64_t>& explained,
                                              millis now) const;
    bool proven(const entry& row, millis now) const;
    unsigned threshold(const entry& row, bool is_proven) const;
    bool add_crash(std::uint64_t hash, unsigned position, std::uint64_t server, millis at);
    void evict_when_due(millis now);
    void evict(millis now);

    crash_register_options options_;
    entry_table entries_;                                      // by hash of the suspect
    std::unordered_map<std::uint64_t, millis> last_successes_; // by suspect
    // The quarantine as of `evaluated_at_`; empty after a change of the evidence.
    mutable std::optional<std::set<std::uint64_t>> quarantine_;
    mutable millis evaluated_at_{0};
    millis evicted_at_{0};
};

} // namespace cyclamen
