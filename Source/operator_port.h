#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace cyclamen {

class command_desk;

struct operator_port_options {
    net_address listen;
    std::map<std::string, std::string> credentials; // operator name to SHA-256 of the key, in hex
    bool takes_commands = false;                    // true if the process has a command executor
};

/// HTTP server for operators.  The health check is public; the state dump, counters and commands
/// require a credential.  Owned by the kernel as "operators".
class operator_port : public service {
public:
    operator_port(kernel& core, operator_port_options options);

    std::string_view name() const override { return "operators"; }
    void start() override;
    nlohmann::json describe() const override;

private:
    using exchange = std::shared_ptr<http_exchange>;

    void on_request(const exchange& caller);
    void on_command(const exchange& caller, const std::string& who);
    std::string operator_of(const exchange& caller) const;

    kernel& core_;
    operator_port_options options_;
    command_desk* commands_ = nullptr;
    std::unique_ptr<http_server> server_;
};

} // namespace cyclamen
