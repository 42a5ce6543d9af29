#include "command_executor.h"

#include "configuration_feed.h"
#include "entry_dispatcher.h"
#include "event_log.h"
#include "finding.h"
#include "instance_directory.h"
#include "peer_exchange.h"

#include <nlohmann/json.hpp>

namespace cyclamen {

command_executor::command_executor(kernel& core, command_executor_options options)
    : core_(core), options_(options)
{
}

void command_executor::start()
{
    configuration_ = &core_.find<configuration_feed>("configuration");
    directory_ = &core_.find<instance_directory>("directory");
    peers_ = &core_.find<peer_exchange>("peers");
    dispatcher_ = &core_.find<entry_dispatcher>("dispatcher");
    peers_->received.connect([this](const std::string& /*route*/, const wire::envelope& message) {
        if (message.has_load_report()) {
            load_reports_[message.load_report().instance()] = {message.load_report(), core_.now()};
        }
    });
}

void command_executor::submit(const operator_command& command,
                              const std::function<void(command_reply)>& on_reply)
{
    command_parser parser(command.text);
    const auto parsed = parser.parse();
    if (!parsed) {
        on_reply({command_reply_kind::refused, parser.last_error().text(command.text)});
        return;
    }
    if (const auto* change = std::get_if<change_command>(&*parsed)) {
        submit_change(command, *change, on_reply);
        return;
    }
    show(std::get<show_query>(*parsed), on_reply);
}

void command_executor::submit_change(const operator_command& command, const change_command& change,
                                     const std::function<void(command_reply)>& on_reply)
{
    configuration_command record{.id = command.id.empty() ? fmt::format("{:016x}", core_.random())
                                                          : command.id,
                                 .by = command.by,
                                 .expected_revision = change.expected_revision,
                                 .orders = change.orders};
    if (change.put_configuration) {
        std::vector<finding> findings;
        record.orders = parse_configuration_file(command.body, "configuration", findings);
        if (!findings.empty()) {
            on_reply({command_reply_kind::refused, format_findings(findings)});
            return;
        }
    }
    log_event(event_id::order_received, "id={} by={} command=\"{}\"", record.id, record.by,
              command.text);
    ++pending_changes_;
    configuration_->submit(
        record, options_.commit_timeout, [this, record, on_reply](const command_outcome* outcome) {
            --pending_changes_;
            if (outcome == nullptr) {
                on_reply({command_reply_kind::unknown,
                          fmt::format("unknown, ask with: show command {}\n", record.id)});
                return;
            }
            log_event(event_id::order_settled, "id={} by={} result={} revision={}", record.id,
                      record.by, name_of(command_result_names, outcome->result), outcome->revision);
            switch (outcome->result) {
            case command_result::accepted:
                on_reply({command_reply_kind::done,
                          fmt::format("accepted at revision {}\n", outcome->revision)});
                return;
            case command_result::conflict:
                on_reply({command_reply_kind::conflict,
                          fmt::format("conflict with revision {} by {}\n", outcome->revision,
                                      outcome->revision_author)});
                return;
            case command_result::invalid:
                on_reply(
                    {command_reply_kind::refused, fmt::format("refused: {}\n", outcome->reason)});
                return;
            }
        });
}

void command_executor::show(const show_query& query,
                            const std::function<void(command_reply)>& on_reply)
{
    const auto send_reply = [this, query, on_reply] {
        result_table table = build_table(query);
        std::string reason;
        if (!table.apply(query, reason)) {
            on_reply({command_reply_kind::refused, reason + "\n"});
            return;
        }
        on_reply({command_reply_kind::done, query.json ? table.json() : table.text()});
    };
    const bool needs_load = query.subject == show_subject::backend_servers ||
                            query.subject == show_subject::availability_zones;
    if (!needs_load) {
        send_reply();
        return;
    }
    query_load();
    const std::uint64_t timer_id = next_timer_id_++;
    load_query_timers_[timer_id] =
        core_.after(options_.load_query_timeout, [this, timer_id, send_reply] {
            // A timer may be destroyed in its own callback.
            const kernel::timer ended = std::move(load_query_timers_.at(timer_id));
            load_query_timers_.erase(timer_id);
            send_reply();
        });
}

void command_executor::query_load()
{
    for (const auto& [name, listed] : directory_->instances()) {
        if (listed.role != instance_role::agent) {
            continue;
        }
        wire::envelope message;
        message.mutable_load_query();
        peers_->send_to(name, std::move(message));
    }
}

result_table command_executor::build_table(const show_query& query) const
{
    switch (query.subject) {
    case show_subject::backend_servers:
        return backend_servers();
    case show_subject::availability_zones:
        return availability_zones();
    case show_subject::client_accounts:
        return client_accounts();
    case show_subject::models:
        return services(true);
    case show_subject::services:
        return services(false);
    case show_subject::requests:
        return requests();
    case show_subject::configuration:
        return configuration_table();
    case show_subject::commands:
    case show_subject::command:
        return commands(query.id);
    }
    return result_table({});
}

result_table command_executor::backend_servers() const
{
    result_table table(
        {"name", "zone", "service", "state", "in_flight", "waiting", "limit", "offset", "age_ms"});
    const configuration_state& state = configuration_->state();
    for (const auto& [name, listed] : directory_->instances()) {
        if (listed.role != instance_role::agent) {
            continue;
        }
        const auto found = load_reports_.find(name);
        const bool has_report = found != load_reports_.end();
        const wire::load_report report = has_report ? found->second.report : wire::load_report();
        std::string status = "live";
        if (!has_report) {
            status = "silent";
        }
        else if (!report.backend_up()) {
            status = "down";
        }
        else if (state.zone_out(listed.availability_zone)) {
            status = "zone out";
        }
        else if (state.drained(name)) {
            status = "drained";
        }
        else if (listed.leaving || !report.accepting()) {
            status = "leaving";
        }
        else if (report.cold()) {
            status = "cold";
        }
        // An `age_ms` of -1 means that no load report has been received.
        table.add(
            {name, listed.availability_zone, listed.service, status,
             std::int64_t{report.in_flight()}, std::int64_t{report.waiting()},
             std::int64_t{report.capacity()},
             static_cast<std::int64_t>(report.configuration_offset()),
             has_report ? (core_.now() - found->second.received_at).count() : std::int64_t{-1}});
    }
    return table;
}

result_table command_executor::availability_zones() const
{
    struct totals {
        std::int64_t servers = 0;
        std::int64_t in_flight = 0;
    };
    std::map<std::string, totals> zones;
    for (const auto& [name, listed] : directory_->instances()) {
        if (listed.role != instance_role::agent) {
            continue;
        }
        totals& zone = zones[listed.availability_zone];
        ++zone.servers;
        const auto found = load_reports_.find(name);
        zone.in_flight += found == load_reports_.end() ? 0 : found->second.report.in_flight();
    }
    for (const auto& [name, revision] : configuration_->state().zones_out()) {
        zones.try_emplace(name);
    }
    result_table table({"name", "state", "servers", "in_flight"});
    for (const auto& [name, zone] : zones) {
        const bool out = configuration_->state().zone_out(name);
        table.add({name, std::string(out ? "out" : "in"), zone.servers, zone.in_flight});
    }
    return table;
}

result_table command_executor::client_accounts() const
{
    result_table table({"name", "weight"});
    for (const auto& [name, settings] : configuration_->state().accounts()) {
        table.add({name, settings.weight});
    }
    return table;
}

result_table command_executor::services(bool models) const
{
    result_table table({"name", "kind", "repeatable", "servers"});
    for (const auto& [name, settings] : configuration_->state().services()) {
        if (settings.model != models && models) {
            continue;
        }
        table.add({name, std::string(settings.model ? "model" : "plain"),
                   std::string(settings.model || settings.repeatable ? "yes" : "no"),
                   static_cast<std::int64_t>(directory_->pool_size(name))});
    }
    return table;
}

result_table command_executor::requests() const
{
    result_table table({"sequence", "account", "service", "server", "attempt", "time_left_ms"});
    for (const auto& open_request : dispatcher_->describe().at("open")) {
        table.add({open_request.at("sequence").get<std::int64_t>(),
                   open_request.at("client_account").get<std::string>(),
                   open_request.at("service").get<std::string>(),
                   open_request.at("agent").get<std::string>(),
                   open_request.at("attempt").get<std::int64_t>(),
                   open_request.at("time_left_ms").get<std::int64_t>()});
    }
    return table;
}

result_table command_executor::configuration_table() const
{
    const configuration_state& state = configuration_->state();
    result_table table({"subject", "name", "state", "revision"});
    table.add({std::string("configuration"), std::string("in force"), std::string("current"),
               static_cast<std::int64_t>(state.revision())});
    for (const auto& [name, revision] : state.zones_out()) {
        table.add({std::string("availability zone"), name, std::string("out"),
                   static_cast<std::int64_t>(revision)});
    }
    for (const auto& [name, revision] : state.drained()) {
        table.add({std::string("backend server"), name, std::string("drained"),
                   static_cast<std::int64_t>(revision)});
    }
    return table;
}

result_table command_executor::commands(const std::string& id) const
{
    result_table table({"id", "by", "result", "revision", "reason"});
    for (const command_outcome& outcome : configuration_->state().commands()) {
        if (!id.empty() && outcome.id != id) {
            continue;
        }
        table.add({outcome.id, outcome.by,
                   std::string(name_of(command_result_names, outcome.result)),
                   static_cast<std::int64_t>(outcome.revision), outcome.reason});
    }
    return table;
}

nlohmann::json command_executor::describe() const
{
    return {{"pending", pending_changes_}, {"surveyed", load_reports_.size()}};
}

} // namespace cyclamen
