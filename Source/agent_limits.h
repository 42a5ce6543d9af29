#pragma once

#include "cold_start_ramp.h"
#include "load_estimator.h"

#include <wire.pb.h>

#include <map>
#include <string>

namespace cyclamen {

struct agent_limits_options {
    unsigned capacity = 16;          // requests in flight at the backend server
    double most_account_share = 0.5; // of capacity, for one account while others are active
    cold_start_ramp_options ramp{};
    load_estimator_options load{};
};

/// The places at one backend server: how many are taken, by which client accounts, and how
/// many may be.  Owned by the agent's core.
class agent_limits {
public:
    explicit agent_limits(agent_limits_options options)
        : options_(options), ramp_(options.ramp), load_(options.load)
    {
    }

    void take(const std::string& account);
    void give_back(const std::string& account);
    unsigned in_flight() const { return in_flight_; }
    unsigned held_by(const std::string& account) const;

    /// The limit that another request of `account` would pass; another engine may have room
    /// under it.  `accounts_waiting` is the number of accounts with a request in the queue.
    wire::refusal reached(const std::string& account, std::size_t accounts_waiting,
                          millis now) const;
    /// The account holds its share while others are active.
    bool over_share(const std::string& account, std::size_t accounts_waiting) const;

    cold_start_ramp& ramp() { return ramp_; }
    const cold_start_ramp& ramp() const { return ramp_; }
    load_estimator& load() { return load_; }
    const load_estimator& load() const { return load_; }

private:
    agent_limits_options options_;
    cold_start_ramp ramp_;
    load_estimator load_;
    std::map<std::string, unsigned> account_in_flight_;
    unsigned in_flight_ = 0;
};

} // namespace cyclamen
