#pragma once

#include "configuration_state.h"
#include "kernel.h"
#include "log_client.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>
#include <wire.pb.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace cyclamen {

struct configuration_feed_options {
    net_address log;
    std::string stream = "configuration";
    millis log_timeout = 2000ms;
    /// Minimum interval of the periodic reads of the log, before jitter.
    millis min_poll_interval = 400ms;
    /// The poll interval is at least this times the number of processes, which bounds the total
    /// read rate at the log.
    millis poll_interval_per_process = 10ms;
    /// Interval between two queries to a random peer.
    millis peer_exchange_interval = 500ms;
    /// Number of random peers that new records are sent to immediately.
    unsigned gossip_fanout = 3;
    /// Number of recent records kept for peers; peers that lag further behind get a snapshot.
    std::size_t max_recent_records = 512;
    /// A new snapshot is due after this many records.
    std::uint64_t snapshot_record_interval = 256;
    /// A new snapshot is due at this age of the last; well under the log's retention.
    millis max_snapshot_age = 1800000ms;
};

/// Keeps this process's configuration up to date from the log and from peers, and gossips new
/// records to peers, so that most processes get them without reading the log.  Owned by the
/// kernel as "configuration".
class configuration_feed : public service {
public:
    configuration_feed(kernel& core, configuration_feed_options options);

    std::string_view name() const override { return "configuration"; }
    void start() override;
    nlohmann::json describe() const override;

    const configuration_state& state() const { return state_; }

    /// True if this process has read the log to its end once since its start, or, while the log is
    /// unreachable, knows all that a peer knows of which this holds.  Before, the state may hold
    /// what has been withdrawn, such as a client account's key.
    bool caught_up() const;

    /// Appends a command to the log and calls `on_outcome` once its record was applied, or with
    /// nullptr if that has not happened within `deadline`.
    void submit(const configuration_command& command, millis deadline,
                std::function<void(const command_outcome*)> on_outcome);

    /// Handles a peer's update.  Returns the reply to send, if any: records that the peer lacks, if
    /// it wants a reply, or a query if this process lags behind the peer.
    std::optional<wire::configuration_update> on_update(const wire::configuration_update& update);
    /// True if this process has not yet applied all records below a peer's `offset`.
    bool is_behind(std::uint64_t offset) const { return offset > state_.offset(); }
    /// Makes a message that asks a peer for the records that this process lacks.
    wire::configuration_update make_record_query() const;
    /// Makes an update with the records from `offset` on, or with a snapshot if some of them are no
    /// longer kept.
    wire::configuration_update make_update_since(std::uint64_t offset) const;

    /// Sends an update to `count` random peers; set by the service that owns the links.
    std::function<void(unsigned count, const wire::configuration_update&)> send_to_random_peers;
    /// Returns the number of processes that read the same log, according to the instance list.
    std::function<std::size_t()> process_count;

    /// Emitted after new records or a snapshot were applied.
    sigc::signal<void()> advanced;

private:
    struct pending_command {
        configuration_command command;
        millis deadline{0};
        std::function<void(const command_outcome*)> on_outcome;
        bool appending = false;
        /// Offset of the record; empty until an append succeeded.
        std::optional<std::uint64_t> appended_offset;
        /// Pages read since the last append returned; only used if that append failed.
        unsigned reads_since_failure = 0;
    };

    void poll();
    void schedule_poll();
    void on_page(const log_page& page);
    void apply(std::uint64_t offset, const std::string& data);
    void handle_advance(std::uint64_t offset_before);
    void append_pending(std::size_t at);
    void process_pending();
    void append_snapshot_if_due();
    bool snapshot_due() const;
    void query_random_peer();

    kernel& core_;
    configuration_feed_options options_;
    log_client log_;
    configuration_state state_;
    std::deque<wire::configuration_record> recent_; // last applied records, without gaps
    std::deque<pending_command> pending_;
    kernel::timer poll_timer_;
    kernel::timer peer_timer_;
    kernel::timer pending_timer_;
    bool reading_ = false;
    bool log_reachable_ = true;
    bool read_to_end_ = false; // of the log, since the start of this process
    /// Offset of a peer that had caught up; empty until one has sent an update.
    std::optional<std::uint64_t> peer_offset_;
    bool snapshot_append_pending_ = false;
    /// Offset of the latest known snapshot in the log.
    std::uint64_t last_snapshot_offset_ = 0;
    /// Wall-clock time at which that snapshot was read or appended; initially the start time.
    millis last_snapshot_at_{0};
    /// Time of the last page read from the log or update received from a peer.
    millis last_confirmed_at_{0};
};

} // namespace cyclamen
