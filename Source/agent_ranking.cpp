#include "agent_ranking.h"

#include "hashing.h"

namespace cyclamen {

void agent_ranking::rebuild(const instance_directory& directory, const configuration_state& state)
{
    pools_.clear();
    agent_names_.clear();
    for (const auto& [name, listed] : directory.instances()) {
        if (listed.role != instance_role::agent || listed.leaving ||
            state.zone_out(listed.availability_zone) || state.drained(name)) {
            continue;
        }
        const auto index = static_cast<std::uint32_t>(agent_names_.size());
        agent_names_.push_back(name);
        pools_[listed.service].push_back({.hash = hash_of(name), .index = index});
    }
}

std::vector<std::string> agent_ranking::rank(const std::string& service,
                                             const placement_key& placement, millis now)
{
    std::vector<std::string> ranked;
    const auto pool = pools_.find(service);
    if (pool == pools_.end()) {
        return ranked;
    }
    const std::size_t width = hot_prefixes_.width(placement.prefix, now);
    std::vector<std::string> last;
    for (const std::uint32_t index :
         rank_engines(placement, pool->second, width, max_candidates_)) {
        const auto avoided = avoided_until_.find(agent_names_[index]);
        const bool avoid = avoided != avoided_until_.end() && now < avoided->second;
        (avoid ? last : ranked).push_back(agent_names_[index]);
    }
    ranked.insert(ranked.end(), last.begin(), last.end());
    return ranked;
}

void agent_ranking::remove_expired(millis now)
{
    std::erase_if(avoided_until_, [&](const auto& avoided) { return now >= avoided.second; });
}

} // namespace cyclamen
