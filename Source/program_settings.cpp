#include "program_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cyclamen {

namespace {

constexpr std::size_t sha256_hex_length = 64;

setting text(std::string section, std::string key, std::string default_value,
             std::string description)
{
    return {.section = std::move(section),
            .key = std::move(key),
            .type = setting_type::text,
            .default_value = std::move(default_value),
            .description = std::move(description)};
}

setting required_text(std::string section, std::string key, std::string description)
{
    setting rule = text(std::move(section), std::move(key), "", std::move(description));
    rule.required = true;
    return rule;
}

setting address(std::string section, std::string key, std::string description)
{
    setting rule = required_text(std::move(section), std::move(key), std::move(description));
    rule.type = setting_type::address;
    return rule;
}

setting choice(std::string section, std::string key, std::vector<std::string> choices,
               std::string description)
{
    setting rule =
        text(std::move(section), std::move(key), choices.front(), std::move(description));
    rule.type = setting_type::choice;
    rule.choices = std::move(choices);
    return rule;
}

std::vector<setting> common_settings()
{
    return {
        required_text("process", "instance", "unique name of this process in its region"),
        required_text("process", "availability_zone",
                      "availability zone that this process runs in"),
        address("operator", "listen", "listen address of the HTTP server for operators"),
        address("platform", "log", "address of the append-only log service"),
        address("platform", "instance_list", "address of the service that lists the instances"),
        integer_setting("platform", "log_timeout_ms", 1500, 50, 60000,
                        "timeout of a call to the log, ms"),
        integer_setting("platform", "list_poll_ms", 1000, 50, 60000,
                        "interval between two reads of the instance list, ms"),
        integer_setting("configuration", "poll_ms", 400, 20, 60000,
                        "minimum interval of the periodic reads of the configuration stream, ms"),
        integer_setting("configuration", "peer_exchange_ms", 500, 20, 60000,
                        "interval between two configuration exchanges with a random peer, ms"),
        integer_setting("configuration", "snapshot_every", 256, 8, 100000,
                        "number of records after which a new snapshot is due"),
        integer_setting(
            "configuration", "snapshot_age_s", 1800, 1, 86400,
            "age of the last snapshot at which a new one is due, s; keep it under half of "
            "the log's retention"),
        integer_setting("clients", "memory_mb", 64, 8, 16384,
                        "memory that all connections hold together, MB; unfinished requests of "
                        "clients are closed from three quarters of it"),
        integer_setting("clients", "connections", 10000, 16, 1000000,
                        "maximum number of connections of HTTP clients; lowered to what the limit "
                        "of file descriptors leaves"),
        text("operators", "*", "",
             "SHA-256, in hexadecimal, of the key of the operator with this name"),
    };
}

void check_operators(const settings_values& values, const std::string& file,
                     std::vector<finding>& findings)
{
    for (const auto& [name, digest] : values.section("operators")) {
        if (digest.size() != sha256_hex_length) {
            findings.push_back({file, 0, "[operators] " + name, "is not 64 hexadecimal digits",
                                "use the SHA-256 of the key, for example from sha256sum"});
        }
    }
}

void check_distinct(const settings_values& values, const std::string& file,
                    const std::vector<std::pair<std::string, std::string>>& keys,
                    std::vector<finding>& findings)
{
    std::set<std::string> seen;
    for (const auto& [section, key] : keys) {
        const std::string& value = values.text(section, key);
        if (!seen.insert(value).second) {
            findings.push_back({file, 0, fmt::format("[{}] {}", section, key),
                                fmt::format("{} is also the address of another port", value),
                                "use a different address for each port"});
        }
    }
}

} // namespace

settings_schema entry_schema()
{
    std::vector<setting> settings = common_settings();
    const std::vector<setting> program_settings{
        address("caller", "listen", "listen address of the HTTP server for callers"),
        integer_setting("caller", "most_body_bytes", 4194304, 1024, 67108864,
                        "maximum size of a request body, bytes"),
        integer_setting("caller", "default_deadline_ms", 60000, 1, 600000,
                        "deadline of requests without X-Deadline-Ms, ms"),
        integer_setting("caller", "stop_grace_ms", 1500, 0, 60000,
                        "minimum time from \"not ready\" to the end of a graceful shutdown, ms"),
        integer_setting("retries", "share_percent", 10, 0, 100,
                        "retries allowed per 100 first attempts"),
        integer_setting("retries", "reserve", 10, 1, 1000,
                        "maximum number of unused retries that are saved up"),
        integer_setting("links", "silence_ms", 1200, 100, 30000,
                        "time without traffic after which a connection with an open request is "
                        "replaced, ms"),
        integer_setting("links", "heartbeat_ms", 400, 20, 10000,
                        "interval between heartbeats while a request is open, ms"),
        integer_setting("links", "welcome_timeout_ms", 600, 50, 10000,
                        "timeout for an agent's response to a new connection, ms"),
        integer_setting("placement", "least_width", 2, 1, 1000,
                        "minimum number of engines that share a prompt prefix"),
        integer_setting("placement", "most_width", 64, 1, 10000,
                        "maximum number of engines that share a prompt prefix"),
    };
    settings.insert(settings.end(), program_settings.begin(), program_settings.end());
    settings_schema schema(std::move(settings));
    schema.cross_check = [](const settings_values& values, const std::string& file,
                            std::vector<finding>& findings) {
        check_operators(values, file, findings);
        check_distinct(values, file, {{"caller", "listen"}, {"operator", "listen"}}, findings);
        if (values.integer("links", "heartbeat_ms") * 2 > values.integer("links", "silence_ms")) {
            findings.push_back({file, 0, "[links] heartbeat_ms", "is more than half of silence_ms",
                                "lower it, or raise silence_ms"});
        }
        if (values.integer("placement", "least_width") >
            values.integer("placement", "most_width")) {
            findings.push_back({file, 0, "[placement] least_width", "is above most_width",
                                "lower it, or raise most_width"});
        }
    };
    return schema;
}

settings_schema agent_schema()
{
    std::vector<setting> settings = common_settings();
    const std::vector<setting> program_settings{
        address("peer", "listen", "listen address for entries and other agents"),
        integer_setting("peer", "load_interval_ms", 25, 5, 10000,
                        "interval between two load reports, each sent to one peer, ms"),
        address("backend", "address", "address of the backend server"),
        required_text("backend", "service", "service that the backend server belongs to"),
        choice("backend", "kind", {"model", "plain"},
               "kind of the service: `model` for a model engine"),
        integer_setting("backend", "capacity", 16, 1, 100000,
                        "maximum number of requests in flight when warm"),
        integer_setting("backend", "cold_limit", 2, 1, 100000,
                        "maximum number of requests in flight at the start of a cold start"),
        integer_setting("backend", "completions_per_step", 2, 1, 100000,
                        "completions during a cold start that add one slot"),
        integer_setting("backend", "ramp_step_ms", 100, 1, 600000,
                        "minimum time between two added slots during a cold start, ms"),
        integer_setting("backend", "answer_timeout_ms", 30000, 100, 600000,
                        "timeout without data from the backend server, ms"),
        integer_setting("backend", "health_interval_ms", 300, 20, 60000,
                        "interval between two health probes, ms"),
        integer_setting(
            "limits", "load_multiple_percent", 125, 100, 1000,
            "maximum number of requests in flight, in percent of the mean across engines"),
        integer_setting(
            "limits", "account_share_percent", 50, 1, 100,
            "maximum share of the capacity for one client account while others are active, "
            "in percent"),
        integer_setting("limits", "queue", 64, 0, 100000, "maximum number of queued requests"),
        integer_setting("limits", "queue_per_account", 16, 0, 100000,
                        "maximum number of queued requests of one client account"),
        integer_setting(
            "claims", "shards", 4, 1, 256,
            "number of claim streams of the service; must be equal in all of its agents"),
        integer_setting(
            "claims", "key_window_s", 3600, 1, 604800,
            "age beyond which an idempotency key is refused, s; keep it under the log's retention"),
        integer_setting("claims", "timeout_ms", 3000, 50, 60000,
                        "time limit for deciding a claim, ms"),
        integer_setting(
            "claims", "down_after_ms", 2000, 50, 60000,
            "time without a response from the log after which keyed requests are refused, ms"),
        integer_setting("claims", "poll_ms", 250, 5, 60000,
                        "interval between two reads of a claim stream, ms"),
    };
    settings.insert(settings.end(), program_settings.begin(), program_settings.end());
    settings_schema schema(std::move(settings));
    schema.cross_check = [](const settings_values& values, const std::string& file,
                            std::vector<finding>& findings) {
        check_operators(values, file, findings);
        check_distinct(values, file,
                       {{"peer", "listen"}, {"operator", "listen"}, {"backend", "address"}},
                       findings);
        if (values.integer("backend", "cold_limit") > values.integer("backend", "capacity")) {
            findings.push_back({file, 0, "[backend] cold_limit", "is above capacity",
                                "lower it, or raise capacity"});
        }
    };
    return schema;
}

std::map<std::string, std::string> operator_credentials(const settings_values& values)
{
    return values.section("operators");
}

} // namespace cyclamen
