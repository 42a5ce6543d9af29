#pragma once

#include "agent_core.h"
#include "http_client.h"
#include "kernel.h"

#include <map>
#include <memory>
#include <string>

namespace cyclamen {

struct backend_runner_options {
    net_address backend;
    millis answer_timeout = 30000ms; // maximum time without data from the server
};

/// Runs admitted requests at the backend server over HTTP, and reports the response and the
/// outcome of each.  Owned by the agent server.
class backend_runner {
public:
    /// Callbacks for responses and outcomes of runs.
    struct handlers {
        std::function<void(attempt_id, int status, const std::string& content_type)> on_head;
        std::function<void(attempt_id, std::string_view data)> on_data;
        std::function<void(attempt_id, http_call_result end)> on_end;
    };

    backend_runner(kernel& core, backend_runner_options options, handlers receivers);

    void start(attempt_id id, const wire::dispatch& request);
    /// Aborts the run; no callbacks for it follow.
    void stop(attempt_id id) { calls_.erase(id); }
    std::size_t running() const { return calls_.size(); }

private:
    kernel& core_;
    backend_runner_options options_;
    handlers receivers_;
    std::map<attempt_id, std::unique_ptr<http_call>> calls_;
};

} // namespace cyclamen
