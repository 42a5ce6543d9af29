#pragma once

#include "agent_link.h"
#include "kernel.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

class instance_directory;

/// The links of an entry to agents, each opened on first use.  Owned by the entry's
/// dispatcher.
class agent_links {
public:
    struct hooks {
        std::function<void(const std::string& instance, const wire::envelope& message)> on_message;
        std::function<void(const std::string& instance, bool same_incarnation)> on_welcome;
        /// Called when a connection was not established in time, and when a link is closed because
        /// the agent is listed at another address.
        std::function<void(const std::string& instance)> on_unreachable;
        std::function<wire::hello()> hello;
    };

    /// A link is closed when it has not been used for `idle_timeout`.
    agent_links(kernel& core, agent_link_options options, millis idle_timeout, hooks callbacks)
        : core_(core), options_(options), idle_timeout_(idle_timeout), hooks_(std::move(callbacks))
    {
    }

    /// Returns the link to an agent, opening it if necessary.  Returns null if no link is open
    /// and the directory does not list the agent.
    agent_link* find_or_open(const instance_directory& directory, const std::string& instance);
    /// Returns the open link to an agent, or null.
    agent_link* find(const std::string& instance) const;
    /// Returns the open link to an agent; throws std::out_of_range if there is none.
    agent_link& at(const std::string& instance) { return *links_.at(instance); }
    /// Runs the heartbeat and timeout checks of the links in use and closes idle links.
    /// The links of `agents_with_open_requests`, given by instance name, count as in use.
    void tick(const std::set<std::string>& agents_with_open_requests,
              std::uint64_t configuration_offset);
    nlohmann::json describe() const;

private:
    agent_link* open(const std::string& instance, const std::string& address);

    kernel& core_;
    agent_link_options options_;
    millis idle_timeout_;
    hooks hooks_;
    std::map<std::string, std::unique_ptr<agent_link>> links_; // keyed by instance
    // Closed links whose callbacks may still be running; freed at the next tick.
    std::vector<std::unique_ptr<agent_link>> retired_;
};

} // namespace cyclamen
