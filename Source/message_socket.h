#pragma once

#include "counters.h"

#include <wire.pb.h>

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace cyclamen {

/// Version of the protocol between processes; messages of other versions are dropped.
inline constexpr unsigned wire_version = 1;

struct message_socket_options {
    int high_water_mark = 4096; // maximum number of messages queued in each direction
    std::int64_t max_message_bytes = 16777216; // maximum size of one message
    // Time after which a connection with unacknowledged data is closed; 0 sets no limit.
    int retransmit_timeout_ms = 0;
};

/// A ZeroMQ socket that carries envelopes and is driven by a libevent loop.  A bound socket
/// (ROUTER) identifies the link of each message by its route, the ZeroMQ routing id that the
/// peer chose; a connected socket (DEALER) has a single peer.  Owned by a service.
class message_socket {
public:
    /// `route` is empty on a connected socket.
    using handler = std::function<void(const std::string& route, const wire::envelope& message)>;

    /// Binds to `endpoint`; throws zmq::error_t on failure.
    static std::unique_ptr<message_socket> bind(event_base* loop, counters& metrics,
                                                const std::string& endpoint, handler on_message,
                                                message_socket_options options = {});
    /// Connects to `endpoint`; ZeroMQ connects and reconnects in the background.  `route`
    /// identifies this link at the bound socket.
    static std::unique_ptr<message_socket> connect(event_base* loop, counters& metrics,
                                                   const std::string& endpoint,
                                                   const std::string& route, handler on_message,
                                                   message_socket_options options = {});

    message_socket(const message_socket&) = delete;
    message_socket& operator=(const message_socket&) = delete;
    ~message_socket();

    /// Queues a message for sending.  Returns false if it certainly was not sent; true does not
    /// guarantee delivery.  `route` is empty on a connected socket.
    bool send(const std::string& route, wire::envelope message);

    /// On a connected socket: sets the callback for the end of the connection.  Messages queued
    /// before may or may not have arrived.
    void notify_on_disconnect(event_base* loop, std::function<void()> on_disconnected);

private:
    struct state;
    explicit message_socket(std::unique_ptr<state> socket_state);

    std::unique_ptr<state> state_;
};

} // namespace cyclamen
