#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <fstream>
#include <map>
#include <memory>
#include <string>

namespace cyclamen::test {

struct service_faults {
    unsigned delay_ms = 5;      // duration of a call
    bool crash_next = false;    // the next call exits the process after it has been executed
    bool truncate_next = false; // the next response is cut off in the middle
};

/// Simulates a service without a model, such as order processing. Records every execution as a line
/// of JSON in a file that outlives the process, so that a test can count executions.
class stand_in_service : public service {
public:
    stand_in_service(kernel& core, net_address listen, std::string instance,
                     const std::string& record);

    std::string_view name() const override { return "service"; }
    void start() override;
    nlohmann::json describe() const override;

private:
    using exchange = std::shared_ptr<http_exchange>;

    void on_request(const exchange& caller);
    void execute(const exchange& caller);
    void set_faults(const exchange& caller);

    kernel& core_;
    net_address listen_;
    std::string instance_;
    std::unique_ptr<http_server> server_;
    std::ofstream record_;
    std::uint64_t executions_ = 0;
    service_faults faults_;
    std::map<std::uint64_t, kernel::timer> running_;
    std::uint64_t next_run_ = 0;
};

} // namespace cyclamen::test
