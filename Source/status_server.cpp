#include "status_server.h"

#include "event_log.h"

#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;
// Bounds the wait for replies after a stop, for clients that do not read them.
constexpr millis max_reply_wait = 5000ms;

} // namespace

void status_server::start()
{
    readiness_ = std::make_unique<http_server>(
        core_.loop(), options_.readiness, http_server_options{.clients = &core_.clients()},
        [this](const std::shared_ptr<http_exchange>& exchange) { on_readiness(exchange); });
    metrics_ = std::make_unique<http_server>(
        core_.loop(), options_.metrics, http_server_options{.clients = &core_.clients()},
        [this](const std::shared_ptr<http_exchange>& exchange) { on_metrics(exchange); });
}

void status_server::begin_stop()
{
    readiness_->begin_stop();
    metrics_->begin_stop();
    reply_wait_ends_at_ = core_.now() + max_reply_wait;
}

bool status_server::idle() const
{
    return (readiness_->open_requests() == 0 && metrics_->open_requests() == 0) ||
           core_.now() >= reply_wait_ends_at_;
}

void status_server::on_readiness(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->path() != options_.readiness_path) {
        exchange->reply(http_not_found, "text/plain", "see " + options_.readiness_path + "\n");
        return;
    }
    const bool ready = options_.ready();
    if (ready != last_ready_) {
        last_ready_ = ready;
        log_event(event_id::readiness_changed, "ready={} stopping={}", ready, core_.stopping());
    }
    exchange->reply(ready ? http_ok : http_unavailable, "text/plain",
                    ready ? "ready\n" : "not ready\n");
}

void status_server::on_metrics(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->path() == options_.metrics_path) {
        exchange->reply(http_ok, "text/plain; version=0.0.4", core_.metrics_text());
    }
    else if (exchange->path() == options_.state_path) {
        exchange->reply(
            http_ok, "application/json",
            core_.describe().dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    }
    else {
        exchange->reply(http_not_found, "text/plain",
                        "see " + options_.metrics_path + " and " + options_.state_path + "\n");
    }
}

nlohmann::json status_server::describe() const
{
    return {{"readiness", options_.readiness.text()}, {"metrics", options_.metrics.text()}};
}

} // namespace cyclamen
