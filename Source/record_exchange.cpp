#include "record_exchange.h"

#include "event_log.h"
#include "hashing.h"
#include "relay_state.h"
#include "value_packing.h"

#include <algorithm>
#include <utility>

namespace cyclamen {

namespace {

// Interval between two requests for the records of a log that a restore has lost.
constexpr millis lost_request_interval = 500ms;
constexpr std::size_t max_lost_fingerprints = 64;
constexpr millis piece_check_interval = 5ms;
// The log of operators' orders, by which `newer_orders_known` goes.
constexpr std::size_t orders_log = 0;

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

mirrored_record record_of(const wire::keyed_record& row)
{
    return {.key = row.key(),
            .value = row.has_value() ? std::optional<std::string>(row.value()) : std::nullopt,
            .offset = row.offset(),
            .era = row.era()};
}

// The first record whose value is a reference; null if there is none.
wire::keyed_record* first_reference(wire::record_batch& batch)
{
    for (wire::keyed_record& row : *batch.mutable_records()) {
        if (row.has_reference()) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace

record_exchange::record_exchange(kernel& core, relay_state& state,
                                 const record_exchange_options& options, hooks collaborators)
    : core_(core), state_(state), options_(options), hooks_(std::move(collaborators)),
      source_(options.transfer)
{
}

void record_exchange::set_mirrors(std::vector<record_mirror*> mirrors)
{
    mirrors_ = std::move(mirrors);
    logs_.clear();
    for (record_mirror* mirror : mirrors_) {
        logs_.push_back(
            {.mirror = mirror, .lost_requested_at = core_.now() - lost_request_interval});
    }
}

void record_exchange::add_positions(wire::relay_digest& digest) const
{
    for (const record_mirror* mirror : mirrors_) {
        digest.add_positions(mirror->position().value_or(0));
        wire::log_state& state = *digest.add_logs();
        state.set_era(mirror->era());
        state.set_lost(mirror->lost_fingerprint());
        add_restores(*mirror, *state.mutable_restores());
    }
}

bool record_exchange::is_behind(const mirrored_log& log) const
{
    const log_position own{.era = log.mirror->era(), .offset = log.mirror->position().value_or(0)};
    return log.latest && own < log.latest->at &&
           core_.now() - log.latest->shown_at < options_.position_lifetime;
}

bool record_exchange::newer_orders_known() const
{
    return logs_.size() > orders_log && is_behind(logs_[orders_log]);
}

void record_exchange::note_position(mirrored_log& log, const std::string& peer,
                                    const peer_log& theirs)
{
    const log_position shown{.era = theirs.era, .offset = theirs.position};
    if (!is_behind(log) || log.latest->at <= shown) {
        log.latest = {.at = shown, .peer = peer, .shown_at = core_.now()};
    }
}

// Compares the peer's log positions with this entry's own.  An entry that does not read the logs
// requests missing records at once, a log reader after `record_request_delay`, and an entry without
// a listing after `listing_request_delay`.
bool record_exchange::on_digest(const wire::relay_digest& digest)
{
    std::vector<peer_log> theirs(logs_.size());
    bool up_to_date = static_cast<std::size_t>(digest.positions_size()) == logs_.size();
    bool knows_all = up_to_date; // that this entry knows
    bool earlier_era = false;
    for (std::size_t log = 0; log < logs_.size(); ++log) {
        const int index = static_cast<int>(log);
        record_mirror& mirror = *logs_[log].mirror;
        if (index < digest.positions_size()) {
            theirs[log].position = digest.positions(index);
        }
        if (index < digest.logs_size()) {
            theirs[log].era = digest.logs(index).era();
            theirs[log].lost = digest.logs(index).lost();
            take_restores(mirror, digest.logs(index).restores());
        }
        const std::uint64_t own = mirror.position().value_or(0);
        up_to_date = up_to_date && mirror.era() == theirs[log].era && own >= theirs[log].position;
        knows_all = knows_all && mirror.era() == theirs[log].era && own <= theirs[log].position;
        earlier_era = earlier_era || theirs[log].era < mirror.era();
        note_position(logs_[log], digest.address(), theirs[log]);
    }
    if (up_to_date && digest.source_answers()) {
        state_.confirmed_by_peer(millis(digest.source_age_ms()));
    }
    // A digest that was sent before a cut and arrives after it says nothing about that time.
    if (knows_all && digest.source_answers()) {
        state_.peer_source_steady(millis(digest.source_steady_ms()));
    }
    const millis now = core_.now();
    for (std::size_t log = 0; log < logs_.size(); ++log) {
        const record_mirror& mirror = *logs_[log].mirror;
        const std::uint64_t own = mirror.position().value_or(0);
        const bool later_era = theirs[log].era > mirror.era();
        if (!later_era && (theirs[log].era < mirror.era() || theirs[log].position <= own)) {
            request_lost_records(digest.address(), log, theirs[log]);
            continue;
        }
        std::optional<millis>& since = logs_[log].behind_since;
        const bool listed = mirror.position().has_value();
        if (!listed && hooks_.source_answers && hooks_.source_answers()) {
            continue;
        }
        const bool first = !since && listed && !hooks_.must_read_logs();
        since = since.value_or(now);
        if (!first && now - *since < (listed ? options_.record_request_delay
                                             : options_.listing_request_delay)) {
            continue;
        }
        since = now;
        request_records(digest.address(), log, mirror.era(), own);
    }
    return !earlier_era;
}

// Requests records that this entry's log has lost by a restore and that the peer may know: those
// that it keeps, or those of an earlier era if it has seen more of that.
void record_exchange::request_lost_records(const std::string& peer, std::size_t log,
                                           const peer_log& theirs)
{
    mirrored_log& row = logs_[log];
    const record_mirror& mirror = *row.mirror;
    const millis now = core_.now();
    if (!mirror.accepts_lost() || !mirror.position() ||
        now - row.lost_requested_at < lost_request_interval) {
        return;
    }
    if (theirs.era == mirror.era()) {
        if (theirs.lost == 0 || theirs.lost == mirror.lost_fingerprint() ||
            row.lost_received.contains(theirs.lost)) {
            return;
        }
        row.lost_requested_at = now;
        request_records(peer, log, theirs.era, theirs.position);
        return;
    }
    const std::uint64_t begin = mirror.restores().reused_from(theirs.era).value_or(0);
    const std::uint64_t known = std::max(begin, mirror.end_of_era(theirs.era));
    if (theirs.position > known) {
        row.lost_requested_at = now;
        request_records(peer, log, mirror.era(), known);
    }
}

void record_exchange::request_records(const std::string& peer, std::size_t log, std::uint64_t era,
                                      std::uint64_t offset)
{
    wire::envelope message;
    wire::record_request& request = *message.mutable_record_request();
    request.set_log(static_cast<std::uint32_t>(log));
    request.set_era(era);
    request.set_from(offset);
    request.set_takes_pieces(true);
    hooks_.send(peer, std::move(message));
}

// Adds the record to the batch, with a reference in place of a large value if the receiver fetches
// it in pieces.
void record_exchange::add_record(const mirrored_record& record, bool in_pieces,
                                 wire::record_batch& batch)
{
    wire::keyed_record& row = *batch.add_records();
    row.set_key(record.key);
    row.set_offset(record.offset);
    row.set_era(record.era);
    if (!record.value) {
        return;
    }
    if (!in_pieces || record.value->size() < options_.transfer.least_bytes) {
        row.set_value(*record.value);
        return;
    }
    const std::uint64_t hash = hash_of(*record.value);
    if (source_.find(hash) == nullptr) {
        source_.keep(
            {.hash = hash, .bytes = record.value->size(), .data = pack_value(*record.value)});
    }
    row.mutable_reference()->set_hash(hash);
    row.mutable_reference()->set_bytes(static_cast<std::uint32_t>(record.value->size()));
}

void record_exchange::handle_record_request(const std::string& route,
                                            const wire::record_request& request)
{
    if (request.log() >= logs_.size()) {
        return;
    }
    const record_mirror& mirror = *logs_[request.log()].mirror;
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
        add_record(record, request.takes_pieces(), batch);
    }
    hooks_.reply(route, std::move(message));
}

void record_exchange::apply_record_batch(const std::string& route, const wire::record_batch& batch)
{
    if (batch.log() >= logs_.size()) {
        return;
    }
    mirrored_log& log = logs_[batch.log()];
    log_event(event_id::records_from_peer,
              "log={} era={} records={} end={} before={} era_before={}", batch.log(), batch.era(),
              batch.records_size(), batch.end(), log.mirror->position().value_or(0),
              log.mirror->era());
    wire::record_batch rest = batch;
    const wire::keyed_record* reference = first_reference(rest);
    if (reference == nullptr) {
        apply_complete_batch(batch);
        return;
    }
    if (reference->reference().bytes() > options_.transfer.max_bytes) {
        log_event(event_id::malformed_message, "value_bytes={}", reference->reference().bytes());
        return;
    }
    // What is complete is used at once.  The position follows when the rest has come.
    if (batch.era() == log.mirror->era()) {
        for (const wire::keyed_record& row : batch.records()) {
            if (!row.has_reference()) {
                log.mirror->apply(record_of(row));
            }
        }
    }
    if (log.pending && log.pending->fetch->moves(core_.now())) {
        return; // a later batch is requested once the current one is complete
    }
    log.pending = pending_batch{.batch = std::move(rest)};
    begin_fetch(batch.log(), route);
}

// Fetches the first value that the pending batch of the log lacks, or applies the batch.
void record_exchange::begin_fetch(std::size_t log, const std::string& peer)
{
    mirrored_log& row = logs_[log];
    if (fill_known_references(log)) {
        const wire::record_batch complete = std::move(row.pending->batch);
        drop_pending(log);
        apply_complete_batch(complete);
        if (is_behind(row)) {
            request_records(row.latest->peer, log, row.mirror->era(),
                            row.mirror->position().value_or(0));
        }
        return;
    }
    const wire::record_batch& batch = row.pending->batch;
    const wire::value_reference& wanted = first_reference(row.pending->batch)->reference();
    row.pending->fetch = std::make_unique<value_fetch>(
        value_reference{.hash = wanted.hash(), .bytes = wanted.bytes()}, options_.transfer,
        core_.now());
    row.pending->fetch->add_sources({peer});
    row.pending->fetch->add_sources(
        hooks_.holders(log, {.era = batch.era(), .offset = batch.end()}));
    piece_timer_ = core_.every(piece_check_interval, [this] { request_due_pieces(); });
    request_due_pieces();
}

// Fills in values that this entry has.  Returns whether the batch is complete then.
bool record_exchange::fill_known_references(std::size_t log)
{
    mirrored_log& row = logs_[log];
    while (wire::keyed_record* record = first_reference(row.pending->batch)) {
        const value_reference wanted{.hash = record->reference().hash(),
                                     .bytes = record->reference().bytes()};
        const mirrored_record* known = row.mirror->find(record->key());
        if (known != nullptr && known->value && known->value->size() == wanted.bytes &&
            hash_of(*known->value) == wanted.hash) {
            record->set_value(*known->value);
            record->clear_reference();
            continue;
        }
        return false;
    }
    return true;
}

void record_exchange::drop_pending(std::size_t log)
{
    logs_[log].pending.reset();
    const bool any = std::any_of(logs_.begin(), logs_.end(),
                                 [](const mirrored_log& row) { return row.pending.has_value(); });
    if (!any) {
        piece_timer_ = {};
    }
}

void record_exchange::request_due_pieces()
{
    for (std::size_t log = 0; log < logs_.size(); ++log) {
        std::optional<pending_batch>& pending = logs_[log].pending;
        if (!pending) {
            continue;
        }
        const record_mirror& mirror = *logs_[log].mirror;
        const bool obsolete = mirror.era() > pending->batch.era() ||
                              (mirror.era() == pending->batch.era() && mirror.position() &&
                               *mirror.position() >= pending->batch.end());
        if (obsolete || pending->fetch->exhausted()) {
            drop_pending(log); // the next digest leads to a new request
            continue;
        }
        if (const auto due = pending->fetch->next_request(core_.now())) {
            wire::envelope message;
            message.mutable_value_request()->set_hash(pending->fetch->wanted().hash);
            message.mutable_value_request()->set_from(static_cast<std::uint32_t>(due->from));
            hooks_.send(due->source, std::move(message));
        }
    }
}

void record_exchange::handle_value_request(const std::string& route,
                                           const wire::value_request& request)
{
    const value_source::reply answer =
        source_.answer(route, request.hash(), request.from(), core_.now());
    wire::envelope message;
    wire::value_piece& piece = *message.mutable_value_piece();
    piece.set_hash(request.hash());
    piece.set_from(request.from());
    piece.set_total(static_cast<std::uint32_t>(answer.total));
    piece.set_data(std::string(answer.data));
    piece.set_busy(answer.busy);
    piece.set_wait_ms(static_cast<std::uint32_t>(answer.wait.count()));
    for (const std::string& holder : answer.holders) {
        piece.add_holders(holder);
    }
    hooks_.reply(route, std::move(message));
}

void record_exchange::handle_value_piece(const std::string& route, const wire::value_piece& piece)
{
    for (std::size_t log = 0; log < logs_.size(); ++log) {
        std::optional<pending_batch>& pending = logs_[log].pending;
        if (!pending || pending->fetch->wanted().hash != piece.hash()) {
            continue;
        }
        const auto packed =
            pending->fetch->on_piece({.source = route,
                                      .from = piece.from(),
                                      .total = piece.total(),
                                      .data = piece.data(),
                                      .busy = piece.busy(),
                                      .wait = millis(piece.wait_ms()),
                                      .holders = {piece.holders().begin(), piece.holders().end()}},
                                     core_.now());
        if (packed) {
            on_value(log, *packed);
        }
        break;
    }
    request_due_pieces();
}

void record_exchange::on_value(std::size_t log, const std::string& packed)
{
    pending_batch& pending = *logs_[log].pending;
    const value_reference wanted = pending.fetch->wanted();
    auto value = unpack_value(packed, wanted.bytes);
    const bool right = value && hash_of(*value) == wanted.hash;
    log_event(event_id::value_fetched,
              "log={} hash={:016x} bytes={} packed={} pieces={} ms={} sources={} right={}", log,
              wanted.hash, wanted.bytes, packed.size(), pending.fetch->pieces(),
              (core_.now() - pending.fetch->began_at()).count(), pending.fetch->sources(), right);
    if (!right) {
        pending.fetch->reject(core_.now());
        return;
    }
    ++core_.metrics().named("values_fetched");
    source_.keep({.hash = wanted.hash, .bytes = wanted.bytes, .data = packed});
    wire::keyed_record* record = first_reference(pending.batch);
    record->set_value(*std::move(value));
    record->clear_reference();
    begin_fetch(log, logs_[log].latest ? logs_[log].latest->peer : std::string());
}

void record_exchange::apply_complete_batch(const wire::record_batch& batch)
{
    mirrored_log& log = logs_[batch.log()];
    record_mirror& mirror = *log.mirror;
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
        records.push_back(record_of(row));
    }
    if (log.lost_received.size() >= max_lost_fingerprints) {
        log.lost_received.clear();
    }
    log.lost_received.insert(batch.lost());
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
    log.behind_since.reset();
    const bool all = std::all_of(mirrors_.begin(), mirrors_.end(), [](const record_mirror* each) {
        return each->position().has_value();
    });
    if (all) {
        state_.mark_complete();
    }
}

void record_exchange::sweep()
{
    for (mirrored_log& log : logs_) {
        if (log.behind_since && core_.now() - *log.behind_since > options_.request_timeout) {
            log.behind_since.reset();
        }
    }
}

} // namespace cyclamen
