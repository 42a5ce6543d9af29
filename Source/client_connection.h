#pragma once

#include "enum_names.h"
#include "http_message.h"
#include "memory_budget.h"
#include "net_address.h"
#include "time_types.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace cyclamen {

/// Result of an HTTP call.
enum class http_call_result {
    complete, // the length or the last chunk shows that the response is whole
    closed,   // the server closed the connection at the end of a response without either
    not_sent, // connecting failed: the server cannot have received any of the request
    lost,     // the connection closed or timed out before the response was complete
};

inline constexpr std::array http_call_result_names{
    enum_name<http_call_result>{http_call_result::complete, "complete"},
    enum_name<http_call_result>{http_call_result::closed, "closed"},
    enum_name<http_call_result>{http_call_result::not_sent, "not_sent"},
    enum_name<http_call_result>{http_call_result::lost, "lost"},
};

struct client_connection_options {
    // Allows for many round trips within a region, yet leaves time to try another server.
    millis connect_timeout = 250ms;
    // Closes the connection if data or keep-alive probes stay unacknowledged for this long
    // (TCP_USER_TIMEOUT).
    millis tcp_user_timeout = 2000ms;
    // A call whose response has a longer body ends as `lost`. To be set by whoever collects bodies;
    // a body that is forwarded may be of any size.
    std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
    // Counts what the connection holds, if set.  A call whose response head does not fit into it
    // any more ends as `lost`.
    memory_budget* memory = nullptr;
};

/// Client side of an HTTP/1.1 connection: makes one call at a time and can be reused as long as
/// both sides allow keep-alive. A request is sent only after the connection is established, so
/// `not_sent` proves that the server has received none of it.
class client_connection {
public:
    struct handlers {
        /// Called when the request is handed to the established connection, also during `call`:
        /// from then on, the server may have received it.
        std::function<void()> on_sent;
        /// Receives the headers of a final response (status 200 or above). Return false to skip a
        /// response that belongs to an earlier call and to wait for the next one. A call that
        /// skips too much ends as `lost`.
        std::function<bool(const http_head& head)> on_head;
        std::function<void(std::string_view data)> on_body;
        std::function<void(http_call_result end)> on_end; // called once, after all other callbacks
    };

    client_connection(event_base* loop, const net_address& server,
                      client_connection_options options);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    /// Sends a request. The connection must be idle, and `head` must declare the length of `body`.
    void call(const http_head& head, const std::string& body, handlers receivers);
    /// The same; shares the body with other holders and does not copy it.
    void call(const http_head& head, std::shared_ptr<const std::string> body, handlers receivers);
    /// Cancels the call without calling its handlers, and closes the connection.
    void abandon();
    /// Drops the body of the current response; to be called by `on_head`. The call ends as `lost`
    /// if the body is long or takes long, and as `complete` otherwise.
    void discard_response();
    /// Ends the call as `lost` once the handler `on_head` or `on_body`, which calls this, has
    /// returned.
    void cut_response();
    /// Closes the connection once the current call has ended.
    void close_after_call();
    /// Pauses or resumes reading the response, so that a slow consumer does not cause unbounded
    /// buffering.
    void pause_reading(bool paused);

    /// Handles response bytes that have arrived, also while reading is paused. To be called before
    /// a timer gives the response up: after a busy period, the event loop runs expired timers
    /// before it hands over input. May call the handlers, also `on_end`.
    void read_arrived();

    /// True if the connection is established, no call is in progress, and neither unexpected bytes
    /// nor the end of the connection have arrived.
    bool reusable() const;
    /// True if the server's machine refused the connection: no process listens at the address.
    bool refused() const;
    /// Timeout of the server's Keep-Alive header, if it sent one.
    std::optional<millis> keep_alive_timeout() const;
    /// True if response bytes have arrived for the current call.
    bool response_started() const;
    /// True if no other final response can have been meant for this connection before the current
    /// one: it is the first, on the connection's first call.
    bool at_first_response() const;

    /// Called when the connection closes while it is idle. `call()` copies the handler, so it must
    /// be set before.
    std::function<void()> on_idle_closed;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cyclamen
