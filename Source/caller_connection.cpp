#include "caller_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace cyclamen {

namespace {

// Read-ahead limit; further pipelined requests stay in the socket's receive buffer.
constexpr std::size_t read_ahead_bytes = 65536;
// How long to wait for the caller to close its end. Closing a socket with unread bytes resets the
// connection, and the caller could lose the response.
constexpr millis linger_time = 1000ms;
// The caller counts as gone if data stays unacknowledged for this long (TCP_USER_TIMEOUT).
constexpr int caller_dead_after_ms = 5000;
constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int head_fields_too_large = 431;

const std::map<int, std::string_view>& reasons()
{
    static const std::map<int, std::string_view> table{
        {400, "Bad Request"},           {401, "Unauthorized"},      {404, "Not Found"},
        {408, "Request Timeout"},       {413, "Content Too Large"}, {429, "Too Many Requests"},
        {431, "Head Fields Too Large"}, {502, "Bad Gateway"},       {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    return table;
}

} // namespace

caller_connection::caller_connection(kernel& core, int socket, hooks collaborators)
    : core_(core), hooks_(std::move(collaborators)),
      reader_(http_side::request,
              {.on_head = [this](http_head& head) { head_read(head); },
               .on_body = [this](std::string_view data) { body_.append(data); }})
{
    const int on = 1;
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on));
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &caller_dead_after_ms,
                                 sizeof caller_dead_after_ms));
    channel_ = bufferevent_socket_new(core.loop(), socket,
                                      BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(channel_, &caller_connection::readable, &caller_connection::writable,
                      &caller_connection::event, this);
    bufferevent_setwatermark(channel_, EV_READ, 0, read_ahead_bytes);
    bufferevent_enable(channel_, EV_READ | EV_WRITE);
    arm(hooks_.limits().idle_time);
}

caller_connection::~caller_connection()
{
    if (channel_ != nullptr) {
        bufferevent_free(channel_);
    }
}

void caller_connection::readable(bufferevent* /*channel*/, void* user)
{
    static_cast<caller_connection*>(user)->read();
}

void caller_connection::writable(bufferevent* /*channel*/, void* user)
{
    auto* self = static_cast<caller_connection*>(user);
    if (self->unsent() > 0) { // deferred callback of an earlier write
        return;
    }
    if (self->state_ == stage::lingering) {
        shutdown(bufferevent_getfd(self->channel_), SHUT_WR);
        return;
    }
    if (self->on_drained) {
        self->on_drained();
    }
}

void caller_connection::event(bufferevent* /*channel*/, short /*what*/, void* user)
{
    static_cast<caller_connection*>(user)->caller_left();
}

void caller_connection::read()
{
    evbuffer* input = bufferevent_get_input(channel_);
    if (state_ == stage::lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (state_ == stage::reading) {
        const std::size_t length = evbuffer_get_contiguous_space(input);
        if (length == 0) {
            return;
        }
        const bool fresh = !reader_.begun();
        if (fresh) {
            const caller_limits limits = hooks_.limits();
            reader_.set_limits({.head_bytes = limits.head_bytes, .body_bytes = limits.body_bytes});
        }
        const std::size_t used = reader_.feed(
            {reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))),
             length});
        evbuffer_drain(input, used);
        if (reader_.fault() != http_fault::none) {
            fail(reader_.fault());
            return;
        }
        if (reader_.complete()) {
            timer_ = {};
            state_ = stage::waiting;
            hooks_.on_request(*this);
            return;
        }
        if (fresh && reader_.begun()) {
            began_at_ = core_.now();
            arm(head_seen_ ? hooks_.limits().idle_time : hooks_.limits().head_time);
        }
        else if (head_seen_) {
            arm(hooks_.limits().idle_time);
        }
    }
}

void caller_connection::head_read(const http_head& head)
{
    request_ = head;
    head_seen_ = true;
    if (began_at_ == 0ms) {
        began_at_ = core_.now();
    }
    keep_ = keep_ && head.keep_alive;
    const bool body_follows = head.chunked || (head.length && *head.length > 0);
    if (body_follows && same_name(head.header_or("Expect", ""), "100-continue")) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(channel_, go_on.data(), go_on.size());
    }
}

void caller_connection::fail(http_fault fault)
{
    keep_ = false;
    state_ = stage::waiting;
    relay_refusal why{.status = bad_request, .reason = "malformed_request"};
    if (fault == http_fault::head_too_large) {
        why = {.status = head_fields_too_large, .reason = "head_too_large"};
    }
    else if (fault == http_fault::body_too_large) {
        why = {.status = content_too_large, .reason = "body_too_large"};
    }
    hooks_.on_refused(*this, why);
    refuse(why);
}

void caller_connection::begin_answer(http_head head)
{
    state_ = stage::answering;
    no_body_ = request_.method == "HEAD";
    const bool bodiless = no_body_ || head.status == 204 || head.status == 304;
    const bool sized = bodiless || head.length.has_value();
    chunked_ = !sized && request_.minor_version > 0;
    to_end_ = !sized && !chunked_;
    head.chunked = chunked_;
    if (to_end_) {
        keep_ = false;
    }
    if (!keep_) {
        head.add("Connection", "close");
    }
    else if (request_.minor_version == 0) {
        head.add("Connection", "keep-alive");
    }
    const std::string text = answer_text(head);
    bufferevent_write(channel_, text.data(), text.size());
}

void caller_connection::write(std::string_view data)
{
    if (state_ != stage::answering || data.empty() || no_body_) {
        return;
    }
    evbuffer* output = bufferevent_get_output(channel_);
    if (chunked_) {
        evbuffer_add_printf(output, "%zx\r\n", data.size());
    }
    evbuffer_add(output, data.data(), data.size());
    if (chunked_) {
        evbuffer_add(output, "\r\n", 2);
    }
}

void caller_connection::end_answer()
{
    if (state_ != stage::answering) {
        return;
    }
    if (chunked_ && !no_body_) {
        constexpr std::string_view last = "0\r\n\r\n";
        bufferevent_write(channel_, last.data(), last.size());
    }
    on_left = nullptr;
    on_drained = nullptr;
    if (!keep_) {
        linger();
        return;
    }
    next_request();
}

void caller_connection::next_request()
{
    state_ = stage::reading;
    request_ = {};
    body_.clear();
    head_seen_ = false;
    began_at_ = 0ms;
    reader_.next();
    arm(hooks_.limits().idle_time);
    if (evbuffer_get_length(bufferevent_get_input(channel_)) > 0) {
        bufferevent_trigger(channel_, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

void caller_connection::refuse(const relay_refusal& why)
{
    if (state_ != stage::waiting) {
        return;
    }
    http_head head;
    head.status = why.status;
    const auto found = reasons().find(why.status);
    head.reason = found == reasons().end() ? "Refused" : std::string(found->second);
    head.add("Content-Type", "application/problem+json");
    if (why.retry_after) {
        head.add("Retry-After", fmt::format("{:.3f}", double(why.retry_after->count()) / 1000));
    }
    const std::string body =
        fmt::format(R"({{"status":{},"reason":"{}"}})", why.status, why.reason);
    head.length = body.size();
    begin_answer(head);
    write(body);
    end_answer();
}

void caller_connection::abort_answer()
{
    on_left = nullptr;
    on_drained = nullptr;
    if (channel_ == nullptr || state_ == stage::closed) {
        return;
    }
    if (to_end_) { // an orderly close would make the response look complete
        const struct linger reset {
            .l_onoff = 1, .l_linger = 0
        };
        static_cast<void>(
            setsockopt(bufferevent_getfd(channel_), SOL_SOCKET, SO_LINGER, &reset, sizeof reset));
        close();
        return;
    }
    linger();
}

std::size_t caller_connection::unsent() const
{
    return channel_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(channel_));
}

void caller_connection::close_if_idle()
{
    if (state_ == stage::reading && !reader_.begun()) {
        close();
    }
}

void caller_connection::arm(millis delay)
{
    timer_ = core_.after(delay, [this] { timed_out(); });
}

void caller_connection::timed_out()
{
    // The event loop may have been busy: a request that has already arrived is not timed out.
    if (state_ == stage::reading && !reader_.begun() &&
        evbuffer_get_length(bufferevent_get_input(channel_)) > 0) {
        read();
        return;
    }
    if (state_ == stage::reading && reader_.begun()) {
        keep_ = false;
        state_ = stage::waiting;
        const relay_refusal why{.status = request_timeout, .reason = "request_too_slow"};
        hooks_.on_refused(*this, why);
        refuse(why);
        return;
    }
    close();
}

void caller_connection::linger()
{
    state_ = stage::lingering;
    arm(linger_time);
    if (unsent() == 0) {
        shutdown(bufferevent_getfd(channel_), SHUT_WR);
    }
}

void caller_connection::close()
{
    if (state_ == stage::closed) {
        return;
    }
    state_ = stage::closed;
    timer_ = {};
    if (channel_ != nullptr) {
        bufferevent_free(channel_);
        channel_ = nullptr;
    }
    hooks_.on_closed(*this);
}

void caller_connection::caller_left()
{
    if (state_ == stage::closed) {
        return;
    }
    const std::function<void()> left = std::move(on_left);
    on_left = nullptr;
    on_drained = nullptr;
    close();
    if (left) {
        left();
    }
}

} // namespace cyclamen
