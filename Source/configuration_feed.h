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
    millis least_poll = 400ms;
    /// The poll interval is at least this times the number of processes, which bounds the total
    /// read rate at the log.
    millis poll_for_each_process = 10ms;
    /// Interval between two queries to a random peer.
    millis peer_exchange = 500ms;
    /// Number of random peers that new records are sent to immediately.
    unsigned eager_peers = 3;
    /// Number of recent records kept for peers; peers that lag further behind get a snapshot.
    std::size_t records_kept = 512;
    /// A new snapshot is due after this many records.
    std::uint64_t snapshot_every = 256;
    /// A new snapshot is due at this age of the last; well under the log's retention.
    millis snapshot_age = 1800000ms;
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

    /// Appends a command to the log and calls `on_outcome` once its record was applied, or with
    /// nullptr if that has not happened within `deadline`.
    void submit(const configuration_command& command, millis deadline,
                std::function<void(const command_outcome*)> on_settled);

    /// Handles a peer's update.  Returns the reply to send, if any: records that the peer lacks, if
    /// it wants a reply, or a query if this process lags behind the peer.
    std::optional<wire::configuration_update> on_update(const wire::configuration_update& update);
    /// True if this process has not yet applied all records below a peer's `offset`.
    bool behind(std::uint64_t offset) const { return offset > state_.offset(); }
    /// Makes a message that asks a peer for the records that this process lacks.
    wire::configuration_update question() const;
    /// Makes an update with the records from `offset` on, or with a snapshot if some of them are no
    /// longer kept.
    wire::configuration_update news_since(std::uint64_t offset) const;

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
        std::function<void(const command_outcome*)> on_settled;
        bool appending = false;
        /// Offset of the record; empty until an append succeeded.
        std::optional<std::uint64_t> appended_at;
        unsigned reads_since_failure = 0;
    };

    void poll();
    void schedule_poll();
    void on_page(const log_page& page);
    void apply(std::uint64_t offset, const std::string& data);
    void after_advance(std::uint64_t offset_before);
    void append_pending(std::size_t at);
    void settle_pending();
    void consider_snapshot();
    bool snapshot_due() const;
    void exchange_with_peer();

    kernel& core_;
    configuration_feed_options options_;
    log_client log_;
    configuration_state state_;
    std::deque<wire::configuration_record> recent_;
    std::deque<pending_command> pending_;
    kernel::timer poll_timer_;
    kernel::timer peer_timer_;
    kernel::timer pending_timer_;
    bool reading_ = false;
    bool log_up_ = true;
    bool snapshot_on_its_way_ = false;
    /// Offset of the latest known snapshot in the log.
    std::uint64_t last_snapshot_ = 0;
    /// Wall-clock time at which that snapshot was read or appended; initially the start time.
    millis last_snapshot_at_{0};
    /// Time of the last page read from the log or update received from a peer.
    millis confirmed_{0};
};

} // namespace cyclamen
