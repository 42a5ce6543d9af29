#include "message_socket.h"

#include "contained_errors.h"
#include "event_log.h"

#include <event2/event.h>
#include <zmq.hpp>

#include <optional>
#include <string>

namespace cyclamen {

namespace {

zmq::context_t& shared_context()
{
    static zmq::context_t context(1);
    return context;
}

constexpr int max_messages_per_wakeup = 256; // maximum read before other handlers on the loop run

// Counter of the bytes of sent messages of this kind, named like the body in wire.proto.
std::string bytes_out_counter(wire::envelope::BodyCase body)
{
    const auto* field = wire::envelope::descriptor()->FindFieldByNumber(body);
    return "peer_bytes_out_" + (field == nullptr ? std::string("other") : field->name());
}

} // namespace

struct message_socket::state {
    zmq::socket_t socket;
    handler on_message;
    counters& metrics;
    bool is_router = false;
    event* readable = nullptr;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<zmq::socket_t> monitor; // reports disconnections
    event* monitor_readable = nullptr;
    std::function<void()> on_disconnected;

    state(zmq::socket_type type, counters& counted, handler receive)
        : socket(shared_context(), type), on_message(std::move(receive)), metrics(counted),
          is_router(type == zmq::socket_type::router)
    {
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state()
    {
        *alive = false;
        if (readable != nullptr) {
            event_free(readable);
        }
        if (monitor_readable != nullptr) {
            event_free(monitor_readable);
            zmq_socket_monitor(socket.handle(), nullptr, 0);
        }
    }

    void set_options(const message_socket_options& options)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, options.high_water_mark);
        socket.set(zmq::sockopt::rcvhwm, options.high_water_mark);
        socket.set(zmq::sockopt::maxmsgsize, options.max_message_bytes);
        if (options.retransmit_timeout_ms > 0) {
            socket.set(zmq::sockopt::tcp_maxrt, options.retransmit_timeout_ms);
        }
        socket.set(zmq::sockopt::reconnect_ivl, 50);
        socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
    }

    void add_to_loop(event_base* loop)
    {
        readable = event_new(loop, socket.get(zmq::sockopt::fd), EV_READ | EV_PERSIST,
                             &state::on_readable, this);
        event_add(readable, nullptr);
        event_active(readable, EV_READ, 0);
    }

    // ZeroMQ's file descriptor is edge-triggered, so all pending messages have to be read.
    static void on_readable(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        auto* self = static_cast<state*>(user);
        const std::shared_ptr<bool> alive = self->alive;
        for (int count = 0; count < max_messages_per_wakeup; ++count) {
            if (!self->receive_one() || !*alive) {
                return;
            }
        }
        event_active(self->readable, EV_READ, 0);
    }

    // A monitor event arrives as two message parts.  Only disconnections are monitored, so the
    // parts need no parsing.
    static void on_monitor_readable(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        auto* self = static_cast<state*>(user);
        bool disconnected = false;
        zmq::message_t part;
        while (self->monitor->recv(part, zmq::recv_flags::dontwait)) {
            disconnected = true;
        }
        if (disconnected && self->on_disconnected) {
            const std::function<void()> notify = self->on_disconnected;
            contain_errors("disconnection", notify);
        }
    }

    bool receive_one()
    {
        std::string route;
        zmq::message_t part;
        if (!socket.recv(part, zmq::recv_flags::dontwait)) {
            return false;
        }
        if (is_router) {
            route = part.to_string();
            if (!part.more() || !socket.recv(part, zmq::recv_flags::dontwait)) {
                return true;
            }
        }
        while (part.more()) { // the fleet sends no such messages: skip to the last part
            if (!socket.recv(part, zmq::recv_flags::dontwait)) {
                return true;
            }
        }
        metrics.named("peer_bytes_in") += part.size();
        ++metrics.named("peer_messages_in");
        wire::envelope message;
        if (!message.ParseFromArray(part.data(), static_cast<int>(part.size()))) {
            ++metrics.named("peer_messages_malformed");
            log_event(event_id::malformed_message, "bytes={}", part.size());
            return true;
        }
        if (message.version() != wire_version) {
            ++metrics.named("peer_messages_of_unknown_version");
            log_event(event_id::unknown_version, "version={} expected={}", message.version(),
                      wire_version);
            return true;
        }
        contain_errors("peer_message", [&] { on_message(route, message); });
        return true;
    }
};

message_socket::message_socket(std::unique_ptr<state> socket_state)
    : state_(std::move(socket_state))
{
}

message_socket::~message_socket() = default;

std::unique_ptr<message_socket> message_socket::bind(event_base* loop, counters& metrics,
                                                     const std::string& endpoint,
                                                     handler on_message,
                                                     message_socket_options options)
{
    auto socket_state =
        std::make_unique<state>(zmq::socket_type::router, metrics, std::move(on_message));
    socket_state->set_options(options);
    socket_state->socket.set(zmq::sockopt::router_mandatory, true);
    socket_state->socket.set(zmq::sockopt::router_handover, true);
    socket_state->socket.bind(endpoint);
    socket_state->add_to_loop(loop);
    return std::unique_ptr<message_socket>(new message_socket(std::move(socket_state)));
}

std::unique_ptr<message_socket> message_socket::connect(event_base* loop, counters& metrics,
                                                        const std::string& endpoint,
                                                        const std::string& route,
                                                        handler on_message,
                                                        message_socket_options options)
{
    auto socket_state =
        std::make_unique<state>(zmq::socket_type::dealer, metrics, std::move(on_message));
    socket_state->set_options(options);
    socket_state->socket.set(zmq::sockopt::routing_id, route);
    socket_state->socket.connect(endpoint);
    socket_state->add_to_loop(loop);
    return std::unique_ptr<message_socket>(new message_socket(std::move(socket_state)));
}

void message_socket::notify_on_disconnect(event_base* loop, std::function<void()> on_disconnected)
{
    static std::uint64_t next_monitor = 1;
    const std::string endpoint = "inproc://monitor-" + std::to_string(next_monitor++);
    state& self = *state_;
    self.on_disconnected = std::move(on_disconnected);
    zmq_socket_monitor(self.socket.handle(), endpoint.c_str(), ZMQ_EVENT_DISCONNECTED);
    self.monitor.emplace(shared_context(), zmq::socket_type::pair);
    self.monitor->set(zmq::sockopt::linger, 0);
    self.monitor->connect(endpoint);
    self.monitor_readable =
        event_new(loop, self.monitor->get(zmq::sockopt::fd), EV_READ | EV_PERSIST,
                  &state::on_monitor_readable, state_.get());
    event_add(self.monitor_readable, nullptr);
    event_active(self.monitor_readable, EV_READ, 0);
}

bool message_socket::send(const std::string& route, wire::envelope message)
{
    message.set_version(wire_version);
    const std::string bytes = message.SerializeAsString();
    bool sent = false;
    try {
        if (state_->is_router) {
            zmq::message_t route_part(route);
            if (state_->socket.send(route_part,
                                    zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
                zmq::message_t body(bytes);
                sent = state_->socket.send(body, zmq::send_flags::dontwait).has_value();
            }
        }
        else {
            zmq::message_t body(bytes);
            sent = state_->socket.send(body, zmq::send_flags::dontwait).has_value();
        }
    }
    catch (const zmq::error_t&) {
        sent = false; // the route no longer exists
    }
    if (sent) {
        state_->metrics.named("peer_bytes_out") += bytes.size();
        state_->metrics.named(bytes_out_counter(message.body_case())) += bytes.size();
        ++state_->metrics.named("peer_messages_out");
    }
    else {
        ++state_->metrics.named("peer_messages_not_sent");
    }
    // Sending may have consumed the descriptor's edge, so pending input is checked.
    event_active(state_->readable, EV_READ, 0);
    return sent;
}

} // namespace cyclamen
