#include "agent_link.h"

#include "event_log.h"

namespace cyclamen {

agent_link::agent_link(kernel& core, std::string instance, std::string address,
                       agent_link_options options, handlers callbacks)
    : core_(core), instance_(std::move(instance)), address_(std::move(address)), options_(options),
      handlers_(std::move(callbacks))
{
    connect();
}

void agent_link::connect()
{
    ++connections_;
    welcomed_ = false;
    stopping_ = false;
    connect_started_ = core_.now();
    last_seen_ = connect_started_;
    last_used_ = connect_started_;
    if (socket_) {
        retired_.push_back(std::move(socket_));
    }
    const std::string route =
        fmt::format("{}/{:016x}/{:x}", core_.instance(), core_.incarnation(), core_.random());
    socket_ =
        message_socket::connect(core_.loop(), core_.metrics(), "tcp://" + address_, route,
                                [this](const std::string& /*route*/,
                                       const wire::envelope& message) { on_message(message); });
    // If the agent's process terminates, its connections close long before the silence timeout
    // expires.
    socket_->notify_on_disconnect(core_.loop(), [this] {
        ++core_.metrics().named("links_disconnected");
        connect();
    });
    send_hello();
}

void agent_link::send_hello()
{
    hello_sent_at_ = core_.now();
    wire::envelope greeting;
    *greeting.mutable_hello() = handlers_.hello();
    socket_->send({}, std::move(greeting));
}

bool agent_link::send(wire::envelope message)
{
    last_sent_ = core_.now();
    last_used_ = last_sent_;
    return socket_->send({}, std::move(message));
}

void agent_link::on_message(const wire::envelope& message)
{
    last_seen_ = core_.now();
    if (message.has_heartbeat()) {
        if (message.heartbeat().incarnation() != agent_incarnation_ && welcomed_) {
            connect();
        }
        return;
    }
    if (!message.has_welcome()) {
        handlers_.on_message(message);
        return;
    }
    if (last_seen_ - hello_sent_at_ > options_.max_handshake_time) {
        // The agent estimates this entry's clock offset from the time in `hello`.  A delayed
        // message would distort the estimate, so another one is sent.
        send_hello();
        return;
    }
    const bool same_incarnation = agent_incarnation_ == message.welcome().incarnation();
    agent_incarnation_ = message.welcome().incarnation();
    welcomed_ = true;
    handlers_.on_welcome(same_incarnation);
}

void agent_link::on_tick(bool awaiting_answer, std::uint64_t configuration_offset)
{
    retired_.clear();
    const millis now = core_.now();
    if (!welcomed_) {
        if (now - connect_started_ > options_.welcome_timeout) {
            handlers_.on_unreachable();
            connect();
        }
        return;
    }
    if (!awaiting_answer) {
        last_seen_ = now; // no message is expected, so silence is no fault
        return;
    }
    if (now - last_seen_ > options_.silence_timeout) {
        ++core_.metrics().named("links_silent");
        log_event(event_id::link_silent, "agent={} address={} silent_ms={}", instance_, address_,
                  (now - last_seen_).count());
        connect();
        return;
    }
    const millis since_last_traffic = std::min(now - last_seen_, now - last_sent_);
    if (since_last_traffic > options_.heartbeat_interval) {
        wire::envelope beat;
        beat.mutable_heartbeat()->set_configuration_offset(configuration_offset);
        send(std::move(beat));
    }
}

} // namespace cyclamen
