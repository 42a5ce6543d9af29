#pragma once

#include "http_message.h"
#include "net_address.h"
#include "time_types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace cyclamen {

/// How a call ended.
enum class http_end {
    complete,
    not_sent, // no connection came up: the server cannot have seen the request
    lost,     // the connection ended, or fell silent, before the answer was whole
};

struct client_connection_options {
    // For the connection to come up: many round trips within a region, and still time to
    // try another server.
    millis connect_timeout = 250ms;
    // Unacknowledged data or probes for so long end the connection (TCP_USER_TIMEOUT).
    millis dead_after = 2000ms;
};

/// One HTTP/1.1 connection to a server: one call at a time, and kept for the next while
/// both sides allow.  A call goes out when the connection is up, so that `not_sent` proves
/// that the server has seen nothing of it.
class client_connection {
public:
    struct handlers {
        /// The head of a final answer; false skips an answer that belongs to an earlier
        /// call, and waits for the next.
        std::function<bool(const http_head& head)> on_head;
        std::function<void(std::string_view data)> on_body;
        std::function<void(http_end end)> on_end; // called once, last
    };

    client_connection(event_base* loop, const net_address& server,
                      client_connection_options options);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    /// Sends a request; the connection has to be idle.  `body` is sent after `head`, which
    /// has to declare its length.
    void call(const http_head& head, const std::string& body, handlers receivers);
    /// Ends the call without a word to its receivers, and the connection with it.
    void abandon();
    /// Stops and resumes reading the answer, so that a slow reader bounds the memory used.
    void pause_reading(bool paused);

    /// No call is open and another may follow on this connection.
    bool reusable() const;
    /// Time for which the server keeps an idle connection, where it said so.
    std::optional<millis> kept_for() const;
    /// Bytes of an answer have arrived for the call that is open.
    bool answer_begun() const;

    /// Called when the connection ends while it is idle.
    std::function<void()> on_idle_end;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cyclamen
