#pragma once

#include "time_types.h"

#include <map>
#include <optional>
#include <string>

namespace cyclamen {

struct load_estimator_options {
    double max_load_ratio = 1.25;    // load bound of each engine, as a multiple of the mean load
    double margin_std_errors = 4.0;  // subtracted from the estimated mean, in standard errors
    millis report_lifetime = 4000ms; // age from which reports are ignored
};

/// Estimate of the mean number of requests in flight per engine of a pool.
struct load_estimate {
    double mean = 0;      // mean over all engines of the pool, including this one
    double error = 0;     // standard error of `mean` due to sampling and report age
    unsigned samples = 0; // number of peers with a usable report
};

/// Estimates the mean load of the engines of one pool from peers' reports, and derives the
/// maximum number of requests in flight at this engine.  Owned by the agent.
class load_estimator {
public:
    explicit load_estimator(load_estimator_options options) : options_(options) {}

    /// Records a peer's report.  Peers that accept no work are left out of the estimate and hints.
    void record(const std::string& peer, unsigned in_flight, bool accepting, millis now);
    /// Records a peer's load as an entry reported it.  Used for hints only: these values come from
    /// peers that refused a request, and would bias the mean upwards.
    void raise_expected_load(const std::string& peer, unsigned in_flight);
    void forget(const std::string& peer) { reports_.erase(peer); }
    /// Sets the number of engines that accept work, including this one, by the instance list.
    void set_pool_size(unsigned size) { pool_size_ = size; }

    /// Estimates the mean load; `own_in_flight` is the load of this engine.
    load_estimate estimate(unsigned own_in_flight, millis now) const;

    /// Maximum number of requests in flight at this engine, including one about to start.
    unsigned cap(unsigned own_in_flight, millis now) const;

    /// The peer with the fewest expected requests in flight, if fewer than `below`.  The expected
    /// number includes requests that hints have directed to the peer since its last report.
    std::optional<std::string> hint(unsigned below, millis now);

private:
    static constexpr double initial_variance_per_second = 8; // before load changes are observed

    struct report {
        unsigned in_flight = 0;
        unsigned expected = 0; // `in_flight` plus requests directed there by hints since
        bool accepting = true;
        millis at{0};
        double change = 0;         // change of the load between the last two reports
        double change_seconds = 0; // time between the last two reports
        // Decaying mean of the squared change per second.
        double variance_per_second = initial_variance_per_second;
    };

    load_estimator_options options_;
    unsigned pool_size_ = 1;
    std::map<std::string, report> reports_;
};

} // namespace cyclamen
