#include "agent_links.h"

#include "instance_directory.h"

#include <nlohmann/json.hpp>

namespace cyclamen {

agent_link* agent_links::find_or_open(const instance_directory& directory,
                                      const std::string& instance)
{
    const listed_instance* listed = directory.find(instance);
    const auto found = links_.find(instance);
    if (found != links_.end()) {
        if (listed == nullptr || listed->address == found->second->address()) {
            return found->second.get();
        }
        // The agent is now listed at another address, so it is a new process.
        retired_.push_back(std::move(found->second));
        links_.erase(found);
        hooks_.on_unreachable(instance);
        // The callback may have dispatched a request to the agent and so reopened the link.
        const auto reopened = links_.find(instance);
        if (reopened != links_.end()) {
            return reopened->second.get();
        }
    }
    return listed == nullptr ? nullptr : open(instance, listed->address);
}

agent_link* agent_links::find(const std::string& instance) const
{
    const auto found = links_.find(instance);
    return found == links_.end() ? nullptr : found->second.get();
}

agent_link* agent_links::open(const std::string& instance, const std::string& address)
{
    ++core_.metrics().named("links_opened");
    agent_link::handlers handlers{
        .on_message = [this, instance](
                          const wire::envelope& message) { hooks_.on_message(instance, message); },
        .on_welcome = [this, instance](
                          bool same_incarnation) { hooks_.on_welcome(instance, same_incarnation); },
        .on_unreachable = [this, instance] { hooks_.on_unreachable(instance); },
        .hello = hooks_.hello};
    auto link =
        std::make_unique<agent_link>(core_, instance, address, options_, std::move(handlers));
    agent_link* opened = link.get();
    links_[instance] = std::move(link);
    return opened;
}

void agent_links::tick(const std::set<std::string>& agents_with_open_requests,
                       std::uint64_t configuration_offset)
{
    retired_.clear();
    std::vector<agent_link*> links;
    for (const auto& [instance, link] : links_) {
        links.push_back(link.get());
    }
    const millis now = core_.now();
    for (agent_link* link : links) {
        const bool open = agents_with_open_requests.contains(link->instance());
        if (!open && now - link->last_used() > idle_timeout_) {
            const std::string instance = link->instance();
            retired_.push_back(std::move(links_.at(instance)));
            links_.erase(instance);
            continue;
        }
        if (open || link->welcomed()) {
            link->on_tick(open, configuration_offset);
        }
    }
}

nlohmann::json agent_links::describe() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [instance, link] : links_) {
        rows.push_back({{"agent", instance},
                        {"welcomed", link->welcomed()},
                        {"replaced", link->reconnects()}});
    }
    return rows;
}

} // namespace cyclamen
