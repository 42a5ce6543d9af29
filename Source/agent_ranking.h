#pragma once

#include "configuration_state.h"
#include "hot_prefix_tracker.h"
#include "instance_directory.h"
#include "placement.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamen {

/// Holds the eligible agents of each service and ranks them for a request.  Agents that are
/// leaving, drained or in a zone taken out of service are not eligible.  Has no clock of its own:
/// callers pass the current time.  Owned by the entry's dispatcher.
class agent_ranking {
public:
    /// `max_candidates` limits the number of agents that are ranked for a request.
    agent_ranking(hot_prefix_tracker_options tracker_options, std::size_t max_candidates)
        : hot_prefixes_(tracker_options), max_candidates_(max_candidates)
    {
    }

    /// Determines the eligible agents; called when the directory or the configuration changes.
    void rebuild(const instance_directory& directory, const configuration_state& state);
    /// Returns the names of up to `max_candidates` agents in order of preference; those to be
    /// avoided come last.
    std::vector<std::string> rank(const std::string& service, const placement_key& placement,
                                  millis now);

    /// Ranks an agent last until `until`: it was unreachable, failed, or accepts no requests for
    /// a while.
    void avoid(const std::string& instance, millis until) { avoided_until_[instance] = until; }
    void stop_avoiding(const std::string& instance) { avoided_until_.erase(instance); }
    /// Records that an agent refused a request because of load, so that the prefix is spread over
    /// more engines.
    void record_load_refusal(std::uint64_t prefix, millis now)
    {
        hot_prefixes_.record_refusal(prefix, now);
    }
    void remove_expired(millis now);
    std::size_t hot_prefixes() const { return hot_prefixes_.size(); }

private:
    hot_prefix_tracker hot_prefixes_;
    std::size_t max_candidates_;
    std::map<std::string, millis> avoided_until_;
    std::map<std::string, std::vector<placement_candidate>> pools_; // keyed by service
    std::vector<std::string> agent_names_; // indexed by `placement_candidate::index`
};

} // namespace cyclamen
