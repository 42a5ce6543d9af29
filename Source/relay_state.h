#pragma once

#include "backend_table.h"
#include "crash_detector.h"
#include "enum_names.h"
#include "kernel.h"
#include "prefix_locations.h"
#include "route_table.h"
#include "service.h"
#include "stream_origins.h"

#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cyclamen {

struct relay_state_options {
    // State that no source has confirmed for this long is stale: a route or key that is missing
    // from it may exist by now.
    millis fresh_for = 7000ms;
    backend_table_options backends;
    crash_detector_options crashes;
};

/// What shows that an incarnation of a backend server has ended.
enum class server_end_sign {
    restarted,      // it is listed again, with a later start or another address
    removed,        // its entry was removed or has expired
    refused,        // its machine refused a connection
    address_reused, // a server that started later has its address
    misdirected,    // another server answers at its address
    peer,           // a peer knows
};

inline constexpr std::array server_end_sign_names{
    enum_name<server_end_sign>{server_end_sign::restarted, "restarted"},
    enum_name<server_end_sign>{server_end_sign::removed, "removed"},
    enum_name<server_end_sign>{server_end_sign::refused, "refused"},
    enum_name<server_end_sign>{server_end_sign::address_reused, "address_reused"},
    enum_name<server_end_sign>{server_end_sign::misdirected, "misdirected"},
    enum_name<server_end_sign>{server_end_sign::peer, "peer"},
};

/// The state of an entry that sends requests directly to backend servers: configuration,
/// operators' orders, backend servers and prefix locations, with the time at which a source last
/// confirmed it.  The source of an entry is the store from which it reads this state.  Passive:
/// sources push their updates.  Owned by the kernel as "knowledge".
class relay_state : public service {
public:
    relay_state(kernel& core, relay_state_options options)
        : core_(core), options_(options), backends_(options.backends), crashes_(options.crashes),
          confirmed_at_(core.now()), steady_since_(confirmed_at_)
    {
    }

    std::string_view name() const override { return "knowledge"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Puts a configuration in force, unless its version is older than the current one.
    void apply_configuration(relay_configuration configuration);
    void update_backend(const backend_entry& entry);
    void remove_backend(const std::string& id);
    /// Sets the availability zones that operators have disabled.
    void update_zones_out(std::set<std::string> zones);
    /// Marks the state as sufficient to serve requests: each source was read, at least in part.
    void mark_complete();
    /// Records that this entry's own source answered and the state is current.
    void confirmed_by_source();
    /// Records that the source was restored from an older copy: entries of backend servers that
    /// live may expire before these write again.
    void source_restored();
    /// Records that a peer's source confirmed this state `ago` before now.  Call only if the peer
    /// has no newer state.
    void confirmed_by_peer(millis ago);
    /// Records that a peer's source has answered without a gap for the last `time`.  Entries that
    /// expired while this entry was cut off are then those of servers that left.
    void peer_source_steady(millis time);
    /// Time for which a source has confirmed the state without a gap that entries expire in.
    millis source_steady_time() const { return confirmed_at_ - steady_since_; }
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

    /// At which software version the streams of all entries began.
    stream_origins& origins() { return origins_; }
    /// The same of one stream, if this entry has a record of it.
    std::optional<std::string> known_origin(std::uint64_t stream, const std::string& service) const
    {
        return origins_.find(stream, service, core_.now());
    }
    /// The version at which the stream began if it has no record; empty if that is not known for
    /// certain.
    std::optional<std::string> default_version(const std::string& service,
                                               std::uint64_t stream) const
    {
        return origins_.default_version(service, stream, core_.now());
    }
    /// The same of all streams; also empty if several versions share them.
    std::optional<std::string> default_version(const std::string& service) const
    {
        return origins_.only_default_version(service, core_.now());
    }
    void set_default_versions(const std::string& service, const version_shares& shares,
                              millis read_at);
    void set_default_version(const std::string& service, const std::string& version, millis read_at)
    {
        set_default_versions(service, version_shares({{.version = version}}), read_at);
    }
    /// Slots of the listed servers of each version that do not leave, by service and version.
    std::map<std::string, std::map<std::string, std::uint32_t>> slots_by_version() const;
    /// Called when a server of a version is listed that has no share of its service's streams.
    std::function<void()> on_version_without_share;
    /// Whether servers of another version have served lately.
    bool others_served(const std::string& service, const std::string& version);
    /// Records that values of the list of backend servers were skipped, so that servers may have
    /// come and left unnoticed.
    void backends_skipped();
    /// Notes the versions of the listed servers.
    void note_versions();
    /// Records where a stream of this entry begins.  Its caller may get no event before `on_told`
    /// is called, which may be at once; it passes on whether others can tell where the stream began
    /// even if all entries end.
    void begin_stream(const stream_origin& origin, std::function<void(bool archived)> on_told);
    /// Tells others where a stream begins.  If unset, there are none.
    std::function<void(std::uint64_t stream, origin_duty duty,
                       std::function<void(bool archived)> on_told)>
        announce_origin;
    /// Reports that the archive did not confirm in time where a stream began.
    void archive_failed() { archive_failed_at_ = core_.now(); }
    /// Whether neither this entry's source nor that of a peer answers.
    bool source_lost() const { return source_lost_; }
    /// Whether the archive may not be able to record where streams begin.
    bool archive_doubtful() const;
    /// The only software version at which the stream may begin, because the archive may not be able
    /// to record another; empty text if there is none.  Unset if it may begin at any.
    std::optional<std::string> unrecorded_version(const std::string& service,
                                                  std::uint64_t stream) const;
    /// Finds the software version at which a stream of the service began; passes on none if it
    /// can't be known.  May call back at once.
    void find_origin(std::uint64_t stream, const std::string& service,
                     std::function<void(std::optional<std::string>)> on_end);
    /// The same for a stream that is not known here, with the help of others.  If unset, none can
    /// help.
    std::function<void(std::uint64_t stream, const std::string& service,
                       std::function<void(std::optional<std::string>)> on_end)>
        search_origin;

    /// Reports that a response of this incarnation of the server says that it leaves.
    void backend_leaves(const std::string& id, std::uint64_t incarnation);
    /// Reports that a peer knows that for `age`.
    void peer_heard_leaving(std::uint64_t incarnation, millis age);
    /// Reports that it wants no requests of this entry for `time`.
    void backend_rests(const std::string& id, std::uint64_t incarnation, millis time);
    /// Reports that a connection to the server could not be established; `refused` is true if
    /// its machine answered that no process listens there.
    void backend_unreachable(backend& server, bool refused);
    /// Reports that a connection to this incarnation of the server was lost during a request: it
    /// may have started again.
    void backend_lost(backend& server);
    /// Reports that another server has answered at the address of this incarnation.
    void backend_misdirected(const std::string& id, std::uint64_t incarnation);
    /// Reports that a request is sent to a server; returns the number of the attempt.
    crash_detector::attempt_number begin_attempt(attempt_subject subject)
    {
        return crashes_.begin(std::move(subject), core_.now());
    }
    /// Reports a sign of life of this incarnation of a server.
    void backend_heard(std::uint64_t incarnation)
    {
        publish(crashes_.on_server_heard(incarnation, core_.now()));
    }
    /// Reports the end of the attempt.
    void end_attempt(crash_detector::attempt_number attempt, attempt_end how);
    /// Tells the peers at once what only this entry knows of lost requests.
    void publish_losses();
    /// Merges what a peer, or an earlier process, knows about crashes.
    void merge_crash_evidence(const wire::crash_evidence& evidence);
    /// The first of the suspects that is quarantined, if any.
    std::optional<std::uint64_t> quarantined(const std::vector<suspect>& suspects) const
    {
        return crashes_.evidence().quarantined(suspects, core_.now());
    }
    /// What crashes servers, as concluded from the observations of all entries.
    const crash_register& crashes() const { return crashes_.evidence(); }
    /// What was observed recently, and `suspects` of what is known, for a peer; `start` selects
    /// both in turn.
    wire::crash_evidence crash_news(std::size_t start, std::size_t suspects) const;

    /// The configuration in force; null until the first one arrives.
    std::shared_ptr<const route_table> routes() const { return routes_; }
    backend_table& backends() { return backends_; }
    bool is_complete() const { return complete_; }
    /// Whether an unknown route or key is unknown to operators, too, as far as this entry can tell.
    bool fresh() const
    {
        return complete_ && source_age() < options_.fresh_for &&
               !(newer_orders_known && newer_orders_known());
    }
    /// Time since a source last confirmed the state, or since the start if none has.
    millis source_age() const { return core_.now() - confirmed_at_; }

    /// Raised when a new configuration has come into force.
    sigc::signal<void()> configured;
    /// Raised when this entry has sent a prompt prefix to a server not known to cache it.
    sigc::signal<void(prefix_locations::location)> location_added;
    /// Raised when this entry has found evidence about crashes that its peers may lack.
    sigc::signal<void(const wire::crash_evidence&)> crash_evidence_found;
    /// Raised when a suspect was quarantined or released.
    sigc::signal<void(std::uint64_t hash, bool quarantined)> quarantine_changed;
    /// Returns whether the source of at least one peer answers; set by peer_gossip.
    std::function<bool()> peer_source_available;
    /// Returns whether a peer has later orders of operators than this entry; set by peer_gossip.
    std::function<bool()> newer_orders_known;

private:
    void publish(const std::vector<std::uint64_t>& suspects,
                 std::optional<std::uint64_t> server_down = std::nullopt);
    void check_quarantine();
    void on_server_ended(const std::string& id, std::uint64_t incarnation, server_end_sign sign);
    void end_predecessors(const backend_entry& entry);
    void merge_doubts(const wire::crash_evidence& evidence);
    void mark_source_lost(const std::string& why);
    void mark_source_regained();
    void set_confirmed(millis at);

    kernel& core_;
    relay_state_options options_;
    std::shared_ptr<const route_table> routes_;
    backend_table backends_;
    prefix_locations locations_;
    stream_origins origins_;
    crash_detector crashes_;
    std::set<std::uint64_t> quarantine_; // suspects of which `quarantine_changed` was raised
    bool complete_ = false;
    bool source_lost_ = false;
    millis confirmed_at_{0};
    millis archive_failed_at_{-1000000}; // initially long past
    millis steady_since_{0};
    // Last confirmation before an outage that has just ended, in whose wake expired entries stay.
    std::optional<millis> outage_began_;
    millis configured_at_{0};
    kernel::timer sweep_timer_;
};

} // namespace cyclamen
