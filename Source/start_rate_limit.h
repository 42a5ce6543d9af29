#pragma once

#include "time_types.h"

#include <algorithm>

namespace cyclamen {

/// Token bucket that limits request starts at one backend server.  Owned by the backend table.
class start_rate_limit {
public:
    /// Sets the rate and the bucket size; tokens beyond `burst` are discarded.
    void set_rate(double per_second, double burst)
    {
        per_second_ = per_second;
        burst_ = burst;
        saved_ = std::min(saved_, burst);
    }

    /// Whether a request may start now.
    bool allows(millis now)
    {
        refill(now);
        return saved_ >= 1;
    }

    /// Takes one token; call only after `allows` returned true.
    void take(millis now)
    {
        refill(now);
        saved_ -= 1;
    }

private:
    void refill(millis now)
    {
        const double seconds = std::chrono::duration<double>(now - at_).count();
        saved_ = std::min(burst_, saved_ + std::max(0.0, seconds) * per_second_);
        at_ = now;
    }

    double per_second_ = 0;
    double burst_ = 1;
    double saved_ = 1;
    millis at_{0};
};

} // namespace cyclamen
