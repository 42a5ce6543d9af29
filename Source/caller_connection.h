#pragma once

#include "client_limits.h"
#include "http_message.h"
#include "http_reader.h"
#include "kernel.h"
#include "memory_budget.h"
#include "time_types.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

struct bufferevent;

namespace cyclamen {

/// Size and time limits for requests of callers.
struct caller_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 4194304;
    millis head_timeout = 3000ms;  // from the first byte of a request to the end of its headers
    millis idle_timeout = 15000ms; // between requests, and between two reads of a body
};

/// An error response that the relay generates itself.
struct relay_refusal {
    int status = 503;
    std::string reason;                // machine-readable reason, for logs and the response body
    std::optional<millis> retry_after; // value of the Retry-After header
};

/// Server side of one caller's connection: reads requests one at a time and writes the responses.
/// Calls `on_request` once a request has been read completely. Owned by the relay server.
class caller_connection {
public:
    struct hooks {
        /// Returns the current limits. Called for each request, so that new settings take effect on
        /// open connections.
        std::function<caller_limits()> limits;
        std::function<void(caller_connection& connection)> on_request;
        /// Called before a malformed, oversized or timed-out request is refused.
        std::function<void(caller_connection& connection, const relay_refusal& refusal)> on_refused;
        /// Frees memory that requests without progress hold, if set, until `bytes` more fit into
        /// the budget.
        std::function<void(std::size_t bytes)> make_room;
        /// Called when the connection has closed. The callee must not destroy it within this call.
        std::function<void(caller_connection& connection)> on_closed;
    };

    caller_connection(kernel& core, int socket, hooks callbacks);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// Returns the request that was read completely.
    const http_head& request() const { return request_; }
    /// Moves the body of the request out of the connection.
    std::string take_body()
    {
        std::string taken = std::exchange(body_, {});
        count_memory();
        return taken;
    }
    /// Returns the time at which the first byte of the request was read.
    millis started_at() const { return started_at_; }

    /// Sends the response headers. A response without a length or chunks ends with the connection,
    /// and so does a chunked one if the caller uses HTTP/1.0.
    void begin_response(http_head head);
    void write(std::string_view data);
    void end_response();
    /// Sends an error response. Does nothing unless a request awaits its response.
    void refuse(const relay_refusal& refusal);
    /// Closes the connection in the middle of a response so that the caller can detect that the
    /// response is incomplete.
    void abort_response();

    bool response_started() const { return state_ == stage::responding; }
    /// Whether the response that has begun ends with the connection.
    bool ends_with_connection() const { return close_delimited_; }
    bool closed() const { return state_ == stage::closed; }
    /// Number of response bytes that are not yet written to the socket.
    std::size_t unsent_bytes() const;
    /// Sends `Connection: close` with the next response, so that the caller opens a new connection
    /// for its next request.
    void close_after_response() { keep_alive_ = false; }
    /// Closes the connection once no request has arrived for `idle_time`, from now on and after
    /// each later response.
    void close_when_idle(millis idle_time);

    /// Returns what the connection does.  Bytes that wait in the socket count as progress now.
    client_candidate candidate() const;
    /// Refuses a request that has not been read completely, or closes an idle connection.
    void give_up(const relay_refusal& refusal);

    /// Closes the connection if the caller has closed its side, which the event loop may not have
    /// handled yet after a busy period, and calls `on_disconnected`.  Returns whether it has.
    bool close_if_caller_left();

    /// Called once if the caller disconnects before its response is complete.
    std::function<void()> on_disconnected;
    /// Called when all written bytes have been passed to the socket.
    std::function<void()> on_drained;

private:
    enum class stage {
        reading,
        awaiting_response,
        responding,
        lingering, // the response has ended; discards input until the caller closes its side
        closed
    };

    static void readable(bufferevent* channel, void* user);
    static void writable(bufferevent* channel, void* user);
    static void event(bufferevent* channel, short what, void* user);

    void read();
    void count_memory();
    bool fits_memory() const;
    void append_body(std::string_view data);
    bool reserve_body(std::size_t needed);
    bool has_room(std::size_t bytes) const;
    void discard_input();
    void on_head_received(const http_head& head);
    void fail(http_parse_error parse_error);
    void refuse_unread(const relay_refusal& refusal);
    void next_request();
    void start_timer(millis delay);
    millis idle_timeout() const;
    std::size_t unread_bytes() const;
    void on_timeout();
    void send(std::string_view text);
    void linger();
    void end_output();
    void close();
    void on_caller_disconnected();

    kernel& core_;
    hooks hooks_;
    bufferevent* channel_ = nullptr;
    http_reader reader_;
    stage state_ = stage::reading;
    http_head request_;
    std::string body_;
    memory_budget::share memory_;
    millis started_at_{0};
    millis progress_at_{0};          // when bytes last arrived or a response ended
    bool body_memory_short_ = false; // the budget has no room for the rest of the body
    bool head_received_ = false;
    bool keep_alive_ = true;
    bool chunked_ = false;
    bool close_delimited_ = false; // the response body is delimited by the end of the connection
    bool is_head_request_ = false;
    bool output_pending_ = false;      // written bytes that may not have been passed to the socket
    std::size_t discarded_bytes_ = 0;  // received after the last response
    bool close_announced_ = false;     // the latest response carried `Connection: close`
    std::optional<millis> idle_limit_; // set by `close_when_idle`
    std::optional<std::size_t>
        late_input_; // bytes that arrived before the expired timer was handled
    kernel::timer timer_;
};

} // namespace cyclamen
