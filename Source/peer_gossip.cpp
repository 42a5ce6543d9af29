#include "peer_gossip.h"

#include "event_log.h"
#include "hashing.h"
#include "relay_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cyclamen {

namespace {

// Messages queued per peer.  A digest that cannot be sent at once is obsolete when the next is
// due, so a longer queue has no use.
constexpr int max_queued_digests = 16;
// Bounds what peers can make this entry hold; the longest message is a list of all servers.
constexpr int max_unhandled_messages = 256;
constexpr std::int64_t max_message_bytes = 8388608;
// Time after which a connection with unacknowledged data is closed.
constexpr int retransmit_timeout_ms = 2000;
// Prefix locations per digest.  A location that is left out costs at most one repeated
// computation of the prompt prefix.
constexpr std::size_t max_locations = 256;
constexpr double outcome_count_scale = 10;    // outcome counts are sent as integers, in tenths
constexpr std::size_t max_busy_reports = 128; // busy servers per digest; others are left out
// Suspects of crashes that are repeated after some digests, and those that a peer gets at once when
// it has started or was silent.
constexpr std::size_t digests_per_repetition = 4;
constexpr std::size_t suspects_per_repetition = 8;
constexpr std::size_t max_suspects = 256;
// Entries that tell a peer that has started what it has missed, and those that are asked for a
// stream which the archive may lack: more than are likely to end together.
constexpr unsigned joined_peer_tellers = 8;
constexpr millis loss_retention{600000}; // nobody asks for earlier losses of peers
constexpr std::size_t unarchived_holders_asked = 8;
constexpr std::size_t max_limit_reports = 256;   // limited servers per digest; others are left out
constexpr std::size_t max_leaving_reports = 256; // the same of servers that leave
constexpr double limit_scale = 1000;             // limits are sent in thousandths
constexpr millis send_check_interval = 50ms;
constexpr millis sweep_interval = 500ms;

// The link rate as digests show it.  Rounded up, as 0 says that the rate is unknown.
std::uint32_t shown_link_mbps(double mbps)
{
    return static_cast<std::uint32_t>(std::clamp(std::ceil(mbps), 0.0, double{UINT32_MAX}));
}

message_socket_options socket_options()
{
    return {.high_water_mark = max_queued_digests, .retransmit_timeout_ms = retransmit_timeout_ms};
}

// Peers are few, and this entry handles their messages as they come.
message_socket_options listen_options()
{
    return {.high_water_mark = max_unhandled_messages, .max_message_bytes = max_message_bytes};
}

} // namespace

peer_gossip::peer_gossip(kernel& core, peer_gossip_options options)
    : core_(core), options_(std::move(options)), own_hash_(hash_of(options_.listen.text())),
      zone_hash_(hash_of(options_.zone) & UINT32_MAX)
{
}

void peer_gossip::start()
{
    state_ = &core_.find<relay_state>("knowledge");
    start_record_exchange();
    listen_socket_ = message_socket::bind(
        core_.loop(), core_.metrics(), options_.listen.endpoint(),
        [this](const std::string& route, const wire::envelope& message) {
            on_message(route, message);
        },
        listen_options());
    state_->peer_source_available = [this] {
        const millis now = core_.now();
        return std::any_of(peers_.begin(), peers_.end(), [&](const auto& row) {
            return row.second.source_available &&
                   now - row.second.last_seen < options_.peer_timeout;
        });
    };
    state_->location_added.connect([this](prefix_locations::location location) {
        for (auto& [address, row] : peers_) {
            if (row.pending_locations.size() < max_locations) {
                row.pending_locations.push_back(location);
            }
        }
    });
    state_->crash_evidence_found.connect([this](const wire::crash_evidence& evidence) {
        for (auto& [address, row] : peers_) {
            wire::envelope message;
            *message.mutable_crash_evidence() = evidence;
            send(row, std::move(message));
        }
    });
    add_peer_addresses(options_.seeds);
    send_timer_ = core_.every(send_check_interval, [this] { send_due_digests(); });
    sweep_timer_ = core_.every(sweep_interval, [this] { sweep(); });
}

void peer_gossip::start_record_exchange()
{
    record_exchange_options options = options_.records;
    options.request_timeout = options_.peer_timeout;
    options.transfer.link_mbps = options_.link_mbps;
    records_ = std::make_unique<record_exchange>(
        core_, *state_, options,
        record_exchange::hooks{
            .send =
                [this](const std::string& to, wire::envelope message) {
                    const auto found = peers_.find(to);
                    if (found != peers_.end()) {
                        send(found->second, std::move(message));
                    }
                },
            .reply = [this](const std::string& route,
                            wire::envelope message) { this->reply(route, std::move(message)); },
            .holders = [this](std::size_t log,
                              log_position at_least) { return holders_of(log, at_least); },
            .must_read_logs = [this] { return must_read_logs(); },
            .source_answers = [this] { return source_answers && source_answers(); }});
    records_->set_mirrors(mirrors_);
    state_->newer_orders_known = [this] { return records_->newer_orders_known(); };
}

// Entries of the same availability zone first, in an order that differs between entries, so that
// they don't all ask the same one.
std::vector<std::string> peer_gossip::holders_of(std::size_t log, log_position at_least) const
{
    struct candidate {
        bool other_zone = false;
        std::uint64_t order = 0;
        const std::string* address = nullptr;
    };
    std::vector<candidate> candidates;
    for (const auto& [address, row] : peers_) {
        const bool heard = core_.now() - row.last_seen < silence_limit();
        if (!heard || row.link_mbps == 0 || log >= row.positions.size() ||
            row.positions[log] < at_least) {
            continue;
        }
        candidates.push_back({.other_zone = row.zone != zone_hash_,
                              .order = combine_hashes(own_hash_, row.hash),
                              .address = &address});
    }
    std::sort(
        candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
            return std::tie(left.other_zone, left.order) < std::tie(right.other_zone, right.order);
        });
    constexpr std::size_t most = 8;
    std::vector<std::string> holders;
    for (const candidate& each : candidates) {
        if (holders.size() == most) {
            break;
        }
        holders.push_back(*each.address);
    }
    return holders;
}

void peer_gossip::add_peer_addresses(const std::vector<net_address>& addresses)
{
    for (const net_address& address : addresses) {
        add_peer(address.text());
    }
}

void peer_gossip::send(peer& to, wire::envelope message) const
{
    message.set_fleet(options_.fleet);
    to.socket->send({}, std::move(message));
}

void peer_gossip::reply(const std::string& route, wire::envelope message)
{
    message.set_fleet(options_.fleet);
    listen_socket_->send(route, std::move(message));
}

bool peer_gossip::hears(const std::string& address) const
{
    const auto found = peers_.find(address);
    return found != peers_.end() && core_.now() - found->second.last_seen < silence_limit();
}

// What entries of another fleet tell is about other servers and other logs.
bool peer_gossip::is_foreign(const std::string& route, const wire::envelope& message)
{
    if (message.fleet() == 0 || options_.fleet == 0 || message.fleet() == options_.fleet) {
        return false;
    }
    constexpr std::size_t most_logged = 64;
    if (foreign_.size() < most_logged && foreign_.insert(route).second) {
        log_event(event_id::foreign_peer, "peer={} fleet={:016x}", route, message.fleet());
    }
    return true;
}

void peer_gossip::add_peer(const std::string& address)
{
    if (address == options_.listen.text() || peers_.contains(address)) {
        return;
    }
    const auto parsed = net_address::parse(address);
    if (!parsed) {
        log_event(event_id::malformed_message, "peer_address={}", address);
        return;
    }
    peer& added = peers_[address];
    added.hash = hash_of(address);
    // A peer that has not sent anything yet is treated like one whose time-out expires now: its
    // data is not used, but it counts as an entry until its retention period ends.
    added.last_seen = core_.now() - options_.peer_timeout;
    added.socket = message_socket::connect(
        core_.loop(), core_.metrics(), parsed->endpoint(), options_.listen.text(),
        [this, address](const std::string& /*route*/, const wire::envelope& message) {
            on_answer(address, message);
        },
        socket_options());
    peers_changed_at_ = core_.now();
    entries_changed.emit();
}

bool peer_gossip::reads_logs(const peer& row) const
{
    return row.source_available && !row.earlier_era &&
           core_.now() - row.last_seen < options_.peer_timeout;
}

// Entries with faster links come first, as configurations of hundreds of kilobytes can follow one
// another several times a second; among equals, the lower address.
std::size_t peer_gossip::log_readers_before() const
{
    const std::string own = options_.listen.text();
    const std::uint32_t own_link = shown_link_mbps(options_.link_mbps);
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
            const std::uint32_t link = row.second.link_mbps;
            return (link > own_link || (link == own_link && row.first < own)) &&
                   reads_logs(row.second);
        }));
}

// An entry reads the logs unless the log service answers at least `log_readers` peers that come
// before it.
bool peer_gossip::must_read_logs() const
{
    return log_readers_before() < options_.log_readers;
}

std::size_t peer_gossip::send_origins(const wire::stream_origins& message)
{
    const bool few = peers_.size() <= options_.few_peers;
    const bool asks = message.wanted_size() > 0;
    std::size_t readers = 0;
    std::size_t holders = 0;
    std::size_t receivers = 0;
    for (auto& [address, row] : peers_) {
        if (core_.now() - row.last_seen >= silence_limit()) {
            continue;
        }
        const bool is_reader = reads_logs(row) && readers < options_.log_readers;
        const bool is_holder = asks && row.unarchived_origins && holders < unarchived_holders_asked;
        if (!few && !is_reader && !is_holder) {
            continue;
        }
        readers += is_reader ? 1 : 0;
        holders += is_holder ? 1 : 0;
        ++receivers;
        send_origins_to(address, message);
    }
    return receivers;
}

std::size_t peer_gossip::broadcast_origins(const wire::stream_origins& message)
{
    std::size_t receivers = 0;
    for (const auto& [address, row] : peers_) {
        if (core_.now() - row.last_seen < silence_limit()) {
            ++receivers;
            send_origins_to(address, message);
        }
    }
    return receivers;
}

// Whether the peer was heard before, and is silent now.
bool peer_gossip::is_lost(const peer& row, millis now) const
{
    return row.incarnation != 0 && now - row.last_seen >= silence_limit();
}

origin_exchange::membership_state peer_gossip::membership() const
{
    origin_exchange::membership_state state{.changes = membership_changes_};
    for (const auto& [address, at] : lost_at_) {
        state.lost_at = std::max(at, state.lost_at.value_or(at));
    }
    // `sweep` has yet to notice those that have just fallen silent.
    const millis now = core_.now();
    if (std::any_of(peers_.begin(), peers_.end(),
                    [&](const auto& row) { return is_lost(row.second, now); })) {
        state.lost_at = now;
    }
    return state;
}

void peer_gossip::send_origins_to(const std::string& peer, const wire::stream_origins& message)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    wire::envelope envelope;
    *envelope.mutable_stream_origins() = message;
    send(found->second, std::move(envelope));
}

// A question comes by the socket of the peer that asks, and the answer by the one of this entry.
void peer_gossip::handle_origins(const std::string& route, const wire::stream_origins& message)
{
    if (!on_origins) {
        return;
    }
    if (auto answer = on_origins(route, message)) {
        wire::envelope envelope;
        *envelope.mutable_stream_origins() = std::move(*answer);
        reply(route, std::move(envelope));
    }
}

unsigned peer_gossip::rank(std::uint64_t hash) const
{
    const millis now = core_.now();
    const std::uint64_t own = combine_hashes(own_hash_, hash);
    return static_cast<unsigned>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
        return now - row.second.last_seen < silence_limit() &&
               combine_hashes(row.second.hash, hash) < own;
    }));
}

millis peer_gossip::interval() const
{
    return options_.interval_among(peers_.size());
}

// Silence after which a peer is taken to be gone: with many entries, each is heard seldom.
millis peer_gossip::silence_limit() const
{
    constexpr int missed_digests = 3;
    return std::max(options_.peer_timeout, missed_digests * interval());
}

wire::envelope peer_gossip::digest(bool with_peers)
{
    wire::envelope message;
    wire::relay_digest& body = *message.mutable_relay_digest();
    body.set_address(options_.listen.text());
    body.set_incarnation(core_.incarnation());
    body.set_sequence(++sequence_);
    records_->add_positions(body);
    body.set_link_mbps(shown_link_mbps(options_.link_mbps));
    body.set_zone(static_cast<std::uint32_t>(zone_hash_));
    body.set_source_answers(source_answers && source_answers());
    body.set_source_age_ms(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(state_->source_age().count(), 0, UINT32_MAX)));
    body.set_source_steady_ms(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(state_->source_steady_time().count(), 0, UINT32_MAX)));
    for (const auto& [id, server] : state_->backends().all()) {
        if (server->in_flight > 0) {
            wire::backend_count& row = *body.add_in_flight();
            row.set_backend(static_cast<std::uint32_t>(server->hash));
            row.set_count(server->in_flight);
        }
    }
    for (const auto& [hash, outcomes] : state_->backends().outcomes_to_report(core_.now())) {
        wire::backend_ends& row = *body.add_ends();
        row.set_backend(hash);
        row.set_bad_tenths(static_cast<std::uint32_t>(outcomes.failures * outcome_count_scale));
        row.set_good_tenths(static_cast<std::uint32_t>(outcomes.successes * outcome_count_scale));
    }
    // Busy reports are only sent if there are many entries: with few, their in-flight counts show
    // the same load, and earlier.
    if (peers_.size() > options_.few_peers) {
        for (const backend_table::busy_report& report :
             state_->backends().busy_to_report(core_.now())) {
            if (static_cast<std::size_t>(body.busy_size()) >= max_busy_reports) {
                break;
            }
            wire::backend_busy& row = *body.add_busy();
            row.set_backend(report.server);
            row.set_held(report.held);
            row.set_age_ms(static_cast<std::uint32_t>((core_.now() - report.at).count()));
        }
    }
    for (const backend_table::limit_report& report :
         state_->backends().limits_to_report(core_.now())) {
        if (static_cast<std::size_t>(body.limits_size()) >= max_limit_reports) {
            break;
        }
        wire::backend_limit& row = *body.add_limits();
        row.set_backend(report.server);
        if (report.limit.per_second) {
            row.set_thousandths(static_cast<std::uint32_t>(
                std::min(*report.limit.per_second * limit_scale, double{UINT32_MAX})));
        }
        row.set_age_ms(static_cast<std::uint32_t>((core_.now() - report.limit.at).count()));
    }
    for (const server_words::leaving_report& report :
         state_->backends().words().leaving_to_report(core_.now())) {
        if (static_cast<std::size_t>(body.leaving_size()) >= max_leaving_reports) {
            break;
        }
        wire::backend_leaving& row = *body.add_leaving();
        row.set_incarnation(report.incarnation);
        row.set_age_ms(static_cast<std::uint32_t>((core_.now() - report.at).count()));
    }
    body.set_unarchived_origins(state_->origins().has_unarchived());
    if (add_to_digest) {
        add_to_digest(body);
    }
    if (with_peers) {
        const millis now = core_.now();
        for (const auto& [address, row] : peers_) {
            if (now - row.last_seen < silence_limit()) {
                body.add_peers(address);
            }
        }
    }
    return message;
}

// Sends a digest to each peer whose interval has expired.  Peers have separate send times, and
// each digest is built when it is sent, so that it carries the latest counts.
void peer_gossip::send_due_digests()
{
    const millis now = core_.now();
    const millis pause = options_.digest_interval(peers_.size(), must_read_logs());
    const bool peers_changed = now - peers_changed_at_ < options_.peer_list_after_change;
    for (auto& [address, row] : peers_) {
        if (now - row.last_digest_sent < pause) {
            continue;
        }
        row.last_digest_sent = now;
        wire::envelope message =
            digest(peers_changed || options_.lists_peers(sequence_, peers_.size()));
        for (const prefix_locations::location& location : row.pending_locations) {
            wire::prompt_place& added = *message.mutable_relay_digest()->add_places();
            added.set_part(location.first);
            added.set_backend(location.second);
        }
        row.pending_locations.clear();
        send(row, std::move(message));
        // Repeated, because a message may be lost and a peer may have been cut off.
        if (++row.digests_sent % digests_per_repetition == 0) {
            send_crash_evidence(row, row.digests_sent, suspects_per_repetition);
        }
    }
}

void peer_gossip::send_digests_soon()
{
    for (auto& [address, row] : peers_) {
        row.last_digest_sent = millis(0);
    }
}

// Sends a peer what is known of up to `count` suspects, and what was observed recently; `start`
// selects them in turn.
void peer_gossip::send_crash_evidence(peer& to, std::size_t start, std::size_t count)
{
    wire::crash_evidence news = state_->crash_news(start, count);
    if (news.suspects_size() + news.down_size() + news.losses_size() > 0) {
        wire::envelope message;
        *message.mutable_crash_evidence() = std::move(news);
        send(to, std::move(message));
    }
}

// Handles a message on the connection to the peer `address`: what it answers comes there.
void peer_gossip::on_answer(const std::string& address, const wire::envelope& message)
{
    const bool names_peer = message.has_record_batch() || message.has_value_piece();
    on_message(names_peer ? address : std::string(), message);
}

void peer_gossip::on_message(const std::string& route, const wire::envelope& message)
{
    if (is_foreign(route, message)) {
        return;
    }
    switch (message.body_case()) {
    case wire::envelope::kRelayDigest:
        handle_digest(message.relay_digest());
        return;
    case wire::envelope::kRecordRequest:
        records_->handle_record_request(route, message.record_request());
        return;
    case wire::envelope::kRecordBatch:
        records_->apply_record_batch(route, message.record_batch());
        return;
    case wire::envelope::kValueRequest:
        records_->handle_value_request(route, message.value_request());
        return;
    case wire::envelope::kValuePiece:
        records_->handle_value_piece(route, message.value_piece());
        return;
    case wire::envelope::kCrashEvidence:
        state_->merge_crash_evidence(message.crash_evidence());
        return;
    case wire::envelope::kStreamOrigins:
        handle_origins(route, message.stream_origins());
        return;
    default:
        log_event(event_id::malformed_message, "body={}", static_cast<int>(message.body_case()));
    }
}

void peer_gossip::handle_digest(const wire::relay_digest& digest)
{
    add_peer(digest.address());
    for (const std::string& address : digest.peers()) {
        add_peer(address);
    }
    const auto found = peers_.find(digest.address());
    if (found == peers_.end()) {
        return; // the address is this entry's own or cannot be parsed
    }
    peer& from = found->second;
    if (from.incarnation == digest.incarnation() && digest.sequence() <= from.sequence) {
        return;
    }
    if (core_.now() - from.last_seen >= counts_lifetime()) {
        log_event(event_id::peer_heard, "peer={} entries={}", digest.address(), entries());
    }
    const bool joined =
        core_.now() - from.last_seen >= silence_limit() || from.incarnation != digest.incarnation();
    if (joined) {
        send_crash_evidence(from, 0, max_suspects);
        ++membership_changes_;
    }
    if (joined && from.incarnation == digest.incarnation()) {
        lost_at_.erase(digest.address()); // it was out of reach
    }
    else if (joined && from.incarnation != 0) {
        lost_at_[digest.address()] = core_.now();
    }
    from.lost = false;
    from.incarnation = digest.incarnation();
    from.sequence = digest.sequence();
    from.last_seen = core_.now();
    from.source_available = digest.source_answers();
    from.unarchived_origins = digest.unarchived_origins();
    if (joined && on_peer_joined && rank(from.hash) < joined_peer_tellers) {
        on_peer_joined(digest.address());
    }
    apply_counts(digest.address(), digest);
    for (const wire::prompt_place& location : digest.places()) {
        state_->add_location_from_peer({location.part(), location.backend()});
    }
    from.link_mbps = digest.link_mbps();
    from.zone = digest.zone();
    from.positions.clear();
    for (int log = 0; log < std::min(digest.positions_size(), digest.logs_size()); ++log) {
        from.positions.push_back({.era = digest.logs(log).era(), .offset = digest.positions(log)});
    }
    from.earlier_era = !records_->on_digest(digest);
    if (on_digest) {
        on_digest(digest);
    }
}

void peer_gossip::apply_counts(const std::string& address, const wire::relay_digest& digest)
{
    std::map<std::uint32_t, unsigned> counts;
    for (const wire::backend_count& row : digest.in_flight()) {
        counts[row.backend()] = row.count();
    }
    state_->backends().set_peer_in_flight(address, std::move(counts), core_.now());
    for (const wire::backend_busy& row : digest.busy()) {
        state_->backends().record_busy_report(
            {.server = row.backend(), .held = row.held(), .at = core_.now() - millis(row.age_ms())},
            core_.now());
    }
    for (const wire::backend_limit& row : digest.limits()) {
        backend_table::limit_report report{.server = row.backend()};
        report.limit.at = core_.now() - millis(row.age_ms());
        if (row.has_thousandths()) {
            report.limit.per_second = row.thousandths() / limit_scale;
        }
        state_->backends().record_limit_report(report, core_.now());
    }
    for (const wire::backend_leaving& row : digest.leaving()) {
        state_->peer_heard_leaving(row.incarnation(), millis(row.age_ms()));
    }
    backend_table::outcomes_by_server outcomes;
    for (const wire::backend_ends& row : digest.ends()) {
        outcomes[row.backend()] = {.successes = row.good_tenths() / outcome_count_scale,
                                   .failures = row.bad_tenths() / outcome_count_scale};
    }
    state_->backends().set_peer_outcomes(address, outcomes, core_.now());
}

void peer_gossip::sweep()
{
    const millis now = core_.now();
    records_->sweep();
    std::vector<std::string> expired;
    for (auto& [address, row] : peers_) {
        const millis silence = now - row.last_seen;
        if (is_lost(row, now) && !std::exchange(row.lost, true)) {
            ++membership_changes_;
            lost_at_[address] = now;
        }
        if (silence >= counts_lifetime() && state_->backends().set_peer_in_flight(address, {})) {
            log_event(event_id::peer_silent, "peer={} silent_ms={} entries={}", address,
                      silence.count(), entries());
        }
        if (silence >= options_.peer_retention) {
            expired.push_back(address);
        }
    }
    std::erase_if(lost_at_, [now](const auto& row) { return now - row.second >= loss_retention; });
    for (const std::string& address : expired) {
        peers_.erase(address);
        peers_changed_at_ = core_.now();
        entries_changed.emit();
    }
}

nlohmann::json peer_gossip::describe() const
{
    nlohmann::json rows;
    for (const auto& [address, row] : peers_) {
        rows[address] = {{"heard_ms_ago", (core_.now() - row.last_seen).count()},
                         {"source_answers", row.source_available}};
    }
    return {{"listen", options_.listen.text()}, {"entries", entries()}, {"peers", rows}};
}

} // namespace cyclamen
