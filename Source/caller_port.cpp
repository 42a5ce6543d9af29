#include "caller_port.h"

#include "configuration_feed.h"
#include "hashing.h"
#include "idempotency_key.h"
#include "model_request.h"
#include "problem_document.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace cyclamen {

namespace {

constexpr const char* served_by_header = "X-Served-By";
constexpr const char* replayed_header = "Idempotency-Replayed";
constexpr std::string_view service_prefix = "/services/";
constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

wire::request_class class_of(const std::string& method, bool repeatable, bool keyed)
{
    const bool idempotent_method = method != "POST" && method != "PATCH";
    if (idempotent_method || repeatable) {
        return wire::idempotent;
    }
    return keyed ? wire::keyed : wire::unkeyed;
}

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
struct caller_port::conversation {
    exchange caller;
    bool stream = false;
    bool begun = false; // true once part of the response was sent to the caller
    bool too_large = false;
    int status = 0;
    std::string content_type;
    std::string body; // response body, buffered unless it is streamed
    std::size_t unsent = 0;
    std::vector<http_header> headers;
    std::shared_ptr<std::size_t> open;

    explicit conversation(std::shared_ptr<std::size_t> counter) : open(std::move(counter))
    {
        ++*open;
    }
    conversation(const conversation&) = delete;
    conversation& operator=(const conversation&) = delete;
    ~conversation() { --*open; }
};

caller_port::caller_port(kernel& core, caller_port_options options)
    : core_(core), options_(std::move(options))
{
}

caller_port::~caller_port() = default;

void caller_port::start()
{
    configuration_ = &core_.find<configuration_feed>("configuration");
    dispatcher_ = &core_.find<entry_dispatcher>("dispatcher");
    server_ = std::make_unique<http_server>(core_.loop(), options_.listen, options_.http,
                                            [this](const exchange& caller) { on_request(caller); });
}

void caller_port::begin_stop()
{
    stopping_ = true;
    stop_at_ = core_.now() + options_.stop_grace;
}

bool caller_port::idle() const
{
    return core_.now() >= stop_at_ && *open_ == 0 && server_->open_requests() == 0;
}

void caller_port::send_problem(const exchange& caller, const problem_document& problem) const
{
    std::vector<http_header> headers;
    if (problem.retry_after_seconds > 0) {
        headers.push_back({"Retry-After", std::to_string(problem.retry_after_seconds)});
    }
    caller->reply(problem.status, problem_content_type, problem.text(), headers);
}

std::string caller_port::account_of(const exchange& caller) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = caller->header("Authorization");
    if (!header.starts_with(scheme)) {
        return {};
    }
    return configuration_->state().account_of(sha256_hex(header.substr(scheme.size())));
}

void caller_port::on_request(const exchange& caller)
{
    if (stopping_) {
        caller->close_after_reply();
    }
    if (caller->path() == "/healthz") {
        caller->reply(http_ok, "text/plain", "ok\n");
        return;
    }
    if (caller->path() == "/readyz") {
        const bool ready = !stopping_ && !configuration_->state().services().empty();
        caller->reply(ready ? http_ok : http_unavailable, "text/plain",
                      ready ? "ready\n" : "not ready\n");
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
        on_chat(caller, account);
    }
    else if (caller->path().starts_with(service_prefix)) {
        on_service_call(caller, account);
    }
    else {
        send_problem(caller, problem_document::refused(404, "No such resource", "unknown_path",
                                                       "there is nothing at this path"));
    }
}

std::optional<millis> caller_port::deadline_of(const exchange& caller) const
{
    const std::string header = caller->header("X-Deadline-Ms");
    if (header.empty()) {
        return options_.default_deadline;
    }
    std::int64_t value = 0;
    const char* end = header.data() + header.size();
    const auto [stop, error] = std::from_chars(header.data(), end, value);
    if (error != std::errc() || stop != end || value <= 0 ||
        value > options_.longest_deadline.count()) {
        return std::nullopt;
    }
    return millis(value);
}

void caller_port::list_models(const exchange& caller)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [name, settings] : configuration_->state().services()) {
        if (settings.model) {
            rows.push_back({{"id", name}, {"object", "model"}});
        }
    }
    const nlohmann::json list{{"object", "list"}, {"data", rows}};
    caller->reply(http_ok, "application/json", list.dump());
}

void caller_port::on_chat(const exchange& caller, const std::string& account)
{
    if (caller->method() != "POST") {
        send_problem(
            caller, problem_document::refused(405, "Method not allowed", "bad_method", "use POST"));
        return;
    }
    std::string fault;
    const auto model = chat_request::parse(caller->body(), account, fault);
    if (!model) {
        send_problem(caller,
                     problem_document::refused(400, "Malformed request", "malformed_body", fault));
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
    submit(caller, std::move(request), model->stream);
}

void caller_port::on_service_call(const exchange& caller, const std::string& account)
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
    entry_request request;
    wire::dispatch& message = request.message;
    message.set_account(account);
    message.set_service(name);
    message.set_repeat(class_of(caller->method(), settings->repeatable, key.has_value()));
    if (key && message.repeat() == wire::keyed) {
        message.set_idempotency_key(key->stored());
    }
    message.set_method(caller->method());
    std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!caller->query().empty()) {
        path += "?" + caller->query();
    }
    message.set_path(path);
    message.set_content_type(caller->header("Content-Type"));
    message.set_body(caller->body());
    const std::uint64_t place = key ? hash_of(key->stored()) : core_.random();
    request.placement = {.prefix = place, .chat = place};
    submit(caller, std::move(request), false);
}

void caller_port::submit(const exchange& caller, entry_request request, bool stream)
{
    const auto deadline = deadline_of(caller);
    if (!deadline) {
        send_problem(caller, problem_document::refused(
                                 400, "Bad deadline", "bad_deadline",
                                 fmt::format("X-Deadline-Ms is a whole number from 1 to {}",
                                             options_.longest_deadline.count())));
        return;
    }
    request.deadline = core_.now() + *deadline;
    request.message.set_fingerprint(fingerprint_of(request.message));
    auto talk = std::make_shared<conversation>(open_);
    talk->caller = caller;
    talk->stream = stream;
    const std::uint64_t handle = dispatcher_->submit(std::move(request), make_sink(talk));
    caller->on_closed = [this, handle] { dispatcher_->abandon(handle); };
    caller->on_drained = [this, handle, kept = std::weak_ptr<conversation>(talk)] {
        if (const auto alive = kept.lock()) {
            alive->unsent = 0;
            dispatcher_->on_backlog_drained(handle);
        }
    };
}

answer_sink caller_port::make_sink(const std::shared_ptr<conversation>& talk) const
{
    const std::size_t most = options_.most_answer_bytes;
    return {.on_head =
                [talk](unsigned status, const std::string& content_type, bool replayed,
                       const std::string& served_by) {
                    talk->status = static_cast<int>(status);
                    talk->content_type = content_type;
                    talk->headers = {{served_by_header, served_by}};
                    if (replayed) {
                        talk->headers.push_back({replayed_header, "true"});
                    }
                },
            .on_data =
                [talk, most](std::string_view data) {
                    if (!talk->stream) {
                        talk->too_large = talk->too_large || talk->body.size() + data.size() > most;
                        if (!talk->too_large) {
                            talk->body.append(data);
                        }
                        return;
                    }
                    if (!talk->begun) {
                        talk->begun = true;
                        talk->caller->begin_stream(talk->status, talk->content_type, talk->headers);
                    }
                    talk->unsent += data.size();
                    talk->caller->write(data);
                },
            .on_end =
                [this, talk](const entry_result& end) {
                    const exchange caller = talk->caller;
                    if (end.result == outcome::answered && talk->begun) {
                        caller->end_stream();
                    }
                    else if (end.result == outcome::answered && !talk->too_large) {
                        caller->reply(talk->status, talk->content_type, talk->body, talk->headers);
                    }
                    else if (talk->begun) {
                        const auto problem = problem_document::of(end.result, end.reason);
                        caller->write("data: {\"error\":" + problem.text() + "}\n\n");
                        caller->abort(); // omits the final chunk: the response is incomplete
                    }
                    else {
                        send_problem(caller, problem_document::of(end.result, end.reason));
                    }
                },
            .committed = [talk] { return talk->begun; },
            .backlog = [talk] { return talk->unsent; }};
}

nlohmann::json caller_port::describe() const
{
    return {{"open", *open_}, {"stopping", stopping_}, {"listen", options_.listen.text()}};
}

} // namespace cyclamen
