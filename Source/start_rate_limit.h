#pragma once

#include "time_types.h"

#include <algorithm>

namespace cyclamen {

/// Token bucket that limits request starts at one backend server.  Owned by the backend table.
class start_rate_limit {
public:
    /// Sets the rate, in requests per second, and the bucket size; tokens beyond `burst` are
    /// discarded.
    void set_rate(double per_second, double burst)
    {
        per_second_ = per_second;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst);
    }

    /// Whether a request may start now.
    bool allows(millis now)
    {
        refill(now);
        return tokens_ >= 1;
    }

    /// Takes one token; call only after `allows` returned true.
    void take(millis now)
    {
        refill(now);
        tokens_ -= 1;
    }

private:
    void refill(millis now)
    {
        const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
        tokens_ = std::min(burst_, tokens_ + std::max(0.0, seconds) * per_second_);
        refilled_at_ = now;
    }

    double per_second_ = 0;
    double burst_ = 1;
    double tokens_ = 1;
    millis refilled_at_{0};
};

} // namespace cyclamen
