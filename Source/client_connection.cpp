#include "client_connection.h"

#include "contained_errors.h"
#include "event_time.h"
#include "http_reader.h"
#include "reset_on_close.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

namespace cyclamen {

namespace {

constexpr int keepalive_probes = 2;
// Limits of what one call skips before its own response, or discards of it: a server in trouble may
// send interim responses, responses to other requests, or a body without end.
constexpr std::size_t max_skipped_bytes = 1048576;
constexpr unsigned max_skipped_responses = 8; // not counting interim responses
// Heads of responses up to this size are read in any case.
constexpr std::size_t least_head_bytes = 4096;
constexpr std::size_t max_head_bytes = 65536;
// Bytes that are read at once when the end of a response may be in the socket.
constexpr int read_size = 65536;
// Longest time from the head of a discarded response to its end. Waiting longer costs more than the
// new connection that it could save.
constexpr millis max_discard_time = 100ms;

void set_option(evutil_socket_t socket, int level, int option, int value)
{
    // A failure is ignored: on systems without the option the call's deadline still applies.
    static_cast<void>(setsockopt(socket, level, option, &value, sizeof value));
}

std::optional<millis> parse_keep_alive_timeout(const http_head& head)
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
    return error == std::errc() ? std::optional<millis>(std::chrono::seconds(seconds))
                                : std::nullopt;
}

} // namespace

struct client_connection::state : std::enable_shared_from_this<client_connection::state> {
    event_base* loop;
    client_connection_options options;
    bufferevent* channel = nullptr;
    http_reader reader;
    handlers receivers;
    std::string unsent_head; // of the request, until the connection is established
    std::shared_ptr<const std::string> unsent_body;
    std::optional<memory_budget::share> memory;
    bool connected = false;
    bool refused = false;
    bool closed = false;
    bool call_open = false;         // a call is in progress
    bool response_started = false;  // response bytes have arrived for the current call
    bool head_received = false;     // so has the head of its own response
    bool skipping_response = false; // discards an interim response or one that `on_head` rejected
    bool discarding = false;        // drops the body of the current call's response
    bool cut = false;               // the call is to end without the rest of its response
    event* discard_timer = nullptr; // exists while a response is discarded
    std::size_t skipped_bytes = 0;  // by the current call
    unsigned skipped_responses = 0; // by the current call, without interim responses
    bool keep_alive = true;
    bool close_after_call = false;
    bool no_body = false; // the current call is a HEAD request
    bool paused = false;
    bool ignore_pause = false; // while `read_arrived` runs
    unsigned calls = 0;        // number of calls made on this connection
    std::optional<millis> keep_alive_timeout;
    std::function<void()> on_idle_closed;

    state(event_base* base, client_connection_options given)
        : loop(base), options(given),
          reader(http_message_type::response,
                 {.on_head = [this](http_head& head) { on_head_received(head); },
                  .on_body = [this](std::string_view data) { on_body_received(data); }},
                 {.head_bytes = max_head_bytes, .body_bytes = given.max_body_bytes})
    {
        if (given.memory != nullptr) {
            memory.emplace(*given.memory);
        }
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { close(); }

    void connect(const net_address& server)
    {
        channel = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(channel, &state::readable, nullptr, &state::connection_event, this);
        // Otherwise the time limit counts from the start of the loop's iteration.
        event_base_update_cache_time(loop);
        const timeval limit = to_timeval(options.connect_timeout);
        bufferevent_set_timeouts(channel, nullptr, &limit);
        sockaddr_storage address{};
        int length = sizeof address;
        if (evutil_parse_sockaddr_port(server.text().c_str(), reinterpret_cast<sockaddr*>(&address),
                                       &length) != 0 ||
            bufferevent_socket_connect(channel, reinterpret_cast<sockaddr*>(&address), length) !=
                0) {
            closed = true;
            return;
        }
        set_socket_options(bufferevent_getfd(channel));
    }

    void set_socket_options(evutil_socket_t socket) const
    {
        const int user_timeout_ms = static_cast<int>(options.tcp_user_timeout.count());
        const int probe_s = std::max(1, user_timeout_ms / 1000 / (keepalive_probes + 1));
        set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
        set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
        set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_s);
        set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_s);
        set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    }

    void discard_response()
    {
        discarding = true;
        if (discard_timer == nullptr) {
            discard_timer = event_new(loop, -1, 0, &state::on_discard_timeout, this);
            const timeval limit = to_timeval(max_discard_time);
            event_add(discard_timer, &limit);
        }
    }

    void end_discard()
    {
        discarding = false;
        if (discard_timer != nullptr) {
            event_free(std::exchange(discard_timer, nullptr));
        }
    }

    void close()
    {
        closed = true;
        end_discard();
        if (channel != nullptr) {
            bufferevent_free(channel);
            channel = nullptr;
        }
    }

    void send()
    {
        if (channel == nullptr || !connected || unsent_head.empty()) {
            return;
        }
        // A request that is given up must not be delivered later, after the end of a network cut.
        set_reset_on_close(bufferevent_getfd(channel), true);
        bufferevent_write(channel, unsent_head.data(), unsent_head.size());
        unsent_head.clear();
        if (receivers.on_sent) {
            receivers.on_sent();
        }
        const std::shared_ptr<const std::string> body = std::exchange(unsent_body, nullptr);
        if (body != nullptr && !body->empty()) {
            using holder = std::shared_ptr<const std::string>;
            evbuffer_add_reference(
                bufferevent_get_output(channel), body->data(), body->size(),
                [](const void* /*data*/, std::size_t /*length*/, void* user) {
                    const std::unique_ptr<holder> released(static_cast<holder*>(user));
                },
                new holder(body));
        }
    }

    // Returns whether the head of the response may take up more memory.
    bool head_fits()
    {
        if (!memory) {
            return true;
        }
        memory->set(reader.head_size());
        return reader.head_size() <=
               options.memory->allowance(least_head_bytes, max_head_bytes * 2);
    }

    void on_head_received(const http_head& head)
    {
        constexpr int first_final_status = 200;
        if (head.status < first_final_status) {
            skipping_response = true;
            return;
        }
        const std::optional<millis> seconds = parse_keep_alive_timeout(head);
        keep_alive_timeout = seconds ? seconds : keep_alive_timeout;
        // While http_parser reads the headers, it does not know that a response to HEAD has no
        // body, and reports that a response without a length ends with the connection.
        keep_alive = head.keep_alive || no_body;
        if (head.header_or("Connection", "") == "close") {
            keep_alive = false;
        }
        skipping_response = receivers.on_head && !receivers.on_head(head);
        head_received = !skipping_response;
        skipped_responses += skipping_response ? 1 : 0;
    }

    bool skipped_too_much() const
    {
        return skipped_bytes > max_skipped_bytes || skipped_responses > max_skipped_responses;
    }

    void on_body_received(std::string_view data)
    {
        if (!skipping_response && !discarding && !cut && receivers.on_body) {
            receivers.on_body(data);
        }
    }

    void read()
    {
        const std::shared_ptr<state> hold = shared_from_this();
        while (channel != nullptr && (!paused || ignore_pause)) {
            evbuffer* input = bufferevent_get_input(channel);
            const std::size_t length = evbuffer_get_contiguous_space(input);
            if (length == 0) {
                return;
            }
            if (!call_open) { // unsolicited bytes: no call is in progress
                on_closed_while_idle();
                return;
            }
            response_started = true;
            const auto* data = reinterpret_cast<const char*>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
            const bool was_skipping = skipping_response;
            const std::size_t used = reader.feed({data, length});
            if (channel == nullptr) {
                return;
            }
            evbuffer_drain(input, used);
            if (was_skipping || skipping_response || discarding) {
                skipped_bytes += used;
            }
            if (reader.parse_error() != http_parse_error::none || skipped_too_much() || cut ||
                (!head_received && !head_fits())) {
                finish(http_call_result::lost);
                return;
            }
            if (reader.complete() && skipping_response) {
                skipping_response = false;
                reader.next(no_body);
                continue;
            }
            if (reader.complete()) {
                completed();
                return;
            }
        }
    }

    // Whether the server has closed the connection or sent bytes that the event loop has not yet
    // handled.
    bool input_waiting() const
    {
        char byte = 0;
        return evbuffer_get_length(bufferevent_get_input(channel)) > 0 ||
               recv(bufferevent_getfd(channel), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
               (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool in_progress(unsigned call) const
    {
        return call_open && calls == call && channel != nullptr;
    }

    // Parses what has been read and what is in the socket at this moment, also while reading is
    // paused.
    void read_socket()
    {
        const unsigned call = calls;
        int waiting = 0;
        static_cast<void>(ioctl(bufferevent_getfd(channel), FIONREAD, &waiting));
        ignore_pause = true;
        read();
        while (in_progress(call) && waiting > 0) {
            evbuffer* input = bufferevent_get_input(channel);
            evbuffer_unfreeze(input, 0); // a bufferevent lets only itself add input
            const int count =
                evbuffer_read(input, bufferevent_getfd(channel), std::min(waiting, read_size));
            evbuffer_freeze(input, 0);
            if (count <= 0) {
                break;
            }
            waiting -= count;
            read();
            // The consumer may be slow: what it has not sent must not use the memory up.
            if (in_progress(call) && paused && options.memory != nullptr &&
                options.memory->used() >= options.memory->limit()) {
                break;
            }
        }
        ignore_pause = false;
    }

    void read_arrived()
    {
        const std::shared_ptr<state> hold = shared_from_this();
        const unsigned call = calls;
        if (!in_progress(call) || !connected) {
            return;
        }
        read_socket();
        char byte = 0;
        if (in_progress(call) &&
            recv(bufferevent_getfd(channel), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0) {
            on_disconnected(BEV_EVENT_EOF | BEV_EVENT_READING);
        }
    }

    void completed()
    {
        const bool unread_or_unsent =
            channel != nullptr && (evbuffer_get_length(bufferevent_get_input(channel)) > 0 ||
                                   evbuffer_get_length(bufferevent_get_output(channel)) > 0);
        if (channel != nullptr && !unread_or_unsent) {
            set_reset_on_close(bufferevent_getfd(channel), false);
        }
        if (!keep_alive || close_after_call ||
            unread_or_unsent) { // also closes if the response came before the whole
                                // request was sent
            close();
        }
        else if (paused) { // the response has arrived whole, only its consumer is slow
            paused = false;
            bufferevent_enable(channel, EV_READ);
        }
        finish(http_call_result::complete);
    }

    void finish(http_call_result end)
    {
        if (end != http_call_result::complete) {
            close();
        }
        end_discard();
        if (!call_open) {
            return;
        }
        call_open = false;
        const handlers callbacks = std::move(receivers);
        receivers = {};
        if (callbacks.on_end) {
            callbacks.on_end(end);
        }
    }

    void on_closed_while_idle()
    {
        close();
        const std::function<void()> callbacks = on_idle_closed;
        if (callbacks) {
            callbacks();
        }
    }

    // Whether the connection broke, although a read may see an orderly end: the error of a reset
    // is reported once, and a write that fails takes it.  libevent stops writing then, and may
    // report both ends together.
    bool was_reset(short what) const
    {
        return (what & BEV_EVENT_ERROR) != 0 || (bufferevent_get_enabled(channel) & EV_WRITE) == 0;
    }

    void on_disconnected(short what)
    {
        const int error = EVUTIL_SOCKET_ERROR();
        const std::shared_ptr<state> hold = shared_from_this();
        if (!call_open) {
            on_closed_while_idle();
            return;
        }
        if (!connected) {
            refused = (what & BEV_EVENT_ERROR) != 0 && error == ECONNREFUSED;
            finish(http_call_result::not_sent);
            return;
        }
        // A write can fail before the response that arrived ahead of the reset has been read.
        const unsigned call = calls;
        read_socket();
        if (!in_progress(call)) {
            return;
        }
        if ((what & BEV_EVENT_EOF) != 0 && !was_reset(what) && response_started &&
            !skipping_response) {
            reader.feed_end();
            const bool until_close =
                reader.complete() && reader.parse_error() == http_parse_error::none;
            close();
            finish(until_close ? http_call_result::closed : http_call_result::lost);
            return;
        }
        finish(http_call_result::lost);
    }

    static void on_discard_timeout(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        const std::shared_ptr<state> hold = static_cast<state*>(user)->shared_from_this();
        hold->guard([&] { hold->finish(http_call_result::lost); });
    }

    // Runs a callback of the event loop. A call whose handler fails ends as `lost`.
    template <typename Action>
    void guard(const Action& action)
    {
        const std::shared_ptr<state> hold = shared_from_this();
        if (!contain_errors("response", action)) {
            contain_errors("response", [this] { finish(http_call_result::lost); });
        }
    }

    static void readable(bufferevent* /*channel*/, void* user)
    {
        auto* self = static_cast<state*>(user);
        self->guard([&] { self->read(); });
    }

    // libevent discards the completion of a connect that has also timed out. Then waits for the
    // completion to be reported again, without a time limit.
    bool resume_connect() const
    {
        pollfd status{.fd = bufferevent_getfd(channel), .events = POLLOUT, .revents = 0};
        if (::poll(&status, 1, 0) <= 0) {
            return false;
        }
        bufferevent_enable(channel, EV_WRITE);
        bufferevent_set_timeouts(channel, nullptr, nullptr);
        return true;
    }

    static void connection_event(bufferevent* /*channel*/, short what, void* user)
    {
        auto* self = static_cast<state*>(user);
        if ((what & BEV_EVENT_TIMEOUT) != 0 && !self->connected && self->resume_connect()) {
            return;
        }
        if ((what & BEV_EVENT_CONNECTED) == 0) {
            self->guard([&] { self->on_disconnected(what); });
            return;
        }
        self->connected = true;
        bufferevent_set_timeouts(self->channel, nullptr, nullptr);
        bufferevent_enable(self->channel, EV_READ | EV_WRITE);
        self->guard([&] { self->send(); });
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
    state_->on_idle_closed = nullptr;
    state_->call_open = false;
    state_->close();
}

void client_connection::call(const http_head& head, const std::string& body, handlers receivers)
{
    call(head, std::make_shared<const std::string>(body), std::move(receivers));
}

void client_connection::call(const http_head& head, std::shared_ptr<const std::string> body,
                             handlers receivers)
{
    state& self = *state_;
    self.on_idle_closed = on_idle_closed;
    self.receivers = std::move(receivers);
    self.call_open = true;
    ++self.calls;
    self.response_started = false;
    self.head_received = false;
    self.skipping_response = false;
    self.cut = false;
    self.skipped_bytes = 0;
    self.skipped_responses = 0;
    self.no_body = head.method == "HEAD";
    self.reader.next(self.no_body);
    if (self.closed) {
        // Reports the failure from the event loop and not within this call, during which the
        // calling code still uses its own state.
        event_base_once(
            self.loop, -1, EV_TIMEOUT,
            [](evutil_socket_t /*socket*/, short /*what*/, void* user) {
                const std::unique_ptr<std::shared_ptr<state>> held(
                    static_cast<std::shared_ptr<state>*>(user));
                (*held)->guard([&] { (*held)->finish(http_call_result::not_sent); });
            },
            new std::shared_ptr<state>(state_), nullptr);
        return;
    }
    self.unsent_head = request_text(head);
    self.unsent_body = std::move(body);
    self.send();
}

void client_connection::abandon()
{
    state_->receivers = {};
    state_->call_open = false;
    state_->close();
}

void client_connection::discard_response()
{
    state_->discard_response();
}

void client_connection::cut_response()
{
    state_->cut = true;
}

void client_connection::close_after_call()
{
    state_->close_after_call = true;
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

void client_connection::read_arrived()
{
    const std::shared_ptr<state> held = state_; // a handler may destroy this connection
    held->read_arrived();
}

bool client_connection::reusable() const
{
    return !state_->closed && !state_->call_open && state_->connected && !state_->input_waiting();
}

bool client_connection::refused() const
{
    return state_->refused;
}

std::optional<millis> client_connection::keep_alive_timeout() const
{
    return state_->keep_alive_timeout;
}

bool client_connection::response_started() const
{
    return state_->response_started;
}

bool client_connection::at_first_response() const
{
    return state_->calls == 1 && state_->skipped_responses == 0;
}

} // namespace cyclamen
