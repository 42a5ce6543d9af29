#pragma once

#include "time_types.h"
#include "version_shares.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// Where an event stream began.
struct stream_origin {
    std::uint64_t stream = 0; // hash of the id of the caller's attempt that began it
    std::string service;
    std::string version; // of the software of the backend server that began it
    // Its caller got events although the archive may lack it.
    bool unarchived = false;
};

/// What has to happen before the caller of a stream may get events.
enum class origin_duty {
    none,    // it needs no record
    tell,    // others have to be told
    correct, // the same of all that may know of an earlier attempt elsewhere
    archive  // others have to be told, and the archive has to confirm its record
};

struct stream_origins_options {
    // Time in which callers take a stream up again, from its last use; callers wait for a minute at
    // most.
    millis retention = 60000ms;
    // Time for which a default version is relied on after it was last read from the archive, and
    // for which proposed shares may be archived.
    millis default_lifetime = 30000ms;
    // Difference of a version's part of the servers' slots to its part of the streams from which
    // other shares are due.
    double shares_tolerance = 0.25;
    std::size_t max_streams = 65536; // the oldest ones are forgotten first
};

/// Remembers at which software version each recent event stream began: what two versions write does
/// not fit together, so a stream may continue only at the version that began it.
///
/// Each stream has a default version, by shares of the service's versions that the archive keeps.
/// Streams that begin there need no record.  All others are recorded with the peers and in the
/// archive before their callers get an event, so that a stream without a record began at its
/// default version.  If the archive does not confirm a record in time, the stream is known to the
/// entries alone and counts as unarchived.
///
/// New shares are proposed to all entries before they are archived: each entry then records the
/// streams that would be assigned to another version than the one at which they began.
/// Reads no clock: the caller passes the current time.
class stream_origins {
public:
    explicit stream_origins(stream_origins_options options = {}) : options_(options) {}

    /// Records a stream of this entry.  Returns what is due before its caller gets an event; see
    /// `mark_told`.  A stream at the default version does not wait for an archive that may be away.
    origin_duty record(const stream_origin& origin, millis now, bool archive_doubtful = false);
    /// Whether the archive has to confirm the stream's record before its caller gets an event.
    bool awaits_archive(std::uint64_t stream) const;
    /// Records that the stream's caller may get events, and whether the archive holds its record.
    void mark_told(std::uint64_t stream, bool archived);
    /// Records that the archive holds the record of the stream.
    void mark_archived(std::uint64_t stream);
    /// Streams of all entries that the archive may lack although their callers got events.
    std::vector<stream_origin> unarchived_streams() const;
    /// The stream, if it is one of these.
    std::optional<stream_origin> find_unarchived(std::uint64_t stream) const;
    bool has_unarchived() const { return !unarchived_told_.empty(); }
    /// Records a stream that a peer has recorded.
    void merge(const stream_origin& origin, millis now);
    /// Records a stream that was read from the archive.
    void merge_archived(const stream_origin& origin, millis now);
    /// The software version at which the stream began, if it is known to have begun at `service`.
    std::optional<std::string> find(std::uint64_t stream, const std::string& service,
                                    millis now) const;

    /// The record of the stream, if there is one.
    std::optional<stream_origin> record_of(std::uint64_t stream) const;

    /// Whether the archive holds the stream's record, as far as known.
    bool is_archived(std::uint64_t stream) const;

    /// Notes that a backend server of the service runs this version, or has just left.
    void note_version(const std::string& service, const std::string& version, millis now);
    /// Whether servers of another version than this one have served within the retention period.
    bool others_served(const std::string& service, const std::string& version, millis now) const;

    /// Notes that servers may have come and left unnoticed until now, at any version.
    void note_gap(millis now);
    /// Number of such gaps.
    unsigned gaps() const { return gaps_; }
    /// Notes that the archive was read, and its streams merged, since gap number `gap`.
    void note_archive_read(unsigned gap) { archive_read_since_ = gap; }
    /// Whether every version at which streams were recorded is known: the archive was read since
    /// the last gap, and the list of servers followed from then on.
    bool versions_known() const { return archive_read_since_ == gaps_; }

    /// Sets the default versions of a service, as the archive held them at `read_at`; ignored if a
    /// later reading is known.
    void set_defaults(const std::string& service, const version_shares& shares, millis read_at);
    /// The same of a service with one default version.
    void set_default(const std::string& service, const std::string& version, millis read_at)
    {
        set_defaults(service, version_shares({{.version = version}}), read_at);
    }
    /// Marks the default versions as not archived, so that none is relied on until it is again.
    void defaults_lost();
    /// All known default versions, by service.
    std::map<std::string, version_shares> default_versions() const;
    /// Whether the version is a default version of the service.
    bool has_share(const std::string& service, const std::string& version) const;
    /// The version at which the stream can begin without a record, however long ago the archive was
    /// read; empty text if proposed shares leave it open.  Unset if the archive held none.
    std::optional<std::string> last_default_version(const std::string& service,
                                                    std::uint64_t stream, millis now) const;
    /// The default version of a stream; empty if the archive was not read recently, or held none.
    std::optional<std::string> default_version(const std::string& service, std::uint64_t stream,
                                               millis now) const;
    /// The same of all streams; also empty if several versions share them.
    std::optional<std::string> only_default_version(const std::string& service, millis now) const;
    /// Whether the stream may begin at its version without a record.
    bool begins_unrecorded(const stream_origin& origin, millis now) const;
    /// Default versions that should be archived: lost ones, those of services that have none, and
    /// of those whose servers have run the same other version throughout the retention period. Call
    /// only after the archive was read.
    std::map<std::string, version_shares> defaults_due(millis now) const;

    /// Shares that the service should have by the slots of its listed servers, by version; empty if
    /// its present ones will do, or are unknown.
    std::optional<version_shares>
    shares_due(const std::string& service, const std::map<std::string, std::uint32_t>& slots) const;
    /// Takes new shares into account that may be archived from now on, under the number of their
    /// proposal.  Returns the streams of this entry that now need a record.
    std::vector<stream_origin> propose(std::uint64_t proposal, const std::string& service,
                                       const version_shares& shares, millis now);
    /// Forgets the shares of a proposal: they will not be archived.
    void withdraw_proposal(std::uint64_t proposal);

    /// Streams of this entry that peers were not told of.
    std::vector<stream_origin> take_unshared();
    /// Streams of all entries that are not known to be archived.
    std::vector<stream_origin> take_unarchived();
    /// Marks all streams that need a record as not archived.
    void archive_lost();
    /// Marks these streams as not archived.
    void archive_failed(const std::vector<stream_origin>& origins);

    /// Forgets what is older than the retention period.
    void sweep(millis now);
    bool contains(std::uint64_t stream) const { return streams_.contains(stream); }
    std::size_t size() const { return streams_.size(); }

private:
    // What others have to know of a stream.
    enum class news { needless, due, told };
    struct stream {
        stream_origin origin;
        millis used_at{0};
        news told = news::needless;
        bool archived = false; // as far as known
    };
    struct default_entry {
        version_shares shares;
        std::optional<millis> read_at; // unset if it has to be read again
        bool archived = true;
    };

    struct proposed_shares {
        std::uint64_t proposal = 0; // its number
        std::string service;
        version_shares shares;
        millis at{0};
    };

    bool put(const stream_origin& origin, news told, millis now);
    bool proposals_assign(const std::string& service, std::uint64_t stream,
                          const std::string& version, millis now) const;
    std::vector<stream_origin> take(std::vector<std::uint64_t>& pending) const;

    stream_origins_options options_;
    std::unordered_map<std::uint64_t, stream> streams_; // by stream
    std::deque<std::uint64_t> order_;                   // in the order of their first record
    std::vector<std::uint64_t> unshared_;
    std::vector<std::uint64_t> unarchived_;
    std::set<std::uint64_t> unarchived_told_; // those of which callers have events
    // When a server of each version was last listed, by service and version.
    std::map<std::string, std::map<std::string, millis>> versions_;
    std::map<std::string, default_entry> defaults_; // by service
    std::vector<proposed_shares> proposed_;
    unsigned gaps_ = 0;
    std::optional<unsigned> archive_read_since_; // number of gaps before the last reading
};

} // namespace cyclamen
