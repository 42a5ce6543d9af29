#pragma once

#include "time_types.h"

#include <cstdint>

namespace cyclamen {

struct cold_start_ramp_options {
    unsigned capacity = 16;            // requests in flight when warm
    unsigned cold_limit = 2;           // requests in flight when cold
    unsigned completions_per_step = 2; // completions that earn one more place
    millis least_step = 100ms;         // time between two steps, however many complete
};

/// Limits the requests in flight at a backend server in cold start.  The limit
/// grows with completed requests, so that a full load cannot lift it, and with
/// time, so that a burst of short requests cannot either.  Owned by the agent.
class cold_start_ramp {
public:
    explicit cold_start_ramp(cold_start_ramp_options options) : options_(options) {}

    /// Starts again from the cold limit, which holds until the server says that it is warm.
    void restart(millis now);
    /// What the backend server says of itself.  While it is cold, completions earn nothing:
    /// how many it needs is for it to know.
    void told_cold(bool cold) { told_cold_ = cold; }
    /// Counts a request that the backend server completed well.
    void completed(millis now);

    unsigned limit() const { return cold_ ? limit_ : options_.capacity; }
    bool cold() const { return cold_; }

private:
    cold_start_ramp_options options_;
    bool cold_ = false;
    bool told_cold_ = false;
    unsigned limit_ = 0;
    unsigned completions_ = 0;
    millis last_step_{0};
};

} // namespace cyclamen
