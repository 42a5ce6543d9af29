#pragma once

#include "backend_table.h"
#include "enum_names.h"
#include "placement.h"
#include "prompt_places.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

/// In which order servers are tried for a request with a prompt.  All but `kept` serve to
/// measure against.
enum class placement_policy {
    kept,         // those that keep the prompt, then in the prompt's order over the pool
    home,         // in the prompt's order over the pool
    zone_home,    // in the prompt's order, servers of the own zone first
    least_loaded, // as for requests without a prompt
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
    bool copies_prompts = true; // names a server to copy the prompt from
    std::string zone;           // of this entry
    double load_multiple = 2.0; // of the pool's mean that a server may hold
    double load_margin = 1.5;   // requests that it may hold beyond that
    // The same for a prompt whose shared parts are long: reading them anew elsewhere costs
    // more than the wait behind one request more.
    double long_prompt_margin = 2.5;
    unsigned long_prompt_tokens = 4096; // an engine reads about as many in one step
    unsigned local_lead = 2; // requests by which a server in another zone has to be freer
    double cold_share = 0.8; // of what a cold server bears, given out by all entries
};

/// What the choice of a backend server depends on.
struct backend_wish {
    std::string service;
    std::vector<std::uint64_t> shared;            // hashes of the prompt's shared parts, in order
    unsigned shared_tokens = 0;                   // of all of them
    std::uint64_t draw = 0;                       // differs from request to request
    const prompt_places* places = nullptr;        // servers that keep them
    const std::set<std::string>* tried = nullptr; // ids that are not to be chosen again

    /// The part by which the request is placed: the longest prompt that others share.
    std::optional<std::uint64_t> prompt() const
    {
        return shared.empty() ? std::nullopt : std::optional(shared.back());
    }
};

/// The server that was chosen, and what decided it.
struct backend_choice {
    backend* server = nullptr; // none: see `reason`
    std::string_view reason = "none_listed";
    unsigned rank = 0; // place in the prompt's order
    bool kept = false; // it keeps the prompt's part
    // A server that keeps more of the prompt's shared parts, from which it may copy them.
    const backend* source = nullptr;
    unsigned load = 0;
    double mean = 0;   // over the pool
    unsigned pool = 0; // servers that may be given requests
};

/// Chooses the backend server for a request.  Requests with a prompt go to the first
/// server below the load bound: those that keep the prompt first, then in the order of the
/// prompt.  Others go to the least loaded, those of the own zone first.
class backend_chooser {
public:
    explicit backend_chooser(backend_chooser_options options) : options_(std::move(options)) {}

    void set_load_multiple(double multiple) { options_.load_multiple = multiple; }
    /// Entries among which the limits of a cold server are shared.
    void set_entries(unsigned entries) { entries_ = std::max(1U, entries); }

    backend_choice choose(backend_table& table, const relay_service& service,
                          const backend_wish& wish, millis now);

private:
    struct pool_state {
        std::vector<backend*> servers;
        double mean = 0;
        double bad = 0;  // ends of requests that tell of bad health
        double ends = 0; // of requests
    };

    std::vector<backend*> order(const pool_state& pool, const backend_wish& wish, millis now) const;
    std::vector<backend*> by_load(const pool_state& pool, millis now) const;
    static std::vector<backend*> by_prompt(const pool_state& pool, std::uint64_t prompt);
    static std::vector<backend*> by_chance(const pool_state& pool, std::uint64_t draw);
    static bool keeps(const backend& server, const backend_wish& wish, millis now);
    const backend* source_of(const backend_table& table, const backend& server,
                             const backend_wish& wish, millis now) const;
    static bool suspected(const backend_table& table, const pool_state& pool, const backend& server,
                          millis now);
    bool admits_cold(backend& server, const relay_service& service, millis now) const;

    backend_chooser_options options_;
    unsigned entries_ = 1;
};

} // namespace cyclamen
