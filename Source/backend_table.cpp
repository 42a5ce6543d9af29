#include "backend_table.h"

#include "hashing.h"

#include <algorithm>

namespace cyclamen {

unsigned backend::load(millis now) const
{
    unsigned others = peer_in_flight;
    if (now - reported_at < load_report_lifetime) {
        const unsigned held = reported_load.running + reported_load.waiting;
        others = std::max(others, held > in_flight_at_report ? held - in_flight_at_report : 0);
    }
    if (now - peer_reported_at < load_report_lifetime) {
        others = std::max(others, peer_reported_load);
    }
    return in_flight + others;
}

namespace {

// Time in which a server whose connection was refused has started again and is listed.
constexpr millis registration_time = 5000ms;
// The same of one whose connection was lost; longer restarts refuse connections first.
constexpr millis restart_time = 1500ms;

} // namespace

bool backend_table::record_loss(backend& server, millis at)
{
    const bool first = at - server.lost_at >= restart_time;
    server.lost_at = std::max(server.lost_at, at);
    return first;
}

software_trust backend_table::trust(const backend& server, millis now) const
{
    constexpr millis news_time = 500ms; // a source that answers does so more often
    if (confirmed_at_ - server.refused_at < registration_time) {
        return software_trust::restarted;
    }
    if (confirmed_at_ - server.lost_at >= restart_time) {
        return software_trust::listed;
    }
    return now - confirmed_at_ < news_time ? software_trust::doubtful : software_trust::restarted;
}

backend_table::put_result backend_table::put(const backend_entry& entry, millis now)
{
    std::unique_ptr<backend>& stored = servers_[entry.id];
    if (stored != nullptr) {
        const backend_entry& known = stored->entry;
        const bool stale =
            entry.started_at < known.started_at ||
            (entry.started_at == known.started_at && entry.sequence < known.sequence);
        if (stale) {
            return put_result::stale;
        }
    }
    const bool restarted =
        stored != nullptr && (entry.started_at != stored->entry.started_at ||
                              entry.address.text() != stored->entry.address.text());
    const bool is_new = stored == nullptr || restarted;
    if (is_new) {
        const unsigned in_flight = stored == nullptr ? 0 : stored->in_flight;
        stored = std::make_unique<backend>();
        stored->hash = hash_of(entry.id);
        const auto peer_sum = peer_in_flight_sums_.find(static_cast<std::uint32_t>(stored->hash));
        stored->peer_in_flight = peer_sum == peer_in_flight_sums_.end() ? 0 : peer_sum->second;
        stored->in_flight = in_flight; // requests to the old incarnation still decrement it
    }
    if (is_new) {
        stored->incarnation_hash = combine_hashes(combine_hashes(stored->hash, entry.started_at),
                                                  hash_of(entry.address.text()));
    }
    const bool pool_changed = is_new || stored->entry.service != entry.service;
    stored->entry = entry;
    if (pool_changed) {
        indexes_valid_ = false;
    }
    stored->listed_at = now;
    stored->missing = false;
    if (entry.cold_for > 0ms) {
        stored->cold_until =
            std::max(stored->cold_until, now + entry.cold_for + options_.cold_slack);
    }
    return is_new ? put_result::new_incarnation : put_result::same_incarnation;
}

void backend_table::drop(const std::string& id, millis now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    if (source_down_ || now < grace_until_) {
        found->second->missing = true;
        return;
    }
    servers_.erase(found);
    indexes_valid_ = false;
}

void backend_table::source_regained(millis now)
{
    if (source_down_) {
        source_down_ = false;
        start_grace(now);
    }
}

bool backend_table::end_grace(millis now)
{
    const bool runs = now < grace_until_;
    grace_until_ = std::min(grace_until_, now);
    return runs;
}

std::vector<std::unique_ptr<backend>> backend_table::sweep(millis now)
{
    std::vector<std::unique_ptr<backend>> removed;
    if (source_down_ || now < grace_until_) {
        return removed;
    }
    for (auto& [id, server] : servers_) {
        if (server->missing) {
            removed.push_back(std::move(server));
        }
    }
    if (!removed.empty()) {
        std::erase_if(servers_, [](const auto& item) { return item.second == nullptr; });
        indexes_valid_ = false;
    }
    return removed;
}

void backend_table::rebuild_indexes() const
{
    if (indexes_valid_) {
        return;
    }
    indexes_valid_ = true;
    by_hash_.clear();
    pools_.clear();
    for (const auto& [id, server] : servers_) {
        by_hash_[static_cast<std::uint32_t>(server->hash)] = server.get();
        pools_[server->entry.service].push_back(server.get());
    }
}

const backend* backend_table::find_by_hash(std::uint32_t hash) const
{
    rebuild_indexes();
    const auto found = by_hash_.find(hash);
    return found == by_hash_.end() ? nullptr : found->second;
}

backend* backend_table::find(const std::string& id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

bool backend_table::accepts(const backend& server) const
{
    return !server.entry.draining && !words_.leaving(server.incarnation()) &&
           !disabled_zones_.contains(server.entry.zone);
}

std::vector<backend*> backend_table::usable(const std::string& service) const
{
    rebuild_indexes();
    std::vector<backend*> result;
    const auto found = pools_.find(service);
    if (found == pools_.end()) {
        return result;
    }
    for (backend* server : found->second) {
        if (accepts(*server)) {
            result.push_back(server);
        }
    }
    return result;
}

bool backend_table::none_accepts(const std::string& service) const
{
    rebuild_indexes();
    const auto found = pools_.find(service);
    return found != pools_.end() && !found->second.empty() &&
           std::none_of(found->second.begin(), found->second.end(),
                        [this](const backend* server) { return accepts(*server); });
}

double backend_table::mean_load(const std::string& service, millis now) const
{
    rebuild_indexes();
    const auto found = pools_.find(service);
    if (found == pools_.end()) {
        return 0;
    }
    double load = 0;
    for (const backend* server : found->second) {
        load += server->load(now);
    }
    return load / static_cast<double>(found->second.size());
}

void backend_table::adjust_peer_in_flight(std::uint32_t hash, unsigned removed, unsigned added)
{
    rebuild_indexes();
    unsigned& sum = peer_in_flight_sums_[hash];
    sum = sum - removed + added;
    const auto server = by_hash_.find(hash);
    if (server != by_hash_.end()) {
        server->second->peer_in_flight = sum;
    }
    if (sum == 0) {
        peer_in_flight_sums_.erase(hash);
    }
}

bool backend_table::set_peer_in_flight(const std::string& entry,
                                       std::map<std::uint32_t, unsigned> counts,
                                       std::optional<millis> received_at)
{
    const auto received = counts_received_.find(entry);
    if (received != counts_received_.end()) {
        counts_received_sum_ -= received->second;
        counts_received_.erase(received);
    }
    if (received_at) {
        counts_received_[entry] = *received_at;
        counts_received_sum_ += *received_at;
    }
    auto& known = peer_in_flight_[entry];
    if (known.empty() && counts.empty()) {
        return false;
    }
    for (const auto& [hash, count] : known) {
        adjust_peer_in_flight(hash, count, 0);
    }
    for (const auto& [hash, count] : counts) {
        adjust_peer_in_flight(hash, 0, count);
    }
    known = std::move(counts);
    return true;
}

std::optional<millis> backend_table::count_age(millis now) const
{
    if (counts_received_.empty()) {
        return std::nullopt;
    }
    const auto peers = static_cast<std::int64_t>(counts_received_.size());
    return std::max(0ms, now - counts_received_sum_ / peers);
}

std::vector<backend_table::busy_report> backend_table::busy_to_report(millis now) const
{
    // About the load at which the chooser skips a server; lower loads don't affect the choice.
    constexpr double busy_multiple = 1.5;
    constexpr double busy_margin = 1.5;
    rebuild_indexes();
    std::vector<busy_report> result;
    for (const auto& [service, group] : pools_) {
        const double bound = busy_multiple * mean_load(service, now) + busy_margin;
        for (const backend* server : group) {
            const bool own = server->reported_at >= server->peer_reported_at;
            const millis at = own ? server->reported_at : server->peer_reported_at;
            const unsigned held =
                own ? server->reported_load.running + server->reported_load.waiting
                    : server->peer_reported_load;
            if (now - at < load_report_lifetime && held > bound) {
                result.push_back(
                    {.server = static_cast<std::uint32_t>(server->hash), .held = held, .at = at});
            }
        }
    }
    return result;
}

void backend_table::record_busy_report(const busy_report& report, millis now)
{
    rebuild_indexes();
    const auto found = by_hash_.find(report.server);
    if (found == by_hash_.end() || report.at > now ||
        report.at <= std::max(found->second->peer_reported_at, found->second->reported_at)) {
        return;
    }
    found->second->peer_reported_load = report.held;
    found->second->peer_reported_at = report.at;
}

backend_table::outcomes_by_server backend_table::outcomes_to_report(millis now) const
{
    constexpr double min_failures = 0.2; // one failure decays to this in seven seconds
    outcomes_by_server result;
    for (const auto& [id, server] : servers_) {
        const double failures = server->health.failures(now);
        if (failures >= min_failures) {
            result[static_cast<std::uint32_t>(server->hash)] = {
                .successes = server->health.successes(now), .failures = failures};
        }
    }
    return result;
}

void backend_table::set_peer_outcomes(const std::string& entry, const outcomes_by_server& outcomes,
                                      millis now)
{
    if (outcomes.empty()) {
        peer_outcomes_.erase(entry);
        return;
    }
    auto& known = peer_outcomes_[entry];
    known.clear();
    for (const auto& [hash, counts] : outcomes) {
        known[hash].set_counts(counts.successes, counts.failures, now);
    }
}

backend_health backend_table::peer_outcomes(const backend& server, millis now) const
{
    double successes = 0;
    double failures = 0;
    for (const auto& [entry, outcomes] : peer_outcomes_) {
        const auto found = outcomes.find(static_cast<std::uint32_t>(server.hash));
        if (found != outcomes.end()) {
            successes += found->second.successes(now);
            failures += found->second.failures(now);
        }
    }
    backend_health result;
    result.set_counts(successes, failures, now);
    return result;
}

void backend_table::record_connect_failure(backend& server, millis now)
{
    server.health.record_connect_failure(now);
    server.cold_until = std::max(server.cold_until, now + options_.cold_after_unreachable);
}

void backend_table::record_outcome(backend& server, backend_outcome outcome, millis now)
{
    server.health.record_outcome(outcome, now);
    outcomes_[server.entry.service].record_outcome(outcome, now);
}

void backend_table::record_load(backend& server, const backend_load& load, millis now)
{
    if (load.work_percent) {
        server.reported_load.work_percent = load.work_percent;
        server.work_reported_at = now;
    }
    if (!load.counted) {
        return;
    }
    const std::optional<unsigned> work_percent = server.reported_load.work_percent;
    server.reported_load = load;
    server.reported_load.work_percent = work_percent; // ages by itself, see `reported_pace`
    server.in_flight_at_report = server.in_flight;
    server.reported_at = now;
}

void backend_table::record_limit(backend& server, std::optional<double> per_second, millis now)
{
    if (per_second || server.limit.per_second) {
        server.limit = {.per_second = per_second, .at = now};
    }
}

std::vector<backend_table::limit_report> backend_table::limits_to_report(millis now) const
{
    std::vector<limit_report> result;
    for (const auto& [id, server] : servers_) {
        if (now - server->limit.at < stated_limit_lifetime) {
            result.push_back(
                {.server = static_cast<std::uint32_t>(server->hash), .limit = server->limit});
        }
    }
    return result;
}

void backend_table::record_limit_report(const limit_report& report, millis now)
{
    rebuild_indexes();
    const auto found = by_hash_.find(report.server);
    if (found != by_hash_.end() && report.limit.at <= now &&
        report.limit.at > found->second->limit.at) {
        found->second->limit = report.limit;
    }
}

} // namespace cyclamen
