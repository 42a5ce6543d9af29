#pragma once

#include "configuration_state.h"
#include "instance_directory.h"
#include "placement.h"
#include "prefix_heat.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamen {

/// The agents of each service that may be given requests, and their order for a request.
/// No clock: every call carries the time.  Owned by the entry's dispatcher.
class agent_ranking {
public:
    /// `candidates` is how many agents are ranked for a request.
    agent_ranking(prefix_heat_options heat, std::size_t candidates)
        : heat_(heat), candidates_(candidates)
    {
    }

    void rebuild(const instance_directory& directory, const configuration_state& state);
    /// Those that are avoided come last.
    std::vector<std::string> rank(const std::string& service, const placement_key& place,
                                  millis now);

    /// An agent could not be reached, or said that it takes nothing for a while.
    void avoid(const std::string& instance, millis until) { avoided_until_[instance] = until; }
    void stop_avoiding(const std::string& instance) { avoided_until_.erase(instance); }
    /// An engine refused a request for its load: its prefix needs more of them.
    void refused_for_load(std::uint64_t prefix, millis now) { heat_.refused(prefix, now); }
    void forget_old(millis now);
    std::size_t hot_prefixes() const { return heat_.size(); }

private:
    prefix_heat heat_;
    std::size_t candidates_;
    std::map<std::string, millis> avoided_until_;
    std::map<std::string, std::vector<placement_candidate>> pools_; // by service
    std::vector<std::string> names_;                                // by candidate index
};

} // namespace cyclamen
