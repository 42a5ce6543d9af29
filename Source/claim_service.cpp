#include "claim_service.h"

#include "contained_errors.h"
#include "event_log.h"
#include "hashing.h"
#include "idempotency_key.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cyclamen {

namespace {

constexpr unsigned records_per_read = 500;
constexpr millis tick_interval = 50ms;
// Keys stay in the ledger this much longer than the key window.
constexpr millis ledger_retention_margin = 600000ms;

} // namespace

std::optional<millis> key_timestamp(const std::string& key)
{
    constexpr std::size_t uuid_length = 36;
    constexpr std::size_t version_at = 14;
    if (key.size() != uuid_length || key[8] != '-' || key[13] != '-' || key[version_at] != '7') {
        return std::nullopt;
    }
    const std::string digits = key.substr(0, 8) + key.substr(9, 4);
    std::int64_t value = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, value, 16);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return millis(value);
}

claim_service::claim_service(kernel& core, claim_service_options options)
    : core_(core), options_(std::move(options)),
      log_(core.loop(), options_.log, options_.log_timeout)
{
    for (unsigned number = 0; number < options_.shards; ++number) {
        auto part = std::make_unique<shard>();
        part->stream = fmt::format("claims.{}.{}", options_.service, number);
        shards_.push_back(std::move(part));
    }
}

void claim_service::start()
{
    for (const auto& part : shards_) {
        read(*part);
    }
    tick_ = core_.every(tick_interval, [this] {
        for (const auto& part : shards_) {
            append(*part);
            decide(*part);
        }
    });
}

claim_service::shard& claim_service::shard_of(const std::string& key)
{
    return *shards_[hash_of(key) % shards_.size()];
}

const claim_service::shard& claim_service::shard_of(const std::string& key) const
{
    return *shards_[hash_of(key) % shards_.size()];
}

claim_readiness claim_service::readiness() const
{
    for (const auto& part : shards_) {
        if (!part->at_head) {
            return claim_readiness::not_read;
        }
        if (core_.now() - part->last_seen > options_.log_down_timeout) {
            return claim_readiness::log_down;
        }
    }
    return claim_readiness::ready;
}

key_status claim_service::lookup(const std::string& key) const
{
    return shard_of(key).ledger.status(key);
}

std::optional<bool> claim_service::expired(const std::string& key) const
{
    const auto at = key_timestamp(idempotency_key::from_stored(key).key);
    if (!at) {
        return std::nullopt;
    }
    return core_.wall_clock() - *at > options_.key_window;
}

void claim_service::claim(attempt_id id, key_claim item)
{
    shard& part = shard_of(item.key);
    part.waiting.push_back({.id = id, .item = item, .since = core_.now()});
    part.batcher.claim(std::move(item));
    append(part);
}

void claim_service::release(key_release item)
{
    shard& part = shard_of(item.key);
    part.batcher.release(std::move(item));
    append(part);
}

void claim_service::record(key_answer item)
{
    shard& part = shard_of(item.key);
    part.batcher.answer(std::move(item));
    append(part);
}

void claim_service::append(shard& part)
{
    const auto record = part.batcher.next(core_.now());
    if (!record) {
        return;
    }
    ++core_.metrics().named("claim_appends");
    core_.metrics().named("claims_in_appends") += record->claims.size();
    log_.append(part.stream, record->encode(),
                [this, &part](const std::optional<std::uint64_t>& offset) {
                    if (offset) {
                        part.last_seen = core_.now();
                        part.batcher.on_append_succeeded();
                        append(part);
                    }
                    else {
                        ++core_.metrics().named("claim_appends_failed");
                        part.batcher.on_append_failed(core_.now());
                    }
                    read(part); // shows whether a failed append took effect
                });
}

void claim_service::read(shard& part)
{
    if (part.reading) {
        return;
    }
    part.reading = true;
    log_.read(
        part.stream, part.ledger.next_offset(), records_per_read,
        [this, &part](const std::optional<log_page>& page) {
            part.reading = false;
            const bool handled = contain_errors("claims", [&] {
                if (page) {
                    on_page(part, *page);
                }
                decide(part);
            });
            const bool behind = handled && page && part.ledger.next_offset() < page->next;
            const bool poll_soon = behind || (handled && page && !part.waiting.empty());
            const millis pause = behind ? 0ms : poll_soon ? 10ms : core_.jittered(options_.poll);
            part.timer = core_.after(pause, [this, &part] { read(part); });
        });
}

void claim_service::on_page(shard& part, const log_page& page)
{
    part.last_seen = core_.now();
    if (page.first > part.ledger.next_offset()) {
        if (part.at_head) {
            // The log dropped records before they were read; their claims are unknown here.
            log_event(event_id::claims_lost, "stream={} from={} to={}", part.stream,
                      part.ledger.next_offset(), page.first);
        }
        part.ledger.skip_to(page.first);
    }
    for (const log_client_record& record : page.records) {
        std::string reason;
        const auto decoded = claim_record::decode(record.data, reason);
        // An unreadable record counts as empty, so that reading continues after it.
        part.ledger.apply(record.offset, record.at, decoded.value_or(claim_record{}));
    }
    if (part.ledger.next_offset() >= page.next) {
        part.at_head = true;
    }
    part.ledger.evict_before(core_.wall_clock() - options_.key_window - ledger_retention_margin);
    const bool all = std::all_of(shards_.begin(), shards_.end(),
                                 [](const auto& other) { return other->at_head; });
    if (all && !ready_logged_) {
        ready_logged_ = true;
        log_event(event_id::claims_read_to_head, "service={} shards={}", options_.service,
                  shards_.size());
    }
}

void claim_service::decide(shard& part)
{
    const millis now = core_.now();
    std::vector<waiting_claim> undecided;
    std::vector<waiting_claim> pending;
    pending.swap(part.waiting);
    for (waiting_claim& waiting : pending) {
        if (part.ledger.decided(waiting.item.key, waiting.item.token)) {
            const bool won = part.ledger.holds(waiting.item.key, waiting.item.token);
            if (!won) {
                part.batcher.forget(waiting.item.token);
            }
            on_decided(waiting.id, won);
        }
        else if (now - waiting.since > options_.claim_timeout) {
            on_failed(waiting.id);
        }
        else {
            undecided.push_back(std::move(waiting));
        }
    }
    part.waiting.insert(part.waiting.end(), undecided.begin(), undecided.end());
}

bool claim_service::idle() const
{
    if (readiness() != claim_readiness::ready) {
        // An unavailable log must not delay the stop.  Callers have their responses; only other
        // agents miss the claims, releases and answers that could not be appended.
        return true;
    }
    return std::all_of(shards_.begin(), shards_.end(),
                       [](const auto& part) { return part->batcher.idle(); });
}

nlohmann::json claim_service::describe() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& part : shards_) {
        rows.push_back({{"stream", part->stream},
                        {"next_offset", part->ledger.next_offset()},
                        {"at_head", part->at_head},
                        {"keys", part->ledger.size()},
                        {"waiting", part->waiting.size()},
                        {"to_append", part->batcher.waiting()}});
    }
    return {{"shards", rows}};
}

} // namespace cyclamen
