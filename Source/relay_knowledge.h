#pragma once

#include "backend_table.h"
#include "crash_watch.h"
#include "kernel.h"
#include "prompt_places.h"
#include "route_table.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>

#include <memory>
#include <set>
#include <string>

namespace cyclamen {

struct relay_knowledge_options {
    // Knowledge that no source confirmed for so long is stale: a route or key that it
    // lacks may be there.
    millis fresh_for = 7000ms;
    backend_table_options backends;
};

/// What an entry that sends straight to backend servers knows: configuration, orders and
/// backend servers, each with the time at which its source last confirmed it.  Sources
/// hand news in; nothing here asks for any.  Owned by the kernel as "knowledge".
class relay_knowledge : public service {
public:
    relay_knowledge(kernel& core, relay_knowledge_options options)
        : core_(core), options_(options), backends_(options.backends), crashes_(core.instance()),
          confirmed_at_(core.now())
    {
    }

    std::string_view name() const override { return "knowledge"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Takes a configuration; one that is not newer is left out.
    void take_configuration(relay_configuration configuration);
    void take_backend(const backend_entry& entry);
    void drop_backend(const std::string& id);
    void take_zones_out(std::set<std::string> zones);
    /// All there is was read at least once.
    void complete();
    /// The own source has confirmed that there is nothing newer.
    void confirmed();
    /// A peer that knows as much has heard so from its source, `ago`.
    void confirmed_by_peer(millis ago);
    /// The own source does not answer.  It counts as lost unless a peer's does.
    void source_failed(const std::string& why);

    /// A prompt that begins with this part was sent to a server by this entry.
    void placed(prompt_places::place place);
    /// The same, by a peer.
    void placed_by_peer(prompt_places::place place) { places_.note(place, core_.now()); }
    const prompt_places& places() const { return places_; }

    /// A connection to the server did not come up.
    void backend_unreachable(backend& server);
    /// Requests that crash servers, as all entries have seen them.
    crash_watch& crashes() { return crashes_; }

    /// The configuration in force; none before the first was read.
    std::shared_ptr<const route_table> routes() const { return routes_; }
    backend_table& backends() { return backends_; }
    bool is_complete() const { return complete_; }
    bool fresh() const { return complete_ && age() < options_.fresh_for; }
    /// Time since a source last confirmed what is known, or since the start.
    millis age() const { return core_.now() - confirmed_at_; }

    /// Raised when a new configuration came into force.
    sigc::signal<void()> configured;
    /// Raised when this entry has sent a prompt where it was not known to be.
    sigc::signal<void(prompt_places::place)> newly_placed;
    /// Raised when a request was counted with the crash of a server.
    sigc::signal<void(const wire::crash_report&)> crash_counted;
    /// The source of a peer answers; set by what knows peers.
    std::function<bool()> others_confirm;

private:
    void backend_down(const std::string& id);
    void lose_source(const std::string& why);
    void regain_source();

    kernel& core_;
    relay_knowledge_options options_;
    std::shared_ptr<const route_table> routes_;
    backend_table backends_;
    prompt_places places_;
    crash_watch crashes_;
    bool complete_ = false;
    bool lost_ = false;
    millis confirmed_at_{0};
    millis configured_at_{0};
    kernel::timer sweep_;
};

} // namespace cyclamen
