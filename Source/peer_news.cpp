#include "peer_news.h"

#include "event_log.h"
#include "relay_knowledge.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {

// Messages queued per peer.  A digest that cannot be sent at once is obsolete when the next is
// due, so a longer queue has no use.
constexpr int most_queued = 16;
constexpr int dead_after_ms = 2000;
// Prefix locations per digest.  A location that is left out costs at most one repeated
// computation of the prompt prefix.
constexpr std::size_t most_places = 256;
constexpr double tenths = 10;          // outcome counts are sent as integers, in tenths
constexpr std::size_t most_busy = 128; // busy servers per digest; others are left out
constexpr millis tell_step = 50ms;
constexpr millis sweep_interval = 500ms;

message_socket_options socket_options()
{
    return {.high_water_mark = most_queued, .dead_after_ms = dead_after_ms};
}

} // namespace

peer_news::peer_news(kernel& core, peer_news_options options)
    : core_(core), options_(std::move(options))
{
}

void peer_news::start()
{
    knowledge_ = &core_.find<relay_knowledge>("knowledge");
    behind_since_.resize(mirrors_.size());
    bound_ = message_socket::bind(core_.loop(), core_.metrics(), options_.listen.endpoint(),
                                  [this](const std::string& route, const wire::envelope& message) {
                                      on_message(route, message);
                                  });
    knowledge_->others_confirm = [this] {
        const millis now = core_.now();
        return std::any_of(peers_.begin(), peers_.end(), [&](const auto& row) {
            return row.second.answering && now - row.second.heard < options_.silent_after;
        });
    };
    knowledge_->newly_placed.connect([this](prefix_locations::location place) {
        for (auto& [address, row] : peers_) {
            if (row.pending_locations.size() < most_places) {
                row.pending_locations.push_back(place);
            }
        }
    });
    knowledge_->crash_counted.connect([this](const wire::crash_report& report) {
        for (auto& [address, row] : peers_) {
            wire::envelope message;
            *message.mutable_crash_report() = report;
            row.socket->send({}, std::move(message));
        }
    });
    learn(options_.seeds);
    tell_timer_ = core_.every(tell_step, [this] { tell(); });
    sweep_timer_ = core_.every(sweep_interval, [this] { sweep(); });
}

void peer_news::learn(const std::vector<net_address>& addresses)
{
    for (const net_address& address : addresses) {
        add_peer(address.text());
    }
}

void peer_news::add_peer(const std::string& address)
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
    // A peer that has not sent anything yet is treated like one whose time-out expires now: its
    // data is not used, but it counts as an entry until its retention period ends.
    added.heard = core_.now() - options_.silent_after;
    added.socket = message_socket::connect(
        core_.loop(), core_.metrics(), parsed->endpoint(), options_.listen.text(),
        [this](const std::string& route, const wire::envelope& message) {
            on_message(route, message);
        },
        socket_options());
    entries_changed.emit();
}

bool peer_news::reads_for_itself() const
{
    const millis now = core_.now();
    const std::string own = options_.listen.text();
    const auto others = std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
        return row.first < own && row.second.answering &&
               now - row.second.heard < options_.silent_after;
    });
    return others < static_cast<std::ptrdiff_t>(options_.readers);
}

millis peer_news::interval() const
{
    const auto peers = static_cast<unsigned>(peers_.size());
    return options_.interval * std::max(peers, options_.interval_peers) / options_.interval_peers;
}

wire::envelope peer_news::digest(bool with_peers)
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
        std::clamp<std::int64_t>(knowledge_->age().count(), 0, UINT32_MAX)));
    for (const auto& [id, server] : knowledge_->backends().all()) {
        if (server->in_flight > 0) {
            wire::backend_count& row = *body.add_in_flight();
            row.set_backend(static_cast<std::uint32_t>(server->hash));
            row.set_count(server->in_flight);
        }
    }
    for (const auto& [hash, ends] : knowledge_->backends().outcomes_to_report(core_.now())) {
        wire::backend_ends& row = *body.add_ends();
        row.set_backend(hash);
        row.set_bad_tenths(static_cast<std::uint32_t>(ends.failures * tenths));
        row.set_good_tenths(static_cast<std::uint32_t>(ends.successes * tenths));
    }
    // With few entries, their in-flight counts show the same load, and earlier.
    if (peers_.size() > std::size_t{2} * options_.interval_peers) {
        for (const backend_table::busy_report& report :
             knowledge_->backends().busy_to_report(core_.now())) {
            if (static_cast<std::size_t>(body.busy_size()) >= most_busy) {
                break;
            }
            wire::backend_busy& row = *body.add_busy();
            row.set_backend(report.server);
            row.set_held(report.held);
            row.set_age_ms(static_cast<std::uint32_t>((core_.now() - report.at).count()));
        }
    }
    if (with_peers) {
        const millis now = core_.now();
        for (const auto& [address, row] : peers_) {
            if (now - row.heard < options_.silent_after) {
                body.add_peers(address);
            }
        }
    }
    return message;
}

// Sends a digest to each peer whose interval has expired.  Peers have separate send times, and
// each digest is built when it is sent, so that it carries the latest counts.
void peer_news::tell()
{
    const millis now = core_.now();
    const millis pause = interval();
    for (auto& [address, row] : peers_) {
        if (now - row.told < pause) {
            continue;
        }
        row.told = now;
        wire::envelope message = digest(sequence_ % options_.peers_every < peers_.size());
        for (const prefix_locations::location& place : row.pending_locations) {
            wire::prompt_place& added = *message.mutable_relay_digest()->add_places();
            added.set_part(place.first);
            added.set_backend(place.second);
        }
        row.pending_locations.clear();
        row.socket->send({}, std::move(message));
    }
}

void peer_news::on_message(const std::string& route, const wire::envelope& message)
{
    switch (message.body_case()) {
    case wire::envelope::kRelayDigest:
        take_digest(message.relay_digest());
        return;
    case wire::envelope::kRecordRequest:
        hand_on(route, message.record_request());
        return;
    case wire::envelope::kRecordBatch:
        take_batch(message.record_batch());
        return;
    case wire::envelope::kCrashReport:
        knowledge_->crashes().merge(message.crash_report(), core_.now());
        return;
    default:
        log_event(event_id::malformed_message, "body={}", static_cast<int>(message.body_case()));
    }
}

void peer_news::take_digest(const wire::relay_digest& digest)
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
    if (core_.now() - from.heard >= options_.silent_after) {
        log_event(event_id::peer_heard, "peer={} entries={}", digest.address(), entries());
    }
    from.incarnation = digest.incarnation();
    from.sequence = digest.sequence();
    from.heard = core_.now();
    from.answering = digest.source_answers();
    take_counts(digest.address(), digest);
    for (const wire::prompt_place& place : digest.places()) {
        knowledge_->placed_by_peer({place.part(), place.backend()});
    }
    compare(digest.address(), digest);
}

void peer_news::take_counts(const std::string& address, const wire::relay_digest& digest)
{
    std::map<std::uint32_t, unsigned> counts;
    for (const wire::backend_count& row : digest.in_flight()) {
        counts[row.backend()] = row.count();
    }
    knowledge_->backends().set_peer_in_flight(address, std::move(counts));
    for (const wire::backend_busy& row : digest.busy()) {
        knowledge_->backends().record_busy_report(
            {.server = row.backend(), .held = row.held(), .at = core_.now() - millis(row.age_ms())},
            core_.now());
    }
    backend_table::outcomes_by_server ends;
    for (const wire::backend_ends& row : digest.ends()) {
        ends[row.backend()] = {.successes = row.good_tenths() / tenths,
                               .failures = row.bad_tenths() / tenths};
    }
    knowledge_->backends().set_peer_outcomes(address, ends, core_.now());
}

void peer_news::compare(const std::string& address, const wire::relay_digest& digest)
{
    bool level = static_cast<std::size_t>(digest.positions_size()) == mirrors_.size();
    for (std::size_t log = 0; level && log < mirrors_.size(); ++log) {
        level = mirrors_[log]->position().value_or(0) >= digest.positions(static_cast<int>(log));
    }
    if (level && digest.source_answers()) {
        knowledge_->confirmed_by_peer(millis(digest.source_age_ms()));
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
        const bool first = !since && listed && !reads_for_itself();
        since = since.value_or(now);
        if (!first && now - *since < (listed ? options_.patience : options_.listing_patience)) {
            continue;
        }
        since = now;
        wire::envelope message;
        message.mutable_record_request()->set_log(static_cast<std::uint32_t>(log));
        message.mutable_record_request()->set_from(own);
        peers_.at(address).socket->send({}, std::move(message));
    }
}

void peer_news::hand_on(const std::string& route, const wire::record_request& request)
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
    bound_->send(route, std::move(message));
}

void peer_news::take_batch(const wire::record_batch& batch)
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
    const bool all = std::all_of(mirrors_.begin(), mirrors_.end(), [](const record_mirror* known) {
        return known->position().has_value();
    });
    if (all) {
        knowledge_->complete();
    }
}

void peer_news::sweep()
{
    const millis now = core_.now();
    for (std::size_t log = 0; log < mirrors_.size(); ++log) {
        const std::optional<millis>& since = behind_since_[log];
        if (since && now - *since > options_.silent_after) {
            behind_since_[log].reset();
        }
    }
    std::vector<std::string> gone;
    for (const auto& [address, row] : peers_) {
        const millis silence = now - row.heard;
        if (silence >= options_.silent_after &&
            knowledge_->backends().set_peer_in_flight(address, {})) {
            log_event(event_id::peer_silent, "peer={} silent_ms={} entries={}", address,
                      silence.count(), entries());
        }
        if (silence >= options_.forgotten_after) {
            gone.push_back(address);
        }
    }
    for (const std::string& address : gone) {
        peers_.erase(address);
        entries_changed.emit();
    }
}

nlohmann::json peer_news::describe() const
{
    nlohmann::json rows;
    for (const auto& [address, row] : peers_) {
        rows[address] = {{"heard_ms_ago", (core_.now() - row.heard).count()},
                         {"source_answers", row.answering}};
    }
    return {{"listen", options_.listen.text()}, {"entries", entries()}, {"peers", rows}};
}

} // namespace cyclamen
