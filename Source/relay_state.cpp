#include "relay_state.h"

#include "event_log.h"
#include "hashing.h"

#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cyclamen {

namespace {

constexpr millis sweep_interval = 200ms;
// Longest time between two confirmations of a source that is not away: shorter than the time in
// which the entries of servers that cannot write them expire.
constexpr millis steady_gap = 1500ms;
// Time after a failure of the archive in which no stream relies on it.
constexpr millis archive_doubt_time = 1000ms;
// Age of the last confirmation from which the source, and the archive with it, may be away.
constexpr millis archive_silence = 3000ms;

} // namespace

void relay_state::start()
{
    sweep_timer_ = core_.every(sweep_interval, [this] {
        if (complete_ && source_age() > options_.fresh_for) {
            mark_source_lost("silent");
        }
        for (const auto& server : backends_.sweep(core_.now())) {
            on_server_ended(server->entry.id, server->incarnation(), server_end_sign::removed);
        }
        locations_.sweep(core_.now());
        note_versions();
        origins_.sweep(core_.now());
        publish(crashes_.sweep(core_.now()));
        publish_losses();
        check_quarantine();
    });
}

void relay_state::note_versions()
{
    for (const auto& [id, server] : backends_.all()) {
        origins_.note_version(server->entry.service, server->entry.software_version, core_.now());
    }
}

void relay_state::backends_skipped()
{
    note_versions();
    origins_.note_gap(core_.now());
    log_event(event_id::backends_skipped, "gaps={} backends={}", origins_.gaps(),
              backends_.all().size());
}

bool relay_state::others_served(const std::string& service, const std::string& version)
{
    note_versions();
    return origins_.others_served(service, version, core_.now());
}

void relay_state::set_default_versions(const std::string& service, const version_shares& shares,
                                       millis read_at)
{
    const std::map<std::string, version_shares> before = origins_.default_versions();
    origins_.set_defaults(service, shares, read_at);
    const version_shares now = origins_.default_versions().at(service);
    const auto found = before.find(service);
    if (found == before.end() || found->second != now) {
        log_event(event_id::default_version_set, "service={} software={} before={} age_ms={}",
                  service, now.text(), found == before.end() ? "?" : found->second.text(),
                  (core_.now() - read_at).count());
    }
}

void relay_state::begin_stream(const stream_origin& origin,
                               std::function<void(bool archived)> on_told)
{
    const origin_duty duty = origins_.record(origin, core_.now(), archive_doubtful());
    if (duty == origin_duty::none || !announce_origin) {
        on_told(true);
        return;
    }
    announce_origin(origin.stream, duty, std::move(on_told));
}

// The archive is a part of the source: while that is away, so is the archive.
bool relay_state::archive_doubtful() const
{
    return core_.now() - archive_failed_at_ < archive_doubt_time ||
           confirmed_at_ <= archive_failed_at_ || source_age() > archive_silence;
}

std::optional<std::string> relay_state::unrecorded_version(const std::string& service,
                                                           std::uint64_t stream) const
{
    return archive_doubtful() ? origins_.last_default_version(service, stream, core_.now())
                              : std::nullopt;
}

std::map<std::string, std::map<std::string, std::uint32_t>> relay_state::slots_by_version() const
{
    std::map<std::string, std::map<std::string, std::uint32_t>> slots;
    for (const auto& [id, server] : backends_.all()) {
        if (!server->entry.draining && !server->missing) {
            slots[server->entry.service][server->entry.software_version] += server->entry.slots;
        }
    }
    return slots;
}

void relay_state::find_origin(std::uint64_t stream, const std::string& service,
                              std::function<void(std::optional<std::string>)> on_end)
{
    const std::optional<std::string> version = known_origin(stream, service);
    if (version || !search_origin) {
        on_end(version);
        return;
    }
    search_origin(stream, service, std::move(on_end));
}

void relay_state::apply_configuration(relay_configuration configuration)
{
    if (routes_ != nullptr && configuration.version < routes_->version()) {
        return;
    }
    const std::uint64_t before = routes_ == nullptr ? 0 : routes_->version();
    routes_ = std::make_shared<route_table>(std::move(configuration));
    configured_at_ = core_.now();
    const relay_configuration& now = routes_->configuration();
    log_event(event_id::configuration_taken,
              "version={} before={} routes={} services={} accounts={}", now.version, before,
              now.routes.size(), now.services.size(), now.accounts.size());
    configured.emit();
}

void relay_state::update_backend(const backend_entry& entry)
{
    const backend* known = backends_.find(entry.id);
    const bool changed = known == nullptr || known->entry.draining != entry.draining ||
                         known->entry.started_at != entry.started_at ||
                         (known->entry.cold_for == 0ms) != (entry.cold_for == 0ms);
    const std::optional<std::uint64_t> before =
        known == nullptr ? std::nullopt : std::optional(known->incarnation());
    if (known != nullptr && known->entry.software_version != entry.software_version) {
        origins_.note_version(known->entry.service, known->entry.software_version, core_.now());
    }
    const backend_table::put_result result = backends_.put(entry, core_.now());
    if (before == std::nullopt) {
        // Its entry may have expired although it lives.
        crashes_.on_server_alive(backends_.find(entry.id)->incarnation());
    }
    if (result == backend_table::put_result::new_incarnation) {
        locations_.remove_server(static_cast<std::uint32_t>(hash_of(entry.id)));
        if (before) {
            on_server_ended(entry.id, *before, server_end_sign::restarted);
        }
        end_predecessors(entry);
    }
    if (result != backend_table::put_result::stale && changed) {
        log_event(event_id::backend_listed,
                  "backend={} service={} software={} zone={} address={} draining={} cold_ms={} "
                  "started_at={} sequence={}",
                  entry.id, entry.service, entry.software_version, entry.zone, entry.address.text(),
                  entry.draining, entry.cold_for.count(), entry.started_at, entry.sequence);
    }
    if (changed && on_version_without_share &&
        !origins_.has_share(entry.service, entry.software_version)) {
        on_version_without_share();
    }
}

void relay_state::backend_leaves(const std::string& id, std::uint64_t incarnation)
{
    if (backends_.words().record_leaving(incarnation, core_.now())) {
        log_event(event_id::backend_leaving, "backend={} incarnation={:016x} age_ms=0", id,
                  incarnation);
    }
}

void relay_state::peer_heard_leaving(std::uint64_t incarnation, millis age)
{
    if (age < leaving_report_time &&
        backends_.words().record_leaving(incarnation, core_.now() - age)) {
        log_event(event_id::backend_leaving, "backend=? incarnation={:016x} age_ms={}", incarnation,
                  age.count());
    }
}

void relay_state::backend_rests(const std::string& id, std::uint64_t incarnation, millis time)
{
    const millis now = core_.now();
    if (backends_.words().record_rest(incarnation, now + time, now)) {
        log_event(event_id::backend_resting, "backend={} incarnation={:016x} for_ms={}", id,
                  incarnation, time.count());
    }
}

void relay_state::backend_unreachable(backend& server, bool refused)
{
    backends_.record_connect_failure(server, core_.now());
    // A timeout may be due to this entry's own links.
    if (refused) {
        backend_table::record_refusal(server, core_.now());
    }
    if (refused) {
        on_server_ended(server.entry.id, server.incarnation(), server_end_sign::refused);
    }
}

void relay_state::backend_lost(backend& server)
{
    if (!backend_table::record_loss(server, core_.now())) {
        return;
    }
    log_event(event_id::server_doubted, "backend={} incarnation={:016x} from=here source_age_ms={}",
              server.entry.id, server.incarnation(), source_age().count());
    wire::crash_evidence news;
    news.add_doubted()->set_server(server.incarnation());
    crash_evidence_found.emit(news);
}

// Takes over at which servers a peer has lost connections, or was refused.
void relay_state::merge_doubts(const wire::crash_evidence& evidence)
{
    if (evidence.doubted_size() + evidence.down_size() == 0) {
        return;
    }
    const millis now = core_.now();
    const auto age_of = [](const auto& rows, std::uint64_t incarnation) -> std::optional<millis> {
        for (const wire::crash_sighting& row : rows) {
            if (row.server() == incarnation) {
                return millis(row.age_ms());
            }
        }
        return std::nullopt;
    };
    for (const auto& [id, server] : backends_.all()) {
        if (const auto age = age_of(evidence.down(), server->incarnation())) {
            backend_table::record_refusal(*server, now - *age);
        }
        const auto age = age_of(evidence.doubted(), server->incarnation());
        if (age && backend_table::record_loss(*server, now - *age)) {
            log_event(event_id::server_doubted,
                      "backend={} incarnation={:016x} from=peer source_age_ms={}", id,
                      server->incarnation(), source_age().count());
        }
    }
}

void relay_state::backend_misdirected(const std::string& id, std::uint64_t incarnation)
{
    on_server_ended(id, incarnation, server_end_sign::misdirected);
}

// Ends the servers that had the address of a server that has just started.
void relay_state::end_predecessors(const backend_entry& entry)
{
    for (const auto& [id, server] : backends_.all()) {
        if (id == entry.id || server->entry.started_at > entry.started_at ||
            server->entry.address.text() != entry.address.text()) {
            continue;
        }
        on_server_ended(id, server->incarnation(), server_end_sign::address_reused);
    }
}

void relay_state::end_attempt(crash_detector::attempt_number attempt, attempt_end how)
{
    publish(crashes_.end(attempt, how, core_.now()));
}

void relay_state::publish_losses()
{
    const wire::crash_evidence news = crashes_.take_news(core_.now());
    if (news.losses_size() > 0) {
        crash_evidence_found.emit(news);
    }
}

wire::crash_evidence relay_state::crash_news(std::size_t start, std::size_t suspects) const
{
    const millis now = core_.now();
    wire::crash_evidence news;
    for (wire::suspect_record& record : crashes_.evidence().records(start, suspects, now)) {
        *news.add_suspects() = std::move(record);
    }
    constexpr std::size_t max_recent = 32; // of each kind; the others have their turn later
    crashes_.add_recent(news, start, std::min(suspects, max_recent), now);
    return news;
}

void relay_state::merge_crash_evidence(const wire::crash_evidence& evidence)
{
    for (const wire::crash_sighting& down : evidence.down()) {
        if (!crashes_.known_down(down.server())) {
            log_event(event_id::server_ended, "backend=? incarnation={:016x} sign={} age_ms={}",
                      down.server(), name_of(server_end_sign_names, server_end_sign::peer),
                      down.age_ms());
        }
    }
    merge_doubts(evidence);
    publish(crashes_.merge(evidence, core_.now()));
    check_quarantine();
}

void relay_state::on_server_ended(const std::string& id, std::uint64_t incarnation,
                                  server_end_sign sign)
{
    const bool known = crashes_.known_down(incarnation);
    const std::vector<std::uint64_t> counted = crashes_.on_server_down(incarnation, core_.now());
    if (known && counted.empty()) {
        return;
    }
    log_event(event_id::server_ended, "backend={} incarnation={:016x} sign={} counted={}", id,
              incarnation, name_of(server_end_sign_names, sign), counted.size());
    // The source tells all entries of the other signs.
    const bool tells_peers =
        sign == server_end_sign::refused || sign == server_end_sign::misdirected;
    publish(counted, tells_peers ? std::optional(incarnation) : std::nullopt);
}

// Tells the peers what has become known of these suspects, and that a server is down.
void relay_state::publish(const std::vector<std::uint64_t>& suspects,
                          std::optional<std::uint64_t> server_down)
{
    if (suspects.empty() && !server_down) {
        return;
    }
    wire::crash_evidence evidence;
    for (const std::uint64_t hash : suspects) {
        const wire::suspect_record& record = *evidence.add_suspects() =
            crashes_.evidence().record(hash, core_.now());
        log_event(event_id::crash_counted, "suspect={:016x} position={} crashes={} of={}", hash,
                  record.position(), crashes_.evidence().crashes(hash, core_.now()),
                  record.crashes_size());
    }
    if (server_down) {
        evidence.add_down()->set_server(*server_down);
    }
    crash_evidence_found.emit(evidence);
    check_quarantine();
}

void relay_state::check_quarantine()
{
    const millis now = core_.now();
    const std::set<std::uint64_t> before =
        std::exchange(quarantine_, crashes_.evidence().quarantine(now));
    for (const std::uint64_t hash : quarantine_) {
        if (before.contains(hash)) {
            continue;
        }
        log_event(event_id::request_quarantined, "suspect={:016x} crashes={}", hash,
                  crashes_.evidence().crashes(hash, now));
        quarantine_changed.emit(hash, true);
    }
    for (const std::uint64_t hash : before) {
        if (quarantine_.contains(hash)) {
            continue;
        }
        log_event(event_id::quarantine_ended, "suspect={:016x} crashes={}", hash,
                  crashes_.evidence().crashes(hash, now));
        quarantine_changed.emit(hash, false);
    }
}

void relay_state::remove_backend(const std::string& id)
{
    const backend* known = backends_.find(id);
    if (known == nullptr) {
        return;
    }
    origins_.note_version(known->entry.service, known->entry.software_version, core_.now());
    const std::uint64_t incarnation = known->incarnation();
    backends_.drop(id, core_.now());
    const bool kept = backends_.find(id) != nullptr;
    log_event(event_id::backend_gone, "backend={} kept_for_now={} source_age_ms={}", id, kept,
              source_age().count());
    if (!kept) { // else its entry may only have expired
        on_server_ended(id, incarnation, server_end_sign::removed);
    }
}

void relay_state::update_zones_out(std::set<std::string> zones)
{
    if (zones == backends_.disabled_zones()) {
        return;
    }
    log_event(event_id::zones_out_changed, "zones={}", fmt::join(zones, ","));
    backends_.set_disabled_zones(std::move(zones));
}

void relay_state::mark_complete()
{
    if (!complete_) {
        complete_ = true;
        log_event(event_id::knowledge_complete, "version={} backends={}",
                  routes_ == nullptr ? 0 : routes_->version(), backends_.all().size());
    }
}

void relay_state::confirmed_by_source()
{
    set_confirmed(core_.now());
    mark_source_regained();
}

void relay_state::set_confirmed(millis at)
{
    if (at <= confirmed_at_) {
        return;
    }
    const bool gap = at - confirmed_at_ > steady_gap;
    if (gap || source_lost_) {
        outage_began_ = confirmed_at_;
    }
    if (gap) {
        steady_since_ = at;
    }
    confirmed_at_ = at;
    backends_.source_confirmed(at);
}

void relay_state::source_restored()
{
    outage_began_.reset(); // what the copy lacks has not expired
    backends_.start_grace(core_.now());
}

void relay_state::peer_source_steady(millis time)
{
    if (source_lost_ || !outage_began_ || core_.now() - time > *outage_began_) {
        return;
    }
    if (backends_.end_grace(core_.now())) {
        log_event(event_id::expired_entries_released, "outage_ms={} steady_at_peer_ms={}",
                  (core_.now() - *outage_began_).count(), time.count());
    }
    outage_began_.reset();
}

void relay_state::mark_source_regained()
{
    if (source_lost_) {
        source_lost_ = false;
        log_event(event_id::source_regained, "backends={}", backends_.all().size());
        backends_.source_regained(core_.now());
    }
}

void relay_state::confirmed_by_peer(millis ago)
{
    set_confirmed(core_.now() - ago);
    if (source_age() < options_.fresh_for) {
        mark_source_regained();
    }
}

void relay_state::add_location(prefix_locations::location location)
{
    if (locations_.record_use(location, core_.now())) {
        location_added.emit(location);
    }
}

void relay_state::source_failed(const std::string& why)
{
    if (!peer_source_available || !peer_source_available()) {
        mark_source_lost(why);
    }
}

void relay_state::mark_source_lost(const std::string& why)
{
    if (!source_lost_) {
        source_lost_ = true;
        log_event(event_id::source_lost, "why={} age_ms={} version={}", why, source_age().count(),
                  routes_ == nullptr ? 0 : routes_->version());
        backends_.source_lost();
    }
}

nlohmann::json relay_state::describe() const
{
    nlohmann::json servers;
    const millis now = core_.now();
    const server_words& words = backends_.words();
    for (const auto& [id, server] : backends_.all()) {
        const std::uint64_t incarnation = server->incarnation();
        servers[id] = {{"service", server->entry.service},
                       {"software", server->entry.software_version},
                       {"zone", server->entry.zone},
                       {"address", server->entry.address.text()},
                       {"draining", server->entry.draining},
                       {"leaving", words.leaving(incarnation)},
                       {"rest_ms", (words.rest_end(incarnation, now).value_or(now) - now).count()},
                       {"missing", server->missing},
                       {"cold", server->cold(now)},
                       {"in_flight", server->in_flight},
                       {"load", server->load(now)},
                       {"limit", server->limit.per_second.value_or(0)},
                       {"unreachable", server->health.in_backoff(now)}};
    }
    nlohmann::json suspects;
    for (const std::uint64_t hash : quarantine_) {
        suspects[fmt::format("{:016x}", hash)] = crashes_.evidence().crashes(hash, now);
    }
    return {{"version", routes_ == nullptr ? 0 : routes_->version()},
            {"version_age_ms", (now - configured_at_).count()},
            {"source_age_ms", source_age().count()},
            {"fresh", fresh()},
            {"zones_out", backends_.disabled_zones()},
            {"suspects", crashes_.evidence().size()},
            {"quarantine", suspects},
            {"backends", servers}};
}

} // namespace cyclamen
