#pragma once

#include "agent_core.h"
#include "backend_runner.h"
#include "entry_farewells.h"
#include "http_client.h"
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

struct agent_server_options {
    agent_core_options core{};
    entry_farewells_options farewells{};
    backend_runner_options backend{};
    bool keyed = false;                   // claims idempotency keys; set for plain services
    millis health_interval = 300ms;       // interval of health probes of the backend server
    millis crash_gossip_interval = 500ms; // interval of resending a past crash to a random agent
    std::string health_path = "/health";
};

/// Connects `agent_core` to the sockets, the backend server, the claim streams and the
/// configuration.  Owned by the kernel as service "gate".
class agent_server : public service {
public:
    agent_server(kernel& core, agent_server_options options);
    agent_server(const agent_server&) = delete;
    agent_server& operator=(const agent_server&) = delete;
    ~agent_server() override;

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
    void classify_lost_run(attempt_id id);
    void probe_backend();
    void query_health(std::function<void(backend_health)> on_health);
    void update_health(backend_health health);
    void update_from_directory();
    void gossip_crash_evidence(const wire::crash_evidence& evidence);
    void gossip_past_crash();
    agent_core::hooks make_hooks();
    bool send_farewell(const std::string& route);
    void tick();

    kernel& core_;
    http_fetcher fetcher_;
    agent_server_options options_;
    configuration_feed* configuration_ = nullptr;
    instance_directory* directory_ = nullptr;
    peer_exchange* peers_ = nullptr;
    claim_service* claims_ = nullptr;
    std::unique_ptr<backend_runner> runner_;
    std::unique_ptr<agent_core> agent_core_;
    std::unique_ptr<entry_farewells> farewells_;
    kernel::timer tick_;
    kernel::timer health_timer_;
    kernel::timer crash_timer_;
    bool backend_up_ = true;
    bool backend_cold_ = false;
};

} // namespace cyclamen
