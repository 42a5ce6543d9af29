#include "client_connection.h"

#include "event_time.h"
#include "http_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace cyclamen {

namespace {

constexpr int keepalive_probes = 2;

void set_option(evutil_socket_t socket, int level, int option, int value)
{
    // A failure is ignored: on systems without the option the call's deadline still applies.
    static_cast<void>(setsockopt(socket, level, option, &value, sizeof value));
}

std::optional<millis> kept_seconds(const http_head& head)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view value = head.header_or("Keep-Alive", "");
    const std::size_t at = value.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value.substr(at + name.size());
    int seconds = 0;
    const auto [stop, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return error == std::errc() ? std::optional<millis>(seconds * 1000) : std::nullopt;
}

} // namespace

struct client_connection::state : std::enable_shared_from_this<client_connection::state> {
    event_base* loop;
    client_connection_options options;
    bufferevent* channel = nullptr;
    http_reader reader;
    handlers receivers;
    std::string waiting; // serialized request, until the connection is established
    bool up = false;
    bool ended = false;
    bool open = false;  // a call is in progress
    bool begun = false; // response bytes have arrived for the current call
    bool skipping = false;
    bool keep = true;
    bool no_body = false;
    bool paused = false;
    std::optional<millis> kept;
    std::function<void()> on_idle_end;

    state(event_base* base, client_connection_options given)
        : loop(base), options(given),
          reader(http_side::answer, {.on_head = [this](http_head& head) { head_read(head); },
                                     .on_body = [this](std::string_view data) { body_read(data); }})
    {
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { close(); }

    void connect(const net_address& server)
    {
        channel = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(channel, &state::readable, nullptr, &state::event, this);
        const timeval limit = to_timeval(options.connect_timeout);
        bufferevent_set_timeouts(channel, nullptr, &limit);
        sockaddr_storage address{};
        int length = sizeof address;
        if (evutil_parse_sockaddr_port(server.text().c_str(), reinterpret_cast<sockaddr*>(&address),
                                       &length) != 0 ||
            bufferevent_socket_connect(channel, reinterpret_cast<sockaddr*>(&address), length) !=
                0) {
            ended = true;
            return;
        }
        set_socket_options(bufferevent_getfd(channel));
    }

    void set_socket_options(evutil_socket_t socket) const
    {
        const int dead = static_cast<int>(options.dead_after.count());
        const int probe_s = std::max(1, dead / 1000 / (keepalive_probes + 1));
        set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
        set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, dead);
        set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_s);
        set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_s);
        set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    }

    void close()
    {
        ended = true;
        if (channel != nullptr) {
            bufferevent_free(channel);
            channel = nullptr;
        }
    }

    void send()
    {
        if (channel != nullptr && up && !waiting.empty()) {
            bufferevent_write(channel, waiting.data(), waiting.size());
            waiting.clear();
        }
    }

    void head_read(const http_head& head)
    {
        constexpr int first_final_status = 200;
        if (head.status < first_final_status) {
            skipping = true;
            return;
        }
        const std::optional<millis> seconds = kept_seconds(head);
        kept = seconds ? seconds : kept;
        keep = head.keep_alive || no_body;
        if (head.header_or("Connection", "") == "close") {
            keep = false;
        }
        skipping = receivers.on_head && !receivers.on_head(head);
    }

    void body_read(std::string_view data)
    {
        if (!skipping && receivers.on_body) {
            receivers.on_body(data);
        }
    }

    void read()
    {
        const std::shared_ptr<state> hold = shared_from_this();
        while (channel != nullptr && !paused) {
            evbuffer* input = bufferevent_get_input(channel);
            const std::size_t length = evbuffer_get_contiguous_space(input);
            if (length == 0) {
                return;
            }
            if (!open) { // unsolicited bytes: no call is in progress
                idle_ended();
                return;
            }
            begun = true;
            const auto* data = reinterpret_cast<const char*>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
            const std::size_t used = reader.feed({data, length});
            if (channel == nullptr) {
                return;
            }
            evbuffer_drain(input, used);
            if (reader.fault() != http_fault::none) {
                finish(http_end::lost);
                return;
            }
            if (reader.complete() && skipping) {
                skipping = false;
                reader.next(no_body);
                continue;
            }
            if (reader.complete()) {
                completed();
                return;
            }
        }
    }

    void completed()
    {
        const bool extra =
            channel != nullptr && (evbuffer_get_length(bufferevent_get_input(channel)) > 0 ||
                                   evbuffer_get_length(bufferevent_get_output(channel)) > 0);
        if (!keep || extra) { // also closes if the response came before the whole request was sent
            close();
        }
        finish(http_end::complete);
    }

    void finish(http_end end)
    {
        if (end != http_end::complete) {
            close();
        }
        if (!open) {
            return;
        }
        open = false;
        const handlers told = std::move(receivers);
        receivers = {};
        if (told.on_end) {
            told.on_end(end);
        }
    }

    void idle_ended()
    {
        close();
        const std::function<void()> told = on_idle_end;
        if (told) {
            told();
        }
    }

    void connection_ended(short what)
    {
        const std::shared_ptr<state> hold = shared_from_this();
        if (!open) {
            idle_ended();
            return;
        }
        if (!up) {
            finish(http_end::not_sent);
            return;
        }
        if ((what & BEV_EVENT_EOF) != 0 && begun && !skipping) {
            paused = false;
            read(); // consume bytes that arrived before the end of the stream
            if (!open) {
                return;
            }
            reader.feed_end();
            const bool whole = reader.complete() && reader.fault() == http_fault::none;
            close();
            finish(whole ? http_end::complete : http_end::lost);
            return;
        }
        finish(http_end::lost);
    }

    static void readable(bufferevent* /*channel*/, void* user)
    {
        static_cast<state*>(user)->read();
    }

    static void event(bufferevent* /*channel*/, short what, void* user)
    {
        auto* self = static_cast<state*>(user);
        if ((what & BEV_EVENT_CONNECTED) == 0) {
            self->connection_ended(what);
            return;
        }
        self->up = true;
        bufferevent_set_timeouts(self->channel, nullptr, nullptr);
        bufferevent_enable(self->channel, EV_READ | EV_WRITE);
        self->send();
    }
};

client_connection::client_connection(event_base* loop, const net_address& server,
                                     client_connection_options options)
    : state_(std::make_shared<state>(loop, options))
{
    state_->connect(server);
}

client_connection::~client_connection()
{
    state_->receivers = {};
    state_->on_idle_end = nullptr;
    state_->open = false;
    state_->close();
}

void client_connection::call(const http_head& head, const std::string& body, handlers receivers)
{
    state& self = *state_;
    self.on_idle_end = on_idle_end;
    self.receivers = std::move(receivers);
    self.open = true;
    self.begun = false;
    self.skipping = false;
    self.no_body = head.method == "HEAD";
    self.reader.next(self.no_body);
    if (self.ended) {
        // Reports the failure from the event loop and not within this call, during which the
        // calling code still uses its own state.
        event_base_once(
            self.loop, -1, EV_TIMEOUT,
            [](evutil_socket_t /*socket*/, short /*what*/, void* user) {
                const std::unique_ptr<std::shared_ptr<state>> held(
                    static_cast<std::shared_ptr<state>*>(user));
                (*held)->finish(http_end::not_sent);
            },
            new std::shared_ptr<state>(state_), nullptr);
        return;
    }
    self.waiting = request_text(head) + body;
    self.send();
}

void client_connection::abandon()
{
    state_->receivers = {};
    state_->open = false;
    state_->close();
}

void client_connection::pause_reading(bool paused)
{
    state& self = *state_;
    self.paused = paused;
    if (self.channel == nullptr) {
        return;
    }
    if (paused) {
        bufferevent_disable(self.channel, EV_READ);
        return;
    }
    bufferevent_enable(self.channel, EV_READ);
    bufferevent_trigger(self.channel, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

bool client_connection::reusable() const
{
    return !state_->ended && !state_->open && state_->up;
}

std::optional<millis> client_connection::kept_for() const
{
    return state_->kept;
}

bool client_connection::answer_begun() const
{
    return state_->begun;
}

} // namespace cyclamen
