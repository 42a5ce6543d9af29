#pragma once

#include "time_types.h"

namespace cyclamen {

struct backend_health_options {
    millis first_pause = 200ms; // after a connection that did not come up
    millis most_pause = 2000ms; // the pause doubles with each further one
    millis trial = 500ms;       // time for one request to try a server that was unreachable
    millis half_life = 3000ms;  // of the memory of good and bad ends
    double least_bad = 2.5;     // bad ends, decayed, before a server can be suspected
    double margin = 0.15;       // by which its share of bad ends exceeds twice the others'
};

/// How a request ended, as far as it tells of the backend server's health.
enum class backend_outcome { good, bad };

/// What one entry has seen of one backend server's health, from the requests that it
/// sent there.  Health probes are not used: they may pass while requests fail.
class backend_health {
public:
    explicit backend_health(backend_health_options options = {}) : options_(options) {}

    /// A connection did not come up.
    void unreachable(millis now);
    void ended(backend_outcome outcome, millis now);

    /// Takes another entry's decayed numbers in place of what is known.
    void told(double good, double bad, millis now);

    /// No connection is tried now.
    bool paused(millis now) const { return now < paused_until_; }
    /// A request goes there.  If the last connection did not come up, it tries alone: no
    /// other follows until it has ended well, or for as long as it may take to fail.
    void tried(millis now);
    /// Its requests fail far more often than those of the other servers of its pool, whose
    /// share of bad ends is `others_share`.  `elsewhere` adds what other entries saw.
    bool suspected(double others_share, millis now) const;
    bool suspected(double others_share, const backend_health& elsewhere, millis now) const;
    /// Decayed numbers of good and bad ends.
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
    unsigned failures_ = 0; // connections in a row that did not come up
    millis paused_until_{0};
};

} // namespace cyclamen
