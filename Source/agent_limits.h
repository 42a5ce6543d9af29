#pragma once

#include "cold_start_ramp.h"
#include "load_estimator.h"

#include <wire.pb.h>

#include <map>
#include <string>

namespace cyclamen {

struct agent_limits_options {
    unsigned capacity = 16; // maximum requests in flight at the backend server
    // Maximum fraction of the capacity for one client account while others are active.
    double max_account_share = 0.5;
    cold_start_ramp_options ramp{};
    load_estimator_options load{};
};

/// Tracks the slots in use at one backend server, by client account, and the limits on them.
/// Owned by the agent core.
class agent_limits {
public:
    explicit agent_limits(agent_limits_options options)
        : options_(options), ramp_(options.ramp), load_(options.load)
    {
    }

    void acquire_slot(const std::string& account);
    void release_slot(const std::string& account);
    unsigned in_flight() const { return in_flight_; }
    unsigned slots_held_by(const std::string& account) const;

    /// Returns the limit that another request of `account` would exceed, if any.  The limit is
    /// local to this backend server: others may have free slots.  `accounts_waiting` is the
    /// number of accounts with queued requests.
    wire::refusal limit_reached(const std::string& account, std::size_t accounts_waiting,
                                millis now) const;
    /// True if the account holds its maximum share of the capacity while others are active.
    bool at_account_share(const std::string& account, std::size_t accounts_waiting) const;

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
