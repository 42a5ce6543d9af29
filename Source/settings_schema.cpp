#include "settings_schema.h"

#include "net_address.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace cyclamen {
namespace {

std::optional<std::int64_t> parse_integer(const std::string& text)
{
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> find_error(const setting& rule, const std::string& value)
{
    switch (rule.type) {
    case setting_type::text:
        return value.empty() ? std::optional<std::string>("is empty") : std::nullopt;
    case setting_type::integer: {
        const auto number = parse_integer(value);
        if (!number) {
            return fmt::format("`{}` is not an integer", value);
        }
        if (*number < rule.min || *number > rule.max) {
            return fmt::format("{} is out of range", *number);
        }
        return std::nullopt;
    }
    case setting_type::address:
        return net_address::parse(value) ? std::nullopt
                                         : std::optional<std::string>(fmt::format(
                                               "`{}` is not an IP address and port", value));
    case setting_type::choice:
        if (std::find(rule.choices.begin(), rule.choices.end(), value) == rule.choices.end()) {
            return fmt::format("`{}` is not one of the accepted values", value);
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::string accepted_values(const setting& rule)
{
    switch (rule.type) {
    case setting_type::integer:
        return fmt::format("an integer from {} to {}", rule.min, rule.max);
    case setting_type::address:
        return "an address as IP:PORT, for example 127.0.0.1:8080";
    case setting_type::choice:
        return fmt::format("one of {}", fmt::join(rule.choices, ", "));
    case setting_type::text:
        break;
    }
    return "text";
}

} // namespace

setting integer_setting(std::string section, std::string key, std::int64_t default_value,
                        std::int64_t min, std::int64_t max, std::string description)
{
    return {.section = std::move(section),
            .key = std::move(key),
            .type = setting_type::integer,
            .default_value = std::to_string(default_value),
            .min = min,
            .max = max,
            .description = std::move(description)};
}

const std::string& settings_values::text(const std::string& section, const std::string& key) const
{
    return values_.at(section).at(key);
}

std::int64_t settings_values::integer(const std::string& section, const std::string& key) const
{
    return parse_integer(text(section, key)).value_or(0);
}

std::map<std::string, std::string> settings_values::section(const std::string& name) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? std::map<std::string, std::string>{} : found->second;
}

void settings_values::put(const std::string& section, const std::string& key, std::string value)
{
    values_[section][key] = std::move(value);
}

settings_schema::settings_schema(std::vector<setting> settings) : settings_(std::move(settings)) {}

const setting* settings_schema::find(const std::string& section, const std::string& key) const
{
    for (const setting& rule : settings_) {
        if (rule.section == section && (rule.key == key || rule.key == "*")) {
            return &rule;
        }
    }
    return nullptr;
}

bool settings_schema::has_section(const std::string& section) const
{
    return std::any_of(settings_.begin(), settings_.end(),
                       [&](const setting& rule) { return rule.section == section; });
}

settings_values settings_schema::check(const settings_file& file,
                                       std::vector<finding>& findings) const
{
    settings_values values;
    for (const setting& rule : settings_) {
        if (rule.key != "*") {
            values.put(rule.section, rule.key, rule.default_value);
        }
    }
    const std::size_t findings_before = findings.size();
    std::set<std::string> seen;
    for (const settings_entry& entry : file.entries()) {
        const std::string subject = fmt::format("[{}] {}", entry.section, entry.key);
        const auto add = [&](std::string message, std::string remedy) {
            findings.push_back(
                {file.name(), entry.line, subject, std::move(message), std::move(remedy)});
        };
        if (!has_section(entry.section)) {
            add("unknown section", "remove it, or see docs/SETTINGS.md for the valid sections");
            continue;
        }
        const setting* rule = find(entry.section, entry.key);
        if (rule == nullptr) {
            add("unknown key", "remove it, or see docs/SETTINGS.md for the valid keys");
            continue;
        }
        if (!seen.insert(subject).second) {
            add("duplicate key", "keep only one of the lines");
            continue;
        }
        if (const auto error = find_error(*rule, entry.value)) {
            add(*error, fmt::format("use {}", accepted_values(*rule)));
            continue;
        }
        values.put(entry.section, entry.key, entry.value);
    }
    for (const setting& rule : settings_) {
        const std::string subject = fmt::format("[{}] {}", rule.section, rule.key);
        if (rule.required && !seen.contains(subject)) {
            findings.push_back({file.name(), 0, subject, "is missing",
                                fmt::format("add this key: {}", rule.description)});
        }
    }
    if (findings.size() == findings_before && cross_check) {
        cross_check(values, file.name(), findings);
    }
    return values;
}

std::string settings_schema::markdown_table() const
{
    std::string text = "| section | key | accepts | default | meaning |\n|---|---|---|---|---|\n";
    for (const setting& rule : settings_) {
        const std::string default_value = rule.required ? "required" : rule.default_value;
        text += fmt::format("| {} | {} | {} | {} | {} |\n", rule.section, rule.key,
                            accepted_values(rule), default_value, rule.description);
    }
    return text;
}

} // namespace cyclamen
