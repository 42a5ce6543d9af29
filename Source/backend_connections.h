#pragma once

#include "client_connection.h"
#include "kernel.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cyclamen {

struct backend_connections_options {
    client_connection_options connection;
    millis most_idle = 4000ms;      // where the server does not say how long it keeps one
    millis keep_margin = 1000ms;    // before the end of the time that the server says
    millis most_idle_once = 1000ms; // for a request that may run only once: a connection
                                    // that just ended would leave its fate unknown
};

/// Idle connections to backend servers, kept for the next request.  A connection belongs
/// to one incarnation of a server.  Owned by the relay's port.
class backend_connections {
public:
    backend_connections(kernel& core, backend_connections_options options)
        : core_(core), options_(options)
    {
    }

    /// A kept connection, or a new one; `once` asks for one that was used just now.
    std::unique_ptr<client_connection> take(const std::string& id, const net_address& address,
                                            bool once);
    /// Keeps a connection for the next request, if it allows one.
    void give_back(const std::string& id, std::unique_ptr<client_connection> connection);
    /// Closes what was idle for too long, or belongs to no server that is left.
    void sweep(const std::function<bool(const std::string& id)>& known);
    std::size_t idle() const;

private:
    struct kept {
        std::unique_ptr<client_connection> connection;
        millis since{0};
    };

    millis lifetime(const kept& row) const;

    kernel& core_;
    backend_connections_options options_;
    std::map<std::string, std::deque<kept>> by_server_; // the last used last
};

} // namespace cyclamen
