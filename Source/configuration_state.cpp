#include "configuration_state.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace cyclamen {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_recorded_outcomes = 256;
constexpr std::size_t sha256_hex_length = 64;

std::string field(const configuration_order& order, const std::string& key,
                  const std::string& fallback)
{
    const auto found = order.fields.find(key);
    return found == order.fields.end() ? fallback : found->second;
}

std::optional<double> positive_number(const std::string& text)
{
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || !(value > 0)) {
        return std::nullopt;
    }
    return value;
}

bool is_applicable(order_verb verb, subject_kind subject)
{
    switch (subject) {
    case subject_kind::availability_zone:
        return verb == order_verb::take_out || verb == order_verb::restore;
    case subject_kind::backend_server:
        return verb == order_verb::drain || verb == order_verb::restore;
    case subject_kind::request:
        return verb == order_verb::quarantine || verb == order_verb::release;
    case subject_kind::service:
    case subject_kind::client_account:
        return verb == order_verb::put || verb == order_verb::remove;
    }
    return false;
}

json encode_outcome(const command_outcome& outcome)
{
    return {{"id", outcome.id},
            {"by", outcome.by},
            {"result", name_of(command_result_names, outcome.result)},
            {"revision", outcome.revision},
            {"settled_by", outcome.revision_author},
            {"reason", outcome.reason}};
}

command_outcome decode_outcome(const json& row)
{
    return {.id = row.at("id"),
            .by = row.at("by"),
            .result = value_of(command_result_names, row.at("result").get<std::string>())
                          .value_or(command_result::invalid),
            .revision = row.at("revision"),
            .revision_author = row.at("settled_by"),
            .reason = row.at("reason")};
}

} // namespace

std::string configuration_command::encode() const
{
    json record{{"id", id}, {"by", by}, {"orders", json::array()}};
    if (expected_revision) {
        record["expected_revision"] = *expected_revision;
    }
    for (const configuration_order& order : orders) {
        record["orders"].push_back({{"verb", name_of(order_verb_names, order.verb)},
                                    {"subject", name_of(subject_kind_names, order.subject)},
                                    {"name", order.name},
                                    {"fields", order.fields}});
    }
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<configuration_command> configuration_command::decode(std::string_view text,
                                                                   std::string& reason)
{
    try {
        const json record = json::parse(text);
        configuration_command command{.id = record.at("id"),
                                      .by = record.at("by"),
                                      .expected_revision = std::nullopt,
                                      .orders = {}};
        if (record.contains("expected_revision")) {
            command.expected_revision = record.at("expected_revision").get<std::uint64_t>();
        }
        for (const json& row : record.at("orders")) {
            const auto verb = value_of(order_verb_names, row.at("verb").get<std::string>());
            const auto subject = value_of(subject_kind_names, row.at("subject").get<std::string>());
            if (!verb || !subject) {
                reason = "unknown verb or subject";
                return std::nullopt;
            }
            command.orders.push_back({.verb = *verb,
                                      .subject = *subject,
                                      .name = row.at("name"),
                                      .fields = row.at("fields")});
        }
        return command;
    }
    catch (const json::exception& error) {
        reason = error.what();
        return std::nullopt;
    }
}

bool configuration_state::apply(std::uint64_t offset, std::string_view record)
{
    if (offset < offset_) {
        return true;
    }
    if (offset > offset_) {
        return false;
    }
    ++offset_;
    std::string reason;
    const auto command = configuration_command::decode(record, reason);
    if (command) {
        apply_command(*command);
    }
    // Snapshots and malformed records cannot be decoded as commands.  All processes skip them, so
    // their states stay equal.
    return true;
}

void configuration_state::apply_command(const configuration_command& command)
{
    if (this->command(command.id) != nullptr) {
        return;
    }
    command_outcome outcome{.id = command.id,
                            .by = command.by,
                            .result = command_result::accepted,
                            .revision = revision_,
                            .revision_author = revision_author_,
                            .reason = {}};
    const auto error = find_error(command);
    if (error) {
        outcome.result = command_result::invalid;
        outcome.reason = *error;
    }
    else if (command.expected_revision && *command.expected_revision != revision_) {
        outcome.result = command_result::conflict;
    }
    else {
        ++revision_;
        revision_author_ = command.by;
        outcome.revision = revision_;
        outcome.revision_author = command.by;
        for (const configuration_order& order : command.orders) {
            apply_order(order);
        }
    }
    record_outcome(std::move(outcome));
}

std::optional<std::string>
configuration_state::find_error(const configuration_command& command) const
{
    if (command.orders.empty()) {
        return "no orders";
    }
    std::map<std::string, std::string> owners = account_by_credential_;
    for (const configuration_order& order : command.orders) {
        if (!is_applicable(order.verb, order.subject)) {
            return fmt::format("{} does not apply to {}", name_of(order_verb_names, order.verb),
                               name_of(subject_kind_names, order.subject));
        }
        if (order.name.empty()) {
            return "a name is missing";
        }
        if (order.verb != order_verb::put) {
            continue;
        }
        if (order.subject == subject_kind::service) {
            const std::string kind = field(order, "kind", "plain");
            if (kind != "plain" && kind != "model") {
                return fmt::format("service {}: kind is `{}`, not plain or model", order.name,
                                   kind);
            }
        }
        else { // a client account: `put` applies to no other subject
            const std::string digest = field(order, "credential_sha256", "");
            if (digest.size() != sha256_hex_length) {
                return fmt::format("client account {}: credential_sha256 is not 64 hex digits",
                                   order.name);
            }
            const std::string& owner = owners.try_emplace(digest, order.name).first->second;
            if (owner != order.name) {
                return fmt::format("client account {}: its credential belongs to {}", order.name,
                                   owner);
            }
            if (!positive_number(field(order, "weight", "1"))) {
                return fmt::format("client account {}: weight is not above 0", order.name);
            }
        }
    }
    return std::nullopt;
}

void configuration_state::apply_order(const configuration_order& order)
{
    switch (order.subject) {
    case subject_kind::availability_zone:
        if (order.verb == order_verb::take_out) {
            zones_out_[order.name] = revision_;
        }
        else {
            zones_out_.erase(order.name);
        }
        return;
    case subject_kind::backend_server:
        if (order.verb == order_verb::drain) {
            drained_[order.name] = revision_;
        }
        else {
            drained_.erase(order.name);
        }
        return;
    case subject_kind::request:
        if (order.verb == order_verb::quarantine) {
            quarantined_[order.name] = revision_;
        }
        else {
            quarantined_.erase(order.name);
        }
        return;
    case subject_kind::service:
        if (order.verb == order_verb::put) {
            services_[order.name] = {.model = field(order, "kind", "plain") == "model",
                                     .repeatable = field(order, "repeatable", "no") == "yes"};
        }
        else {
            services_.erase(order.name);
        }
        return;
    case subject_kind::client_account: {
        const auto old = accounts_.find(order.name);
        if (old != accounts_.end()) {
            account_by_credential_.erase(old->second.credential_sha256);
            accounts_.erase(old);
        }
        if (order.verb == order_verb::put) {
            const account_settings settings{
                .credential_sha256 = field(order, "credential_sha256", ""),
                .weight = positive_number(field(order, "weight", "1")).value_or(1)};
            account_by_credential_[settings.credential_sha256] = order.name;
            accounts_[order.name] = settings;
        }
        return;
    }
    }
}

void configuration_state::record_outcome(command_outcome outcome)
{
    commands_.push_back(std::move(outcome));
    if (commands_.size() > max_recorded_outcomes) {
        commands_.pop_front();
    }
}

bool configuration_state::quarantined(std::uint64_t fingerprint) const
{
    return !quarantined_.empty() && quarantined_.contains(fmt::format("{:016x}", fingerprint));
}

const service_settings* configuration_state::service(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const account_settings* configuration_state::account(const std::string& name) const
{
    const auto found = accounts_.find(name);
    return found == accounts_.end() ? nullptr : &found->second;
}

std::string configuration_state::account_of(const std::string& credential_sha256) const
{
    const auto found = account_by_credential_.find(credential_sha256);
    return found == account_by_credential_.end() ? std::string() : found->second;
}

const command_outcome* configuration_state::command(const std::string& id) const
{
    for (const command_outcome& outcome : commands_) {
        if (outcome.id == id) {
            return &outcome;
        }
    }
    return nullptr;
}

std::string configuration_state::snapshot() const
{
    json services = json::object();
    for (const auto& [name, settings] : services_) {
        services[name] = {{"model", settings.model}, {"repeatable", settings.repeatable}};
    }
    json accounts = json::object();
    for (const auto& [name, settings] : accounts_) {
        accounts[name] = {{"credential_sha256", settings.credential_sha256},
                          {"weight", settings.weight}};
    }
    json commands = json::array();
    for (const command_outcome& outcome : commands_) {
        commands.push_back(encode_outcome(outcome));
    }
    const json state{
        {"snapshot_offset", offset_}, {"revision", revision_}, {"settled_by", revision_author_},
        {"zones_out", zones_out_},    {"drained", drained_},   {"quarantined", quarantined_},
        {"services", services},       {"accounts", accounts},  {"commands", commands}};
    return state.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool configuration_state::is_snapshot(std::string_view record)
{
    // nlohmann::json sorts the members, and a command has no member `accounts`.
    constexpr std::string_view first_member = "{\"accounts\":";
    return record.starts_with(first_member);
}

bool configuration_state::restore(std::string_view snapshot)
{
    try {
        const json state = json::parse(snapshot);
        const std::uint64_t offset = state.at("snapshot_offset");
        if (offset <= offset_) {
            return false;
        }
        configuration_state next;
        next.offset_ = offset;
        next.revision_ = state.at("revision");
        next.revision_author_ = state.at("settled_by");
        next.zones_out_ = state.at("zones_out");
        next.drained_ = state.at("drained");
        next.quarantined_ = state.at("quarantined");
        for (const auto& [name, row] : state.at("services").items()) {
            next.services_[name] = {.model = row.at("model"), .repeatable = row.at("repeatable")};
        }
        for (const auto& [name, row] : state.at("accounts").items()) {
            const std::string digest = row.at("credential_sha256");
            next.accounts_[name] = {.credential_sha256 = digest, .weight = row.at("weight")};
            next.account_by_credential_[digest] = name;
        }
        for (const json& row : state.at("commands")) {
            next.commands_.push_back(decode_outcome(row));
        }
        *this = std::move(next);
        return true;
    }
    catch (const json::exception&) {
        return false;
    }
}

} // namespace cyclamen
