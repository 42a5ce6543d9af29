#pragma once

#include "counters.h"

#include <wire.pb.h>

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace cyclamen {

/// Version of the protocol between processes; others are refused.
inline constexpr unsigned wire_version = 1;

struct message_socket_options {
    int high_water_mark = 4096;         // messages queued in each direction
    std::int64_t most_bytes = 16777216; // in one message
    int dead_after_ms = 0; // data unacknowledged for so long ends a connection; 0 never
};

/// A ZeroMQ socket that carries envelopes and lives on a libevent loop.  A bound
/// socket (ROUTER) names the link of each message by its route; a connected one
/// (DEALER) has one peer.  Owned by a service.
class message_socket {
public:
    using handler = std::function<void(const std::string& route, const wire::envelope& message)>;

    /// Binds at `endpoint`; throws zmq::error_t if that is not possible.
    static std::unique_ptr<message_socket> bind(event_base* loop, counters& metrics,
                                                const std::string& endpoint, handler on_message,
                                                message_socket_options options = {});
    /// Connects to `endpoint`; the connection is made, and made again, unseen.
    static std::unique_ptr<message_socket> connect(event_base* loop, counters& metrics,
                                                   const std::string& endpoint,
                                                   const std::string& route, handler on_message,
                                                   message_socket_options options = {});

    message_socket(const message_socket&) = delete;
    message_socket& operator=(const message_socket&) = delete;
    ~message_socket();

    /// Hands a message over.  False if it certainly was not sent; true promises
    /// nothing about its arrival.  `route` is empty on a connected socket.
    bool send(const std::string& route, wire::envelope message);

    /// On a connected socket: called when the connection ends.  What was handed over may
    /// or may not have arrived.
    void watch_connection(event_base* loop, std::function<void()> on_disconnected);

private:
    struct state;
    explicit message_socket(std::unique_ptr<state> parts);

    std::unique_ptr<state> state_;
};

} // namespace cyclamen
