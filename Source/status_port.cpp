#include "status_port.h"

#include "event_log.h"

#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

} // namespace

void status_port::start()
{
    readiness_ = std::make_unique<http_server>(
        core_.loop(), options_.readiness, http_server_options{},
        [this](const std::shared_ptr<http_exchange>& from) { on_readiness(from); });
    metrics_ = std::make_unique<http_server>(
        core_.loop(), options_.metrics, http_server_options{},
        [this](const std::shared_ptr<http_exchange>& from) { on_metrics(from); });
}

void status_port::on_readiness(const std::shared_ptr<http_exchange>& from)
{
    if (from->path() != options_.readiness_path) {
        from->reply(http_not_found, "text/plain", "see " + options_.readiness_path + "\n");
        return;
    }
    const bool ready = options_.ready();
    if (ready != last_ready_) {
        last_ready_ = ready;
        log_event(event_id::readiness_changed, "ready={} stopping={}", ready, core_.stopping());
    }
    from->reply(ready ? http_ok : http_unavailable, "text/plain",
                ready ? "ready\n" : "not ready\n");
}

void status_port::on_metrics(const std::shared_ptr<http_exchange>& from)
{
    if (from->path() == options_.metrics_path) {
        from->reply(http_ok, "text/plain; version=0.0.4", core_.metrics_text());
    }
    else if (from->path() == options_.state_path) {
        from->reply(http_ok, "application/json",
                    core_.describe().dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
                        "\n");
    }
    else {
        from->reply(http_not_found, "text/plain",
                    "see " + options_.metrics_path + " and " + options_.state_path + "\n");
    }
}

nlohmann::json status_port::describe() const
{
    return {{"readiness", options_.readiness.text()}, {"metrics", options_.metrics.text()}};
}

} // namespace cyclamen
