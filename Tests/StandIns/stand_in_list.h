#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace cyclamen::test {

/// Simulates the platform's list of instances. PUT /instances replaces the list; readers see the
/// change after a configurable lag, and get status 503 during an outage.
class stand_in_list : public service {
public:
    stand_in_list(kernel& core, net_address listen);

    std::string_view name() const override { return "list"; }
    void start() override;
    nlohmann::json describe() const override;

private:
    void on_request(const std::shared_ptr<http_exchange>& caller);

    kernel& core_;
    net_address listen_;
    std::unique_ptr<http_server> server_;
    nlohmann::json published_;
    kernel::timer lag_;
    unsigned lag_ms_ = 0;
    bool outage_ = false;
};

} // namespace cyclamen::test
