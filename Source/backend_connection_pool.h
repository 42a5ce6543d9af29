#pragma once

#include "client_connection.h"
#include "kernel.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace cyclamen {

struct backend_connection_pool_options {
    client_connection_options connection;
    // Maximum idle time of a connection whose server sends no Keep-Alive timeout.
    millis max_idle = 4000ms;
    // Safety margin subtracted from the Keep-Alive timeout that the server sends.
    millis keep_alive_margin = 1000ms;
    // Maximum idle time of a connection reused for an at-most-once request. If the server closes
    // an idle connection while such a request is sent, it is unknown whether the request ran.
    millis max_idle_at_most_once = 1000ms;
};

/// Pool of idle connections to backend servers, by the hash of the server's incarnation. Owned by
/// the relay server.
class backend_connection_pool {
public:
    backend_connection_pool(kernel& core, backend_connection_pool_options options)
        : core_(core), options_(options)
    {
    }

    /// Returns an idle connection, or a new one to `address` if none is usable. If `at_most_once`
    /// is set, reuses only connections that have been idle for less than the limit for at-most-once
    /// requests.
    std::unique_ptr<client_connection> acquire(std::uint64_t incarnation,
                                               const net_address& address, bool at_most_once);
    /// Returns a new connection to `address`.
    std::unique_ptr<client_connection> open(const net_address& address);
    /// Returns a connection to the pool if it is reusable; closes it otherwise.
    void release(std::uint64_t incarnation, std::unique_ptr<client_connection> connection);
    /// Closes connections that have exceeded their maximum idle time, are no longer reusable, or
    /// belong to none of the listed incarnations.
    void evict_expired(const std::set<std::uint64_t>& listed);
    /// Number of idle connections.
    std::size_t idle() const;

private:
    struct idle_connection {
        std::unique_ptr<client_connection> connection;
        millis since{0}; // time at which the connection became idle
    };

    millis max_idle_time(const idle_connection& pooled) const;

    kernel& core_;
    backend_connection_pool_options options_;
    std::map<std::uint64_t, std::deque<idle_connection>>
        by_server_; // most recently used at the back
};

} // namespace cyclamen
