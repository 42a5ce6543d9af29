#include "http_client.h"

#include "contained_errors.h"
#include "event_time.h"

#include <event2/event.h>

namespace cyclamen {

namespace {

// Limits of a response that is collected: a server in trouble may send bytes without end, each of
// which restarts the idle timer.
constexpr int max_fetch_timeouts = 4;
constexpr std::size_t max_fetched_bytes = 16777216;

http_head head_of(const http_client_request& request)
{
    http_head head;
    head.method = request.method;
    head.target = request.target;
    head.headers = request.headers;
    head.add("Host", request.server.text());
    head.add("Connection", "close");
    if (!request.content_type.empty()) {
        head.add("Content-Type", request.content_type);
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" ||
        request.method == "PATCH") {
        head.length = request.body.size();
    }
    return head;
}

} // namespace

struct http_call::state : std::enable_shared_from_this<http_call::state> {
    client_connection connection;
    handlers receivers;
    millis idle_timeout;
    event* idle_timer = nullptr;
    event* total_timer = nullptr;
    bool ended = false;

    state(event_base* loop, const http_client_request& request, handlers hooks)
        : connection(
              loop, request.server,
              {.connect_timeout = request.timeout, .max_body_bytes = request.max_body_bytes}),
          receivers(std::move(hooks)), idle_timeout(request.timeout),
          idle_timer(event_new(loop, -1, 0, &state::on_idle_timeout, this)),
          total_timer(event_new(loop, -1, 0, &state::on_total_timeout, this))
    {
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state()
    {
        event_free(idle_timer);
        event_free(total_timer);
    }

    void restart_timer() const { start(idle_timer, idle_timeout); }

    static void start(event* timer, millis time)
    {
        const timeval delay = to_timeval(time);
        // libevent counts a timer from the start of the loop's iteration, which may be long ago.
        event_base_update_cache_time(event_get_base(timer));
        event_add(timer, &delay);
    }

    static void on_idle_timeout(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        const std::shared_ptr<state> self = static_cast<state*>(user)->shared_from_this();
        self->connection.read_arrived();
        if (self->ended || event_pending(self->idle_timer, EV_TIMEOUT, nullptr) != 0) {
            return; // the response has ended, or more of it had arrived
        }
        self->connection.abandon();
        self->finish(http_call_result::lost);
    }

    static void on_total_timeout(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        const std::shared_ptr<state> self = static_cast<state*>(user)->shared_from_this();
        self->connection.read_arrived();
        if (self->ended) {
            return;
        }
        self->connection.abandon();
        self->finish(http_call_result::lost);
    }

    void finish(http_call_result end)
    {
        ended = true;
        event_del(idle_timer);
        event_del(total_timer);
        const handlers callbacks = std::move(receivers);
        receivers = {};
        if (callbacks.on_end) {
            contain_errors("response", [&] { callbacks.on_end(end); });
        }
    }
};

http_call::http_call(event_base* loop, const http_client_request& request, handlers receivers)
    : state_(std::make_shared<state>(loop, request, std::move(receivers)))
{
    state_->restart_timer();
    if (request.max_time > 0ms) {
        state::start(state_->total_timer, request.max_time);
    }
    state* self = state_.get();
    self->connection.call(head_of(request), request.body,
                          {.on_head =
                               [self](const http_head& head) {
                                   self->restart_timer();
                                   if (self->receivers.on_head) {
                                       self->receivers.on_head(
                                           head.status,
                                           std::string(head.header_or("Content-Type", "")));
                                   }
                                   return true;
                               },
                           .on_body =
                               [self](std::string_view data) {
                                   self->restart_timer();
                                   if (self->receivers.on_data) {
                                       self->receivers.on_data(data);
                                   }
                               },
                           .on_end =
                               [weak_state = std::weak_ptr<state>(state_)](http_call_result end) {
                                   if (const std::shared_ptr<state> pending = weak_state.lock()) {
                                       pending->finish(end);
                                   }
                               }});
}

http_call::~http_call()
{
    state_->receivers = {};
}

void http_fetcher::fetch(http_client_request request,
                         std::function<void(const http_response&)> on_response)
{
    request.max_time = max_fetch_timeouts * request.timeout;
    request.max_body_bytes = max_fetched_bytes;
    const std::uint64_t number = next_call_++;
    pending_call& pending = calls_[number];
    http_call::handlers receivers{
        .on_head =
            [&pending](int status, const std::string& content_type) {
                pending.response.status = status;
                pending.response.content_type = content_type;
            },
        .on_data = [&pending](std::string_view data) { pending.response.body.append(data); },
        .on_end =
            [this, number, on_response = std::move(on_response)](http_call_result end) {
                auto ended = calls_.extract(number);
                ended.mapped().response.end = end;
                on_response(ended.mapped().response);
            }};
    pending.call = std::make_unique<http_call>(loop_, request, std::move(receivers));
}

} // namespace cyclamen
