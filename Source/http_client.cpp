#include "http_client.h"

#include "event_time.h"

#include <event2/event.h>

namespace cyclamen {

namespace {

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

struct http_call::state {
    client_connection connection;
    handlers receivers;
    millis silence;
    event* silence_timer = nullptr;

    state(event_base* loop, const http_client_request& request, handlers hooks)
        : connection(loop, request.server, {.connect_timeout = request.timeout}),
          receivers(std::move(hooks)), silence(request.timeout),
          silence_timer(event_new(loop, -1, 0, &state::fell_silent, this))
    {
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { event_free(silence_timer); }

    void rearm() const
    {
        const timeval delay = to_timeval(silence);
        event_add(silence_timer, &delay);
    }

    static void fell_silent(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        auto* self = static_cast<state*>(user);
        self->connection.abandon();
        self->finish(http_end::lost);
    }

    void finish(http_end end)
    {
        event_del(silence_timer);
        const handlers told = std::move(receivers);
        receivers = {};
        if (told.on_end) {
            told.on_end(end);
        }
    }
};

http_call::http_call(event_base* loop, const http_client_request& request, handlers receivers)
    : state_(std::make_shared<state>(loop, request, std::move(receivers)))
{
    state_->rearm();
    state* self = state_.get();
    self->connection.call(head_of(request), request.body,
                          {.on_head =
                               [self](const http_head& head) {
                                   self->rearm();
                                   if (self->receivers.on_head) {
                                       self->receivers.on_head(
                                           head.status,
                                           std::string(head.header_or("Content-Type", "")));
                                   }
                                   return true;
                               },
                           .on_body =
                               [self](std::string_view data) {
                                   self->rearm();
                                   if (self->receivers.on_data) {
                                       self->receivers.on_data(data);
                                   }
                               },
                           .on_end =
                               [hold = std::weak_ptr<state>(state_)](http_end end) {
                                   if (const std::shared_ptr<state> kept = hold.lock()) {
                                       kept->finish(end);
                                   }
                               }});
}

http_call::~http_call()
{
    state_->receivers = {};
}

namespace {

// Keeps a fetch call alive until it ends.
struct fetch_state {
    http_answer answer;
    std::unique_ptr<http_call> call;
};

} // namespace

void fetch(event_base* loop, const http_client_request& request,
           std::function<void(const http_answer&)> on_answer)
{
    auto kept = std::make_shared<fetch_state>();
    http_call::handlers receivers{
        .on_head =
            [kept](int status, const std::string& content_type) {
                kept->answer.status = status;
                kept->answer.content_type = content_type;
            },
        .on_data = [kept](std::string_view data) { kept->answer.body.append(data); },
        .on_end =
            [kept, on_answer = std::move(on_answer)](http_end end) {
                kept->answer.end = end;
                const std::unique_ptr<http_call> ended = std::move(kept->call);
                on_answer(kept->answer);
            }};
    kept->call = std::make_unique<http_call>(loop, request, std::move(receivers));
}

} // namespace cyclamen
