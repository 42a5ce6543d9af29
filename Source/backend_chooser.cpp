#include "backend_chooser.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {

bool limited(const backend& server, millis now)
{
    return server.limit.per_second && now - server.limit.at < stated_limit_lifetime;
}

// Variance added to each expected load, in requests: separates servers of equal load at random.
constexpr double tie_variance = 0.01;

} // namespace

std::vector<backend*> backend_chooser::order_by_load(const pool_state& pool, millis now) const
{
    std::vector<std::pair<unsigned, backend*>> costs;
    costs.reserve(pool.servers.size());
    for (backend* server : pool.servers) {
        const unsigned zone_penalty =
            server->entry.zone == options_.zone ? 0 : options_.remote_zone_penalty;
        costs.emplace_back(server->load(now) + zone_penalty, server);
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

std::optional<forecast_basis> backend_chooser::basis_of(const backend_table& table,
                                                        const pool_state& pool,
                                                        const std::string& service,
                                                        millis now) const
{
    // Reports up to this age tell the mean, which changes more slowly than a server's load.
    constexpr millis mean_report_age{3000};
    bool enabled = options_.even_load;
    double counted = 0;
    double reported = 0;
    unsigned reports = 0;
    for (const backend* server : pool.servers) {
        enabled = enabled || server->reported_load.work_percent;
        counted += server->peer_in_flight;
        if (now - server->reported_at < mean_report_age) {
            const unsigned held = server->reported_load.running + server->reported_load.waiting;
            const unsigned own = server->in_flight_at_report;
            reported += held > own ? held - own : 0;
            ++reports;
        }
    }
    if (!enabled) {
        return std::nullopt;
    }
    // The more entries choose by the same information, the more their choices must differ.
    constexpr double spread_per_entry = 0.005;
    constexpr double max_spread = 0.3;
    // Counts of entries that can't be heard are missing, so reports may tell of more.
    const double mean_counted = counted / static_cast<double>(pool.servers.size());
    return forecast_basis{.mean_others = reports == 0 ? mean_counted
                                                      : std::max(mean_counted, reported / reports),
                          .work = work_of(service),
                          .count_age = table.count_age(now).value_or(forecast_basis{}.count_age),
                          .spread = std::min(max_spread, spread_per_entry * entries_)};
}

millis backend_chooser::work_of(const std::string& service) const
{
    const auto found = work_.find(service);
    return found == work_.end() ? work_duration().mean() : found->second.mean();
}

// Returns a random number with the mean 0 and the variance 1, nearly normally distributed: the
// scaled sum of four uniform ones.
double backend_chooser::random_deviation()
{
    constexpr unsigned bits = 16;
    constexpr unsigned parts = 4;
    constexpr double variance_of_sum = parts / 12.0;
    std::uint64_t random = combine_hashes(options_.seed, ++draws_);
    double sum = 0;
    for (unsigned part = 0; part < parts; ++part) {
        sum += static_cast<double>(random & ((1U << bits) - 1)) / (1U << bits);
        random >>= bits;
    }
    return (sum - parts / 2.0) / std::sqrt(variance_of_sum);
}

// Orders servers by the expected time of one more request.  Each one's load is drawn from its
// distribution, so that entries with the same old information choose different servers.
void backend_chooser::order_by_forecast(std::vector<backend*>::iterator first,
                                        std::vector<backend*>::iterator last,
                                        const forecast_basis& basis, millis now)
{
    std::vector<std::pair<double, backend*>> costs;
    costs.reserve(static_cast<std::size_t>(last - first));
    for (auto server = first; server != last; ++server) {
        const load_forecast forecast = forecast_load(**server, basis, now);
        const unsigned zone_penalty =
            (*server)->entry.zone == options_.zone ? 0 : options_.remote_zone_penalty;
        const double deviation = random_deviation() * std::sqrt(forecast.variance + tie_variance);
        costs.emplace_back(forecast.cost(deviation + zone_penalty, (*server)->entry.slots),
                           *server);
    }
    std::sort(costs.begin(), costs.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::transform(costs.begin(), costs.end(), first, [](const auto& cost) { return cost.second; });
}

void backend_chooser::record_even_choice(const pool_state& pool, backend_choice& choice, millis now)
{
    unsigned in_flight = 0;
    unsigned least = choice.load;
    for (const backend* server : pool.servers) {
        in_flight += server->in_flight;
        least = std::min(least, server->load(now));
    }
    work_[choice.server->entry.service].record_start(in_flight, now);
    choice.expected_load = forecast_load(*choice.server, *pool.basis, now).load;
    choice.information_age = known_others(*choice.server, pool.basis->count_age, now).age;
    ++even_load_choices_.choices;
    even_load_choices_.differing += choice.load > least ? 1 : 0;
}

std::vector<backend*> backend_chooser::order_randomly(const pool_state& pool,
                                                      std::uint64_t request_hash)
{
    std::vector<backend*> ordered = pool.servers;
    std::sort(ordered.begin(), ordered.end(), [&](const backend* left, const backend* right) {
        return combine_hashes(request_hash, left->hash) < combine_hashes(request_hash, right->hash);
    });
    return ordered;
}

std::vector<backend*> backend_chooser::order_by_prefix(const pool_state& pool,
                                                       std::uint64_t placement_prefix)
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
         rank_engines({.prefix = placement_prefix}, candidates, 1, candidates.size())) {
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

std::vector<backend*> backend_chooser::order_candidates(const pool_state& pool,
                                                        const backend_criteria& criteria,
                                                        millis now)
{
    if (!criteria.placement_prefix() || options_.policy == placement_policy::least_loaded) {
        if (!pool.basis) {
            return order_by_load(pool, now);
        }
        std::vector<backend*> ordered = pool.servers;
        order_by_forecast(ordered.begin(), ordered.end(), *pool.basis, now);
        return ordered;
    }
    if (options_.policy == placement_policy::random) {
        return order_randomly(pool, criteria.request_hash);
    }
    std::vector<backend*> ordered = order_by_prefix(pool, *criteria.placement_prefix());
    if (options_.policy == placement_policy::zone_home) {
        std::stable_partition(ordered.begin(), ordered.end(), [&](const backend* server) {
            return server->entry.zone == options_.zone;
        });
    }
    auto kept_end = ordered.begin();
    if (options_.policy == placement_policy::kept && criteria.locations != nullptr) {
        const std::vector<std::uint32_t> servers_sent = criteria.locations->servers_sent(
            static_cast<std::uint32_t>(*criteria.placement_prefix()), now);
        kept_end =
            std::stable_partition(ordered.begin(), ordered.end(), [&](const backend* server) {
                return std::find(servers_sent.begin(), servers_sent.end(),
                                 static_cast<std::uint32_t>(server->hash)) != servers_sent.end();
            });
    }
    if (pool.basis) {
        // The home, or the servers that hold the prefix, come first.  Only two servers share the
        // overflow, because each further one computes the prefix again.
        constexpr std::ptrdiff_t overflow_servers = 2;
        const auto first = kept_end == ordered.begin() ? std::next(kept_end) : kept_end;
        const auto last = first + std::min(overflow_servers, ordered.end() - first);
        order_by_forecast(first, last, *pool.basis, now);
    }
    return ordered;
}

bool backend_chooser::has_prefix(const backend& server, const backend_criteria& criteria,
                                 millis now)
{
    return criteria.locations != nullptr && criteria.placement_prefix() &&
           criteria.locations->contains(static_cast<std::uint32_t>(*criteria.placement_prefix()),
                                        static_cast<std::uint32_t>(server.hash), now);
}

// Finds a server of the same software version that caches a longer part of the shared prefix than
// `server` does.  Draining servers and servers in disabled availability zones qualify, since their
// caches are intact.
const backend* backend_chooser::find_copy_source(const backend_table& table, const backend& server,
                                                 const backend_criteria& criteria, millis now) const
{
    if (criteria.locations == nullptr || !options_.copies_prompts) {
        return nullptr;
    }
    for (auto segment = criteria.segment_hashes.rbegin(); segment != criteria.segment_hashes.rend();
         ++segment) {
        const auto short_hash = static_cast<std::uint32_t>(*segment);
        if (criteria.locations->contains(short_hash, static_cast<std::uint32_t>(server.hash),
                                         now)) {
            return nullptr;
        }
        // Bounds the search: nearly all servers cache the first segments of common prompts.
        constexpr unsigned max_sources = 16;
        unsigned sources = 0;
        const backend* best = nullptr;
        for (const std::uint32_t server_hash :
             criteria.locations->servers_cached(short_hash, now)) {
            const backend* other = table.find_by_hash(server_hash);
            if (other == nullptr || other->entry.service != criteria.service ||
                other->entry.software_version != server.entry.software_version || other->missing ||
                other->health.in_backoff(now) ||
                table.words().rest_end(other->incarnation(), now)) {
                continue;
            }
            const auto cost = [&](const backend& from) {
                return std::pair(from.entry.zone != server.entry.zone, from.load(now));
            };
            if (best == nullptr || cost(*other) < cost(*best)) {
                best = other;
            }
            if (++sources == max_sources) {
                break;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

bool backend_chooser::admits_cold_start(backend& server, const relay_service& service,
                                        millis now) const
{
    if (service.cold_starts_per_second <= 0 || !server.cold(now)) {
        return true;
    }
    constexpr double one_at_a_time = 1; // size of the token bucket
    server.cold_starts.set_rate(
        options_.cold_start_share * service.cold_starts_per_second / entries_, one_at_a_time);
    return server.cold_starts.allows(now);
}

// A limit is divided among a few entries, so that the first request of each fits into it.
bool backend_chooser::admits_limited_start(backend& server, millis now) const
{
    if (!limited(server, now)) {
        return true;
    }
    const double limit = *server.limit.per_second;
    const unsigned sharers =
        std::clamp(static_cast<unsigned>(std::min<double>(limit, entries_)), 1U, entries_);
    if (entry_rank && entry_rank(server.hash) >= sharers) {
        return false;
    }
    constexpr double one_at_a_time = 1; // size of the token bucket
    server.limited_starts.set_rate(limit / sharers, one_at_a_time);
    return server.limited_starts.allows(now);
}

// Compares with the other servers only: in a small pool a server's own failures raise the mean.
bool backend_chooser::is_outlier(const backend_table& table, const pool_state& pool,
                                 const backend& server, millis now)
{
    const double failures = server.health.failures(now);
    const double outcomes = pool.outcomes - failures - server.health.successes(now);
    constexpr double min_outcomes = 1; // fewer finished requests give no failure rate
    const double others_failure_rate =
        outcomes < min_outcomes ? 0 : std::max(0.0, pool.failures - failures) / outcomes;
    return server.health.is_outlier(others_failure_rate, table.peer_outcomes(server, now), now);
}

// Mean load of the servers at which the request may begin; 0 if there are none.
double backend_chooser::admitted_mean(const pool_state& pool, const backend_criteria& criteria,
                                      millis now)
{
    unsigned servers = 0;
    unsigned load = 0;
    for (const backend* server : pool.servers) {
        if (!criteria.admits_start(*server)) {
            continue;
        }
        ++servers;
        load += server->load(now);
    }
    return servers == 0 ? 0 : static_cast<double>(load) / servers;
}

bool backend_chooser::has_server(const backend_table& table, const backend_criteria& criteria,
                                 const std::string& software_version, millis now)
{
    const std::vector<backend*> usable = table.usable(criteria.service);
    return std::any_of(usable.begin(), usable.end(), [&](const backend* server) {
        const bool tried = criteria.tried != nullptr && criteria.tried->contains(server->entry.id);
        return server->entry.software_version == software_version && !tried &&
               !server->health.in_backoff(now) &&
               !table.words().rest_end(server->incarnation(), now) &&
               table.trust(*server, now) != software_trust::restarted;
    });
}

backend_choice backend_chooser::choose(backend_table& table, const relay_service& service,
                                       const backend_criteria& criteria, millis now)
{
    pool_state pool;
    pool.servers = table.usable(service.name);
    backend_choice choice;
    choice.pool = static_cast<unsigned>(pool.servers.size());
    if (pool.servers.empty()) {
        choice.reason = table.none_accepts(service.name) ? none_accepts : choice.reason;
        return choice;
    }
    const backend_health& outcomes = table.outcomes_of(service.name);
    pool.failures = outcomes.failures(now);
    pool.outcomes = pool.failures + outcomes.successes(now);
    pool.mean = table.mean_load(service.name, now);
    choice.mean = pool.mean;
    pool.basis = basis_of(table, pool, service.name, now);
    const double margin = criteria.shared_tokens >= options_.long_prompt_tokens
                              ? options_.long_prompt_margin
                              : options_.load_margin;
    const double bound = options_.load_multiple * pool.mean + margin;

    // Outliers, servers over the load bound and, for a stream that needs a software version,
    // servers that may have another by now serve as fallback if no other server qualifies.
    backend* fallback = nullptr;
    unsigned fallback_rank = 0;
    unsigned rank = 0;
    bool any_rests = false;
    bool may_pass_soon = false; // a server is kept out for another reason
    const auto keep_out = [&](std::string_view reason) {
        choice.reason = reason;
        may_pass_soon = true;
    };
    choice.reason = criteria.software_version || criteria.unrecorded_version ? no_server_of_version
                                                                             : "all_tried";
    std::vector<backend*> candidates = order_candidates(pool, criteria, now);
    // The servers of one version may have to take what all would take otherwise.
    const double start_bound =
        criteria.unrecorded_version
            ? std::max(bound, options_.load_multiple * admitted_mean(pool, criteria, now) + margin)
            : bound;
    for (backend* server : candidates) {
        ++rank;
        if (criteria.software_version &&
            server->entry.software_version != *criteria.software_version) {
            continue;
        }
        if (!criteria.admits_start(*server)) {
            continue;
        }
        if (choice.reason == no_server_of_version) {
            choice.reason = "all_tried";
        }
        if (criteria.versions && !criteria.versions->admits(server->entry.software_version)) {
            continue;
        }
        const software_trust trust =
            criteria.software_version ? table.trust(*server, now) : software_trust::listed;
        if (trust == software_trust::restarted) {
            keep_out("restarted");
            continue;
        }
        const bool tried = criteria.tried != nullptr && criteria.tried->contains(server->entry.id);
        const auto rest_end = table.words().rest_end(server->incarnation(), now);
        any_rests = any_rests || rest_end;
        if (rest_end && !tried) {
            choice.rest_end = std::min(*rest_end, choice.rest_end.value_or(*rest_end));
        }
        if (rest_end || tried) {
            continue;
        }
        if (server->health.in_backoff(now)) {
            keep_out("unreachable");
            continue;
        }
        if (!table.words().admits_trial(server->incarnation())) {
            keep_out("after_rest");
            continue;
        }
        if (!admits_cold_start(*server, service, now)) {
            keep_out("cold");
            continue;
        }
        if (!admits_limited_start(*server, now)) {
            keep_out("limited");
            continue;
        }
        const unsigned load = server->load(now);
        const bool overloaded =
            load + 1 > start_bound || (criteria.unrecorded_version && server->full(now));
        if (overloaded || trust == software_trust::doubtful ||
            is_outlier(table, pool, *server, now)) {
            if (fallback == nullptr || load < fallback->load(now)) {
                fallback = server;
                fallback_rank = rank;
            }
            continue;
        }
        choice.server = server;
        choice.rank = rank;
        choice.load = load;
        choice.reason = "chosen";
        break;
    }
    // While some servers rest, the requests of all would crowd the others.
    if (choice.server == nullptr && fallback != nullptr && any_rests && fallback->full(now)) {
        keep_out("full");
        fallback = nullptr;
    }
    if (choice.server == nullptr && fallback != nullptr) {
        choice.server = fallback;
        choice.rank = fallback_rank;
        choice.load = fallback->load(now);
        choice.reason = "spare";
    }
    if (choice.server != nullptr || may_pass_soon) {
        choice.rest_end.reset();
    }
    else if (any_rests) {
        choice.reason = resting;
    }
    if (choice.server != nullptr) {
        choice.server->health.record_attempt(now);
        if (pool.basis) {
            record_even_choice(pool, choice, now);
        }
        choice.trial = table.words().begin_trial(choice.server->incarnation());
        choice.prefix_cached = has_prefix(*choice.server, criteria, now);
        choice.copy_source = find_copy_source(table, *choice.server, criteria, now);
    }
    if (choice.server != nullptr && service.cold_starts_per_second > 0 &&
        choice.server->cold(now)) {
        choice.server->cold_starts.take(now);
    }
    if (choice.server != nullptr && limited(*choice.server, now)) {
        choice.server->limited_starts.take(now);
    }
    return choice;
}

} // namespace cyclamen
