#include "backend_chooser.h"

#include "hashing.h"

#include <algorithm>

namespace cyclamen {

std::vector<backend*> backend_chooser::by_load(const pool_state& pool, millis now) const
{
    std::vector<std::pair<unsigned, backend*>> costs;
    costs.reserve(pool.servers.size());
    for (backend* server : pool.servers) {
        const unsigned lead = server->entry.zone == options_.zone ? 0 : options_.local_lead;
        costs.emplace_back(server->load(now) + lead, server);
    }
    std::stable_sort(costs.begin(), costs.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<backend*> ordered;
    ordered.reserve(costs.size());
    for (const auto& [cost, server] : costs) {
        ordered.push_back(server);
    }
    return ordered;
}

std::vector<backend*> backend_chooser::by_chance(const pool_state& pool, std::uint64_t draw)
{
    std::vector<backend*> ordered = pool.servers;
    std::sort(ordered.begin(), ordered.end(), [&](const backend* left, const backend* right) {
        return mix_hashes(draw, left->hash) < mix_hashes(draw, right->hash);
    });
    return ordered;
}

std::vector<backend*> backend_chooser::by_prompt(const pool_state& pool, std::uint64_t prompt)
{
    std::vector<placement_candidate> candidates;
    candidates.reserve(pool.servers.size());
    for (std::uint32_t index = 0; index < pool.servers.size(); ++index) {
        candidates.push_back({.hash = pool.servers[index]->hash, .index = index});
    }
    std::vector<backend*> ordered;
    ordered.reserve(pool.servers.size());
    std::vector<bool> placed(pool.servers.size(), false);
    for (const std::uint32_t index :
         rank_engines({.prefix = prompt}, candidates, 1, candidates.size())) {
        ordered.push_back(pool.servers[index]);
        placed[index] = true;
    }
    for (std::size_t index = 0; index < placed.size(); ++index) {
        if (!placed[index]) {
            ordered.push_back(pool.servers[index]);
        }
    }
    return ordered;
}

std::vector<backend*> backend_chooser::order(const pool_state& pool, const backend_wish& wish,
                                             millis now) const
{
    if (!wish.prompt() || options_.policy == placement_policy::least_loaded) {
        return by_load(pool, now);
    }
    if (options_.policy == placement_policy::random) {
        return by_chance(pool, wish.draw);
    }
    std::vector<backend*> ordered = by_prompt(pool, *wish.prompt());
    if (options_.policy == placement_policy::zone_home) {
        std::stable_partition(ordered.begin(), ordered.end(), [&](const backend* server) {
            return server->entry.zone == options_.zone;
        });
    }
    if (options_.policy == placement_policy::kept && wish.places != nullptr) {
        const std::vector<std::uint32_t> holders =
            wish.places->holders(static_cast<std::uint32_t>(*wish.prompt()), now);
        std::stable_partition(ordered.begin(), ordered.end(), [&](const backend* server) {
            return std::find(holders.begin(), holders.end(),
                             static_cast<std::uint32_t>(server->hash)) != holders.end();
        });
    }
    return ordered;
}

bool backend_chooser::keeps(const backend& server, const backend_wish& wish, millis now)
{
    return wish.places != nullptr && wish.prompt() &&
           wish.places->holds(static_cast<std::uint32_t>(*wish.prompt()),
                              static_cast<std::uint32_t>(server.hash), now);
}

// Finds a server that caches a longer part of the shared prefix than `server` does.  Draining
// servers and servers in disabled availability zones qualify, since their caches are intact.
const backend* backend_chooser::source_of(const backend_table& table, const backend& server,
                                          const backend_wish& wish, millis now) const
{
    if (wish.places == nullptr || !options_.copies_prompts) {
        return nullptr;
    }
    for (auto part = wish.shared.rbegin(); part != wish.shared.rend(); ++part) {
        const auto cut = static_cast<std::uint32_t>(*part);
        if (wish.places->holds(cut, static_cast<std::uint32_t>(server.hash), now)) {
            return nullptr;
        }
        constexpr unsigned enough_sources = 16; // nearly all servers cache the outer segments
        unsigned sources = 0;
        const backend* best = nullptr;
        for (const std::uint32_t keeper : wish.places->keepers(cut, now)) {
            const backend* other = table.find_by_hash(keeper);
            if (other == nullptr || other->entry.service != wish.service || other->missing ||
                other->health.paused(now)) {
                continue;
            }
            const auto cost = [&](const backend& from) {
                return std::pair(from.entry.zone != server.entry.zone, from.load(now));
            };
            if (best == nullptr || cost(*other) < cost(*best)) {
                best = other;
            }
            if (++sources == enough_sources) {
                break;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

bool backend_chooser::admits_cold(backend& server, const relay_service& service, millis now) const
{
    if (service.cold_starts_per_second <= 0 || !server.cold(now)) {
        return true;
    }
    constexpr double one_at_a_time = 1;
    server.cold_starts.set_rate(options_.cold_share * service.cold_starts_per_second / entries_,
                                one_at_a_time);
    return server.cold_starts.allows(now);
}

// Compares with the other servers only: in a small pool a server's own failures raise the mean.
bool backend_chooser::suspected(const backend_table& table, const pool_state& pool,
                                const backend& server, millis now)
{
    const double bad = server.health.bad(now);
    const double ends = pool.ends - bad - server.health.good(now);
    constexpr double least_ends = 1; // fewer finished requests give no failure rate
    const double others = ends < least_ends ? 0 : std::max(0.0, pool.bad - bad) / ends;
    return server.health.suspected(others, table.ends_elsewhere(server, now), now);
}

backend_choice backend_chooser::choose(backend_table& table, const relay_service& service,
                                       const backend_wish& wish, millis now)
{
    pool_state pool;
    pool.servers = table.usable(service.name);
    backend_choice choice;
    choice.pool = static_cast<unsigned>(pool.servers.size());
    if (pool.servers.empty()) {
        return choice;
    }
    const backend_health& ends = table.ends_of(service.name);
    pool.bad = ends.bad(now);
    pool.ends = pool.bad + ends.good(now);
    pool.mean = table.mean_load(service.name, now);
    choice.mean = pool.mean;
    const double margin = wish.shared_tokens >= options_.long_prompt_tokens
                              ? options_.long_prompt_margin
                              : options_.load_margin;
    const double bound = options_.load_multiple * pool.mean + margin;

    // Outliers and servers over the load bound serve as fallback if no other server qualifies.
    backend* spare = nullptr;
    unsigned spare_rank = 0;
    unsigned rank = 0;
    choice.reason = "all_tried";
    for (backend* server : order(pool, wish, now)) {
        ++rank;
        if (wish.tried != nullptr && wish.tried->contains(server->entry.id)) {
            continue;
        }
        if (server->health.paused(now)) {
            choice.reason = "unreachable";
            continue;
        }
        if (!admits_cold(*server, service, now)) {
            choice.reason = "cold";
            continue;
        }
        const unsigned held = server->load(now);
        if (held + 1 > bound || suspected(table, pool, *server, now)) {
            if (spare == nullptr || held < spare->load(now)) {
                spare = server;
                spare_rank = rank;
            }
            continue;
        }
        choice.server = server;
        choice.rank = rank;
        choice.load = held;
        choice.reason = "chosen";
        break;
    }
    if (choice.server == nullptr && spare != nullptr) {
        choice.server = spare;
        choice.rank = spare_rank;
        choice.load = spare->load(now);
        choice.reason = "spare";
    }
    if (choice.server != nullptr) {
        choice.server->health.tried(now);
    }
    if (choice.server != nullptr) {
        choice.kept = keeps(*choice.server, wish, now);
        choice.source = source_of(table, *choice.server, wish, now);
    }
    if (choice.server != nullptr && service.cold_starts_per_second > 0 &&
        choice.server->cold(now)) {
        choice.server->cold_starts.take(now);
    }
    return choice;
}

} // namespace cyclamen
