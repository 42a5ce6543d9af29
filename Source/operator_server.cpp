#include "operator_server.h"

#include "command_executor.h"
#include "event_log.h"
#include "hashing.h"
#include "problem_document.h"

#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {

constexpr int http_ok = 200;
// Bounds the wait for replies after a stop, for clients that do not read them.
constexpr millis max_reply_wait = 5000ms;

int status_of(command_reply_kind kind)
{
    switch (kind) {
    case command_reply_kind::done:
        return http_ok;
    case command_reply_kind::refused:
        return 400;
    case command_reply_kind::conflict:
        return 409;
    case command_reply_kind::unknown:
        return 504;
    }
    return 500;
}

void send_problem(const std::shared_ptr<http_exchange>& caller, int status,
                  const std::string& title, const std::string& reason, const std::string& detail)
{
    const auto problem = problem_document::refused(status, title, reason, detail);
    caller->reply(status, problem_content_type, problem.text());
}

} // namespace

operator_server::operator_server(kernel& core, operator_server_options options)
    : core_(core), options_(std::move(options))
{
}

void operator_server::start()
{
    if (options_.accepts_commands) {
        commands_ = &core_.find<command_executor>("commands");
    }
    server_ = std::make_unique<http_server>(core_.loop(), options_.listen,
                                            http_server_options{.clients = &core_.clients()},
                                            [this](const exchange& caller) { on_request(caller); });
}

void operator_server::begin_stop()
{
    server_->begin_stop();
    reply_wait_ends_at_ = core_.now() + max_reply_wait;
}

bool operator_server::idle() const
{
    return server_->open_requests() == 0 || core_.now() >= reply_wait_ends_at_;
}

std::string operator_server::authenticate_operator(const exchange& caller) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = caller->header("Authorization");
    if (!header.starts_with(scheme)) {
        return {};
    }
    const std::string digest = sha256_hex(header.substr(scheme.size()));
    std::string operator_name;
    // Compares with all credentials, so that the time does not depend on which one matches.
    for (const auto& [name, expected] : options_.credentials) {
        if (equal_in_constant_time(digest, expected)) {
            operator_name = name;
        }
    }
    return operator_name;
}

void operator_server::on_request(const exchange& caller)
{
    if (caller->path() == "/healthz") {
        caller->reply(http_ok, "text/plain", "ok\n");
        return;
    }
    const std::string operator_name = authenticate_operator(caller);
    if (operator_name.empty()) {
        log_event(event_id::credential_refused, "path={}", caller->path());
        send_problem(caller, 401, "No operator", "missing_credential",
                     "send `Authorization: Bearer KEY` with an operator's key");
        return;
    }
    if (caller->path() == "/state") {
        caller->reply(
            http_ok, "application/json",
            core_.describe().dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    }
    else if (caller->path() == "/counters") {
        caller->reply(http_ok, "text/plain", core_.metrics().text());
    }
    else if (caller->path() == "/commands" && commands_ != nullptr) {
        on_command(caller, operator_name);
    }
    else {
        send_problem(caller, 404, "No such resource", "unknown_path",
                     "see /state, /counters and, at an entry, /commands");
    }
}

void operator_server::on_command(const exchange& caller, const std::string& operator_name)
{
    const nlohmann::json document = nlohmann::json::parse(caller->body(), nullptr, false);
    if (!document.is_object() || !document.contains("command") ||
        !document["command"].is_string()) {
        send_problem(caller, 400, "Malformed command", "malformed_body",
                     "send {\"command\": TEXT, \"id\": TEXT, \"body\": TEXT}");
        return;
    }
    const auto text = [&](const char* key) {
        return document.contains(key) && document[key].is_string()
                   ? document[key].get<std::string>()
                   : std::string();
    };
    commands_->submit(
        {.text = text("command"), .body = text("body"), .id = text("id"), .by = operator_name},
        [caller](const command_reply& reply) {
            caller->reply(status_of(reply.kind), "text/plain", reply.text);
        });
}

nlohmann::json operator_server::describe() const
{
    return {{"listen", options_.listen.text()}, {"operators", options_.credentials.size()}};
}

} // namespace cyclamen
