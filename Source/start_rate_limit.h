#pragma once

#include "time_types.h"

#include <algorithm>

namespace cyclamen {

/// A token bucket for the starts at one backend server.  Owned by the backend table.
class start_rate_limit {
public:
    /// Sets the rate; what was saved up stays, but never more than `burst`.
    void set_rate(double per_second, double burst)
    {
        per_second_ = per_second;
        burst_ = burst;
        saved_ = std::min(saved_, burst);
    }

    bool allows(millis now)
    {
        refill(now);
        return saved_ >= 1;
    }

    /// Takes one start; call it only where `allows` said yes.
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
