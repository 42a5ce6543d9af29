#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamen {

struct status_port_options {
    net_address readiness; // listen address for the load balancer's readiness checks
    std::string readiness_path;
    net_address metrics; // listen address for metrics and the state dump
    std::string metrics_path = "/metrics";
    std::string state_path = "/state";
    std::function<bool()> ready; // whether this process may get new connections
};

/// HTTP server for the readiness check and for the counters, latency histograms and state
/// dump of this process.  Owned by the kernel as "status".
class status_port : public service {
public:
    status_port(kernel& core, status_port_options options)
        : core_(core), options_(std::move(options))
    {
    }

    std::string_view name() const override { return "status"; }
    void start() override;
    nlohmann::json describe() const override;

private:
    void on_readiness(const std::shared_ptr<http_exchange>& from);
    void on_metrics(const std::shared_ptr<http_exchange>& from);

    kernel& core_;
    status_port_options options_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> metrics_;
    bool last_ready_ = false;
};

} // namespace cyclamen
