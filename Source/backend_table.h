#pragma once

#include "backend_health.h"
#include "relay_configuration.h"
#include "start_rate_limit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// Older reports of load than this are not used: requests come and go within a second.
inline constexpr millis load_report_lifetime = 1000ms;

/// What a backend server said of its load beside an answer.
struct backend_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// One backend server as this entry knows it.
struct backend {
    backend_entry entry;
    std::uint64_t hash = 0; // of its id, for placement
    millis listed_at{0};    // when its entry was last read
    millis cold_until{0};
    bool missing = false;    // its entry lapsed while the source was away
    unsigned in_flight = 0;  // requests of this entry
    unsigned elsewhere = 0;  // requests of other entries, as they last told
    unsigned heard_held = 0; // requests that it held, as another entry heard from it
    millis heard_at{-1000000};
    backend_load reported;
    unsigned own_when_reported = 0; // requests of this entry then
    millis reported_at{-1000000};   // long ago: nothing was reported yet
    backend_health health;
    start_rate_limit cold_starts;

    /// Requests that it holds, as far as is known.
    unsigned load(millis now) const;
    bool cold(millis now) const { return now < cold_until; }
};

struct backend_table_options {
    millis return_grace = 2300ms; // for entries that lapsed while the source was away
    millis cold_slack = 300ms;    // added to what a server says of its cold start
    millis suspicion = 2500ms;    // a server that was unreachable counts as cold so long
};

/// All backend servers that are known, and which of them may be given requests.  No
/// clock: every call carries the time.
class backend_table {
public:
    explicit backend_table(backend_table_options options = {}) : options_(options) {}

    /// What an entry that was put changed.
    enum class news { older, same_incarnation, new_incarnation };

    news put(const backend_entry& entry, millis now);
    /// The entry of `id` is not there any more.
    void drop(const std::string& id, millis now);
    /// The zones that operators have taken out.
    void set_zones_out(std::set<std::string> zones) { zones_out_ = std::move(zones); }
    const std::set<std::string>& zones_out() const { return zones_out_; }
    /// The source of entries does not answer; what is known stays in use.
    void source_lost() { source_away_ = true; }
    void source_regained(millis now);
    /// Gives up what is still missing after the grace.
    void sweep(millis now);

    backend* find(const std::string& id);
    /// The server whose id's hash has this low half, as other entries name it.
    const backend* find_by_hash(std::uint32_t hash) const;
    /// The servers of `service` that may be given requests, in order of id.
    std::vector<backend*> usable(const std::string& service) const;
    /// Mean load over all servers of `service`, those included that are given nothing: they
    /// are part of the pool until they have gone.
    double mean_load(const std::string& service, millis now) const;
    void unreachable(backend& server, millis now);
    /// A request ended at the server.
    void ended(backend& server, backend_outcome outcome, millis now);
    /// Ends at all servers of `service` together.
    const backend_health& ends_of(const std::string& service) { return ends_[service]; }
    void note_load(backend& server, const backend_load& load, millis now);
    /// What another entry holds at servers, by the low half of the hash of their ids;
    /// replaces what it told before.  False if nothing is held, before and after.
    bool set_elsewhere(const std::string& entry, std::map<std::uint32_t, unsigned> counts);

    /// What a server said of its load, to this entry or to another one.
    struct busy_report {
        std::uint32_t server = 0; // low half of the hash of its id
        unsigned held = 0;
        millis at{0};
    };

    /// Servers that lately said that they hold far more than the mean of their service.
    std::vector<busy_report> busy_to_tell(millis now) const;
    /// Takes such a report; an older one than is known is left out.
    void hear_busy(const busy_report& report, millis now);

    /// Good and bad ends at one server.
    struct end_counts {
        double good = 0;
        double bad = 0;
    };
    using ends_by_server = std::map<std::uint32_t, end_counts>;

    /// Own ends at the servers that failed some lately, by the low half of the hash of their
    /// ids, for other entries.
    ends_by_server ends_to_tell(millis now) const;
    /// What another entry tells of that; replaces what it told before.
    void set_ends_elsewhere(const std::string& entry, const ends_by_server& ends, millis now);
    /// Ends at a server that other entries told of.
    backend_health ends_elsewhere(const backend& server, millis now) const;

    const std::map<std::string, std::unique_ptr<backend>>& all() const { return servers_; }

private:
    void regroup() const;
    void count_elsewhere(std::uint32_t hash, unsigned taken, unsigned given);

    backend_table_options options_;
    std::map<std::string, std::unique_ptr<backend>> servers_; // by id
    // Worked out of `servers_` when they are looked at after a change: a list comes whole.
    mutable bool regrouped_ = true;
    mutable std::unordered_map<std::uint32_t, backend*> by_hash_;
    mutable std::unordered_map<std::string, std::vector<backend*>> pools_; // by service
    std::unordered_map<std::string, backend_health> ends_;                 // by service
    std::map<std::string, std::map<std::uint32_t, unsigned>> elsewhere_;   // by entry
    std::unordered_map<std::uint32_t, unsigned> elsewhere_sum_;
    std::map<std::string, std::unordered_map<std::uint32_t, backend_health>> ends_elsewhere_;
    std::set<std::string> zones_out_;
    bool source_away_ = false;
    millis grace_until_{0};
};

} // namespace cyclamen
