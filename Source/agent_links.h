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

/// The links of an entry to agents, opened when they are needed first.  Owned by the
/// entry's dispatcher.
class agent_links {
public:
    struct hooks {
        std::function<void(const std::string& instance, const wire::envelope& message)> on_message;
        std::function<void(const std::string& instance, bool same)> on_welcome;
        std::function<void(const std::string& instance)> on_unreachable;
        std::function<wire::hello()> hello;
    };

    /// A link that was not used for `idle` is closed.
    agent_links(kernel& core, agent_link_options options, millis idle, hooks collaborators)
        : core_(core), options_(options), idle_(idle), hooks_(std::move(collaborators))
    {
    }

    /// The link to an agent; none while the agent is not listed.
    agent_link* to(const instance_directory& directory, const std::string& instance);
    agent_link& at(const std::string& instance) { return *links_.at(instance); }
    /// Keeps links alive where requests are open, and closes idle ones.
    void tick(const std::set<std::string>& with_open_requests, std::uint64_t configuration_offset);
    nlohmann::json describe() const;

private:
    agent_link* open(const std::string& instance, const std::string& address);

    kernel& core_;
    agent_link_options options_;
    millis idle_;
    hooks hooks_;
    std::map<std::string, std::unique_ptr<agent_link>> links_; // by instance
    std::vector<std::unique_ptr<agent_link>> retired_;         // may still be in a call
};

} // namespace cyclamen
