#pragma once

#include "time_types.h"

#include <cstdint>

namespace cyclamen {

struct cold_start_ramp_options {
    unsigned capacity = 16;            // limit of requests in flight when warm
    unsigned cold_limit = 2;           // limit of requests in flight when cold
    unsigned completions_per_step = 2; // completed requests per additional slot
    millis min_step_interval = 100ms;  // minimum time between two additional slots
};

/// Limits the requests in flight at a backend server in cold start.  Each additional slot needs
/// completed requests, so that load alone does not raise the limit, and a minimum time, so that
/// a burst of short requests does not either.  Owned by the agent.
class cold_start_ramp {
public:
    explicit cold_start_ramp(cold_start_ramp_options options) : options_(options) {}

    /// Resets to the cold limit, which stays until the server reports that it is warm.
    void restart(millis now);
    /// Sets whether the backend server reports itself as cold.  Meanwhile completed requests do
    /// not raise the limit: only the server knows how many it needs to warm up.
    void set_backend_cold(bool cold) { backend_cold_ = cold; }
    /// Counts a request that the backend server completed successfully.
    void completed(millis now);

    unsigned limit() const { return cold_ ? limit_ : options_.capacity; }
    bool cold() const { return cold_; }

private:
    cold_start_ramp_options options_;
    bool cold_ = false;
    bool backend_cold_ = false;
    unsigned limit_ = 0;
    unsigned completions_ = 0;
    millis last_step_{0};
};

} // namespace cyclamen
