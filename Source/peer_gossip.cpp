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
constexpr std::size_t max_limit_reports = 256; // limited servers per digest; others are left out
constexpr double limit_scale = 1000;           // limits are sent in thousandths
constexpr millis send_check_interval = 50ms;
constexpr millis sweep_interval = 500ms;

message_socket_options socket_options()
{
    return {.high_water_mark = max_queued_digests, .retransmit_timeout_ms = retransmit_timeout_ms};
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
    listen_socket_ =
        message_socket::bind(core_.loop(), core_.metrics(), options_.listen.endpoint(),
                             [this](const std::string& route, const wire::envelope& message) {
                                 on_message(route, message);
                             });
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
    entries_changed.emit();
}

// An entry reads the logs unless the log service answers at least `log_readers` peers with lower
// addresses.
bool peer_gossip::must_read_logs() const
{
    const millis now = core_.now();
    const std::string own = options_.listen.text();
    const auto others = std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
        return row.first < own && row.second.source_available &&
               now - row.second.last_seen < options_.peer_timeout;
    });
    return others < static_cast<std::ptrdiff_t>(options_.log_readers);
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
    const auto peers = static_cast<unsigned>(peers_.size());
    return options_.interval * std::max(peers, options_.base_interval_peers) /
           options_.base_interval_peers;
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
    }
    body.set_source_answers(source_answers && source_answers());
    body.set_source_age_ms(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(state_->source_age().count(), 0, UINT32_MAX)));
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
    if (peers_.size() > std::size_t{2} * options_.base_interval_peers) {
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
    if (with_peers) {
        const millis now = core_.now();
        for (const auto& [address, row] : peers_) {
            if (now - row.last_seen < options_.peer_timeout) {
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
    const millis pause = interval();
    for (auto& [address, row] : peers_) {
        if (now - row.last_digest_sent < pause) {
            continue;
        }
        row.last_digest_sent = now;
        wire::envelope message = digest(sequence_ % options_.peer_list_every < peers_.size());
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

// Sends a peer what is known of up to `count` suspects; `start` selects them in turn.
void peer_gossip::send_crash_evidence(peer& to, std::size_t start, std::size_t count)
{
    wire::envelope message;
    for (wire::suspect_record& record : state_->crashes().records(start, count, core_.now())) {
        *message.mutable_crash_evidence()->add_suspects() = std::move(record);
    }
    if (message.has_crash_evidence()) {
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
    if (core_.now() - from.last_seen >= options_.peer_timeout) {
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
    bool up_to_date = static_cast<std::size_t>(digest.positions_size()) == mirrors_.size();
    for (std::size_t log = 0; up_to_date && log < mirrors_.size(); ++log) {
        up_to_date =
            mirrors_[log]->position().value_or(0) >= digest.positions(static_cast<int>(log));
    }
    if (up_to_date && digest.source_answers()) {
        state_->confirmed_by_peer(millis(digest.source_age_ms()));
    }
    const millis now = core_.now();
    for (std::size_t log = 0; log < mirrors_.size(); ++log) {
        if (static_cast<int>(log) >= digest.positions_size()) {
            return;
        }
        const std::uint64_t own = mirrors_[log]->position().value_or(0);
        if (digest.positions(static_cast<int>(log)) <= own) {
            continue;
        }
        std::optional<millis>& since = behind_since_[log];
        const bool listed = mirrors_[log]->position().has_value();
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
        wire::envelope message;
        message.mutable_record_request()->set_log(static_cast<std::uint32_t>(log));
        message.mutable_record_request()->set_from(own);
        peers_.at(address).socket->send({}, std::move(message));
    }
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
    const bool listing = request.from() < mirror.tombstones_complete_from();
    batch.set_listing(listing);
    for (const mirrored_record& record :
         listing ? mirror.listing() : mirror.records_since(request.from())) {
        wire::keyed_record& row = *batch.add_records();
        row.set_key(record.key);
        row.set_offset(record.offset);
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
    log_event(event_id::records_from_peer, "log={} records={} end={} before={}", batch.log(),
              batch.records_size(), batch.end(), mirror.position().value_or(0));
    std::vector<mirrored_record> records;
    for (const wire::keyed_record& row : batch.records()) {
        records.push_back(
            {.key = row.key(),
             .value = row.has_value() ? std::optional<std::string>(row.value()) : std::nullopt,
             .offset = row.offset()});
    }
    if (batch.listing()) {
        mirror.apply_listing(std::move(records), batch.end());
    }
    else {
        for (mirrored_record& record : records) {
            mirror.apply(std::move(record));
        }
        mirror.advance(batch.end());
    }
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
        if (silence >= options_.peer_timeout &&
            state_->backends().set_peer_in_flight(address, {})) {
            log_event(event_id::peer_silent, "peer={} silent_ms={} entries={}", address,
                      silence.count(), entries());
        }
        if (silence >= options_.peer_retention) {
            expired.push_back(address);
        }
    }
    for (const std::string& address : expired) {
        peers_.erase(address);
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
