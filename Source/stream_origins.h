#pragma once

#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// Where an event stream began.
struct stream_origin {
    std::uint64_t stream = 0; // hash of the id of the caller's attempt that began it
    std::string service;
    std::string version; // of the software of the backend server that began it
};

struct stream_origins_options {
    // Time in which callers take a stream up again, from its last use; callers wait for a minute at
    // most.
    millis retention = 60000ms;
    std::size_t max_streams = 65536; // the oldest ones are forgotten first
};

/// Remembers at which software version each recent event stream began: what two versions write does
/// not fit together, so a stream may continue only at the version that began it.  Reads no clock:
/// the caller passes the current time.
class stream_origins {
public:
    explicit stream_origins(stream_origins_options options = {}) : options_(options) {}

    /// Records a stream of this entry.
    void record(const stream_origin& origin, millis now);
    /// Records a stream that a peer, or an earlier process, has recorded.
    void merge(const stream_origin& origin, millis now);
    /// The software version at which the stream began, if it is known to have begun at `service`.
    std::optional<std::string> find(std::uint64_t stream, const std::string& service,
                                    millis now) const;

    /// Notes that a backend server of the service runs this version, or has just left.
    void note_version(const std::string& service, const std::string& version, millis now);
    /// Whether servers of several versions have served within the retention period.
    bool several_versions(const std::string& service, millis now) const;
    /// The only version that has served within the retention period; empty if there were several,
    /// or if it is not known what served then.
    std::optional<std::string> only_version(const std::string& service, millis now) const;
    /// Notes whether it is known what served before this process has started.
    void set_past_known(bool known) { past_known_ = known; }
    bool past_known() const { return past_known_; }

    /// Streams of this entry that peers were not told of, at services with several versions.
    std::vector<stream_origin> take_unshared(millis now);
    /// Streams of all entries that are not archived, at services with several versions.
    std::vector<stream_origin> take_unarchived(millis now);
    /// Marks all streams as not archived.
    void archive_lost();
    /// Marks these streams as not archived.
    void archive_failed(const std::vector<stream_origin>& origins);

    /// Forgets what is older than the retention period.
    void sweep(millis now);
    std::size_t size() const { return streams_.size(); }

private:
    struct stream {
        stream_origin origin;
        millis used_at{0};
    };

    bool put(const stream_origin& origin, millis now);
    std::vector<stream_origin> take(std::vector<std::uint64_t>& pending, millis now);

    stream_origins_options options_;
    std::unordered_map<std::uint64_t, stream> streams_; // by stream
    std::deque<std::uint64_t> order_;                   // in the order of their first record
    std::vector<std::uint64_t> unshared_;
    std::vector<std::uint64_t> unarchived_;
    // When a server of each version was last listed, by service and version.
    std::map<std::string, std::map<std::string, millis>> versions_;
    bool past_known_ = true;
};

} // namespace cyclamen
