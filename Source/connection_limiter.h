#pragma once

#include "memory_budget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace cyclamen {

/// Why a client's connection is closed.
enum class client_closing {
    memory,     // its unfinished request is needed least, and memory is short
    connections // it is idle the longest, and the number of connections is at its limit
};

const char* name_of(client_closing reason);

struct connection_limiter_options {
    /// Connections of all HTTP servers of the process.
    std::size_t max_connections = 10000;
    /// A connection that holds no more than this is not closed for memory: the limit of a head and
    /// a body of the same size.
    std::size_t ordinary_bytes = 32768;
};

/// Returns the connections that a process with `descriptors` file descriptors may have with
/// clients, at most `wanted`. The rest is a reserve for connections to agents, the log and peers.
std::size_t connections_within(std::size_t descriptors, std::size_t wanted);

/// Counts the connections of clients and the bytes held for them, and decides which ones are closed
/// when either is short: those that have made no progress for the longest time. Requests that
/// were passed on are never closed. Outlives its connections.
class connection_limiter {
public:
    connection_limiter(memory_budget& memory, connection_limiter_options options)
        : memory_(memory), options_(options)
    {
    }
    connection_limiter(const connection_limiter&) = delete;
    connection_limiter& operator=(const connection_limiter&) = delete;
    ~connection_limiter() = default;

private:
    struct record {
        std::function<void(client_closing)> close;
        memory_budget::share memory;
        bool busy = false;
    };
    using records = std::list<record>;

public:
    /// One connection of a client, which leaves the limiter when it is destroyed.
    class connection {
    public:
        /// `close` closes the connection and destroys this object. It is not called from here.
        connection(connection_limiter& limiter, std::function<void(client_closing)> close);
        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;
        ~connection();

        /// Sets the bytes that are held for the client now.
        void set_bytes(std::size_t bytes) { record_->memory.set(bytes); }
        std::size_t bytes() const { return record_->memory.bytes(); }
        /// To be called when bytes were received or sent.
        void on_progress();
        /// Whether a request was passed on whose response has not been sent.
        void set_busy(bool busy) { record_->busy = busy; }
        bool busy() const { return record_->busy; }

    private:
        connection_limiter& limiter_;
        records::iterator record_;
    };

    std::size_t connections() const { return records_.size(); }
    bool memory_short() const;
    /// Closes unfinished requests until memory is no longer short or none is left to be closed.
    void release_memory();
    /// Closes idle connections until there is room for one more. Returns false if there are none.
    bool make_room();

    /// Called before a connection is closed, with the bytes that are held for it.
    std::function<void(client_closing, std::size_t bytes)> on_closing;

private:
    bool close_first(client_closing reason);

    memory_budget& memory_;
    connection_limiter_options options_;
    records records_; // the one without progress for the longest time first
};

} // namespace cyclamen
