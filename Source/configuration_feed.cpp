#include "configuration_feed.h"

#include "contained_errors.h"
#include "event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {
constexpr unsigned max_records_per_read = 500;
constexpr millis pending_check_interval = 100ms;
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
    peer_timer_ = core_.every(options_.peer_exchange_interval, [this] { query_random_peer(); });
    pending_timer_ = core_.every(pending_check_interval, [this] { process_pending(); });
}

void configuration_feed::schedule_poll()
{
    const auto processes = static_cast<std::int64_t>(process_count ? process_count() : 1);
    const millis interval =
        std::max(options_.min_poll_interval, options_.poll_interval_per_process * processes);
    poll_timer_ = core_.after(core_.jittered(interval), [this] { poll(); });
}

void configuration_feed::poll()
{
    if (reading_) {
        return;
    }
    reading_ = true;
    log_.read(
        options_.stream, state_.offset(), max_records_per_read,
        [this](const std::optional<log_page>& page) {
            reading_ = false;
            if (page.has_value() != log_reachable_) {
                log_reachable_ = page.has_value();
                log_event(log_reachable_ ? event_id::log_reachable : event_id::log_unreachable,
                          "stream={}", options_.stream);
            }
            const std::uint64_t offset_before = state_.offset();
            const bool handled = page && contain_errors("configuration", [&] { on_page(*page); });
            if (handled && state_.offset() > offset_before && page->next > state_.offset()) {
                poll();
            }
            else {
                schedule_poll();
            }
        });
}

void configuration_feed::on_page(const log_page& page)
{
    last_confirmed_at_ = core_.now();
    for (pending_command& pending : pending_) {
        ++pending.reads_since_failure;
    }
    const std::uint64_t offset_before = state_.offset();
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
    handle_advance(offset_before);
    if (!read_to_end_ && state_.offset() >= page.next) {
        read_to_end_ = true;
        log_event(event_id::configuration_caught_up, "offset={} revision={}", state_.offset(),
                  state_.revision());
    }
    append_snapshot_if_due();
}

bool configuration_feed::caught_up() const
{
    return read_to_end_ || (!log_reachable_ && peer_offset_ && state_.offset() >= *peer_offset_);
}

void configuration_feed::apply(std::uint64_t offset, const std::string& data)
{
    if (offset != state_.offset() || !state_.apply(offset, data)) {
        return;
    }
    if (configuration_state::is_snapshot(data)) {
        last_snapshot_offset_ = offset;
        last_snapshot_at_ = core_.wall_clock();
    }
    wire::configuration_record& retained = recent_.emplace_back();
    retained.set_offset(offset);
    retained.set_data(data);
    if (recent_.size() > options_.max_recent_records) {
        recent_.pop_front();
    }
}

void configuration_feed::handle_advance(std::uint64_t offset_before)
{
    if (state_.offset() == offset_before) {
        return;
    }
    log_event(event_id::configuration_advanced, "offset={} revision={}", state_.offset(),
              state_.revision());
    advanced.emit();
    process_pending();
    if (send_to_random_peers) {
        send_to_random_peers(options_.gossip_fanout, make_update_since(offset_before));
    }
}

wire::configuration_update configuration_feed::make_record_query() const
{
    wire::configuration_update update;
    update.set_offset(state_.offset());
    update.set_caught_up(caught_up());
    update.set_want_reply(true);
    return update;
}

void configuration_feed::query_random_peer()
{
    if (send_to_random_peers) {
        send_to_random_peers(1, make_record_query());
    }
}

wire::configuration_update configuration_feed::make_update_since(std::uint64_t offset) const
{
    wire::configuration_update update;
    update.set_offset(state_.offset());
    update.set_caught_up(caught_up());
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
    last_confirmed_at_ = core_.now();
    if (update.caught_up()) {
        peer_offset_ = std::max(peer_offset_.value_or(0), update.offset());
    }
    const std::uint64_t offset_before = state_.offset();
    if (!update.snapshot().empty() && state_.restore(update.snapshot())) {
        recent_.clear();
    }
    for (const wire::configuration_record& record : update.records()) {
        apply(record.offset(), record.data());
    }
    handle_advance(offset_before);
    if (update.want_reply() && update.offset() < state_.offset()) {
        return make_update_since(update.offset());
    }
    if (update.offset() > state_.offset()) {
        return make_record_query();
    }
    return std::nullopt;
}

void configuration_feed::submit(const configuration_command& command, millis deadline,
                                std::function<void(const command_outcome*)> on_outcome)
{
    pending_.push_back({.command = command,
                        .deadline = core_.now() + deadline,
                        .on_outcome = std::move(on_outcome)});
    append_pending(pending_.size() - 1);
}

// Appending a command again is safe: a second record with the same id has no effect.
void configuration_feed::append_pending(std::size_t at)
{
    pending_command& pending = pending_[at];
    pending.appending = true;
    const std::string id = pending.command.id;
    log_.append(options_.stream, pending.command.encode(),
                [this, id](const std::optional<std::uint64_t>& offset) {
                    for (pending_command& other : pending_) {
                        if (other.command.id == id) {
                            other.appending = false;
                            other.appended_offset = offset;
                            other.reads_since_failure = 0;
                        }
                    }
                    poll();
                });
}

void configuration_feed::process_pending()
{
    const millis now = core_.now();
    std::deque<pending_command> retained;
    // `on_outcome` may submit further commands, which are then appended to `pending_`.
    std::deque<pending_command> previous;
    previous.swap(pending_);
    for (pending_command& pending : previous) {
        const command_outcome* outcome = state_.command(pending.command.id);
        if (outcome == nullptr && now < pending.deadline) {
            retained.push_back(std::move(pending));
            continue;
        }
        pending.on_outcome(outcome);
    }
    for (pending_command& pending : pending_) {
        retained.push_back(std::move(pending));
    }
    pending_.swap(retained);
    for (std::size_t at = 0; at < pending_.size(); ++at) {
        const pending_command& pending = pending_[at];
        const bool append_failed = !pending.appending && !pending.appended_offset;
        // The append failed, and two reads of the log did not return the record.
        if (append_failed && pending.reads_since_failure > 1) {
            append_pending(at);
        }
    }
}

bool configuration_feed::snapshot_due() const
{
    if (state_.offset() == 0 || snapshot_append_pending_ || !pending_.empty()) {
        return false;
    }
    const std::uint64_t records =
        state_.offset() - std::min(last_snapshot_offset_, state_.offset());
    const millis age = core_.wall_clock() - last_snapshot_at_;
    return records >= options_.snapshot_record_interval || age >= options_.max_snapshot_age;
}

// Any process may append a snapshot: its text is the same in all of them, and duplicates are
// harmless.  Each does so with probability 1 / number of processes, so that usually only one does.
void configuration_feed::append_snapshot_if_due()
{
    const std::uint64_t processes = process_count ? std::max<std::uint64_t>(process_count(), 1) : 1;
    if (!snapshot_due() || core_.random() % processes != 0) {
        return;
    }
    snapshot_append_pending_ = true;
    const std::uint64_t offset = state_.offset();
    log_.append(
        options_.stream, state_.snapshot(), [this, offset](const std::optional<std::uint64_t>& at) {
            snapshot_append_pending_ = false;
            if (at) {
                last_snapshot_offset_ = std::max(last_snapshot_offset_, *at);
                last_snapshot_at_ = core_.wall_clock();
                log_event(event_id::configuration_snapshot_taken, "of={} at={}", offset, *at);
            }
        });
}

nlohmann::json configuration_feed::describe() const
{
    return {{"offset", state_.offset()},
            {"revision", state_.revision()},
            {"log_up", log_reachable_},
            {"caught_up", caught_up()},
            {"confirmed_ms_ago", (core_.now() - last_confirmed_at_).count()},
            {"zones_out", state_.zones_out()},
            {"drained", state_.drained()},
            {"services", state_.services().size()},
            {"client_accounts", state_.accounts().size()}};
}

} // namespace cyclamen
