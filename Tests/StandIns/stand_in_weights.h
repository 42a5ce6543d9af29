#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace cyclamen::test {

/// Simulates the platform's weight store: GET /weights/NAME, limited to
/// `loads_per_second`.
class stand_in_weights : public service {
public:
    stand_in_weights(kernel& core, net_address listen, double loads_per_second);

    std::string_view name() const override { return "weights"; }
    void start() override;
    nlohmann::json describe() const override;

private:
    void on_request(const std::shared_ptr<http_exchange>& caller);

    kernel& core_;
    net_address listen_;
    double loads_per_second_;
    std::unique_ptr<http_server> server_;
    double tokens_; // token bucket that limits the rate of loads
    millis last_refill_{0};
    std::uint64_t loads_ = 0;
};

} // namespace cyclamen::test
