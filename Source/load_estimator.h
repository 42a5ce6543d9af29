#pragma once

#include "time_types.h"

#include <map>
#include <optional>
#include <string>

namespace cyclamen {

struct load_estimator_options {
    double promised_multiple = 1.25; // in-flight over mean that no engine exceeds
    double deviations = 4.0;         // standard errors kept between estimate and promise
    millis report_lifetime = 4000ms; // older reports are not used
};

/// What is known of the mean number of requests in flight across a pool.
struct load_estimate {
    double mean = 0;      // over all engines of the pool, this one included
    double error = 0;     // standard error of `mean` from sampling and age
    unsigned samples = 0; // peers heard from
};

/// Estimates the mean load of the engines of one pool from reports of peers, and
/// derives the number of requests that this engine may hold.  Owned by the agent.
class load_estimator {
public:
    explicit load_estimator(load_estimator_options options) : options_(options) {}

    /// Records a peer's report; a peer that does not accept work is left out.
    void record(const std::string& peer, unsigned in_flight, bool accepting, millis now);
    /// Notes a load that an entry was told of.  It serves the choice of a hint only: such
    /// figures come from peers that refused, and would raise the mean.
    void note_busy(const std::string& peer, unsigned in_flight);
    void forget(const std::string& peer) { reports_.erase(peer); }
    /// Engines in the pool that accept work, this one included, from the instance list.
    void set_pool_size(unsigned size) { pool_size_ = size; }

    load_estimate estimate(unsigned own_in_flight, millis now) const;

    /// The most requests in flight here, counting one that is about to start.
    unsigned cap(unsigned own_in_flight, millis now) const;

    /// The peer with the fewest requests in flight, if it has fewer than `below`.  What
    /// earlier hints have sent there since its last report is counted in.
    std::optional<std::string> hint(unsigned below, millis now);

private:
    static constexpr double first_variance_per_second = 8; // until changes were seen

    struct report {
        unsigned in_flight = 0;
        unsigned expected = 0; // `in_flight` and what hints have sent there since
        bool accepting = true;
        millis at{0};
        double change = 0; // of the load, between the last two reports
        double change_seconds = 0;
        double variance_per_second = first_variance_per_second; // decaying mean of change squared
    };

    load_estimator_options options_;
    unsigned pool_size_ = 1;
    std::map<std::string, report> reports_;
};

} // namespace cyclamen
