#pragma once

#include "start_rate_limit.h"
#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen {

struct value_transfer_options {
    std::size_t least_bytes = 16384;  // size from which a value is sent in pieces
    std::size_t max_bytes = 16777216; // larger values are not fetched
    std::size_t piece_bytes = 8192;
    double link_mbps = 0;    // rate of this entry's link; 0 if unknown
    double link_share = 0.5; // of it, for pieces that this entry sends
    // A source serves one receiver for so many pieces a second that its link allows.
    double pieces_per_receiver = 40;
    unsigned least_receivers = 2;
    millis receiver_timeout = 200ms; // silence after which a receiver no longer counts
    millis piece_timeout = 250ms;    // after which a receiver asks another source
    millis busy_pause = 60ms;        // after which it asks a busy source again
};

/// The compressed form of one value.
struct packed_value {
    std::uint64_t hash = 0; // of the value
    std::size_t bytes = 0;  // size of the value
    std::string data;
};

/// Sends values in pieces to receivers that ask for them, one request for each piece.  Bounds the
/// rate of all pieces and the number of receivers at a time, so that this entry's link stays free
/// for requests and small messages.  Reads no clock: the caller passes the current time.
class value_source {
public:
    explicit value_source(value_transfer_options options);

    /// Keeps a value; the oldest one that is kept gives way.
    void keep(packed_value value);
    const packed_value* find(std::uint64_t hash) const;

    /// Answer to a request for a piece.
    struct reply {
        std::size_t total = 0;            // size of the compressed form; 0 if the value is not kept
        std::string_view data;            // empty if the receiver has to wait
        bool busy = false;                // other receivers come first
        millis wait{0};                   // until the receiver may ask again
        std::vector<std::string> holders; // peers that have fetched the value from here
    };

    /// Answers the request of the peer `receiver`.  `data` is valid until the next call of `keep`.
    reply answer(const std::string& receiver, std::uint64_t hash, std::size_t from, millis now);

    std::size_t max_receivers() const { return max_receivers_; }

private:
    struct kept_value {
        packed_value value;
        std::vector<std::string> holders; // those that have the last piece
    };

    value_transfer_options options_;
    double pieces_per_second_;
    std::size_t max_receivers_;
    std::deque<kept_value> values_;
    std::map<std::string, millis> receivers_; // time of their last requests
    start_rate_limit pieces_;
    std::size_t next_holder_ = 0;
};

/// A value that a record refers to.
struct value_reference {
    std::uint64_t hash = 0;
    std::size_t bytes = 0;
};

/// Fetches one value in pieces: chooses the source and when to ask it.  Reads no clock: the caller
/// passes the current time.
class value_fetch {
public:
    value_fetch(value_reference wanted, value_transfer_options options, millis now);

    const value_reference& wanted() const { return wanted_; }

    /// Adds sources, in the order in which they are to be asked.
    void add_sources(const std::vector<std::string>& sources);
    std::size_t sources() const { return sources_.size(); }

    /// A request that is due.
    struct request {
        std::string source;
        std::size_t from = 0;
    };
    /// Returns the request to send now, if any.
    std::optional<request> next_request(millis now);

    /// A piece, or the reason for which a source sent none.
    struct piece {
        std::string source;
        std::size_t from = 0;
        std::size_t total = 0;
        std::string_view data;
        bool busy = false;
        millis wait{0};
        std::vector<std::string> holders;
    };
    /// Takes the answer of a source.  Returns the compressed form once it is complete.
    std::optional<std::string> on_piece(const piece& received, millis now);
    /// Drops what was received, after the complete form turned out to be another value's.
    void reject(millis now);

    /// Whether a piece has come recently.
    bool moves(millis now) const;
    /// Whether no source has the value.
    bool exhausted() const { return sources_.empty(); }
    unsigned pieces() const { return pieces_; }
    millis began_at() const { return began_at_; }

private:
    struct source {
        std::string name;
        millis ask_from{0}; // not to be asked before
    };

    source* find(const std::string& name);
    void drop(const std::string& name);
    void leave_current(millis now, millis pause);

    value_reference wanted_;
    value_transfer_options options_;
    std::vector<source> sources_;
    std::optional<std::string> current_; // the source that is asked
    std::optional<millis> asked_at_;     // time of the open request
    std::string data_;
    std::size_t total_ = 0; // size of the compressed form, once known
    unsigned pieces_ = 0;
    millis began_at_;
    millis last_piece_at_;
};

} // namespace cyclamen
