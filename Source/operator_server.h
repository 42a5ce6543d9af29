#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace cyclamen {

class command_executor;

struct operator_server_options {
    net_address listen;
    std::map<std::string, std::string> credentials; // operator name to SHA-256 of the key, in hex
    bool accepts_commands = false;                  // true if the process has a command executor
};

/// HTTP server for operators.  The health check is public; the state dump, counters and commands
/// require a credential.  Owned by the kernel as "operators".
class operator_server : public service {
public:
    operator_server(kernel& core, operator_server_options options);

    std::string_view name() const override { return "operators"; }
    void start() override;
    void begin_stop() override;
    bool idle() const override;
    nlohmann::json describe() const override;

private:
    using exchange = std::shared_ptr<http_exchange>;

    void on_request(const exchange& caller);
    void on_command(const exchange& caller, const std::string& operator_name);
    /// Name of the operator whose key the request carries; empty if there is none.
    std::string authenticate_operator(const exchange& caller) const;

    kernel& core_;
    operator_server_options options_;
    command_executor* commands_ = nullptr;
    std::unique_ptr<http_server> server_;
    millis reply_wait_ends_at_{0};
};

} // namespace cyclamen
