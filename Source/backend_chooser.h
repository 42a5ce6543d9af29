#pragma once

#include "backend_table.h"
#include "enum_names.h"
#include "load_forecast.h"
#include "placement.h"
#include "prefix_locations.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

/// Order in which backend servers are considered for a request that has a prompt.  `kept` is
/// the policy for production; the others are baselines for measurements.
enum class placement_policy {
    kept,         // servers that recently got the prompt prefix, then rendezvous order
    home,         // rendezvous order of the prompt prefix over the whole pool
    zone_home,    // rendezvous order, servers in this entry's availability zone first
    least_loaded, // by load, as for requests without a prompt
    random,
};

inline constexpr std::array placement_policy_names{
    enum_name<placement_policy>{placement_policy::kept, "kept"},
    enum_name<placement_policy>{placement_policy::home, "home"},
    enum_name<placement_policy>{placement_policy::zone_home, "zone_home"},
    enum_name<placement_policy>{placement_policy::least_loaded, "least_loaded"},
    enum_name<placement_policy>{placement_policy::random, "random"},
};

struct backend_chooser_options {
    placement_policy policy = placement_policy::kept;
    bool copies_prompts = true; // choose a server to copy the cached prefix from
    std::string zone;           // availability zone of this entry
    // A server is over the load bound when one more request would raise its load above
    // load_multiple * (mean load of all servers of the service) + load_margin.
    double load_multiple = 2.0;
    double load_margin = 1.5;
    // Replaces `load_margin` for prompts with long shared prefixes: computing the prefix on
    // another server takes longer than waiting behind one more request.
    double long_prompt_margin = 2.5;
    // Shared prefix length from which a prompt counts as long: an engine processes about this
    // many tokens in one step.
    unsigned long_prompt_tokens = 4096;
    unsigned remote_zone_penalty = 2; // requests added to the load of servers in other zones
    // Share of a cold server's admissible start rate that all entries together use.
    double cold_start_share = 0.8;
    // Chooses by the expected load (`load_forecast`) instead of the known one.  A service whose
    // servers report the duration of their work is treated so in any case.
    bool even_load = false;
    std::uint64_t seed = 0; // of the random part of that choice; differs between entries
};

/// Admits the servers of one software version, or those of all others.
struct version_filter {
    std::string version;
    bool only = true; // admits only `version`; if false, all others

    bool admits(const std::string& software_version) const
    {
        return (software_version == version) == only;
    }
};

/// Properties of a request that determine the choice of its backend server.
struct backend_criteria {
    std::string service;
    std::vector<std::uint64_t> segment_hashes;    // shared prefix segments, in order
    unsigned shared_tokens = 0;                   // total length of these segments
    std::uint64_t request_hash = 0;               // orders servers under `random`
    const prefix_locations* locations = nullptr;  // servers that cache the segments; may be null
    const std::set<std::string>* tried = nullptr; // ids of servers to skip; may be null
    std::optional<std::string> software_version;  // the only one that can run the request
    std::optional<version_filter> versions;       // that a roll-out admits
    // The only version at which the stream can begin without a record, if it can't be recorded.
    std::optional<std::string> unrecorded_version;

    bool admits_start(const backend& server) const
    {
        return !unrecorded_version || server.entry.software_version == *unrecorded_version;
    }
    /// Hash of the longest shared prefix of the prompt, which determines the placement.
    std::optional<std::uint64_t> placement_prefix() const
    {
        return segment_hashes.empty() ? std::nullopt : std::optional(segment_hashes.back());
    }
};

/// Reason for a choice without a server: none of the servers has the software version.
inline constexpr std::string_view no_server_of_version = "no_server_of_version";
/// The same: each server leaves or is in a disabled availability zone.
inline constexpr std::string_view none_accepts = "none_accepts";
/// The same: servers have asked for rest, and the others have been tried.
inline constexpr std::string_view resting = "resting";

/// The chosen server and the reasons for the choice.
struct backend_choice {
    backend* server = nullptr; // null if no server qualifies; `reason` says why
    std::string_view reason = "none_listed";
    unsigned rank = 0;          // position in the candidate order, from 1
    bool prefix_cached = false; // `server` is assumed to have the whole shared prefix cached
    // Server that caches a longer part of the shared prefix, to copy it from; may be null.
    const backend* copy_source = nullptr;
    bool trial = false; // of a server that has rested, see `server_words`
    // When the first server takes the request again, if `reason` is `resting`; empty if none will,
    // because it has been tried at all of them.
    std::optional<millis> rest_end;
    unsigned load = 0; // requests at the chosen server, without this one
    double mean = 0;   // mean load of all servers of the service
    unsigned pool = 0; // number of servers of the service that accept requests
    // Expected load of the chosen server and age of the information about it, without this
    // request; empty if the known load decided.
    std::optional<double> expected_load;
    millis information_age{0};
};

/// Chooses the backend server for a request.  A request with a prompt goes to the first server
/// below the load bound: servers that recently got the same shared prefix come first, the others
/// follow in rendezvous order of the prefix.  A request without a prompt goes to the least loaded
/// server, with preference for this entry's availability zone.
class backend_chooser {
public:
    explicit backend_chooser(backend_chooser_options options) : options_(std::move(options)) {}

    /// Sets `backend_chooser_options::even_load`.
    void set_even_load(bool even) { options_.even_load = even; }
    /// Number of choices by the expected load, and how many of them took another server than the
    /// one with the least known load.
    struct even_load_counts {
        std::uint64_t choices = 0;
        std::uint64_t differing = 0;
    };
    const even_load_counts& even_load_choices() const { return even_load_choices_; }
    /// Mean duration of the service's requests at this entry, as far as known.
    millis work_of(const std::string& service) const;
    void set_load_multiple(double multiple) { options_.load_multiple = multiple; }
    /// Sets the number of entries that share the start rate of a cold server.
    void set_entries(unsigned entries) { entries_ = std::max(1U, entries); }

    /// Position of this entry among all, in a sequence that each entry has in common and that
    /// differs by the given hash; 0 is the first.  If unset, this entry is the only one.
    std::function<unsigned(std::uint64_t hash)> entry_rank;

    backend_choice choose(backend_table& table, const relay_service& service,
                          const backend_criteria& criteria, millis now);
    /// Whether a server of the version, other than those tried, may take the request.
    static bool has_server(const backend_table& table, const backend_criteria& criteria,
                           const std::string& software_version, millis now);

private:
    struct pool_state {
        std::vector<backend*> servers;       // those that accept requests
        double mean = 0;                     // mean load of all servers of the service
        double failures = 0;                 // decayed number of failed requests over all servers
        double outcomes = 0;                 // decayed number of all finished requests
        std::optional<forecast_basis> basis; // set if the expected load decides
    };

    std::optional<forecast_basis> basis_of(const backend_table& table, const pool_state& pool,
                                           const std::string& service, millis now) const;
    void order_by_forecast(std::vector<backend*>::iterator first,
                           std::vector<backend*>::iterator last, const forecast_basis& basis,
                           millis now);
    double random_deviation();
    void record_even_choice(const pool_state& pool, backend_choice& choice, millis now);

    static double admitted_mean(const pool_state& pool, const backend_criteria& criteria,
                                millis now);
    std::vector<backend*> order_candidates(const pool_state& pool, const backend_criteria& criteria,
                                           millis now);
    std::vector<backend*> order_by_load(const pool_state& pool, millis now) const;
    static std::vector<backend*> order_by_prefix(const pool_state& pool,
                                                 std::uint64_t placement_prefix);
    static std::vector<backend*> order_randomly(const pool_state& pool, std::uint64_t request_hash);
    static bool has_prefix(const backend& server, const backend_criteria& criteria, millis now);
    const backend* find_copy_source(const backend_table& table, const backend& server,
                                    const backend_criteria& criteria, millis now) const;
    static bool is_outlier(const backend_table& table, const pool_state& pool,
                           const backend& server, millis now);
    bool admits_limited_start(backend& server, millis now) const;
    bool admits_cold_start(backend& server, const relay_service& service, millis now) const;

    backend_chooser_options options_;
    unsigned entries_ = 1;
    std::uint64_t draws_ = 0;                   // random numbers drawn so far
    std::map<std::string, work_duration> work_; // by service; only where the expected load decides
    even_load_counts even_load_choices_;
};

} // namespace cyclamen
