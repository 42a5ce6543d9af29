#include "backend_health.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

double backend_health::decay(millis now) const
{
    const auto age = std::chrono::duration<double>(now - updated_at_) / options_.half_life;
    return std::exp2(-age);
}

void backend_health::apply_decay(millis now)
{
    const double factor = decay(now);
    successes_ *= factor;
    failures_ *= factor;
    updated_at_ = now;
}

void backend_health::record_connect_failure(millis now)
{
    constexpr unsigned max_doublings = 8;
    const millis backoff =
        options_.initial_backoff * (1U << std::min(connect_failures_, max_doublings));
    ++connect_failures_;
    backoff_until_ = now + std::min(backoff, options_.max_backoff);
}

void backend_health::record_attempt(millis now)
{
    if (connect_failures_ > 0) {
        backoff_until_ = std::max(backoff_until_, now + options_.trial_timeout);
    }
}

void backend_health::record_outcome(backend_outcome outcome, millis now)
{
    apply_decay(now);
    if (outcome == backend_outcome::success) {
        successes_ += 1;
        connect_failures_ = 0;
        backoff_until_ = 0ms;
        return;
    }
    failures_ += 1;
}

void backend_health::set_counts(double successes, double failures, millis now)
{
    successes_ = successes;
    failures_ = failures;
    updated_at_ = now;
}

bool backend_health::exceeds_failure_rate(double failures, double successes,
                                          double others_failure_rate) const
{
    return failures >= options_.min_failures &&
           failures / (failures + successes) >
               2 * others_failure_rate + options_.failure_rate_margin;
}

bool backend_health::is_outlier(double others_failure_rate, millis now) const
{
    return exceeds_failure_rate(failures(now), successes(now), others_failure_rate);
}

// Checks this entry's own counts first, since a fault may affect only this entry, and then the
// counts of all entries, since one entry may send too few requests for a verdict.
bool backend_health::is_outlier(double others_failure_rate, const backend_health& peer_health,
                                millis now) const
{
    return is_outlier(others_failure_rate, now) ||
           exceeds_failure_rate(failures(now) + peer_health.failures(now),
                                successes(now) + peer_health.successes(now), others_failure_rate);
}

} // namespace cyclamen
