#include "backend_table.h"

#include "hashing.h"

#include <algorithm>

namespace cyclamen {

unsigned backend::load(millis now) const
{
    unsigned others = elsewhere;
    if (now - reported_at < load_report_lifetime) {
        const unsigned held = reported.running + reported.waiting;
        others = std::max(others, held > own_when_reported ? held - own_when_reported : 0);
    }
    if (now - heard_at < load_report_lifetime) {
        others = std::max(others, heard_held);
    }
    return in_flight + others;
}

backend_table::news backend_table::put(const backend_entry& entry, millis now)
{
    std::unique_ptr<backend>& place = servers_[entry.id];
    if (place != nullptr) {
        const backend_entry& known = place->entry;
        const bool older =
            entry.started_at < known.started_at ||
            (entry.started_at == known.started_at && entry.sequence < known.sequence);
        if (older) {
            return news::older;
        }
    }
    const bool reborn = place != nullptr && (entry.started_at != place->entry.started_at ||
                                             entry.address.text() != place->entry.address.text());
    const bool fresh = place == nullptr || reborn;
    if (fresh) {
        const unsigned in_flight = place == nullptr ? 0 : place->in_flight;
        place = std::make_unique<backend>();
        place->hash = hash_of(entry.id);
        const auto told = elsewhere_sum_.find(static_cast<std::uint32_t>(place->hash));
        place->elsewhere = told == elsewhere_sum_.end() ? 0 : told->second;
        place->in_flight = in_flight; // requests to the old incarnation still decrement it
    }
    const bool moved = fresh || place->entry.service != entry.service;
    place->entry = entry;
    if (moved) {
        regrouped_ = false;
    }
    place->listed_at = now;
    place->missing = false;
    if (entry.cold_for > 0ms) {
        place->cold_until = std::max(place->cold_until, now + entry.cold_for + options_.cold_slack);
    }
    return fresh ? news::new_incarnation : news::same_incarnation;
}

void backend_table::drop(const std::string& id, millis now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    if (source_away_ || now < grace_until_) {
        found->second->missing = true;
        return;
    }
    servers_.erase(found);
    regrouped_ = false;
}

void backend_table::source_regained(millis now)
{
    if (source_away_) {
        source_away_ = false;
        grace_until_ = now + options_.return_grace;
    }
}

void backend_table::sweep(millis now)
{
    if (source_away_ || now < grace_until_) {
        return;
    }
    if (std::erase_if(servers_, [](const auto& row) { return row.second->missing; }) > 0) {
        regrouped_ = false;
    }
}

void backend_table::regroup() const
{
    if (regrouped_) {
        return;
    }
    regrouped_ = true;
    by_hash_.clear();
    pools_.clear();
    for (const auto& [id, server] : servers_) {
        by_hash_[static_cast<std::uint32_t>(server->hash)] = server.get();
        pools_[server->entry.service].push_back(server.get());
    }
}

const backend* backend_table::find_by_hash(std::uint32_t hash) const
{
    regroup();
    const auto found = by_hash_.find(hash);
    return found == by_hash_.end() ? nullptr : found->second;
}

backend* backend_table::find(const std::string& id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

std::vector<backend*> backend_table::usable(const std::string& service) const
{
    regroup();
    std::vector<backend*> result;
    const auto found = pools_.find(service);
    if (found == pools_.end()) {
        return result;
    }
    for (backend* server : found->second) {
        if (server->entry.draining ||
            (!zones_out_.empty() && zones_out_.contains(server->entry.zone))) {
            continue;
        }
        result.push_back(server);
    }
    return result;
}

double backend_table::mean_load(const std::string& service, millis now) const
{
    regroup();
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

void backend_table::count_elsewhere(std::uint32_t hash, unsigned taken, unsigned given)
{
    regroup();
    unsigned& sum = elsewhere_sum_[hash];
    sum = sum - taken + given;
    const auto server = by_hash_.find(hash);
    if (server != by_hash_.end()) {
        server->second->elsewhere = sum;
    }
    if (sum == 0) {
        elsewhere_sum_.erase(hash);
    }
}

bool backend_table::set_elsewhere(const std::string& entry,
                                  std::map<std::uint32_t, unsigned> counts)
{
    auto& known = elsewhere_[entry];
    if (known.empty() && counts.empty()) {
        return false;
    }
    for (const auto& [hash, count] : known) {
        count_elsewhere(hash, count, 0);
    }
    for (const auto& [hash, count] : counts) {
        count_elsewhere(hash, 0, count);
    }
    known = std::move(counts);
    return true;
}

std::vector<backend_table::busy_report> backend_table::busy_to_tell(millis now) const
{
    // About the load at which the chooser skips a server; lower loads don't affect the choice.
    constexpr double busy_multiple = 1.5;
    constexpr double busy_margin = 1.5;
    regroup();
    std::vector<busy_report> result;
    for (const auto& [service, group] : pools_) {
        const double bound = busy_multiple * mean_load(service, now) + busy_margin;
        for (const backend* server : group) {
            const bool own = server->reported_at >= server->heard_at;
            const millis at = own ? server->reported_at : server->heard_at;
            const unsigned held =
                own ? server->reported.running + server->reported.waiting : server->heard_held;
            if (now - at < load_report_lifetime && held > bound) {
                result.push_back(
                    {.server = static_cast<std::uint32_t>(server->hash), .held = held, .at = at});
            }
        }
    }
    return result;
}

void backend_table::hear_busy(const busy_report& report, millis now)
{
    regroup();
    const auto found = by_hash_.find(report.server);
    if (found == by_hash_.end() || report.at > now ||
        report.at <= std::max(found->second->heard_at, found->second->reported_at)) {
        return;
    }
    found->second->heard_held = report.held;
    found->second->heard_at = report.at;
}

backend_table::ends_by_server backend_table::ends_to_tell(millis now) const
{
    constexpr double least_bad = 0.2; // one failure decays to this in seven seconds
    ends_by_server result;
    for (const auto& [id, server] : servers_) {
        const double bad = server->health.bad(now);
        if (bad >= least_bad) {
            result[static_cast<std::uint32_t>(server->hash)] = {.good = server->health.good(now),
                                                                .bad = bad};
        }
    }
    return result;
}

void backend_table::set_ends_elsewhere(const std::string& entry, const ends_by_server& ends,
                                       millis now)
{
    if (ends.empty()) {
        ends_elsewhere_.erase(entry);
        return;
    }
    auto& known = ends_elsewhere_[entry];
    known.clear();
    for (const auto& [hash, counts] : ends) {
        known[hash].told(counts.good, counts.bad, now);
    }
}

backend_health backend_table::ends_elsewhere(const backend& server, millis now) const
{
    double good = 0;
    double bad = 0;
    for (const auto& [entry, ends] : ends_elsewhere_) {
        const auto found = ends.find(static_cast<std::uint32_t>(server.hash));
        if (found != ends.end()) {
            good += found->second.good(now);
            bad += found->second.bad(now);
        }
    }
    backend_health result;
    result.told(good, bad, now);
    return result;
}

void backend_table::unreachable(backend& server, millis now)
{
    server.health.unreachable(now);
    server.cold_until = std::max(server.cold_until, now + options_.suspicion);
}

void backend_table::ended(backend& server, backend_outcome outcome, millis now)
{
    server.health.ended(outcome, now);
    ends_[server.entry.service].ended(outcome, now);
}

void backend_table::note_load(backend& server, const backend_load& load, millis now)
{
    server.reported = load;
    server.own_when_reported = server.in_flight;
    server.reported_at = now;
}

} // namespace cyclamen
