#include "agent_link.h"

#include "event_log.h"

namespace cyclamen {

agent_link::agent_link(kernel& core, std::string instance, std::string address,
                       agent_link_options options, handlers receivers)
    : core_(core), instance_(std::move(instance)), address_(std::move(address)), options_(options),
      handlers_(std::move(receivers))
{
    connect();
}

void agent_link::connect()
{
    ++connections_;
    welcomed_ = false;
    connected_ = core_.now();
    heard_ = connected_;
    used_ = connected_;
    if (socket_) {
        retired_.push_back(std::move(socket_));
    }
    const std::string route =
        fmt::format("{}/{:016x}/{:x}", core_.instance(), core_.incarnation(), core_.random());
    socket_ =
        message_socket::connect(core_.loop(), core_.metrics(), "tcp://" + address_, route,
                                [this](const std::string& /*route*/,
                                       const wire::envelope& message) { on_message(message); });
    // The connections of a terminated process close long before the silence timeout expires.
    socket_->watch_connection(core_.loop(), [this] {
        ++core_.metrics().named("links_disconnected");
        connect();
    });
    greet();
}

void agent_link::greet()
{
    greeted_ = core_.now();
    wire::envelope greeting;
    *greeting.mutable_hello() = handlers_.hello();
    socket_->send({}, std::move(greeting));
}

bool agent_link::send(wire::envelope message)
{
    sent_ = core_.now();
    used_ = sent_;
    return socket_->send({}, std::move(message));
}

void agent_link::on_message(const wire::envelope& message)
{
    heard_ = core_.now();
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
    if (heard_ - greeted_ > options_.fresh_greeting) {
        // The agent estimates the clock offset from the time in `hello`, which a delayed
        // message would distort.
        greet();
        return;
    }
    const bool same = agent_incarnation_ == message.welcome().incarnation();
    agent_incarnation_ = message.welcome().incarnation();
    welcomed_ = true;
    handlers_.on_welcome(same);
}

void agent_link::on_tick(bool open, std::uint64_t configuration_offset)
{
    retired_.clear();
    const millis now = core_.now();
    if (!welcomed_) {
        if (now - connected_ > options_.welcome_timeout) {
            handlers_.on_unreachable();
            connect();
        }
        return;
    }
    if (!open) {
        heard_ = now; // no message is expected, so silence is no fault
        return;
    }
    if (now - heard_ > options_.silence) {
        ++core_.metrics().named("links_silent");
        log_event(event_id::link_silent, "agent={} address={} silent_ms={}", instance_, address_,
                  (now - heard_).count());
        connect();
        return;
    }
    const millis quiet = std::min(now - heard_, now - sent_);
    if (quiet > options_.heartbeat_interval) {
        wire::envelope beat;
        beat.mutable_heartbeat()->set_configuration_offset(configuration_offset);
        send(std::move(beat));
    }
}

} // namespace cyclamen
