#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamen {

struct status_server_options {
    net_address readiness; // listen address for the load balancer's readiness checks
    std::string readiness_path;
    net_address metrics; // listen address for metrics and the state dump
    std::string metrics_path = "/metrics";
    std::string state_path = "/state";
    std::function<bool()> ready; // whether this process may get new connections
};

/// HTTP server for the readiness check and for the counters, latency histograms and state
/// dump of this process.  Owned by the kernel as "status".
class status_server : public service {
public:
    status_server(kernel& core, status_server_options options)
        : core_(core), options_(std::move(options))
    {
    }

    std::string_view name() const override { return "status"; }
    void start() override;
    void begin_stop() override;
    bool idle() const override;
    nlohmann::json describe() const override;

private:
    void on_readiness(const std::shared_ptr<http_exchange>& exchange);
    void on_metrics(const std::shared_ptr<http_exchange>& exchange);

    kernel& core_;
    status_server_options options_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> metrics_;
    bool last_ready_ = false;
    millis reply_wait_ends_at_{0};
};

} // namespace cyclamen
