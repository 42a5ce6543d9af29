#pragma once

#include "configuration_state.h"
#include "instance_directory.h"
#include "placement.h"
#include "prefix_heat.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamen {

/// Holds the eligible agents of each service and ranks them for a request.  Has no clock of
/// its own: the caller passes the current time.  Owned by the entry's dispatcher.
class agent_ranking {
public:
    /// `max_candidates` limits the number of agents that are ranked for a request.
    agent_ranking(prefix_heat_options heat, std::size_t candidates)
        : heat_(heat), candidates_(candidates)
    {
    }

    void rebuild(const instance_directory& directory, const configuration_state& state);
    /// Returns the agents in order of preference; those to be avoided come last.
    std::vector<std::string> rank(const std::string& service, const placement_key& place,
                                  millis now);

    /// Ranks an agent last until `until`: it was unreachable, failed, or accepts no requests for
    /// a while.
    void avoid(const std::string& instance, millis until) { avoided_until_[instance] = until; }
    void stop_avoiding(const std::string& instance) { avoided_until_.erase(instance); }
    /// Records that an engine refused a request because of its load, so that the prefix is
    /// spread over more engines.
    void refused_for_load(std::uint64_t prefix, millis now) { heat_.refused(prefix, now); }
    void forget_old(millis now);
    std::size_t hot_prefixes() const { return heat_.size(); }

private:
    prefix_heat heat_;
    std::size_t candidates_;
    std::map<std::string, millis> avoided_until_;
    std::map<std::string, std::vector<placement_candidate>> pools_; // keyed by service
    std::vector<std::string> names_; // indexed by `placement_candidate::index`
};

} // namespace cyclamen
