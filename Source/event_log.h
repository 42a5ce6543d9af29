#pragma once

#include "enum_names.h"

#include <fmt/format.h>

#include <array>
#include <string>
#include <string_view>

namespace cyclamen {

/// Severity of a logged event.
enum class severity { info, warning, error };

inline constexpr std::array severity_names{
    enum_name<severity>{severity::info, "info"},
    enum_name<severity>{severity::warning, "warning"},
    enum_name<severity>{severity::error, "error"},
};

/// Numbered events.  A number is never reused; docs/EVENTS.md describes each event.
enum class event_id {
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    loop_delayed = 1004,
    error_contained = 1005,
    configuration_advanced = 1101,
    configuration_snapshot_taken = 1102,
    configuration_gap = 1103,
    order_received = 1104,
    order_settled = 1105,
    configuration_caught_up = 1106,
    log_unreachable = 1201,
    log_reachable = 1202,
    list_unreachable = 1203,
    list_reachable = 1204,
    claims_read_to_head = 1205,
    claims_lost = 1206,
    link_silent = 1301,
    link_opened = 1302,
    unknown_version = 1303,
    malformed_message = 1304,
    request_unknown_outcome = 1401,
    backend_crashed = 1402,
    request_quarantined = 1403,
    crash_counted = 1404,
    quarantine_ended = 1405,
    quarantine_stored = 1406,
    quarantine_read = 1407,
    server_ended = 1408,
    attempt_unanswered = 1409,
    backend_cold = 1501,
    backend_warm = 1502,
    credential_refused = 1601,
    request_refused = 1701,
    backend_chosen = 1702,
    attempt_failed = 1703,
    request_ended = 1704,
    stray_answer = 1705,
    request_unreadable = 1706,
    callers_closing = 1707,
    input_discarded = 1708,
    client_closed = 1709,
    caller_given_up = 1710,
    configuration_taken = 1801,
    backend_listed = 1802,
    backend_gone = 1803,
    zones_out_changed = 1804,
    knowledge_complete = 1805,
    source_lost = 1806,
    source_regained = 1807,
    record_unreadable = 1808,
    settings_reloaded = 1809,
    settings_unreadable = 1810,
    readiness_changed = 1811,
    log_lines_dropped = 1812,
    records_resynchronised = 1813,
    peer_heard = 1814,
    peer_silent = 1815,
    records_from_peer = 1816,
    log_restored = 1817,
    origins_read = 1818,
    backend_leaving = 1819,
    backend_resting = 1820,
    origin_searched = 1821,
    default_version_set = 1822,
    server_doubted = 1823,
    expired_entries_released = 1824,
    value_fetched = 1825,
    stream_restarted = 1826,
    entry_listed = 1827,
    entries_unlisted = 1828,
    foreign_peer = 1829,
    backends_skipped = 1830,
    default_versions_proposed = 1831,
    default_versions_withdrawn = 1832,
    rollout_ordered = 1901,
    rollout_moved = 1902,
    rollout_halted = 1903,
    rollout_recorded = 1904,
    rollout_withdrawn = 1905,
    rollout_refused = 1906,
};

/// Number, severity and name of an event.
struct event_description {
    event_id id;
    severity level;
    std::string_view name;
};

inline constexpr std::size_t event_count = 81;

/// Catalogue of all events, sorted by number.
const std::array<event_description, event_count>& event_catalogue();

/// Limits of the log, so that a process under load never blocks on log output.
struct event_log_limits {
    double lines_per_second = 400; // rate limit of lines of severity info; others have none
    double burst = 1200;           // size of the token bucket, in lines of severity info
    std::size_t max_buffered_bytes = 262144; // for a slow reader; lines beyond it are dropped
};

/// Logs one line to standard output: time, severity, number, name, `fields`.  Lines over
/// the limits are dropped and counted; a later event 1812 reports the count.
void write_event(event_id id, std::string_view fields);

/// Writes buffered lines as far as standard output accepts them without blocking.
void flush_events();

/// With buffering on, lines of severity info are held until `flush_events`, until a line of
/// a higher severity, or until they fill one write.
void set_event_buffering(bool buffered, event_log_limits limits = {});

/// Logs an event with fields in `key=value` form, formatted by fmt.
template <typename... Args>
void log_event(event_id id, fmt::format_string<Args...> format, Args&&... args)
{
    write_event(id, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace cyclamen
