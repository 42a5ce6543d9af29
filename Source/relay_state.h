#pragma once

#include "backend_table.h"
#include "crash_detector.h"
#include "kernel.h"
#include "prefix_locations.h"
#include "route_table.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>

#include <memory>
#include <set>
#include <string>

namespace cyclamen {

struct relay_state_options {
    // State that no source has confirmed for this long is stale: a route or key that is missing
    // from it may exist by now.
    millis fresh_for = 7000ms;
    backend_table_options backends;
};

/// The state of an entry that sends requests directly to backend servers: configuration,
/// operators' orders, backend servers and prefix locations, with the time at which a source last
/// confirmed it.  The source of an entry is the store from which it reads this state.  Passive:
/// sources push their updates.  Owned by the kernel as "knowledge".
class relay_state : public service {
public:
    relay_state(kernel& core, relay_state_options options)
        : core_(core), options_(options), backends_(options.backends), crashes_(core.instance()),
          confirmed_at_(core.now())
    {
    }

    std::string_view name() const override { return "knowledge"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Puts a configuration in force, unless its version is not newer than the current one.
    void apply_configuration(relay_configuration configuration);
    void update_backend(const backend_entry& entry);
    void remove_backend(const std::string& id);
    /// Sets the availability zones that operators have disabled.
    void update_zones_out(std::set<std::string> zones);
    /// Marks the state as sufficient to serve requests: each source was read, at least in part.
    void mark_complete();
    /// Records that this entry's own source answered and the state is current.
    void confirmed_by_source();
    /// Records that a peer's source confirmed this state `ago` before now.  Call only if the peer
    /// has no newer state.
    void confirmed_by_peer(millis ago);
    /// Reports that this entry's own source does not answer.  The source counts as lost unless
    /// that of a peer answers.
    void source_failed(const std::string& why);

    /// Records that this entry sent a prompt with this prefix segment to this server.
    void add_location(prefix_locations::location location);
    /// Records the same for a prompt that a peer sent.
    void add_location_from_peer(prefix_locations::location location)
    {
        locations_.record_use(location, core_.now());
    }
    const prefix_locations& locations() const { return locations_; }

    /// Reports that a connection to the server could not be established.
    void backend_unreachable(backend& server);
    /// Detects requests that crash servers, from observations of all entries.
    crash_detector& crashes() { return crashes_; }

    /// The configuration in force; null until the first one arrives.
    std::shared_ptr<const route_table> routes() const { return routes_; }
    backend_table& backends() { return backends_; }
    bool is_complete() const { return complete_; }
    bool fresh() const { return complete_ && source_age() < options_.fresh_for; }
    /// Time since a source last confirmed the state, or since the start if none has.
    millis source_age() const { return core_.now() - confirmed_at_; }

    /// Raised when a new configuration has come into force.
    sigc::signal<void()> configured;
    /// Raised when this entry has sent a prompt prefix to a server not known to cache it.
    sigc::signal<void(prefix_locations::location)> location_added;
    /// Raised when a request was associated with the crash of a server.
    sigc::signal<void(const wire::crash_report&)> crash_recorded;
    /// Returns whether the source of at least one peer answers; set by peer_gossip.
    std::function<bool()> peer_source_available;

private:
    void backend_down(const std::string& id);
    void mark_source_lost(const std::string& why);
    void mark_source_regained();

    kernel& core_;
    relay_state_options options_;
    std::shared_ptr<const route_table> routes_;
    backend_table backends_;
    prefix_locations locations_;
    crash_detector crashes_;
    bool complete_ = false;
    bool source_lost_ = false;
    millis confirmed_at_{0};
    millis configured_at_{0};
    kernel::timer sweep_timer_;
};

} // namespace cyclamen
