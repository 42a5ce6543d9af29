#pragma once

#include "backend_health.h"
#include "relay_configuration.h"
#include "server_words.h"
#include "start_rate_limit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// Age from which load reports are ignored, since requests start and finish within a second.
inline constexpr millis load_report_lifetime = 1000ms;

/// Load that a backend server reports in the headers of a response.
struct backend_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    // Current duration of work in per cent of the usual one; empty if the server states none.
    std::optional<unsigned> work_percent;
    bool counted = true; // `running` is known; otherwise only `work_percent` is
};

/// Time for which a stated limit is kept if no response repeats it, and for which its end is told
/// to peers.
inline constexpr millis stated_limit_lifetime = 60000ms;

/// Limit that a backend server has stated for the requests of all entries together.
struct stated_limit {
    std::optional<double> per_second; // empty if the server has stated that there is none any more
    millis at{-1000000};              // time of the statement; initially long past
};

/// State of one backend server as known to this entry.
struct backend {
    backend_entry entry;
    std::uint64_t hash = 0; // hash of the server's id, for placement
    std::uint64_t incarnation_hash = 0;
    millis listed_at{0}; // time at which `entry` was last read
    millis cold_until{0};
    bool missing = false;              // `entry` expired during an outage of its source
    unsigned in_flight = 0;            // requests from this entry process
    unsigned peer_in_flight = 0;       // requests from peers, by their latest digests
    unsigned peer_reported_load = 0;   // load that the server reported to a peer
    millis peer_reported_at{-1000000}; // time of that report; initially long past
    // A connection was lost during a request, here or at a peer; initially long past.
    millis lost_at{-1000000};
    millis refused_at{-1000000}; // the same of a connection that was refused
    backend_load reported_load;
    unsigned in_flight_at_report = 0;  // value of `in_flight` at `reported_at`
    millis reported_at{-1000000};      // time of the last load report; initially long past
    millis work_reported_at{-1000000}; // time of the last report with a duration of work
    backend_health health;
    start_rate_limit cold_starts;
    stated_limit limit;
    start_rate_limit limited_starts;

    /// Estimated number of requests running or waiting at the server, from all entries.
    unsigned load(millis now) const;
    /// Whether the server has as many requests as it runs at once, as far as known.
    bool full(millis now) const { return entry.slots > 0 && load(now) >= entry.slots; }
    bool cold(millis now) const { return now < cold_until; }
    /// Hash that identifies this incarnation of the server on all entries.
    std::uint64_t incarnation() const { return incarnation_hash; }
};

struct backend_table_options {
    millis return_grace = 2300ms;           // retention of expired entries after a source outage
    millis cold_slack = 300ms;              // added to the cold start time that a server reports
    millis cold_after_unreachable = 2500ms; // time for which an unreachable server counts as cold
};

/// Whether a backend server still runs the software that its entry names.
enum class software_trust {
    listed,    // nothing speaks against it
    doubtful,  // it may have started again; the source answers and does not tell so yet
    restarted, // it has started again, or may have while the source could not tell
};

/// The backend servers that published an entry, and which of them accept requests.  Reads no clock:
/// the caller passes the current time.
class backend_table {
public:
    explicit backend_table(backend_table_options options = {}) : options_(options) {}

    /// Effect of `put`.
    enum class put_result { stale, same_incarnation, new_incarnation };

    /// Inserts or updates a server; an out-of-order entry is ignored.
    put_result put(const backend_entry& entry, millis now);
    /// Removes the server, or marks it as missing during and shortly after a source outage.
    void drop(const std::string& id, millis now);
    /// Sets the availability zones that operators have disabled.
    void set_disabled_zones(std::set<std::string> zones) { disabled_zones_ = std::move(zones); }
    const std::set<std::string>& disabled_zones() const { return disabled_zones_; }
    /// Records that the source of entries does not respond; known servers stay in use.
    void source_lost() { source_down_ = true; }
    /// Records that the source responds; starts the grace period in which expired entries stay.
    void source_regained(millis now);
    /// Starts the grace period in which expired entries stay.
    void start_grace(millis now) { grace_until_ = now + options_.return_grace; }
    /// Ends that period, if it runs.  Returns whether it did.
    bool end_grace(millis now);
    /// Removes servers that are still missing after the grace period, and returns their last state.
    std::vector<std::unique_ptr<backend>> sweep(millis now);

    backend* find(const std::string& id);
    /// Finds a server by the low 32 bits of the hash of its id, the key used between entries.
    const backend* find_by_hash(std::uint32_t hash) const;
    /// The servers of `service` that accept requests, ordered by id.
    std::vector<backend*> usable(const std::string& service) const;
    /// Whether the service has servers and none accepts requests.
    bool none_accepts(const std::string& service) const;
    /// Mean load over all servers of `service`.  Servers that accept no requests are included:
    /// they belong to the pool until they are removed.
    double mean_load(const std::string& service, millis now) const;
    /// Records a failed connection to the server.
    void record_connect_failure(backend& server, millis now);
    /// Records that a connection to the server was lost during a request.  Returns whether that
    /// is the first for a while, of which peers should know.
    static bool record_loss(backend& server, millis at);
    /// Records that a connection to the server was refused: its process had ended.
    static void record_refusal(backend& server, millis at)
    {
        server.refused_at = std::max(server.refused_at, at);
    }
    /// Records that the entries were those of the source at this time.
    void source_confirmed(millis at) { confirmed_at_ = std::max(confirmed_at_, at); }
    /// Whether the server has started again under its id, perhaps with other software.  A server
    /// publishes its entry as soon as it starts, so only a source that has answered since then
    /// can dispel the doubt.
    software_trust trust(const backend& server, millis now) const;
    /// Records the outcome of a request at the server.
    void record_outcome(backend& server, backend_outcome outcome, millis now);
    /// Outcomes of requests at all servers of `service` together.
    const backend_health& outcomes_of(const std::string& service) { return outcomes_[service]; }
    /// Records the load that the server reported to this entry.
    void record_load(backend& server, const backend_load& load, millis now);
    /// Records whether a response of the server stated a limit of its requests.
    static void record_limit(backend& server, std::optional<double> per_second, millis now);

    /// What a server stated to this entry or to a peer.
    struct limit_report {
        std::uint32_t server = 0; // low 32 bits of the hash of its id
        stated_limit limit;
    };

    /// The limits in force, and those that ended recently.
    std::vector<limit_report> limits_to_report(millis now) const;
    /// Records a report from a peer; ignored if it is not later than what is known.
    void record_limit_report(const limit_report& report, millis now);
    /// Replaces the in-flight counts of the peer `entry`, keyed by the low 32 bits of the hash of
    /// the server's id, received at the given time; without one, the peer is forgotten.  Returns
    /// false if the old and the new counts are both empty.
    bool set_peer_in_flight(const std::string& entry, std::map<std::uint32_t, unsigned> counts,
                            std::optional<millis> received_at = std::nullopt);
    /// Mean age of the peers' counts; empty if there are none.
    std::optional<millis> count_age(millis now) const;

    /// Load that a server reported to this entry or to a peer.
    struct busy_report {
        std::uint32_t server = 0; // low 32 bits of the hash of its id
        unsigned held = 0;        // requests running or waiting
        millis at{0};
    };

    /// Recent reports of servers whose load is far above the mean of their service.
    std::vector<busy_report> busy_to_report(millis now) const;
    /// Records a report from a peer; ignored if its time is in the future or not later than that of
    /// the last known report.
    void record_busy_report(const busy_report& report, millis now);

    /// Decayed numbers of successful and failed requests at one server.
    struct outcome_counts {
        double successes = 0;
        double failures = 0;
    };
    using outcomes_by_server = std::map<std::uint32_t, outcome_counts>;

    /// This entry's outcome counts, to be reported to peers, at servers with recent failures; keyed
    /// by the low 32 bits of the hash of the server's id.
    outcomes_by_server outcomes_to_report(millis now) const;
    /// Replaces the outcome counts of the peer `entry`.
    void set_peer_outcomes(const std::string& entry, const outcomes_by_server& outcomes,
                           millis now);
    /// Sum of the outcome counts that peers reported for a server.
    backend_health peer_outcomes(const backend& server, millis now) const;

    /// What the servers have said of themselves.
    server_words& words() { return words_; }
    const server_words& words() const { return words_; }

    const std::map<std::string, std::unique_ptr<backend>>& all() const { return servers_; }

private:
    bool accepts(const backend& server) const;
    void rebuild_indexes() const;
    void adjust_peer_in_flight(std::uint32_t hash, unsigned removed, unsigned added);

    backend_table_options options_;
    std::map<std::string, std::unique_ptr<backend>> servers_; // by id
    // Indexes over `servers_`, rebuilt on the first lookup after a change, because a listing
    // changes many servers at once.
    mutable bool indexes_valid_ = true;
    mutable std::unordered_map<std::uint32_t, backend*> by_hash_;
    mutable std::unordered_map<std::string, std::vector<backend*>> pools_;    // by service
    std::unordered_map<std::string, backend_health> outcomes_;                // by service
    std::map<std::string, std::map<std::uint32_t, unsigned>> peer_in_flight_; // by peer
    std::unordered_map<std::string, millis> counts_received_;                 // by peer
    millis counts_received_sum_{0};                                           // sum of these times
    std::unordered_map<std::uint32_t, unsigned> peer_in_flight_sums_; // by server, over all peers
    // By peer, then by server.
    std::map<std::string, std::unordered_map<std::uint32_t, backend_health>> peer_outcomes_;
    std::set<std::string> disabled_zones_;
    server_words words_;
    bool source_down_ = false;
    millis confirmed_at_{0};
    millis grace_until_{0}; // end of the grace period after the last source outage
};

} // namespace cyclamen
