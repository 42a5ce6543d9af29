#pragma once

#include "kernel.h"
#include "record_mirror.h"
#include "value_transfer.h"

#include <wire.pb.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

class relay_state;

struct record_exchange_options {
    // Time that a log reader lags behind a peer before it requests records from that peer: the
    // log itself usually answers sooner.  Also the interval between repeated requests.
    millis record_request_delay = 300ms;
    // The same delay for an entry that has no listing yet.  A complete listing is large, so it is
    // requested from a peer only while this entry's own source does not answer.
    millis listing_request_delay = 1000ms;
    // Time after which a request for records is given up on.
    millis request_timeout = 1500ms;
    // Time for which the position that a peer has shown counts, unless the peer repeats it.
    millis position_lifetime = 10000ms;
    value_transfer_options transfer;
};

/// Exchanges the records of mirrored logs with peers: requests those that this entry lacks, and
/// answers the requests of peers.  Large values are fetched in pieces, see docs/design.  Owned by
/// `peer_gossip`, which carries its messages.
class record_exchange {
public:
    struct hooks {
        /// Sends a message to the peer with this address.
        std::function<void(const std::string& peer, wire::envelope message)> send;
        /// Answers the peer whose message came by this route.
        std::function<void(const std::string& route, wire::envelope message)> reply;
        /// The peers whose last digest shows this position of the log or a later one, those that
        /// are to be preferred first.
        std::function<std::vector<std::string>(std::size_t log, log_position at_least)> holders;
        std::function<bool()> must_read_logs;
        /// Whether this entry's last read of each log succeeded.
        std::function<bool()> source_answers;
    };

    record_exchange(kernel& core, relay_state& state, const record_exchange_options& options,
                    hooks collaborators);

    /// Sets the mirrors: operators' orders, then backend servers.  All entries must use the same
    /// sequence.
    void set_mirrors(std::vector<record_mirror*> mirrors);
    const std::vector<record_mirror*>& mirrors() const { return mirrors_; }

    /// Adds to a digest what this entry has of each log.
    void add_positions(wire::relay_digest& digest) const;
    /// Compares a peer's positions with those of this entry, and requests what this entry lacks.
    /// Returns false if a log of the peer is of an earlier era than here.
    bool on_digest(const wire::relay_digest& digest);
    void handle_record_request(const std::string& route, const wire::record_request& request);
    void apply_record_batch(const std::string& route, const wire::record_batch& batch);
    void handle_value_request(const std::string& route, const wire::value_request& request);
    void handle_value_piece(const std::string& route, const wire::value_piece& piece);
    /// Gives up requests without an answer; call it regularly.
    void sweep();

    /// Whether a peer has shown a later position of the operators' log than that of this entry.
    bool newer_orders_known() const;

private:
    struct peer_log {
        std::uint64_t era = 0;
        std::uint64_t position = 0;
        std::uint64_t lost = 0; // fingerprint of its lost records
    };
    struct shown_position {
        log_position at;
        std::string peer;
        millis shown_at{0};
    };
    // A batch whose large values are still being fetched.
    struct pending_batch {
        wire::record_batch batch;
        std::unique_ptr<value_fetch> fetch; // of the first reference that is left
    };
    struct mirrored_log {
        record_mirror* mirror = nullptr;
        // When the mirror began to lag behind a peer, or when records were last requested after
        // that.  Unset if it does not lag.
        std::optional<millis> behind_since;
        // When lost records were last requested, and the fingerprints of those that have come.
        millis lost_requested_at{0};
        std::set<std::uint64_t> lost_received;
        std::optional<shown_position> latest; // that a peer has shown
        std::optional<pending_batch> pending;
    };

    bool is_behind(const mirrored_log& log) const;
    void note_position(mirrored_log& log, const std::string& peer, const peer_log& theirs);
    void request_lost_records(const std::string& peer, std::size_t log, const peer_log& theirs);
    void request_records(const std::string& peer, std::size_t log, std::uint64_t era,
                         std::uint64_t offset);
    void add_record(const mirrored_record& record, bool in_pieces, wire::record_batch& batch);
    void apply_complete_batch(const wire::record_batch& batch);
    void begin_fetch(std::size_t log, const std::string& peer);
    bool fill_known_references(std::size_t log);
    void on_value(std::size_t log, const std::string& packed);
    void drop_pending(std::size_t log);
    void request_due_pieces();

    kernel& core_;
    relay_state& state_;
    record_exchange_options options_;
    hooks hooks_;
    std::vector<mirrored_log> logs_;
    std::vector<record_mirror*> mirrors_;
    value_source source_;
    kernel::timer piece_timer_; // runs while values are being fetched
};

} // namespace cyclamen
