#include "backend_health.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

double backend_health::decay(millis now) const
{
    const auto age = std::chrono::duration<double>(now - at_) / options_.half_life;
    return std::exp2(-age);
}

void backend_health::settle(millis now)
{
    const double factor = decay(now);
    good_ *= factor;
    bad_ *= factor;
    at_ = now;
}

void backend_health::unreachable(millis now)
{
    constexpr unsigned most_doublings = 8;
    const millis pause = options_.first_pause * (1U << std::min(failures_, most_doublings));
    ++failures_;
    paused_until_ = now + std::min(pause, options_.most_pause);
}

void backend_health::tried(millis now)
{
    if (failures_ > 0) {
        paused_until_ = std::max(paused_until_, now + options_.trial);
    }
}

void backend_health::ended(backend_outcome outcome, millis now)
{
    settle(now);
    if (outcome == backend_outcome::good) {
        good_ += 1;
        failures_ = 0;
        paused_until_ = 0ms;
        return;
    }
    bad_ += 1;
}

void backend_health::told(double good, double bad, millis now)
{
    good_ = good;
    bad_ = bad;
    at_ = now;
}

bool backend_health::suspicious(double bad, double good, double others_share) const
{
    return bad >= options_.least_bad && bad / (bad + good) > 2 * others_share + options_.margin;
}

bool backend_health::suspected(double others_share, millis now) const
{
    return suspicious(bad(now), good(now), others_share);
}

// Checks this entry's own counts first, since a fault may affect only this entry, and then the
// counts of all entries, since one entry may send too few requests for a verdict.
bool backend_health::suspected(double others_share, const backend_health& elsewhere,
                               millis now) const
{
    return suspected(others_share, now) ||
           suspicious(bad(now) + elsewhere.bad(now), good(now) + elsewhere.good(now), others_share);
}

} // namespace cyclamen
