#pragma once

#include "time_types.h"

namespace cyclamen {

struct backend_health_options {
    millis initial_backoff = 200ms; // backoff after the first failed connection
    millis max_backoff = 2000ms;    // upper limit; the backoff doubles with each failure in a row
    millis trial_timeout = 500ms;   // time for one request to probe a previously unreachable server
    millis half_life = 3000ms;      // of the decaying outcome counts
    double min_failures = 2.5;      // decayed failures from which a server can be an outlier
    // An outlier's failure rate exceeds twice the rate of the other servers by this margin.
    double failure_rate_margin = 0.15;
};

/// Outcome of a request as an indicator of the backend server's health.
enum class backend_outcome { success, failure };

/// Health of one backend server as one entry observes it (passive outlier detection).  Based on
/// the outcomes of requests only; health probes are not used, as they may pass while requests
/// fail.
class backend_health {
public:
    explicit backend_health(backend_health_options options = {}) : options_(options) {}

    /// Records a failed connection and extends the backoff.
    void record_connect_failure(millis now);
    /// Records the outcome of a request; a success also ends the backoff.
    void record_outcome(backend_outcome outcome, millis now);

    /// Replaces the counts, for example by decayed counts that a peer reported.
    void set_counts(double successes, double failures, millis now);

    /// Whether no connection may be attempted at present.
    bool in_backoff(millis now) const { return now < backoff_until_; }
    /// Records that a request is sent to the server.  If the last connection failed, this request
    /// is the only probe: others wait until it succeeds or the trial timeout passes.
    void record_attempt(millis now);
    /// Whether requests fail far more often at this server than at the other servers of its pool,
    /// whose failure rate is `others_failure_rate`.  `peer_health` holds the counts of other
    /// entries.
    bool is_outlier(double others_failure_rate, millis now) const;
    bool is_outlier(double others_failure_rate, const backend_health& peer_health,
                    millis now) const;
    /// Decayed numbers of successful and failed requests.
    double successes(millis now) const { return successes_ * decay(now); }
    double failures(millis now) const { return failures_ == 0 ? 0 : failures_ * decay(now); }

private:
    bool exceeds_failure_rate(double failures, double successes, double others_failure_rate) const;
    double decay(millis now) const;
    void apply_decay(millis now);

    backend_health_options options_;
    double successes_ = 0;
    double failures_ = 0;
    millis updated_at_{0};
    unsigned connect_failures_ = 0; // consecutive failed connections
    millis backoff_until_{0};
};

} // namespace cyclamen
