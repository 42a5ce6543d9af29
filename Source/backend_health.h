#pragma once

#include "time_types.h"

namespace cyclamen {

struct backend_health_options {
    millis first_pause = 200ms; // backoff after the first failed connection
    millis most_pause = 2000ms; // upper limit; the backoff doubles with each failure in a row
    millis trial = 500ms;       // time for one request to probe a previously unreachable server
    millis half_life = 3000ms;  // of the decaying outcome counts
    double least_bad = 2.5;     // decayed failures from which a server can be an outlier
    // An outlier's failure rate exceeds twice the rate of the other servers by this margin.
    double margin = 0.15;
};

/// Outcome of a request as an indicator of the backend server's health.
enum class backend_outcome { good, bad };

/// Health of one backend server as one entry observes it (passive outlier detection).  Based on
/// the outcomes of requests only; health probes are not used, as they may pass while requests
/// fail.
class backend_health {
public:
    explicit backend_health(backend_health_options options = {}) : options_(options) {}

    /// Records a failed connection and extends the backoff.
    void unreachable(millis now);
    /// Records the outcome of a request; a success also ends the backoff.
    void ended(backend_outcome outcome, millis now);

    /// Replaces the counts by decayed counts that a peer reported.
    void told(double good, double bad, millis now);

    /// Whether no connection may be attempted at present.
    bool paused(millis now) const { return now < paused_until_; }
    /// Records that a request is sent to the server.  If the last connection failed, this request
    /// is the only probe: others wait until it succeeds or the trial timeout passes.
    void tried(millis now);
    /// Whether requests fail far more often at this server than at the other servers of its pool,
    /// whose failure rate is `others_share`.  `elsewhere` holds the counts of other entries.
    bool suspected(double others_share, millis now) const;
    bool suspected(double others_share, const backend_health& elsewhere, millis now) const;
    /// Decayed numbers of successful and failed requests.
    double good(millis now) const { return good_ * decay(now); }
    double bad(millis now) const { return bad_ == 0 ? 0 : bad_ * decay(now); }

private:
    bool suspicious(double bad, double good, double others_share) const;
    double decay(millis now) const;
    void settle(millis now);

    backend_health_options options_;
    double good_ = 0;
    double bad_ = 0;
    millis at_{0};
    unsigned failures_ = 0; // consecutive failed connections
    millis paused_until_{0};
};

} // namespace cyclamen
