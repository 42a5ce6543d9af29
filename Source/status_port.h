#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamen {

struct status_port_options {
    net_address readiness; // for the balancer's checks
    std::string readiness_path;
    net_address metrics; // for counters, histograms and the state dump
    std::string metrics_path = "/metrics";
    std::string state_path = "/state";
    std::function<bool()> ready;
};

/// Answers whether this process should be sent new connections, and serves its counters,
/// latency histograms and state dump.  Owned by the kernel as "status".
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
