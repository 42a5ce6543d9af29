#include "event_log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <iterator>
#include <utility>

namespace cyclamen {

namespace {

// Maximum bytes per write.  A pipe takes a write of this size either whole or not at all.
constexpr std::size_t atomic_write_bytes = 4096;

class log_output {
public:
    static log_output& instance()
    {
        static log_output output;
        return output;
    }

    void configure(bool buffered, event_log_limits limits)
    {
        buffered_ = buffered;
        limits_ = limits;
        tokens_ = limits.burst;
    }

    void add(const event_description& description, std::string_view fields)
    {
        const auto now = std::chrono::steady_clock::now();
        const double passed = std::chrono::duration<double>(now - refilled_at_).count();
        tokens_ = std::min(limits_.burst, tokens_ + passed * limits_.lines_per_second);
        refilled_at_ = now;
        const bool over_limit = (description.level == severity::info && tokens_ < 1) ||
                                text_.size() > limits_.max_buffered_bytes;
        if (over_limit) {
            ++dropped_;
            return;
        }
        if (description.level == severity::info) {
            tokens_ -= 1;
        }
        if (dropped_ > 0) {
            const std::uint64_t count = std::exchange(dropped_, 0);
            append(severity::warning, event_id::log_lines_dropped, "log_lines_dropped",
                   fmt::format("count={}", count));
        }
        append(description.level, description.id, description.name, fields);
        if (!buffered_ || description.level != severity::info ||
            text_.size() >= atomic_write_bytes) {
            flush();
        }
    }

    void flush()
    {
        std::size_t done = 0;
        while (done < text_.size()) {
            pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
                break;
            }
            const std::size_t part = std::min(atomic_write_bytes, text_.size() - done);
            const ssize_t written = ::write(STDOUT_FILENO, text_.data() + done, part);
            if (written <= 0) {
                break;
            }
            done += static_cast<std::size_t>(written);
        }
        text_.erase(0, done);
    }

    ~log_output() { flush(); }
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;

private:
    log_output() = default;

    void append(severity level, event_id id, std::string_view name, std::string_view fields)
    {
        const std::size_t begin = text_.size();
        const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
        fmt::format_to(std::back_inserter(text_), "{:%Y-%m-%dT%H:%M:%S}Z {} {} {} {}\n", now,
                       name_of(severity_names, level), static_cast<int>(id), name, fields);
        // What others have written must not look like lines of its own.
        std::replace_if(
            text_.begin() + static_cast<std::ptrdiff_t>(begin), std::prev(text_.end()),
            [](char letter) { return std::iscntrl(static_cast<unsigned char>(letter)) != 0; }, '?');
    }

    event_log_limits limits_;
    bool buffered_ = false;
    double tokens_ = event_log_limits{}.burst;
    std::chrono::steady_clock::time_point refilled_at_ = std::chrono::steady_clock::now();
    std::uint64_t dropped_ = 0;
    std::string text_;
};

} // namespace

const std::array<event_description, event_count>& event_catalogue()
{
    static constexpr std::array<event_description, event_count> catalogue{{
        {event_id::process_started, severity::info, "process_started"},
        {event_id::process_stopping, severity::info, "process_stopping"},
        {event_id::process_stopped, severity::info, "process_stopped"},
        {event_id::loop_delayed, severity::info, "loop_delayed"},
        {event_id::error_contained, severity::error, "error_contained"},
        {event_id::configuration_advanced, severity::info, "configuration_advanced"},
        {event_id::configuration_snapshot_taken, severity::info, "configuration_snapshot_taken"},
        {event_id::configuration_gap, severity::warning, "configuration_gap"},
        {event_id::order_received, severity::info, "order_received"},
        {event_id::order_settled, severity::info, "order_settled"},
        {event_id::configuration_caught_up, severity::info, "configuration_caught_up"},
        {event_id::log_unreachable, severity::warning, "log_unreachable"},
        {event_id::log_reachable, severity::info, "log_reachable"},
        {event_id::list_unreachable, severity::warning, "list_unreachable"},
        {event_id::list_reachable, severity::info, "list_reachable"},
        {event_id::claims_read_to_head, severity::info, "claims_read_to_head"},
        {event_id::claims_lost, severity::error, "claims_lost"},
        {event_id::link_silent, severity::warning, "link_silent"},
        {event_id::link_opened, severity::info, "link_opened"},
        {event_id::unknown_version, severity::error, "unknown_version"},
        {event_id::malformed_message, severity::error, "malformed_message"},
        {event_id::request_unknown_outcome, severity::warning, "request_unknown_outcome"},
        {event_id::backend_crashed, severity::error, "backend_crashed"},
        {event_id::request_quarantined, severity::warning, "request_quarantined"},
        {event_id::crash_counted, severity::info, "crash_counted"},
        {event_id::quarantine_ended, severity::info, "quarantine_ended"},
        {event_id::quarantine_stored, severity::info, "quarantine_stored"},
        {event_id::quarantine_read, severity::info, "quarantine_read"},
        {event_id::server_ended, severity::info, "server_ended"},
        {event_id::attempt_unanswered, severity::info, "attempt_unanswered"},
        {event_id::backend_cold, severity::info, "backend_cold"},
        {event_id::backend_warm, severity::info, "backend_warm"},
        {event_id::credential_refused, severity::warning, "credential_refused"},
        {event_id::request_refused, severity::info, "request_refused"},
        {event_id::backend_chosen, severity::info, "backend_chosen"},
        {event_id::attempt_failed, severity::info, "attempt_failed"},
        {event_id::request_ended, severity::info, "request_ended"},
        {event_id::stray_answer, severity::warning, "stray_answer"},
        {event_id::request_unreadable, severity::info, "request_unreadable"},
        {event_id::callers_closing, severity::info, "callers_closing"},
        {event_id::input_discarded, severity::info, "input_discarded"},
        {event_id::client_closed, severity::info, "client_closed"},
        {event_id::caller_given_up, severity::info, "caller_given_up"},
        {event_id::configuration_taken, severity::info, "configuration_taken"},
        {event_id::backend_listed, severity::info, "backend_listed"},
        {event_id::backend_gone, severity::info, "backend_gone"},
        {event_id::zones_out_changed, severity::info, "zones_out_changed"},
        {event_id::knowledge_complete, severity::info, "knowledge_complete"},
        {event_id::source_lost, severity::warning, "source_lost"},
        {event_id::source_regained, severity::info, "source_regained"},
        {event_id::record_unreadable, severity::warning, "record_unreadable"},
        {event_id::settings_reloaded, severity::info, "settings_reloaded"},
        {event_id::settings_unreadable, severity::error, "settings_unreadable"},
        {event_id::readiness_changed, severity::info, "readiness_changed"},
        {event_id::log_lines_dropped, severity::warning, "log_lines_dropped"},
        {event_id::records_resynchronised, severity::info, "records_resynchronised"},
        {event_id::peer_heard, severity::info, "peer_heard"},
        {event_id::peer_silent, severity::warning, "peer_silent"},
        {event_id::records_from_peer, severity::info, "records_from_peer"},
        {event_id::log_restored, severity::warning, "log_restored"},
        {event_id::origins_read, severity::info, "origins_read"},
        {event_id::backend_leaving, severity::info, "backend_leaving"},
        {event_id::backend_resting, severity::info, "backend_resting"},
        {event_id::origin_searched, severity::info, "origin_searched"},
        {event_id::default_version_set, severity::info, "default_version_set"},
        {event_id::server_doubted, severity::info, "server_doubted"},
        {event_id::expired_entries_released, severity::info, "expired_entries_released"},
        {event_id::value_fetched, severity::info, "value_fetched"},
        {event_id::stream_restarted, severity::info, "stream_restarted"},
        {event_id::entry_listed, severity::info, "entry_listed"},
        {event_id::entries_unlisted, severity::info, "entries_unlisted"},
        {event_id::foreign_peer, severity::warning, "foreign_peer"},
        {event_id::backends_skipped, severity::info, "backends_skipped"},
        {event_id::default_versions_proposed, severity::info, "default_versions_proposed"},
        {event_id::default_versions_withdrawn, severity::info, "default_versions_withdrawn"},
        {event_id::rollout_ordered, severity::info, "rollout_ordered"},
        {event_id::rollout_moved, severity::info, "rollout_moved"},
        {event_id::rollout_halted, severity::warning, "rollout_halted"},
        {event_id::rollout_recorded, severity::info, "rollout_recorded"},
        {event_id::rollout_withdrawn, severity::info, "rollout_withdrawn"},
        {event_id::rollout_refused, severity::error, "rollout_refused"},
    }};
    return catalogue;
}

void write_event(event_id id, std::string_view fields)
{
    const auto& catalogue = event_catalogue();
    const auto* found =
        std::find_if(catalogue.begin(), catalogue.end(),
                     [&](const event_description& description) { return description.id == id; });
    if (found == catalogue.end()) {
        log_output::instance().add({id, severity::error, "?"}, fields);
        return;
    }
    log_output::instance().add(*found, fields);
}

void flush_events()
{
    log_output::instance().flush();
}

void set_event_buffering(bool buffered, event_log_limits limits)
{
    log_output::instance().configure(buffered, limits);
}

} // namespace cyclamen
