#pragma once

#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamen {

struct prefix_locations_options {
    millis retention = 60000ms; // retention after the last use
    // Time from the first request with a segment until the server has it cached.  Engines process
    // about ten prompt tokens per microsecond, interleaved with the tokens of other requests.
    millis prefill_delay = 700ms;
    // Segments tracked; requests with other segments are placed by rendezvous order alone.
    std::size_t max_segments = 8192;
};

/// Tracks which backend servers cache which segments of shared prompt prefixes, from the recent
/// requests of all entries.  With it, servers that join or return don't attract prompts that are
/// cached at other servers.  Hashes are truncated to 32 bits; a collision costs one recomputed
/// prompt.
class prefix_locations {
public:
    using location = std::pair<std::uint32_t, std::uint32_t>; // segment hash, server hash

    explicit prefix_locations(prefix_locations_options options = {}) : options_(options) {}

    /// Records that a request with the segment was sent to the server; returns true if the location
    /// is new and was added.
    bool record_use(location used, millis now);
    /// Whether the segment was sent to the server within the retention period.
    bool contains(std::uint32_t segment, std::uint32_t server, millis now) const;
    /// Servers that the segment was sent to within the retention period.
    std::vector<std::uint32_t> servers_sent(std::uint32_t segment, millis now) const;
    /// Servers that have had time to compute and cache the segment.
    std::vector<std::uint32_t> servers_cached(std::uint32_t segment, millis now) const;
    /// Removes the locations at a server that restarted or left: its cache is empty.
    void remove_server(std::uint32_t server);
    /// Removes locations whose retention has passed.
    void sweep(millis now);
    /// Number of tracked segments.
    std::size_t size() const { return segments_.size(); }

private:
    struct use {
        std::uint32_t server = 0;
        millis first_sent{0};
        millis last_sent{0};
    };

    /// Servers that the segment was first sent to at `latest` or earlier.
    std::vector<std::uint32_t> sent_before(std::uint32_t segment, millis latest, millis now) const;

    prefix_locations_options options_;
    std::unordered_map<std::uint32_t, std::vector<use>> segments_; // by segment hash
};

} // namespace cyclamen
