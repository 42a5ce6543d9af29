#include "fleet_process.h"

#include "agent_server.h"
#include "caller_server.h"
#include "claim_service.h"
#include "command_executor.h"
#include "configuration_feed.h"
#include "entry_dispatcher.h"
#include "instance_directory.h"
#include "kernel.h"
#include "operator_server.h"
#include "peer_exchange.h"
#include "program_settings.h"

#include <memory>

namespace cyclamen {

namespace {

net_address address_in(const settings_values& values, const char* section, const char* key)
{
    return net_address::parse(values.text(section, key)).value_or(net_address{});
}

millis millis_in(const settings_values& values, const char* section, const char* key)
{
    return millis(values.integer(section, key));
}

unsigned count_in(const settings_values& values, const char* section, const char* key)
{
    return static_cast<unsigned>(values.integer(section, key));
}

double share_in(const settings_values& values, const char* section, const char* key)
{
    return static_cast<double>(values.integer(section, key)) / 100.0;
}

kernel_options kernel_options_of(const settings_values& values, std::string program)
{
    constexpr std::size_t bytes_per_mb = 1048576;
    return {.program = std::move(program),
            .instance = values.text("process", "instance"),
            .connection_bytes =
                static_cast<std::size_t>(values.integer("clients", "memory_mb")) * bytes_per_mb,
            .client_connections =
                static_cast<std::size_t>(values.integer("clients", "connections"))};
}

// Adds the services that entries and agents have in common.
void add_common_services(kernel& core, const settings_values& values,
                         const std::string& peer_endpoint)
{
    core.add(std::make_unique<instance_directory>(
        core, instance_directory_options{.list = address_in(values, "platform", "instance_list"),
                                         .poll_interval =
                                             millis_in(values, "platform", "list_poll_ms")}));
    core.add(std::make_unique<configuration_feed>(
        core,
        configuration_feed_options{
            .log = address_in(values, "platform", "log"),
            .log_timeout = millis_in(values, "platform", "log_timeout_ms"),
            .min_poll_interval = millis_in(values, "configuration", "poll_ms"),
            .peer_exchange_interval = millis_in(values, "configuration", "peer_exchange_ms"),
            .snapshot_record_interval =
                static_cast<std::uint64_t>(values.integer("configuration", "snapshot_every")),
            .max_snapshot_age = millis_in(values, "configuration", "snapshot_age_s") * 1000}));
    peer_exchange_options peers{.endpoint = peer_endpoint};
    if (!peer_endpoint.empty()) {
        peers.load_report_interval = millis_in(values, "peer", "load_interval_ms");
    }
    core.add(std::make_unique<peer_exchange>(core, peers));
}

operator_server_options operator_options(const settings_values& values, bool accepts_commands)
{
    return {.listen = address_in(values, "operator", "listen"),
            .credentials = operator_credentials(values),
            .accepts_commands = accepts_commands};
}

agent_core_options core_options(const settings_values& values)
{
    const unsigned capacity = count_in(values, "backend", "capacity");
    return {
        .instance = values.text("process", "instance"),
        .availability_zone = values.text("process", "availability_zone"),
        .service = values.text("backend", "service"),
        .limits = {.capacity = capacity,
                   .max_account_share = share_in(values, "limits", "account_share_percent"),
                   .ramp = {.capacity = capacity,
                            .cold_limit = count_in(values, "backend", "cold_limit"),
                            .completions_per_step =
                                count_in(values, "backend", "completions_per_step"),
                            .min_step_interval = millis_in(values, "backend", "ramp_step_ms")},
                   .load = {.max_load_ratio = share_in(values, "limits", "load_multiple_percent")}},
        .queue = {.max_waiting = count_in(values, "limits", "queue"),
                  .max_waiting_per_account = count_in(values, "limits", "queue_per_account")}};
}

} // namespace

int serve_entry(const settings_values& values)
{
    kernel core(kernel_options_of(values, "cyclamen-entry"));
    add_common_services(core, values, {});
    core.add(std::make_unique<entry_dispatcher>(
        core, entry_dispatcher_options{
                  .retries = {.share = share_in(values, "retries", "share_percent"),
                              .reserve = static_cast<double>(values.integer("retries", "reserve"))},
                  .hot_prefixes = {.min_width = count_in(values, "placement", "least_width"),
                                   .max_width = count_in(values, "placement", "most_width")},
                  .link = {.welcome_timeout = millis_in(values, "links", "welcome_timeout_ms"),
                           .heartbeat_interval = millis_in(values, "links", "heartbeat_ms"),
                           .silence_timeout = millis_in(values, "links", "silence_ms")}}));
    core.add(std::make_unique<command_executor>(core, command_executor_options{}));
    core.add(std::make_unique<operator_server>(core, operator_options(values, true)));
    core.add(std::make_unique<caller_server>(
        core, caller_server_options{.listen = address_in(values, "caller", "listen"),
                                    .http = {.max_body_bytes = static_cast<std::size_t>(
                                                 values.integer("caller", "most_body_bytes")),
                                             .clients = &core.clients()},
                                    .default_deadline =
                                        millis_in(values, "caller", "default_deadline_ms"),
                                    .stop_grace = millis_in(values, "caller", "stop_grace_ms")}));
    return core.run();
}

int serve_agent(const settings_values& values)
{
    kernel core(kernel_options_of(values, "cyclamen-agent"));
    const bool plain = values.text("backend", "kind") == "plain";
    add_common_services(core, values, address_in(values, "peer", "listen").endpoint());
    // Agents of plain services claim idempotency keys in the log.
    if (plain) {
        core.add(std::make_unique<claim_service>(
            core, claim_service_options{
                      .log = address_in(values, "platform", "log"),
                      .service = values.text("backend", "service"),
                      .shards = count_in(values, "claims", "shards"),
                      .log_timeout = millis_in(values, "platform", "log_timeout_ms"),
                      .poll = millis_in(values, "claims", "poll_ms"),
                      .claim_timeout = millis_in(values, "claims", "timeout_ms"),
                      .log_down_timeout = millis_in(values, "claims", "down_after_ms"),
                      .key_window = millis_in(values, "claims", "key_window_s") * 1000}));
    }
    core.add(std::make_unique<agent_server>(
        core, agent_server_options{
                  .core = core_options(values),
                  .backend = {.backend = address_in(values, "backend", "address"),
                              .answer_timeout = millis_in(values, "backend", "answer_timeout_ms")},
                  .keyed = plain,
                  .health_interval = millis_in(values, "backend", "health_interval_ms")}));
    core.add(std::make_unique<operator_server>(core, operator_options(values, false)));
    return core.run();
}

} // namespace cyclamen
