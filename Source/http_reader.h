#pragma once

#include "http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace cyclamen {

/// Why a message could not be read.
enum class http_fault { none, malformed, head_too_large, body_too_large, early_end };

enum class http_side { request, answer };

struct http_reader_limits {
    std::size_t head_bytes = 65536;    // first line and headers
    std::size_t body_bytes = 67108864; // after the transfer coding was taken off
};

/// Reads HTTP/1 messages out of bytes as they arrive, one after another.  No sockets.
/// What could be taken for two different messages by two readers is malformed: two
/// lengths, a length beside a transfer coding, a name that is not a token.
class http_reader {
public:
    struct handlers {
        std::function<void(http_head& head)> on_head;
        std::function<void(std::string_view data)> on_body;
    };

    http_reader(http_side side, handlers receivers, http_reader_limits limits = {});
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    ~http_reader();

    void set_limits(http_reader_limits limits);
    /// Reads until the message is complete, or faulty; returns the bytes that were used.
    std::size_t feed(std::string_view data);
    /// The sender has ended the connection: completes an answer without a length.
    void feed_end();
    /// Ready for the next message; `no_body` when it answers a HEAD request.
    void next(bool no_body = false);

    bool complete() const;
    /// Some of the message was read.
    bool begun() const;
    http_fault fault() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cyclamen
