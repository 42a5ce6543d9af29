#include "caller_server.h"

#include "chat_request.h"
#include "configuration_feed.h"
#include "event_stream_splitter.h"
#include "hashing.h"
#include "idempotency_key.h"
#include "problem_document.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cyclamen {

namespace {

constexpr const char* served_by_header = "X-Served-By";
constexpr const char* replayed_header = "Idempotency-Replayed";
constexpr std::string_view service_prefix = "/services/";
constexpr int http_ok = 200;
constexpr int http_unavailable = 503;
// A caller that uses its open connection within this time gets its response, which announces the
// close, before the process exits.
constexpr millis quiet_time_before_exit = 200ms;
// Bounds the wait for quiet connections, for a caller that sends a request byte by byte.
constexpr millis max_quiet_wait = 5000ms;
constexpr millis accept_retry_interval = 1ms;
// Bodies of requests and of collected responses up to these sizes are held in any case.
constexpr std::size_t least_request_bytes = 16384;
constexpr std::size_t least_response_bytes = 65536;

// Decides how a call of a plain service may be retried; `repeatable` is the service's setting,
// `keyed` is true if the caller sent an idempotency key.
wire::request_class classify_request(const std::string& method, bool repeatable, bool keyed)
{
    const bool idempotent_method = method != "POST" && method != "PATCH";
    if (idempotent_method || repeatable) {
        return wire::idempotent;
    }
    return keyed ? wire::keyed : wire::unkeyed;
}

// Hash of what is requested.  It identifies a request whose crashes are counted or that is
// quarantined, and detects an idempotency key that is reused for another request.
std::uint64_t fingerprint_of(const wire::dispatch& message)
{
    std::uint64_t hash = hash_of(message.account());
    for (const std::string* part :
         {&message.service(), &message.method(), &message.path(), &message.body()}) {
        hash = combine_hashes(hash, hash_of(*part));
    }
    return hash;
}

} // namespace

// An open HTTP request and the state of its response.
struct caller_server::request_context {
    exchange caller;
    bool stream = false;
    bool response_started = false; // true once part of the response was sent to the caller
    bool too_large = false;
    int status = 0;
    std::string content_type;
    std::string body;             // response body, buffered unless it is streamed
    event_stream_tail sent_tail;  // of the bytes sent, if the response is streamed
    std::size_t unsent_bytes = 0; // streamed bytes since the connection was last drained
    std::vector<http_header> headers;
    std::uint64_t handle = 0;    // of the dispatcher
    memory_budget::share memory; // of the bodies; http_server counts what is not sent
    std::shared_ptr<std::set<request_context*>> registry;

    request_context(exchange from, memory_budget& budget,
                    std::shared_ptr<std::set<request_context*>> contexts)
        : caller(std::move(from)), memory(budget), registry(std::move(contexts))
    {
        registry->insert(this);
        count_memory();
    }
    request_context(const request_context&) = delete;
    request_context& operator=(const request_context&) = delete;
    ~request_context() { registry->erase(this); }

    void count_memory() { memory.set(caller->body().size() + body.size()); }

    response_stage stage() const
    {
        if (!response_started) {
            return response_stage::not_begun;
        }
        const bool between_events = is_event_stream(content_type) && !sent_tail.inside_event();
        return between_events ? response_stage::between_events : response_stage::begun;
    }
};

caller_server::caller_server(kernel& core, caller_server_options options)
    : core_(core), options_(std::move(options))
{
}

caller_server::~caller_server() = default;

void caller_server::start()
{
    configuration_ = &core_.find<configuration_feed>("configuration");
    dispatcher_ = &core_.find<entry_dispatcher>("dispatcher");
    server_ = std::make_unique<http_server>(core_.loop(), options_.listen, options_.http,
                                            [this](const exchange& caller) { on_request(caller); });
}

void caller_server::begin_stop()
{
    stopping_ = true;
    server_->begin_stop();
    quiet_wait_ends_at_ = core_.now() + options_.stop_grace + max_quiet_wait;
    listener_timer_ = core_.after(options_.stop_grace, [this] { close_listener(); });
    const millis request_time = options_.stop_grace + options_.request_grace;
    request_timer_ = core_.after(request_time, [this] { end_open_requests(); });
    exit_at_ = core_.now() + request_time + max_quiet_wait;
}

void caller_server::close_listener()
{
    if (!server_->try_close_listener()) {
        listener_timer_ = core_.after(accept_retry_interval, [this] { close_listener(); });
    }
}

void caller_server::end_open_requests()
{
    request_grace_ended_ = true;
    problem_document problem = problem_document::of(outcome::unknown, wire::stopping);
    problem.detail = "the entry stopped before the request ended";
    const std::set<request_context*> open = *open_requests_;
    for (request_context* context : open) {
        if (!open_requests_->contains(context)) {
            continue; // ended when another request was abandoned
        }
        const exchange caller = context->caller;
        const response_stage stage = context->stage();
        dispatcher_->abandon(context->handle); // destroys the context
        end_with_problem(caller, stage, problem);
    }
}

void caller_server::end_with_problem(const exchange& caller, response_stage stage,
                                     const problem_document& problem) const
{
    if (stage == response_stage::not_begun) {
        send_problem(caller, problem);
        return;
    }
    if (stage == response_stage::between_events) {
        caller->write("data: {\"error\":" + problem.text() + "}\n\n");
    }
    // Omits the final chunk, so that the caller sees an incomplete response.
    caller->abort();
}

bool caller_server::idle() const
{
    if (request_grace_ended_ && core_.now() >= exit_at_) {
        return true;
    }
    if (server_->listening() || !open_requests_->empty() || server_->open_requests() > 0) {
        return false;
    }
    return server_->quiet_time() >= quiet_time_before_exit || core_.now() >= quiet_wait_ends_at_;
}

void caller_server::send_problem(const exchange& caller, const problem_document& problem) const
{
    std::vector<http_header> headers;
    if (problem.retry_after_seconds > 0) {
        headers.push_back({"Retry-After", std::to_string(problem.retry_after_seconds)});
    }
    caller->reply(problem.status, problem_content_type, problem.text(), headers);
}

std::string caller_server::account_of(const exchange& caller) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = caller->header("Authorization");
    if (!header.starts_with(scheme)) {
        return {};
    }
    return configuration_->state().account_of(sha256_hex(header.substr(scheme.size())));
}

void caller_server::on_request(const exchange& caller)
{
    if (caller->path() == "/healthz") {
        caller->reply(http_ok, "text/plain", "ok\n");
        return;
    }
    if (caller->path() == "/readyz") {
        const bool ready = !stopping_ && configuration_->caught_up() &&
                           !configuration_->state().services().empty();
        caller->reply(ready ? http_ok : http_unavailable, "text/plain",
                      ready ? "ready\n" : "not ready\n");
        return;
    }
    // Until then, the keys and services that are known may have been withdrawn.
    if (!configuration_->caught_up()) {
        send_problem(caller, problem_document::of(outcome::not_run, wire::configuration_behind));
        return;
    }
    const std::string account = account_of(caller);
    if (account.empty()) {
        send_problem(caller, problem_document::refused(
                                 401, "No client account", "missing_account",
                                 "send `Authorization: Bearer KEY` with the key of an account"));
        return;
    }
    if (caller->path() == "/v1/models") {
        list_models(caller);
    }
    else if (caller->path() == "/v1/chat/completions") {
        on_chat_completion(caller, account);
    }
    else if (caller->path().starts_with(service_prefix)) {
        on_service_call(caller, account);
    }
    else {
        send_problem(caller, problem_document::refused(404, "No such resource", "unknown_path",
                                                       "there is nothing at this path"));
    }
}

std::optional<millis> caller_server::parse_deadline(const exchange& caller) const
{
    const std::string header = caller->header("X-Deadline-Ms");
    if (header.empty()) {
        return options_.default_deadline;
    }
    std::int64_t value = 0;
    const char* end = header.data() + header.size();
    const auto [stop, error] = std::from_chars(header.data(), end, value);
    if (error != std::errc() || stop != end || value <= 0 ||
        value > options_.max_deadline.count()) {
        return std::nullopt;
    }
    return millis(value);
}

void caller_server::list_models(const exchange& caller)
{
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, settings] : configuration_->state().services()) {
        if (settings.model) {
            models.push_back({{"id", name}, {"object", "model"}});
        }
    }
    const nlohmann::json list{{"object", "list"}, {"data", models}};
    caller->reply(http_ok, "application/json", list.dump());
}

void caller_server::on_chat_completion(const exchange& caller, const std::string& account)
{
    if (caller->method() != "POST") {
        send_problem(
            caller, problem_document::refused(405, "Method not allowed", "bad_method", "use POST"));
        return;
    }
    std::string parse_error;
    const auto model = chat_request::parse(caller->body(), account, parse_error);
    if (!model) {
        send_problem(caller, problem_document::refused(400, "Malformed request", "malformed_body",
                                                       parse_error));
        return;
    }
    const service_settings* settings = configuration_->state().service(model->model);
    if (settings == nullptr || !settings->model) {
        send_problem(caller,
                     problem_document::refused(404, "Unknown model", "unknown_model",
                                               "see /v1/models for the models that are served"));
        return;
    }
    entry_request request;
    request.placement = model->placement;
    request.message.set_account(account);
    request.message.set_service(model->model);
    request.message.set_repeat(wire::idempotent);
    request.message.set_method("POST");
    request.message.set_path("/v1/chat/completions");
    request.message.set_content_type("application/json");
    request.message.set_body(caller->body());
    for (const std::uint64_t part : model->parts) {
        request.message.add_prompt_parts(part);
    }
    submit(caller, std::move(request), model->stream);
}

void caller_server::on_service_call(const exchange& caller, const std::string& account)
{
    const std::string rest = caller->path().substr(service_prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const service_settings* settings = configuration_->state().service(name);
    if (settings == nullptr || settings->model) {
        send_problem(caller, problem_document::refused(404, "Unknown service", "unknown_service",
                                                       "no plain service has this name"));
        return;
    }
    const std::string header = caller->header("Idempotency-Key");
    const auto key = idempotency_key::from_header(account, header);
    if (!header.empty() && !key) {
        send_problem(caller,
                     problem_document::refused(400, "Malformed idempotency key", "malformed_key",
                                               "send 1 to 255 printable characters, no spaces"));
        return;
    }
    const std::string content_type = caller->header("Content-Type");
    // Messages carry UTF-8 only.
    if (!is_printable(rest) || !is_printable(caller->query()) || !is_printable(content_type)) {
        send_problem(caller,
                     problem_document::refused(400, "Malformed request", "malformed_head",
                                               "encode bytes other than printable ASCII "
                                               "characters in the path, and omit them in headers"));
        return;
    }
    entry_request request;
    wire::dispatch& message = request.message;
    message.set_account(account);
    message.set_service(name);
    message.set_repeat(classify_request(caller->method(), settings->repeatable, key.has_value()));
    if (key && message.repeat() == wire::keyed) {
        message.set_idempotency_key(key->stored());
    }
    message.set_method(caller->method());
    std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!caller->query().empty()) {
        path += "?" + caller->query();
    }
    message.set_path(path);
    message.set_content_type(content_type);
    message.set_body(caller->body());
    // Requests with the same key rank the agents alike; others are spread at random.
    const std::uint64_t placement_hash = key ? hash_of(key->stored()) : core_.random();
    request.placement = {.prefix = placement_hash, .chat = placement_hash};
    submit(caller, std::move(request), false);
}

void caller_server::submit(const exchange& caller, entry_request request, bool stream)
{
    if (request_grace_ended_) {
        send_problem(caller, problem_document::of(outcome::not_run, wire::stopping));
        return;
    }
    const auto deadline = parse_deadline(caller);
    if (!deadline) {
        send_problem(caller, problem_document::refused(
                                 400, "Bad deadline", "bad_deadline",
                                 fmt::format("X-Deadline-Ms is a whole number from 1 to {}",
                                             options_.max_deadline.count())));
        return;
    }
    request.deadline = core_.now() + *deadline;
    request.message.set_fingerprint(fingerprint_of(request.message));
    const std::size_t most_request_bytes =
        core_.memory().allowance(least_request_bytes, core_.memory().limit());
    if (caller->body().size() > most_request_bytes) {
        ++core_.metrics().named("requests_refused_for_memory");
        send_problem(caller, problem_document::of(outcome::not_run, wire::over_capacity));
        return;
    }
    auto context = std::make_shared<request_context>(caller, core_.memory(), open_requests_);
    context->stream = stream;
    const std::uint64_t handle = dispatcher_->submit(std::move(request), make_sink(context));
    context->handle = handle;
    caller->on_closed = [this, handle] { dispatcher_->abandon(handle); };
    caller->on_drained = [this, handle, weak_context = std::weak_ptr<request_context>(context)] {
        if (const auto open_context = weak_context.lock()) {
            open_context->unsent_bytes = 0;
            open_context->count_memory();
            dispatcher_->on_backlog_drained(handle);
        }
    };
}

answer_sink caller_server::make_sink(const std::shared_ptr<request_context>& context) const
{
    const std::size_t max_bytes = options_.max_response_bytes;
    return {.on_head =
                [context](unsigned status, const std::string& content_type, bool replayed,
                          const std::string& served_by) {
                    context->status = static_cast<int>(status);
                    context->content_type = content_type;
                    context->body.clear();
                    context->too_large = false;
                    context->headers = {{served_by_header, served_by}};
                    if (replayed) {
                        context->headers.push_back({replayed_header, "true"});
                    }
                },
            .on_data =
                [this, context, max_bytes](std::string_view data) {
                    if (!context->stream) {
                        const std::size_t allowed = core_.memory().allowance(
                            std::min(least_response_bytes, max_bytes), max_bytes);
                        context->too_large =
                            context->too_large || context->body.size() + data.size() > allowed;
                        if (!context->too_large) {
                            context->body.append(data);
                        }
                        context->count_memory();
                        return;
                    }
                    if (!context->response_started) {
                        context->response_started = true;
                        context->caller->begin_stream(context->status, context->content_type,
                                                      context->headers);
                    }
                    context->unsent_bytes += data.size();
                    context->sent_tail.append(data);
                    context->count_memory();
                    context->caller->write(data);
                },
            .on_end =
                [this, context](const entry_result& end) {
                    const exchange caller = context->caller;
                    if (end.result == outcome::answered && context->response_started) {
                        caller->end_stream();
                    }
                    else if (end.result == outcome::answered && !context->too_large) {
                        caller->reply(context->status, context->content_type, context->body,
                                      context->headers);
                    }
                    else {
                        // A response that is too large shows that the request has run.
                        const outcome result =
                            end.result == outcome::answered ? outcome::unknown : end.result;
                        end_with_problem(caller, context->stage(),
                                         problem_document::of(result, end.reason));
                    }
                },
            .committed = [context] { return context->response_started; },
            .backlog = [context] { return context->unsent_bytes; }};
}

nlohmann::json caller_server::describe() const
{
    return {{"open", open_requests_->size()},
            {"stopping", stopping_},
            {"listen", options_.listen.text()}};
}

} // namespace cyclamen
