#include "cold_start_ramp.h"

#include <algorithm>

namespace cyclamen {

void cold_start_ramp::restart(millis now)
{
    cold_ = true;
    backend_cold_ = true;
    limit_ = std::min(options_.cold_limit, options_.capacity);
    completions_ = 0;
    last_step_ = now;
}

void cold_start_ramp::completed(millis now)
{
    if (!cold_ || backend_cold_) {
        return;
    }
    ++completions_;
    if (completions_ < options_.completions_per_step ||
        now - last_step_ < options_.min_step_interval) {
        return;
    }
    completions_ = 0;
    last_step_ = now;
    ++limit_;
    if (limit_ >= options_.capacity) {
        cold_ = false;
    }
}

} // namespace cyclamen
