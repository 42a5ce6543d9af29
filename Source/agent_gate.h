#pragma once

#include "agent_core.h"
#include "backend_runner.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cyclamen {

class claim_service;
class configuration_feed;
class instance_directory;
class peer_exchange;

struct agent_gate_options {
    agent_core_options core{};
    backend_runner_options backend{};
    bool keyed = false;             // claim idempotency keys, for plain services
    millis health_interval = 300ms; // interval of health probes of the backend server
    millis crash_exchange = 500ms;  // interval of reports of a past crash to a random agent
    std::string health_path = "/health";
};

/// Connects `agent_core` to the sockets, the backend server, the claim streams and the
/// configuration.  Owned by the kernel as service "gate".
class agent_gate : public service {
public:
    agent_gate(kernel& core, agent_gate_options options);
    agent_gate(const agent_gate&) = delete;
    agent_gate& operator=(const agent_gate&) = delete;
    ~agent_gate() override;

    std::string_view name() const override { return "gate"; }
    void start() override;
    void begin_stop() override;
    bool idle() const override;
    nlohmann::json describe() const override;

private:
    /// Result of a health probe of the backend server.
    struct backend_health {
        bool up = false;
        bool cold = false;
    };

    void on_message(const std::string& route, const wire::envelope& message);
    void on_run_ended(attempt_id id, http_call_result end);
    void tell_crash(attempt_id id);
    void probe_backend();
    void ask_health(std::function<void(backend_health)> on_health);
    void learn_health(backend_health health);
    void learn_from_directory();
    void spread_crash(const wire::crash_report& report);
    void repeat_crash_report();
    agent_core::hooks make_hooks();

    kernel& core_;
    agent_gate_options options_;
    configuration_feed* configuration_ = nullptr;
    instance_directory* directory_ = nullptr;
    peer_exchange* peers_ = nullptr;
    claim_service* claims_ = nullptr;
    std::unique_ptr<backend_runner> runner_;
    std::unique_ptr<agent_core> decisions_;
    kernel::timer tick_;
    kernel::timer health_timer_;
    kernel::timer crash_timer_;
    bool backend_up_ = true;
    bool backend_cold_ = false;
};

} // namespace cyclamen
