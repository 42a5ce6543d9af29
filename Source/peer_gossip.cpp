#include "peer_gossip.h"

#include "event_log.h"
#include "hashing.h"
#include "relay_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>

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
constexpr std::size_t max_limit_reports = 256;   // limited servers per digest; others are left out
constexpr std::size_t max_leaving_reports = 256; // the same of servers that leave
constexpr double limit_scale = 1000;             // limits are sent in thousandths
constexpr millis send_check_interval = 50ms;
// Interval between two requests for the records of a log that a restore has lost.
constexpr millis lost_request_interval = 500ms;
constexpr std::size_t max_lost_fingerprints = 64;
constexpr millis sweep_interval = 500ms;

using wire_restores = google::protobuf::RepeatedPtrField<wire::log_restore>;

void add_restores(const record_mirror& mirror, wire_restores& to)
{
    for (const auto& [era, begin] : mirror.restores().begins()) {
        wire::log_restore& row = *to.Add();
        row.set_era(era);
        row.set_begin(begin);
    }
}

void take_restores(record_mirror& mirror, const wire_restores& from)
{
    for (const wire::log_restore& row : from) {
        mirror.add_restore({.era = row.era(), .offset = row.begin()});
    }
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
    : core_(core), options_(std::move(options)), own_hash_(hash_of(options_.listen.text()))
{
}

void peer_gossip::start()
{
    state_ = &core_.find<relay_state>("knowledge");
    behind_since_.resize(mirrors_.size());
    lost_requested_at_.resize(mirrors_.size(), core_.now() - lost_request_interval);
    lost_received_.resize(mirrors_.size());
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
            row.socket->send({}, std::move(message));
        }
    });
    add_peer_addresses(options_.seeds);
    send_timer_ = core_.every(send_check_interval, [this] { send_due_digests(); });
    sweep_timer_ = core_.every(sweep_interval, [this] { sweep(); });
}

void peer_gossip::add_peer_addresses(const std::vector<net_address>& addresses)
{
    for (const net_address& address : addresses) {
        add_peer(address.text());
    }
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
        [this](const std::string& route, const wire::envelope& message) {
            on_message(route, message);
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

std::size_t peer_gossip::log_readers_before() const
{
    const std::string own = options_.listen.text();
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [&](const auto& row) { return row.first < own && reads_logs(row.second); }));
}

// An entry reads the logs unless the log service answers at least `log_readers` peers with lower
// addresses.
bool peer_gossip::must_read_logs() const
{
    return log_readers_before() < options_.log_readers;
}

std::size_t peer_gossip::send_origins(const wire::stream_origins& message)
{
    const bool few = peers_.size() <= options_.few_peers;
    std::size_t receivers = 0;
    for (auto& [address, row] : peers_) {
        const bool heard = core_.now() - row.last_seen < silence_limit();
        if (!heard || (!few && !reads_logs(row))) {
            continue;
        }
        wire::envelope envelope;
        *envelope.mutable_stream_origins() = message;
        row.socket->send({}, std::move(envelope));
        if (++receivers == options_.log_readers && !few) {
            break;
        }
    }
    return receivers;
}

void peer_gossip::broadcast_origins(const wire::stream_origins& message)
{
    for (const auto& [address, row] : peers_) {
        if (core_.now() - row.last_seen < silence_limit()) {
            send_origins_to(address, message);
        }
    }
}

void peer_gossip::send_origins_to(const std::string& peer, const wire::stream_origins& message)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    wire::envelope envelope;
    *envelope.mutable_stream_origins() = message;
    found->second.socket->send({}, std::move(envelope));
}

// A question comes by the socket of the peer that asks, and the answer by the one of this entry.
void peer_gossip::handle_origins(const std::string& route, const wire::stream_origins& message)
{
    if (!on_origins) {
        return;
    }
    if (auto reply = on_origins(route, message)) {
        wire::envelope envelope;
        *envelope.mutable_stream_origins() = std::move(*reply);
        listen_socket_->send(route, std::move(envelope));
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
    for (const record_mirror* mirror : mirrors_) {
        body.add_positions(mirror->position().value_or(0));
        wire::log_state& state = *body.add_logs();
        state.set_era(mirror->era());
        state.set_lost(mirror->lost_fingerprint());
        add_restores(*mirror, *state.mutable_restores());
    }
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
        row.socket->send({}, std::move(message));
        // Repeated, because a message may be lost and a peer may have been cut off.
        if (++row.digests_sent % digests_per_repetition == 0) {
            send_crash_evidence(row, row.digests_sent, suspects_per_repetition);
        }
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
        to.socket->send({}, std::move(message));
    }
}

void peer_gossip::on_message(const std::string& route, const wire::envelope& message)
{
    switch (message.body_case()) {
    case wire::envelope::kRelayDigest:
        handle_digest(message.relay_digest());
        return;
    case wire::envelope::kRecordRequest:
        handle_record_request(route, message.record_request());
        return;
    case wire::envelope::kRecordBatch:
        apply_record_batch(message.record_batch());
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
    if (core_.now() - from.last_seen >= silence_limit() ||
        from.incarnation != digest.incarnation()) {
        send_crash_evidence(from, 0, max_suspects);
    }
    from.incarnation = digest.incarnation();
    from.sequence = digest.sequence();
    from.last_seen = core_.now();
    from.source_available = digest.source_answers();
    apply_counts(digest.address(), digest);
    for (const wire::prompt_place& location : digest.places()) {
        state_->add_location_from_peer({location.part(), location.backend()});
    }
    request_missing_records(digest.address(), digest);
}

void peer_gossip::apply_counts(const std::string& address, const wire::relay_digest& digest)
{
    std::map<std::uint32_t, unsigned> counts;
    for (const wire::backend_count& row : digest.in_flight()) {
        counts[row.backend()] = row.count();
    }
    state_->backends().set_peer_in_flight(address, std::move(counts));
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

// Compares the peer's log positions with this entry's own.  An entry that does not read the logs
// requests missing records at once, a log reader after `record_request_delay`, and an entry without
// a listing after `listing_request_delay`.
void peer_gossip::request_missing_records(const std::string& address,
                                          const wire::relay_digest& digest)
{
    peer& from = peers_.at(address);
    std::vector<peer_log> logs(mirrors_.size());
    bool up_to_date = static_cast<std::size_t>(digest.positions_size()) == mirrors_.size();
    bool knows_all = up_to_date; // that this entry knows
    from.earlier_era = false;
    for (std::size_t log = 0; log < mirrors_.size(); ++log) {
        const int index = static_cast<int>(log);
        if (index < digest.positions_size()) {
            logs[log].position = digest.positions(index);
        }
        if (index < digest.logs_size()) {
            logs[log].era = digest.logs(index).era();
            logs[log].lost = digest.logs(index).lost();
            take_restores(*mirrors_[log], digest.logs(index).restores());
        }
        up_to_date = up_to_date && mirrors_[log]->era() == logs[log].era &&
                     mirrors_[log]->position().value_or(0) >= logs[log].position;
        knows_all = knows_all && mirrors_[log]->era() == logs[log].era &&
                    mirrors_[log]->position().value_or(0) <= logs[log].position;
        from.earlier_era = from.earlier_era || logs[log].era < mirrors_[log]->era();
    }
    if (up_to_date && digest.source_answers()) {
        state_->confirmed_by_peer(millis(digest.source_age_ms()));
    }
    // A digest that was sent before a cut and arrives after it says nothing about that time.
    if (knows_all && digest.source_answers()) {
        state_->peer_source_steady(millis(digest.source_steady_ms()));
    }
    const millis now = core_.now();
    for (std::size_t log = 0; log < mirrors_.size(); ++log) {
        const record_mirror& mirror = *mirrors_[log];
        const std::uint64_t own = mirror.position().value_or(0);
        const bool later_era = logs[log].era > mirror.era();
        if (!later_era && (logs[log].era < mirror.era() || logs[log].position <= own)) {
            request_lost_records(from, log, logs[log]);
            continue;
        }
        std::optional<millis>& since = behind_since_[log];
        const bool listed = mirror.position().has_value();
        if (!listed && source_answers && source_answers()) {
            continue;
        }
        const bool first = !since && listed && !must_read_logs();
        since = since.value_or(now);
        if (!first && now - *since < (listed ? options_.record_request_delay
                                             : options_.listing_request_delay)) {
            continue;
        }
        since = now;
        request_records(from, log, mirror.era(), own);
    }
}

// Requests records that this entry's log has lost by a restore and that the peer may know: those
// that it keeps, or those of an earlier era if it has seen more of that.
void peer_gossip::request_lost_records(peer& from, std::size_t log, const peer_log& theirs)
{
    const record_mirror& mirror = *mirrors_[log];
    const millis now = core_.now();
    if (!mirror.accepts_lost() || !mirror.position() ||
        now - lost_requested_at_[log] < lost_request_interval) {
        return;
    }
    if (theirs.era == mirror.era()) {
        if (theirs.lost == 0 || theirs.lost == mirror.lost_fingerprint() ||
            lost_received_[log].contains(theirs.lost)) {
            return;
        }
        lost_requested_at_[log] = now;
        request_records(from, log, theirs.era, theirs.position);
        return;
    }
    const std::uint64_t begin = mirror.restores().reused_from(theirs.era).value_or(0);
    const std::uint64_t known = std::max(begin, mirror.end_of_era(theirs.era));
    if (theirs.position > known) {
        lost_requested_at_[log] = now;
        request_records(from, log, mirror.era(), known);
    }
}

void peer_gossip::request_records(peer& from, std::size_t log, std::uint64_t era,
                                  std::uint64_t offset)
{
    wire::envelope message;
    wire::record_request& request = *message.mutable_record_request();
    request.set_log(static_cast<std::uint32_t>(log));
    request.set_era(era);
    request.set_from(offset);
    from.socket->send({}, std::move(message));
}

void peer_gossip::handle_record_request(const std::string& route,
                                        const wire::record_request& request)
{
    if (request.log() >= mirrors_.size()) {
        return;
    }
    const record_mirror& mirror = *mirrors_[request.log()];
    if (!mirror.position()) {
        return;
    }
    wire::envelope message;
    wire::record_batch& batch = *message.mutable_record_batch();
    batch.set_log(request.log());
    batch.set_end(*mirror.position());
    batch.set_era(mirror.era());
    batch.set_lost(mirror.lost_fingerprint());
    add_restores(mirror, *batch.mutable_restores());
    // A requester in a later era wants only what its log has lost.
    const bool listing =
        request.era() < mirror.era() ||
        (request.era() == mirror.era() && request.from() < mirror.tombstones_complete_from());
    batch.set_listing(listing);
    for (const mirrored_record& record :
         listing ? mirror.listing() : mirror.records_since(request.from())) {
        wire::keyed_record& row = *batch.add_records();
        row.set_key(record.key);
        row.set_offset(record.offset);
        row.set_era(record.era);
        if (record.value) {
            row.set_value(*record.value);
        }
    }
    listen_socket_->send(route, std::move(message));
}

void peer_gossip::apply_record_batch(const wire::record_batch& batch)
{
    if (batch.log() >= mirrors_.size()) {
        return;
    }
    record_mirror& mirror = *mirrors_[batch.log()];
    log_event(event_id::records_from_peer,
              "log={} era={} records={} end={} before={} era_before={}", batch.log(), batch.era(),
              batch.records_size(), batch.end(), mirror.position().value_or(0), mirror.era());
    if (batch.era() > mirror.era() && !batch.listing()) {
        return; // it does not say what else the log of that era holds
    }
    mirror.enter_era(batch.era());
    if (batch.era() == mirror.era()) {
        mirror.note_end(batch.end());
    }
    take_restores(mirror, batch.restores());
    std::vector<mirrored_record> records;
    for (const wire::keyed_record& row : batch.records()) {
        records.push_back(
            {.key = row.key(),
             .value = row.has_value() ? std::optional<std::string>(row.value()) : std::nullopt,
             .offset = row.offset(),
             .era = row.era()});
    }
    std::set<std::uint64_t>& received = lost_received_[batch.log()];
    if (received.size() >= max_lost_fingerprints) {
        received.clear();
    }
    received.insert(batch.lost());
    const bool same_era = batch.era() == mirror.era();
    if (same_era && batch.listing()) {
        mirror.apply_listing(std::move(records), batch.end());
    }
    else {
        for (mirrored_record& record : records) {
            mirror.apply(std::move(record));
        }
    }
    if (!same_era) {
        return; // the peer has not noticed the restore yet
    }
    mirror.advance(batch.end());
    behind_since_[batch.log()].reset();
    const bool all =
        std::all_of(mirrors_.begin(), mirrors_.end(), [](const record_mirror* each_mirror) {
            return each_mirror->position().has_value();
        });
    if (all) {
        state_->mark_complete();
    }
}

void peer_gossip::sweep()
{
    const millis now = core_.now();
    for (std::size_t log = 0; log < mirrors_.size(); ++log) {
        const std::optional<millis>& since = behind_since_[log];
        if (since && now - *since > options_.peer_timeout) {
            behind_since_[log].reset();
        }
    }
    std::vector<std::string> expired;
    for (const auto& [address, row] : peers_) {
        const millis silence = now - row.last_seen;
        if (silence >= counts_lifetime() && state_->backends().set_peer_in_flight(address, {})) {
            log_event(event_id::peer_silent, "peer={} silent_ms={} entries={}", address,
                      silence.count(), entries());
        }
        if (silence >= options_.peer_retention) {
            expired.push_back(address);
        }
    }
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
