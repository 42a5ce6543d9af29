#pragma once

#include "http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace cyclamen {

/// Reason why a message could not be parsed.
enum class http_parse_error {
    none,
    malformed,
    head_too_large,
    body_too_large,
    early_end,  // the connection closed before the message was complete
    not_handled // an error in a handler, which event 1005 reports
};

enum class http_message_type { request, response };

struct http_reader_limits {
    std::size_t head_bytes = 65536;    // request target, header names and values
    std::size_t headers = 512;         // a header takes far more memory than its shortest text
    std::size_t body_bytes = 67108864; // size after decoding the transfer coding
};

/// Incremental parser for a sequence of HTTP/1 messages; independent of sockets. Rejects ambiguous
/// messages that two parsers could interpret differently (request smuggling): more than one
/// length, a length together with a transfer coding, or a header name that is not a token.
class http_reader {
public:
    struct handlers {
        std::function<void(http_head& head)> on_head;
        std::function<void(std::string_view data)> on_body;
    };

    http_reader(http_message_type message_type, handlers receivers, http_reader_limits limits = {});
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    ~http_reader();

    void set_limits(http_reader_limits limits);
    /// Parses until the message is complete or an error occurs; returns the number of bytes
    /// consumed.
    std::size_t feed(std::string_view data);
    /// Signals the end of the connection, which completes a response without a declared length.
    void feed_end();
    /// Prepares for the next message. Set `no_body` for the response to a HEAD request.
    void next(bool no_body = false);

    bool complete() const;
    /// True if part of the message has been parsed.
    bool message_started() const;
    /// Bytes of memory that the head of the current message takes up.
    std::size_t head_size() const;
    /// Returns the error that stopped parsing. `next()` does not clear it.
    http_parse_error parse_error() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cyclamen
