#include "configuration_feed.h"

#include "event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {
constexpr unsigned records_per_read = 500;
constexpr millis pending_check = 100ms;
} // namespace

configuration_feed::configuration_feed(kernel& core, configuration_feed_options options)
    : core_(core), options_(std::move(options)),
      log_(core.loop(), options_.log, options_.log_timeout)
{
}

void configuration_feed::start()
{
    last_snapshot_at_ = core_.wall_clock();
    poll();
    peer_timer_ = core_.every(options_.peer_exchange, [this] { exchange_with_peer(); });
    pending_timer_ = core_.every(pending_check, [this] { settle_pending(); });
}

void configuration_feed::schedule_poll()
{
    const auto processes = static_cast<std::int64_t>(process_count ? process_count() : 1);
    const millis interval =
        std::max(options_.least_poll, options_.poll_for_each_process * processes);
    poll_timer_ = core_.after(core_.jittered(interval), [this] { poll(); });
}

void configuration_feed::poll()
{
    if (reading_) {
        return;
    }
    reading_ = true;
    log_.read(options_.stream, state_.offset(), records_per_read,
              [this](const std::optional<log_page>& page) {
                  reading_ = false;
                  if (page.has_value() != log_up_) {
                      log_up_ = page.has_value();
                      log_event(log_up_ ? event_id::log_reachable : event_id::log_unreachable,
                                "stream={}", options_.stream);
                  }
                  const std::uint64_t before = state_.offset();
                  if (page) {
                      on_page(*page);
                  }
                  if (state_.offset() > before && page && page->next > state_.offset()) {
                      poll();
                  }
                  else {
                      schedule_poll();
                  }
              });
}

void configuration_feed::on_page(const log_page& page)
{
    confirmed_ = core_.now();
    for (pending_command& waiting : pending_) {
        ++waiting.reads_since_failure;
    }
    const std::uint64_t before = state_.offset();
    for (const log_client_record& record : page.records) {
        if (record.offset > state_.offset()) {
            // Retention has dropped the records in between: only a snapshot can fill the gap.
            if (!state_.restore(record.data)) {
                continue;
            }
            log_event(event_id::configuration_gap, "restored_to={}", state_.offset());
            recent_.clear();
        }
        apply(record.offset, record.data);
    }
    after_advance(before);
    consider_snapshot();
}

void configuration_feed::apply(std::uint64_t offset, const std::string& data)
{
    if (offset != state_.offset() || !state_.apply(offset, data)) {
        return;
    }
    if (configuration_state::is_snapshot(data)) {
        last_snapshot_ = offset;
        last_snapshot_at_ = core_.wall_clock();
    }
    wire::configuration_record& kept = recent_.emplace_back();
    kept.set_offset(offset);
    kept.set_data(data);
    if (recent_.size() > options_.records_kept) {
        recent_.pop_front();
    }
}

void configuration_feed::after_advance(std::uint64_t offset_before)
{
    if (state_.offset() == offset_before) {
        return;
    }
    log_event(event_id::configuration_advanced, "offset={} revision={}", state_.offset(),
              state_.revision());
    advanced.emit();
    settle_pending();
    if (send_to_random_peers) {
        send_to_random_peers(options_.eager_peers, news_since(offset_before));
    }
}

wire::configuration_update configuration_feed::question() const
{
    wire::configuration_update update;
    update.set_offset(state_.offset());
    update.set_want_reply(true);
    return update;
}

void configuration_feed::exchange_with_peer()
{
    if (send_to_random_peers) {
        send_to_random_peers(1, question());
    }
}

wire::configuration_update configuration_feed::news_since(std::uint64_t offset) const
{
    wire::configuration_update update;
    update.set_offset(state_.offset());
    if (offset >= state_.offset()) {
        return update;
    }
    if (recent_.empty() || recent_.front().offset() > offset) {
        update.set_snapshot(state_.snapshot());
        return update;
    }
    for (const wire::configuration_record& record : recent_) {
        if (record.offset() >= offset) {
            *update.add_records() = record;
        }
    }
    return update;
}

std::optional<wire::configuration_update>
configuration_feed::on_update(const wire::configuration_update& update)
{
    confirmed_ = core_.now();
    const std::uint64_t before = state_.offset();
    if (!update.snapshot().empty() && state_.restore(update.snapshot())) {
        recent_.clear();
    }
    for (const wire::configuration_record& record : update.records()) {
        apply(record.offset(), record.data());
    }
    after_advance(before);
    if (update.want_reply() && update.offset() < state_.offset()) {
        return news_since(update.offset());
    }
    if (update.offset() > state_.offset()) {
        return question();
    }
    return std::nullopt;
}

void configuration_feed::submit(const configuration_command& command, millis deadline,
                                std::function<void(const command_outcome*)> on_settled)
{
    pending_.push_back({.command = command,
                        .deadline = core_.now() + deadline,
                        .on_settled = std::move(on_settled)});
    append_pending(pending_.size() - 1);
}

// Appending a command again is safe: a second record with the same id has no effect.
void configuration_feed::append_pending(std::size_t at)
{
    pending_command& waiting = pending_[at];
    waiting.appending = true;
    const std::string id = waiting.command.id;
    log_.append(options_.stream, waiting.command.encode(),
                [this, id](const std::optional<std::uint64_t>& offset) {
                    for (pending_command& other : pending_) {
                        if (other.command.id == id) {
                            other.appending = false;
                            other.appended_at = offset;
                            other.reads_since_failure = 0;
                        }
                    }
                    poll();
                });
}

void configuration_feed::settle_pending()
{
    const millis now = core_.now();
    std::deque<pending_command> kept;
    std::deque<pending_command> taken;
    taken.swap(pending_);
    for (pending_command& waiting : taken) {
        const command_outcome* outcome = state_.command(waiting.command.id);
        if (outcome == nullptr && now < waiting.deadline) {
            kept.push_back(std::move(waiting));
            continue;
        }
        waiting.on_settled(outcome);
    }
    for (pending_command& waiting : pending_) {
        kept.push_back(std::move(waiting));
    }
    pending_.swap(kept);
    for (std::size_t at = 0; at < pending_.size(); ++at) {
        const pending_command& waiting = pending_[at];
        const bool lost = !waiting.appending && !waiting.appended_at;
        // The append failed, and two reads of the log did not return the record.
        if (lost && waiting.reads_since_failure > 1) {
            append_pending(at);
        }
    }
}

bool configuration_feed::snapshot_due() const
{
    if (state_.offset() == 0 || snapshot_on_its_way_ || !pending_.empty()) {
        return false;
    }
    const std::uint64_t records = state_.offset() - std::min(last_snapshot_, state_.offset());
    const millis age = core_.wall_clock() - last_snapshot_at_;
    return records >= options_.snapshot_every || age >= options_.snapshot_age;
}

// Any process may append a snapshot: its text is the same in all of them, and duplicates are
// harmless.  Each does so with probability 1 / number of processes, so that usually only one does.
void configuration_feed::consider_snapshot()
{
    const std::uint64_t processes = process_count ? std::max<std::uint64_t>(process_count(), 1) : 1;
    if (!snapshot_due() || core_.random() % processes != 0) {
        return;
    }
    snapshot_on_its_way_ = true;
    const std::uint64_t offset = state_.offset();
    log_.append(
        options_.stream, state_.snapshot(), [this, offset](const std::optional<std::uint64_t>& at) {
            snapshot_on_its_way_ = false;
            if (at) {
                last_snapshot_ = std::max(last_snapshot_, *at);
                last_snapshot_at_ = core_.wall_clock();
                log_event(event_id::configuration_snapshot_taken, "of={} at={}", offset, *at);
            }
        });
}

nlohmann::json configuration_feed::describe() const
{
    return {{"offset", state_.offset()},
            {"revision", state_.revision()},
            {"log_up", log_up_},
            {"confirmed_ms_ago", (core_.now() - confirmed_).count()},
            {"zones_out", state_.zones_out()},
            {"drained", state_.drained()},
            {"services", state_.services().size()},
            {"client_accounts", state_.accounts().size()}};
}

} // namespace cyclamen
