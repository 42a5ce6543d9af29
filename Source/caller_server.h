#pragma once

#include "entry_dispatcher.h"
#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cyclamen {

class configuration_feed;
struct problem_document;

struct caller_server_options {
    net_address listen;
    http_server_options http{};
    millis default_deadline = 60000ms;
    millis max_deadline = 600000ms;
    /// Minimum time between reporting "not ready" and closing the listener, so that the load
    /// balancer stops sending requests first.
    millis stop_grace = 1500ms;
    /// Time from the end of `stop_grace` until requests that are still open are ended, so that
    /// their callers learn it before the process is killed.
    millis request_grace = 30000ms;
    /// Limit for the body of a response that is not streamed.
    std::size_t max_response_bytes = 8388608;
};

/// HTTP server for callers: chat completions, plain services, health and readiness.  Owned by
/// the kernel as "callers".
class caller_server : public service {
public:
    caller_server(kernel& core, caller_server_options options);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    ~caller_server() override;

    std::string_view name() const override { return "callers"; }
    void start() override;
    void begin_stop() override;
    bool idle() const override;
    nlohmann::json describe() const override;

private:
    using exchange = std::shared_ptr<http_exchange>;
    struct request_context;
    /// How much a caller has of its response.
    enum class response_stage {
        not_begun,
        between_events, // of an event stream
        begun           // at a point where only the rest of the response can follow
    };

    void close_listener();
    /// Ends the open requests with the outcome `unknown`.
    void end_open_requests();
    void end_with_problem(const exchange& caller, response_stage stage,
                          const problem_document& problem) const;
    void on_request(const exchange& caller);
    void on_chat_completion(const exchange& caller, const std::string& account);
    void on_service_call(const exchange& caller, const std::string& account);
    void list_models(const exchange& caller);
    /// Time allowed for the request; empty if X-Deadline-Ms is malformed or out of range.
    std::optional<millis> parse_deadline(const exchange& caller) const;
    /// Name of the account whose key the request carries; empty if there is none.
    std::string account_of(const exchange& caller) const;
    void submit(const exchange& caller, entry_request request, bool stream);
    answer_sink make_sink(const std::shared_ptr<request_context>& context) const;
    void send_problem(const exchange& caller, const problem_document& problem) const;

    kernel& core_;
    caller_server_options options_;
    configuration_feed* configuration_ = nullptr;
    entry_dispatcher* dispatcher_ = nullptr;
    std::unique_ptr<http_server> server_;
    kernel::timer listener_timer_;
    kernel::timer request_timer_;
    millis quiet_wait_ends_at_{0};
    millis exit_at_{0};
    bool stopping_ = false;
    bool request_grace_ended_ = false;
    // Shared with the contexts, which remove themselves and may outlive this object.
    std::shared_ptr<std::set<request_context*>> open_requests_ =
        std::make_shared<std::set<request_context*>>();
};

} // namespace cyclamen
