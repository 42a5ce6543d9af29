#include "caller_connection.h"

#include "contained_errors.h"
#include "event_log.h"
#include "reset_on_close.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace cyclamen {

namespace {

// Read-ahead limit; further pipelined requests stay in the socket's receive buffer.
constexpr std::size_t read_ahead_bytes = 8192;
// How long to wait for the caller to close its side of the connection. Closing a socket with unread
// bytes resets the connection, and the caller could lose the response.
constexpr millis linger_time = 1000ms;
// Closes the connection if sent data stays unacknowledged for this long (TCP_USER_TIMEOUT).
constexpr int tcp_user_timeout_ms = 5000;
// Heads and bodies of requests up to these sizes are read in any case.
constexpr std::size_t least_head_bytes = 4096;
constexpr std::size_t least_body_bytes = 8192;
// Mean Retry-After of requests for which there is no memory.
constexpr millis memory_retry_after = 500ms;
constexpr int unavailable = 503;
constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int head_fields_too_large = 431;

const std::map<int, std::string_view>& reason_phrases()
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

caller_connection::caller_connection(kernel& core, int socket, hooks callbacks)
    : core_(core), hooks_(std::move(callbacks)),
      reader_(http_message_type::request,
              {.on_head = [this](http_head& head) { on_head_received(head); },
               .on_body = [this](std::string_view data) { append_body(data); }}),
      memory_(core.memory())
{
    const int on = 1;
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on));
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
                                 sizeof tcp_user_timeout_ms));
    channel_ = bufferevent_socket_new(core.loop(), socket,
                                      BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(channel_, &caller_connection::readable, &caller_connection::writable,
                      &caller_connection::event, this);
    bufferevent_setwatermark(channel_, EV_READ, 0, read_ahead_bytes);
    bufferevent_enable(channel_, EV_READ | EV_WRITE);
    progress_at_ = core_.now();
    start_timer(hooks_.limits().idle_timeout);
}

caller_connection::~caller_connection()
{
    if (channel_ != nullptr) {
        bufferevent_free(channel_);
    }
}

void caller_connection::readable(bufferevent* /*channel*/, void* user)
{
    auto* self = static_cast<caller_connection*>(user);
    contain_errors("caller", [self] { self->read(); });
}

void caller_connection::writable(bufferevent* /*channel*/, void* user)
{
    auto* self = static_cast<caller_connection*>(user);
    // A deferred callback can run after more data has been written.
    if (self->unsent_bytes() > 0) {
        return;
    }
    self->output_pending_ = false;
    self->count_memory();
    if (self->state_ == stage::lingering) {
        self->end_output();
        return;
    }
    if (self->state_ == stage::reading && !self->reader_.message_started()) {
        self->start_timer(self->idle_timeout());
    }
    if (self->on_drained) {
        contain_errors("caller", self->on_drained);
    }
}

void caller_connection::event(bufferevent* /*channel*/, short /*what*/, void* user)
{
    auto* self = static_cast<caller_connection*>(user);
    contain_errors("caller", [self] { self->on_caller_disconnected(); });
}

void caller_connection::read()
{
    evbuffer* input = bufferevent_get_input(channel_);
    if (state_ == stage::lingering) {
        discard_input();
        return;
    }
    while (state_ == stage::reading) {
        const std::size_t length = evbuffer_get_contiguous_space(input);
        if (length == 0) {
            return;
        }
        const bool is_new_request = !reader_.message_started();
        if (is_new_request) {
            const caller_limits limits = hooks_.limits();
            reader_.set_limits({.head_bytes = limits.head_bytes, .body_bytes = limits.body_bytes});
        }
        const std::size_t used = reader_.feed(
            {reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))),
             length});
        evbuffer_drain(input, used);
        progress_at_ = core_.now();
        if (reader_.parse_error() != http_parse_error::none) {
            fail(reader_.parse_error());
            return;
        }
        count_memory();
        if (body_memory_short_ || !fits_memory()) {
            refuse_unread({.status = unavailable,
                           .reason = "out_of_memory",
                           .retry_after = core_.jittered(memory_retry_after)});
            return;
        }
        if (reader_.complete()) {
            timer_ = {};
            state_ = stage::awaiting_response;
            hooks_.on_request(*this);
            return;
        }
        if (is_new_request && reader_.message_started()) {
            started_at_ = core_.now();
            start_timer(head_received_ ? hooks_.limits().idle_timeout
                                       : hooks_.limits().head_timeout);
        }
        else if (head_received_) {
            start_timer(hooks_.limits().idle_timeout);
        }
    }
}

void caller_connection::discard_input()
{
    evbuffer* input = bufferevent_get_input(channel_);
    const std::size_t length = evbuffer_get_length(input);
    discarded_bytes_ += length;
    evbuffer_drain(input, length);
}

void caller_connection::on_head_received(const http_head& head)
{
    request_ = head;
    head_received_ = true;
    if (started_at_ == 0ms) {
        started_at_ = core_.now();
    }
    keep_alive_ = keep_alive_ && head.keep_alive;
    const bool body_follows = head.chunked || (head.length && *head.length > 0);
    if (body_follows && header_names_equal(head.header_or("Expect", ""), "100-continue")) {
        constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        send(continue_response);
    }
}

void caller_connection::count_memory()
{
    const std::size_t heads = head_received_ ? 2 : 1; // the parser keeps its own
    const std::size_t unread =
        channel_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_input(channel_));
    memory_.set(heads * reader_.head_size() + body_.capacity() + unread + unsent_bytes());
}

void caller_connection::append_body(std::string_view data)
{
    const std::size_t needed = body_.size() + data.size();
    if (body_memory_short_ || (needed > body_.capacity() && !reserve_body(needed))) {
        body_memory_short_ = true;
        return;
    }
    body_.append(data);
}

// Asks the budget before memory is taken.  A body of announced length gets all of it at once, so
// that the bodies which are begun can also end; others grow by half.
bool caller_connection::reserve_body(std::size_t needed)
{
    const std::size_t limit = hooks_.limits().body_bytes;
    const std::size_t held = body_.capacity();
    std::size_t capacity = request_.length ? static_cast<std::size_t>(*request_.length)
                                           : std::max(needed, std::min(limit, held + held / 2));
    if (capacity > least_body_bytes && !has_room(capacity - held)) {
        if (needed > least_body_bytes) {
            return false;
        }
        capacity = least_body_bytes;
    }
    body_.reserve(capacity);
    count_memory();
    return true;
}

bool caller_connection::has_room(std::size_t bytes) const
{
    const memory_budget& memory = core_.memory();
    if (memory.used() + bytes > memory.limit() && hooks_.make_room) {
        hooks_.make_room(bytes);
    }
    return memory.used() + bytes <= memory.limit();
}

client_candidate caller_connection::candidate() const
{
    client_candidate result{.progress_at = progress_at_, .held_bytes = body_.capacity()};
    if (state_ != stage::reading || channel_ == nullptr) {
        return result;
    }
    if (reader_.message_started()) {
        result.activity = client_activity::reading;
    }
    else if (!output_pending_) {
        result.activity = client_activity::idle;
    }
    if (result.activity != client_activity::busy && unread_bytes() > 0) {
        result.activity = client_activity::busy;
    }
    return result;
}

void caller_connection::give_up(const relay_refusal& refusal)
{
    if (state_ != stage::reading) {
        return;
    }
    if (reader_.message_started()) {
        refuse_unread(refusal);
        return;
    }
    close();
}

bool caller_connection::fits_memory() const
{
    return core_.memory().used() <= core_.memory().limit() ||
           (reader_.head_size() <= least_head_bytes && body_.size() <= least_body_bytes);
}

void caller_connection::fail(http_parse_error parse_error)
{
    relay_refusal refusal{.status = bad_request, .reason = "malformed_request"};
    if (parse_error == http_parse_error::head_too_large) {
        refusal = {.status = head_fields_too_large, .reason = "head_too_large"};
    }
    else if (parse_error == http_parse_error::body_too_large) {
        refusal = {.status = content_too_large, .reason = "body_too_large"};
    }
    else if (parse_error == http_parse_error::not_handled) {
        refusal = {.status = unavailable, .reason = "internal_error"};
    }
    refuse_unread(refusal);
}

// Refuses a request that has not been read completely.
void caller_connection::refuse_unread(const relay_refusal& refusal)
{
    keep_alive_ = false;
    state_ = stage::awaiting_response;
    body_ = std::string(); // `{}` would keep its memory
    count_memory();
    hooks_.on_refused(*this, refusal);
    refuse(refusal);
}

void caller_connection::begin_response(http_head head)
{
    state_ = stage::responding;
    is_head_request_ = request_.method == "HEAD";
    const bool bodiless = is_head_request_ || head.status == 204 || head.status == 304;
    const bool sized = bodiless || head.length.has_value();
    chunked_ = !sized && head.chunked && request_.minor_version > 0;
    close_delimited_ = !sized && !chunked_;
    head.chunked = chunked_;
    if (close_delimited_) {
        keep_alive_ = false;
        // Until all of the response has been passed to the socket, no end of this process may look
        // like the end of the response.
        set_reset_on_close(bufferevent_getfd(channel_), true);
    }
    close_announced_ = !keep_alive_;
    if (close_announced_) {
        head.add("Connection", "close");
    }
    else if (request_.minor_version == 0) {
        head.add("Connection", "keep-alive");
    }
    send(response_text(head));
}

void caller_connection::send(std::string_view text)
{
    output_pending_ = true;
    bufferevent_write(channel_, text.data(), text.size());
    count_memory();
}

void caller_connection::write(std::string_view data)
{
    if (state_ != stage::responding || data.empty() || is_head_request_) {
        return;
    }
    if (chunked_) {
        send(fmt::format("{:x}\r\n", data.size()));
    }
    send(data);
    if (chunked_) {
        send("\r\n");
    }
}

void caller_connection::end_response()
{
    if (state_ != stage::responding) {
        return;
    }
    if (chunked_ && !is_head_request_) {
        constexpr std::string_view last = "0\r\n\r\n";
        send(last);
    }
    on_disconnected = nullptr;
    on_drained = nullptr;
    // A caller that was not told about the close may already have sent its next request.
    if (close_announced_) {
        linger();
        return;
    }
    next_request();
}

void caller_connection::next_request()
{
    state_ = stage::reading;
    request_ = {};
    body_ = std::string(); // `{}` would keep its memory
    body_memory_short_ = false;
    progress_at_ = core_.now();
    head_received_ = false;
    started_at_ = 0ms;
    reader_.next();
    start_timer(idle_timeout());
    if (evbuffer_get_length(bufferevent_get_input(channel_)) > 0) {
        bufferevent_trigger(channel_, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

void caller_connection::refuse(const relay_refusal& refusal)
{
    if (state_ != stage::awaiting_response) {
        return;
    }
    http_head head;
    head.status = refusal.status;
    const auto found = reason_phrases().find(refusal.status);
    head.reason = found == reason_phrases().end() ? "Refused" : std::string(found->second);
    head.add("Content-Type", "application/problem+json");
    if (refusal.retry_after) {
        head.add("Retry-After", fmt::format("{:.3f}", double(refusal.retry_after->count()) / 1000));
    }
    const std::string body =
        fmt::format(R"({{"status":{},"reason":"{}"}})", refusal.status, refusal.reason);
    head.length = body.size();
    begin_response(head);
    write(body);
    end_response();
}

void caller_connection::abort_response()
{
    on_disconnected = nullptr;
    on_drained = nullptr;
    if (channel_ == nullptr || state_ == stage::closed) {
        return;
    }
    if (close_delimited_) { // an orderly close would make the response look complete
        close();
        return;
    }
    linger();
}

std::size_t caller_connection::unsent_bytes() const
{
    return channel_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(channel_));
}

void caller_connection::close_when_idle(millis idle_time)
{
    idle_limit_ = idle_time;
    if (state_ == stage::reading && !reader_.message_started()) {
        start_timer(idle_timeout());
    }
}

// The limit set by `close_when_idle` counts from the end of the response's transmission: until then
// the caller cannot send its next request.
millis caller_connection::idle_timeout() const
{
    const millis configured = hooks_.limits().idle_timeout;
    return output_pending_ ? configured : std::min(configured, idle_limit_.value_or(configured));
}

// Bytes that have arrived and that the parser has not consumed.
std::size_t caller_connection::unread_bytes() const
{
    int in_socket = 0;
    static_cast<void>(ioctl(bufferevent_getfd(channel_), FIONREAD, &in_socket));
    return evbuffer_get_length(bufferevent_get_input(channel_)) +
           static_cast<std::size_t>(std::max(0, in_socket));
}

void caller_connection::start_timer(millis delay)
{
    late_input_.reset();
    timer_ = core_.after(delay, [this] { on_timeout(); });
}

void caller_connection::on_timeout()
{
    // After a busy period, the event loop runs an expired timer before it hands over input that
    // arrived in time. Later input does not extend the time limit.
    if (state_ == stage::reading) {
        std::size_t late_input = late_input_.value_or(unread_bytes());
        if (late_input > 0) {
            const std::size_t buffered = evbuffer_get_length(bufferevent_get_input(channel_));
            late_input -= std::min(late_input, buffered);
            late_input_ = late_input;
            timer_ = core_.after(0ms, [this] { on_timeout(); });
            read();
            return;
        }
    }
    if (state_ == stage::reading && reader_.message_started()) {
        refuse_unread({.status = request_timeout, .reason = "request_too_slow"});
        return;
    }
    close();
}

void caller_connection::linger()
{
    state_ = stage::lingering;
    if (unsent_bytes() == 0) {
        end_output();
        return;
    }
    start_timer(hooks_.limits().idle_timeout);
}

void caller_connection::end_output()
{
    set_reset_on_close(bufferevent_getfd(channel_), false);
    shutdown(bufferevent_getfd(channel_), SHUT_WR);
    start_timer(linger_time);
}

void caller_connection::close()
{
    if (state_ == stage::closed) {
        return;
    }
    state_ = stage::closed;
    timer_ = {};
    if (discarded_bytes_ > 0) {
        ++core_.metrics().named("caller_input_discarded");
        log_event(event_id::input_discarded, "bytes={} announced={}", discarded_bytes_,
                  close_announced_);
    }
    if (channel_ != nullptr) {
        // libevent frees it later, but connections accepted meanwhile need the descriptor.
        const evutil_socket_t socket = bufferevent_getfd(channel_);
        bufferevent_setfd(channel_, -1);
        evutil_closesocket(socket);
        bufferevent_free(channel_);
        channel_ = nullptr;
    }
    body_ = std::string();
    memory_.set(0);
    hooks_.on_closed(*this);
}

bool caller_connection::close_if_caller_left()
{
    if (channel_ == nullptr) {
        return true;
    }
    constexpr short left = POLLRDHUP | POLLHUP | POLLERR;
    pollfd status{.fd = bufferevent_getfd(channel_), .events = POLLRDHUP, .revents = 0};
    if (poll(&status, 1, 0) <= 0 || (status.revents & left) == 0) {
        return false;
    }
    on_caller_disconnected();
    return true;
}

void caller_connection::on_caller_disconnected()
{
    if (state_ == stage::closed) {
        return;
    }
    const std::function<void()> notify = std::move(on_disconnected);
    on_disconnected = nullptr;
    on_drained = nullptr;
    close();
    if (notify) {
        notify();
    }
}

} // namespace cyclamen
