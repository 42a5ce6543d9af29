#pragma once

#include "enum_names.h"
#include "http_client.h"
#include "kernel.h"
#include "net_address.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>

#include <map>
#include <string>

namespace cyclamen {

enum class instance_role { entry, agent };

inline constexpr std::array instance_role_names{
    enum_name<instance_role>{instance_role::entry, "entry"},
    enum_name<instance_role>{instance_role::agent, "agent"},
};

/// One instance in the platform's instance list.
struct listed_instance {
    std::string name;
    instance_role role = instance_role::agent;
    std::string availability_zone;
    std::string service;  // service of an agent's backend server
    std::string address;  // IP:PORT at which an agent accepts links of entries and agents
    bool leaving = false; // the platform reports the state `leaving`
};

struct instance_directory_options {
    net_address list; // HTTP server of the instance list
    millis poll_interval = 1000ms;
    // Average download rate that polling may use; a long list is polled less often.
    std::size_t max_bytes_per_second = 10000;
    millis timeout = 2000ms; // of one HTTP request
};

/// Polls the platform's list of instances, which may be stale.  While the list cannot be
/// fetched, the last one stays in use.  Owned by the kernel as "directory".
class instance_directory : public service {
public:
    instance_directory(kernel& core, instance_directory_options options);

    std::string_view name() const override { return "directory"; }
    void start() override;
    nlohmann::json describe() const override;

    const std::map<std::string, listed_instance>& instances() const { return instances_; }
    /// Returns null if the list does not contain the instance.
    const listed_instance* find(const std::string& name) const;
    /// Number of agents of `service` that are not leaving.
    std::size_t pool_size(const std::string& service) const;

    /// Emitted when the list has changed.
    sigc::signal<void()> changed;

private:
    void poll();
    millis next_poll_delay();

    kernel& core_;
    instance_directory_options options_;
    http_fetcher fetcher_;
    std::map<std::string, listed_instance> instances_;
    std::string last_body_;
    kernel::timer timer_;
    bool list_reachable_ = true;
    millis last_fetched_{0};
};

} // namespace cyclamen
