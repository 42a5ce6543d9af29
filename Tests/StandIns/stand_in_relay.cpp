#include "stand_in_relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace cyclamen::test {

namespace {

sockaddr_in to_socket_address(const net_address& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

} // namespace

// The two sides of one relayed connection.
struct stand_in_relay::connection {
    bufferevent* client_side = nullptr; // connection from the client
    bufferevent* target_side = nullptr; // connection to the target
    bool silent = false;

    connection() = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    void close()
    {
        for (bufferevent** side : {&client_side, &target_side}) {
            if (*side != nullptr) {
                bufferevent_free(*side);
                *side = nullptr;
            }
        }
    }

    static void on_read(bufferevent* from, void* user)
    {
        auto& self = *static_cast<connection*>(user);
        evbuffer* input = bufferevent_get_input(from);
        if (self.silent) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        bufferevent_write_buffer(from == self.client_side ? self.target_side : self.client_side,
                                 input);
    }

    static void on_event(bufferevent* /*side*/, short what, void* user)
    {
        auto& self = *static_cast<connection*>(user);
        const bool ended = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        if (ended && !self.silent) {
            self.close();
        }
    }
};

stand_in_relay::stand_in_relay(kernel& core, net_address listen, net_address target)
    : core_(core), listen_(std::move(listen)), target_(std::move(target))
{
}

stand_in_relay::~stand_in_relay()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

void stand_in_relay::start()
{
    sockaddr_in address = to_socket_address(listen_);
    listener_ = evconnlistener_new_bind(
        core_.loop(),
        [](evconnlistener*, evutil_socket_t handle, sockaddr*, int, void* user) {
            static_cast<stand_in_relay*>(user)->accept(static_cast<int>(handle));
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&address),
        sizeof(address));
    if (listener_ == nullptr) {
        throw std::runtime_error("cannot listen at " + listen_.text());
    }
    net_address control = listen_;
    ++control.port;
    control_ =
        std::make_unique<http_server>(core_.loop(), control, http_server_options{},
                                      [this](const std::shared_ptr<http_exchange>& caller) {
                                          if (caller->path() == "/silence") {
                                              for (const auto& open : connections_) {
                                                  open->silent = true;
                                              }
                                          }
                                          caller->reply(200, "application/json", describe().dump());
                                      });
}

void stand_in_relay::accept(int handle)
{
    auto fresh = std::make_unique<connection>();
    fresh->client_side = bufferevent_socket_new(core_.loop(), handle, BEV_OPT_CLOSE_ON_FREE);
    fresh->target_side = bufferevent_socket_new(core_.loop(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* side : {fresh->client_side, fresh->target_side}) {
        bufferevent_setcb(side, &connection::on_read, nullptr, &connection::on_event, fresh.get());
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    sockaddr_in address = to_socket_address(target_);
    bufferevent_socket_connect(fresh->target_side, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
    connections_.push_back(std::move(fresh));
}

nlohmann::json stand_in_relay::describe() const
{
    return {{"connections", connections_.size()}};
}

} // namespace cyclamen::test
