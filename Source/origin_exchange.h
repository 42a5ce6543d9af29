#pragma once

#include "enum_names.h"
#include "kernel.h"
#include "log_follower.h"
#include "service.h"
#include "stream_origins.h"

#include <nlohmann/json_fwd.hpp>
#include <wire.pb.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

class relay_state;

/// What a search for the origin of a stream waits for, in this order.
enum class search_stage { peers, servers, archive };

inline constexpr std::array search_stage_names{
    enum_name<search_stage>{search_stage::peers, "peers"},
    enum_name<search_stage>{search_stage::servers, "servers"},
    enum_name<search_stage>{search_stage::archive, "archive"},
};

struct origin_exchange_options {
    millis share_delay = 5ms;       // collects the new streams of one message to the peers
    millis archive_interval = 60ms; // between two writes of new streams
    // Longest time that a new stream waits until the archive holds it.  After that, the peers alone
    // can tell where it began.
    millis announce_timeout = 150ms;
    // Streams of this time make up one record of the archive, which is written again as they come.
    millis archive_slot = 1000ms;
    // Time in which the peers, and then the store, can tell where a stream began.
    millis peer_timeout = 60ms;
    millis store_timeout = 400ms;
    millis archive_retry = 1000ms; // after the archive could not be read
    // Time after the start in which the entries hear of each other, so that one archives for all.
    millis settle_time = 1000ms;
    // Age at which the entry that archives reads the default versions again, and the age at which
    // any other does because it has not been told of them.
    millis defaults_interval = 10000ms;
    millis defaults_overdue = 20000ms;
    // Time in which all entries have to accept proposed default versions.
    millis proposal_timeout = 1000ms;
    // Time without the loss of an entry after which nobody takes up a stream any more that a lost
    // one began without a record: the retention and the lifetime of a default version.
    millis calm_time = 90000ms;
};

/// Shares with the peers at which software version streams began, so that callers can take a stream
/// up again at any entry, and archives it in the store, so that they can when all entries have
/// restarted.  See `stream_origins` for the streams that need this.  Owned by the kernel as
/// "origins".
class origin_exchange : public service {
public:
    using on_done = std::function<void(bool done)>;
    using on_append_end = std::function<void(log_append_status)>;
    using on_announced = std::function<void(bool archived)>;
    /// The archived default versions, and the offset of the archive's log at which they are in
    /// force.
    struct defaults_reading {
        wire::stream_origins versions;
        std::uint64_t log_end = 0;
    };
    using on_defaults = std::function<void(const std::optional<defaults_reading>& reading)>;
    /// A record of this process to replace or to add, and those that have expired.
    struct archive_write {
        std::uint64_t record = 0; // its number; only this process writes it
        wire::stream_origins batch;
        std::vector<std::uint64_t> expired;
    };
    struct archived_record {
        std::string key;
        wire::stream_origins batch;
    };
    struct membership_state {
        unsigned changes = 0;          // peers that were heard first or again, or fell silent
        std::optional<millis> lost_at; // when one last fell silent, or had started again
    };
    using on_archive_read_end = std::function<void(std::optional<std::vector<archived_record>>)>;
    struct hooks {
        /// Sends a message to the peers that hold the streams of all entries; returns the number
        /// of peers.
        std::function<std::size_t(const wire::stream_origins&)> send;
        /// Sends a message to all peers; returns their number.
        std::function<std::size_t(const wire::stream_origins&)> broadcast;
        /// How the peers that are heard have changed.
        std::function<membership_state()> membership;
        /// Sends a message to the peer that `handle` named.
        std::function<void(const std::string& peer, const wire::stream_origins&)> send_to;
        /// Whether this entry archives the streams of all.
        std::function<bool()> is_archiver;
        /// Writes to the archive; passes on whether that is confirmed.
        std::function<void(const archive_write&, on_done)> archive;
        /// Reads the archive; passes nothing on if the store does not answer.
        std::function<void(on_archive_read_end)> read_archive;
        /// Removes records of processes that have ended.
        std::function<void(const std::vector<std::string>& keys)> remove_archived;
        /// Replaces the archived default versions if the log still ends at `at`.
        std::function<void(const wire::stream_origins&, std::uint64_t at, on_append_end)>
            archive_defaults;
        /// Reads the archived default versions; passes nothing on if the store does not answer.
        std::function<void(on_defaults)> read_defaults;
        /// Reads the list of backend servers to its present end; passes on whether that was done.
        std::function<void(on_done)> read_servers;
    };

    origin_exchange(kernel& core, origin_exchange_options options, hooks collaborators);

    std::string_view name() const override { return "origins"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Handles a message of a peer; returns the reply, if there is one to send.
    std::optional<wire::stream_origins> handle(const std::string& peer,
                                               const wire::stream_origins& message);
    /// Archives all again: the store was restored from an older copy.
    void store_restored();
    /// Tells a peer that has started, or was out of reach, what the archive may lack.
    void peer_joined(const std::string& peer);

private:
    using on_version = std::function<void(std::optional<std::string>)>;
    struct search {
        std::string service;
        std::vector<on_version> waiting;
        search_stage stage = search_stage::peers;
        std::size_t replies_due = 0; // peers that have not replied yet
        kernel::timer timeout;
    };
    struct announcement {
        std::vector<on_announced> waiting;
        millis since{0};
        kernel::timer timeout;
    };

    void announce(std::uint64_t stream, origin_duty duty, on_announced on_told);
    void correct(std::uint64_t stream);
    void end_announcement(std::uint64_t stream, bool archived);
    void broadcast_unarchived(std::uint64_t stream);
    void share();
    void archive();
    void on_archived(const std::vector<stream_origin>& streams);
    void on_archive_refused(const std::vector<stream_origin>& streams);

    void search_for(std::uint64_t stream, const std::string& service, on_version on_end);
    void search_servers(std::uint64_t stream);
    void read_servers();
    void on_servers_read(std::uint64_t stream, bool done);
    void search_archive(std::uint64_t stream);
    void read_archive();
    void on_archive_read(const std::vector<std::uint64_t>& streams, unsigned gap,
                         const std::optional<std::vector<archived_record>>& records);
    void remove_leftovers(const std::vector<archived_record>& records);
    std::vector<std::uint64_t> expired_records() const;
    void forget_records(const std::vector<std::uint64_t>& numbers);
    void end_search(std::uint64_t stream, const std::optional<std::string>& version);
    void merge(const wire::stream_origins& batch, bool archived);

    // Default versions that all entries have to know before they are archived.
    struct proposal {
        std::uint64_t number = 0;
        std::map<std::string, version_shares> shares; // by service
        std::size_t asked = 0;                        // number of peers
        std::set<std::uint64_t> accepted;             // incarnations of peers
        std::set<std::uint64_t> streams;              // that have to be archived before
        unsigned membership = 0;                      // number of changes at the beginning
        millis since{0};
        bool written = false; // perhaps: a write was tried
        unsigned writes = 0;  // that were tried
    };

    std::map<std::string, version_shares> shares_due() const;
    bool streams_are_known(const std::string& service) const;
    void propose_shares(std::map<std::string, version_shares> shares);
    void accept_proposal(const wire::stream_origins& message, wire::stream_origins& reply);
    void note_acceptance(const wire::stream_origins& message);
    bool proposal_is_ready() const;
    void check_proposal();
    bool proposal_is_old() const;
    void end_old_proposal();
    void archive_proposal_again();
    void withdraw_proposal();

    void maintain_defaults();
    void read_defaults(on_done on_end);
    void on_defaults_read(millis asked_at, const std::optional<defaults_reading>& reading);
    void archive_due_defaults();
    void archive_defaults(const std::map<std::string, version_shares>& due);
    void end_defaults_write(bool done);
    void on_defaults_archived(const wire::stream_origins& defaults);
    void broadcast_defaults();
    void add_defaults(wire::stream_origins& message) const;
    void take_defaults(const wire::stream_origins& from);

    kernel& core_;
    origin_exchange_options options_;
    hooks hooks_;
    relay_state* state_ = nullptr;
    millis started_at_{0};
    std::map<std::uint64_t, announcement> announcements_; // by stream
    std::map<std::uint64_t, search> searches_;            // by stream
    // Streams that a peer has told this entry and that are not known to be archived, by stream.
    std::map<std::uint64_t, std::string> told_by_;
    std::uint64_t record_ = 0;                  // number of the archive's record that is written
    wire::stream_origins batch_;                // its contents
    millis record_began_at_{-1000000};          // initially long past
    std::map<std::uint64_t, millis> records_;   // of this process: when they were last written
    bool leftovers_removed_ = false;            // by this process, once
    std::vector<std::uint64_t> servers_wanted_; // streams for which the list is to be read next
    bool servers_busy_ = false;                 // one call at a time
    bool read_wanted_ = false;
    bool archive_busy_ = false;          // one call at a time
    millis archive_pause_{0};            // before the next write, after one that failed
    millis archive_due_at_{-1000000};    // end of that pause; initially long past
    unsigned restores_ = 0;              // restores of the store that were noticed
    millis archive_failed_at_{-1000000}; // initially long past
    bool defaults_busy_ = false;         // one call at a time
    std::vector<on_done> defaults_wanted_;
    millis defaults_failed_at_{-1000000}; // initially long past
    std::optional<millis> defaults_read_at_;
    std::optional<std::uint64_t> defaults_log_end_; // of the latest reading by this entry
    // Services of which the archive held default versions when this process first read them.
    std::optional<std::set<std::string>> first_reading_;
    std::optional<proposal> proposal_;
    std::uint64_t proposals_ = 0;  // so far
    millis proposed_at_{-1000000}; // initially long past
    bool share_due_ = false;
    kernel::timer share_timer_;
    kernel::timer archive_timer_;
    kernel::timer defaults_timer_;
    kernel::timer version_timer_;
};

} // namespace cyclamen
