#pragma once

#include "kernel.h"
#include "message_socket.h"

#include <wire.pb.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamen {

struct agent_link_options {
    // Maximum time from connecting to receiving `welcome`.
    millis welcome_timeout = 600ms;
    // Time without traffic after which a heartbeat is sent while an answer is awaited.
    millis heartbeat_interval = 400ms;
    // Time without a message from the agent after which the connection is replaced.
    millis silence_timeout = 1200ms;
    // A `welcome` that arrives later than this after its `hello` is ignored, and `hello` is sent
    // again.
    millis max_handshake_time = 500ms;
};

/// An entry's connection to one agent.  The connection is replaced if no message arrives
/// within the silence timeout while an answer is awaited.  Owned by `agent_links`.
class agent_link {
public:
    struct handlers {
        std::function<void(const wire::envelope&)> on_message;
        /// Called when a connection is established; `same_incarnation` is true if the agent
        /// is still the process of the previous connection.
        std::function<void(bool same_incarnation)> on_welcome;
        /// Called when a connection was not established within the welcome timeout.
        std::function<void()> on_unreachable;
        /// Creates the `hello` message.
        std::function<wire::hello()> hello;
    };

    agent_link(kernel& core, std::string instance, std::string address, agent_link_options options,
               handlers callbacks);

    /// Queues a message for sending.  Returns false if it certainly was not sent.
    bool send(wire::envelope message);
    /// Called periodically; `awaiting_answer` is true while a request is open on this link.
    /// Heartbeats report `configuration_offset`, the offset up to which the entry has applied the
    /// configuration log.
    void on_tick(bool awaiting_answer, std::uint64_t configuration_offset);

    /// Reconnects, because another process now runs as the agent at this address.
    void reconnect() { connect(); }

    bool welcomed() const { return welcomed_; }
    /// The agent has announced that it shuts down, so it gets no more requests on this connection.
    bool stopping() const { return stopping_; }
    void set_stopping() { stopping_ = true; }
    std::uint64_t agent_incarnation() const { return agent_incarnation_; }
    const std::string& instance() const { return instance_; }
    const std::string& address() const { return address_; }
    millis last_used() const { return last_used_; }
    unsigned reconnects() const { return connections_ - 1; }

private:
    void connect();
    void send_hello();
    void on_message(const wire::envelope& message);

    kernel& core_;
    std::string instance_;
    std::string address_;
    agent_link_options options_;
    handlers handlers_;
    std::unique_ptr<message_socket> socket_;
    // Replaced sockets, whose callbacks may still be running; freed at the next tick.
    std::vector<std::unique_ptr<message_socket>> retired_;
    bool welcomed_ = false;
    bool stopping_ = false;
    std::uint64_t agent_incarnation_ = 0;
    millis connect_started_{0};
    millis hello_sent_at_{0};
    millis last_seen_{0};
    millis last_sent_{0};
    millis last_used_{0};
    unsigned connections_ = 0;
};

} // namespace cyclamen
