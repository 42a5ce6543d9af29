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
        recount(*place);
        place->in_flight = in_flight; // they end by themselves
    }
    place->entry = entry;
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
    std::erase_if(servers_, [](const auto& row) { return row.second->missing; });
}

backend* backend_table::find(const std::string& id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

std::vector<backend*> backend_table::usable(const std::string& service)
{
    std::vector<backend*> result;
    for (const auto& [id, server] : servers_) {
        if (server->entry.service != service || server->entry.draining ||
            zones_out_.contains(server->entry.zone)) {
            continue;
        }
        result.push_back(server.get());
    }
    return result;
}

double backend_table::mean_load(const std::string& service, millis now) const
{
    double load = 0;
    unsigned count = 0;
    for (const auto& [id, server] : servers_) {
        if (server->entry.service == service) {
            load += server->load(now);
            ++count;
        }
    }
    return count == 0 ? 0 : load / count;
}

void backend_table::recount(backend& server) const
{
    server.elsewhere = 0;
    for (const auto& [entry, counts] : elsewhere_) {
        const auto found = counts.find(static_cast<std::uint32_t>(server.hash));
        server.elsewhere += found == counts.end() ? 0 : found->second;
    }
}

bool backend_table::set_elsewhere(const std::string& entry,
                                  std::map<std::uint32_t, unsigned> counts)
{
    auto& known = elsewhere_[entry];
    if (known.empty() && counts.empty()) {
        return false;
    }
    known = std::move(counts);
    for (const auto& [id, server] : servers_) {
        recount(*server);
    }
    return true;
}

void backend_table::unreachable(backend& server, millis now)
{
    server.health.unreachable(now);
    server.cold_until = std::max(server.cold_until, now + options_.suspicion);
}

void backend_table::note_load(backend& server, const backend_load& load, millis now)
{
    server.reported = load;
    server.own_when_reported = server.in_flight;
    server.reported_at = now;
}

} // namespace cyclamen
