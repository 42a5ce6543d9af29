#pragma once

#include "http_message.h"
#include "http_reader.h"
#include "kernel.h"
#include "time_types.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

struct bufferevent;

namespace cyclamen {

/// What callers may send, and how long they may take.
struct caller_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 4194304;
    millis head_time = 3000ms;  // from the first byte of a request to the end of its head
    millis idle_time = 15000ms; // between requests, and between parts of a body
};

/// A failure that the relay itself answers with.
struct relay_refusal {
    int status = 503;
    std::string reason;                // one word for logs and for the body
    std::optional<millis> retry_after; // when the caller may come back
};

/// One connection of a caller: reads requests one at a time, writes their answers.
/// A request is handed over when it was read whole.  Owned by the relay's port.
class caller_connection {
public:
    struct hooks {
        std::function<caller_limits()> limits;
        std::function<void(caller_connection& from)> on_request;
        /// A request that could not be read was refused.
        std::function<void(caller_connection& from, const relay_refusal& why)> on_refused;
        /// The connection has ended and may be destroyed, but not within this call.
        std::function<void(caller_connection& from)> on_closed;
    };

    caller_connection(kernel& core, int socket, hooks collaborators);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// The request that was read whole.
    const http_head& request() const { return request_; }
    std::string take_body() { return std::move(body_); }
    /// When its first byte was read.
    millis began_at() const { return began_at_; }

    /// Begins the answer.  A head without a length is sent in chunks, or to the end of the
    /// connection where the caller speaks HTTP/1.0.
    void begin_answer(http_head head);
    void write(std::string_view data);
    void end_answer();
    void refuse(const relay_refusal& why);
    /// Ends the connection in the middle of an answer, so that the caller can tell.
    void abort_answer();

    bool answer_begun() const { return state_ == stage::answering; }
    bool closed() const { return state_ == stage::closed; }
    /// Bytes that the caller has not taken yet.
    std::size_t unsent() const;
    /// Asks the caller, with the next answer, for another connection.
    void close_after_answer() { keep_ = false; }
    /// Closes at once if no byte of a request was read.
    void close_if_idle();

    /// Called once when the caller leaves before its answer is whole.
    std::function<void()> on_left;
    /// Called when the caller has taken all that was written.
    std::function<void()> on_drained;

private:
    enum class stage { reading, waiting, answering, lingering, closed };

    static void readable(bufferevent* channel, void* user);
    static void writable(bufferevent* channel, void* user);
    static void event(bufferevent* channel, short what, void* user);

    void read();
    void head_read(const http_head& head);
    void fail(http_fault fault);
    void next_request();
    void arm(millis delay);
    void timed_out();
    void linger();
    void close();
    void caller_left();

    kernel& core_;
    hooks hooks_;
    bufferevent* channel_ = nullptr;
    http_reader reader_;
    stage state_ = stage::reading;
    http_head request_;
    std::string body_;
    millis began_at_{0};
    bool head_seen_ = false;
    bool keep_ = true;
    bool chunked_ = false;
    bool to_end_ = false; // the answer ends with the connection
    bool no_body_ = false;
    kernel::timer timer_;
};

} // namespace cyclamen
