#pragma once

#include "enum_names.h"
#include "time_types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cyclamen {

/// Outcomes of requests to one route at the servers of one side of a roll-out.
struct rollout_outcomes {
    /// Buckets of half an octave each; the first holds times under 1 ms.
    static constexpr std::size_t time_buckets = 32;

    std::uint32_t ended = 0;
    std::uint32_t failed = 0;
    std::array<std::uint32_t, time_buckets> times{}; // of requests that did not fail

    void add(const rollout_outcomes& other);
};

/// The same at the servers of the ordered version, and at all others.
struct rollout_route_outcomes {
    rollout_outcomes target;
    rollout_outcomes others;
};

using rollout_counts = std::map<std::string, rollout_route_outcomes>; // by route

enum class rollout_finding {
    unknown, // too few outcomes
    good,    // enough on each route, and no worse than the other versions
    bad,
};

inline constexpr std::array rollout_finding_names{
    enum_name<rollout_finding>{rollout_finding::unknown, "unknown"},
    enum_name<rollout_finding>{rollout_finding::good, "good"},
    enum_name<rollout_finding>{rollout_finding::bad, "bad"},
};

/// What the outcomes tell about a version.
struct rollout_verdict {
    rollout_finding finding = rollout_finding::unknown;
    std::string route; // of a bad version, where that shows; empty if only all routes together do
    std::uint32_t ended = 0; // outcomes at the target
    std::uint32_t bad = 0;   // of them: failed, or several times slower than usual
};

/// Compares the outcomes at the ordered version with those at the others in the same time: what
/// fails everywhere speaks against neither.
rollout_verdict judge(const rollout_counts& counts);

/// Outcomes since an order was given, of this entry and its peers.  All counts are sums since the
/// order, so that a message that comes twice or late changes nothing.
class rollout_evidence {
public:
    /// Records a request that ended at a server.  `took` is its response time; for event streams
    /// the time for 1,000 bytes after the first, since that does not depend on cached prompts.
    void record(const std::string& route, bool at_target, bool failed, millis took);
    const rollout_counts& own() const { return own_; }
    /// Replaces the counts of a peer's process, unless they are older than the known ones.
    void set_peer(const std::string& address, std::uint64_t incarnation, rollout_counts counts);
    /// All counts together.
    rollout_counts total() const;

private:
    rollout_counts own_;
    // Counts of processes that have ended stay.
    std::map<std::pair<std::string, std::uint64_t>, rollout_counts> peers_;
};

} // namespace cyclamen
