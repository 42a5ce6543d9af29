#include "command_parser.h"

#include "settings_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

namespace cyclamen {

namespace {

bool is_blank(char letter)
{
    return std::isspace(static_cast<unsigned char>(letter)) != 0;
}

bool is_operator_character(char letter)
{
    return letter == '=' || letter == '<' || letter == '>' || letter == '!';
}

} // namespace

std::string command_syntax_error::text(std::string_view command) const
{
    return fmt::format("{}\n{}^\nfound {}, expected {}\n", command, std::string(position, ' '),
                       found, expected);
}

command_parser::command_parser(std::string_view text) : text_(text)
{
    tokenize();
}

void command_parser::tokenize()
{
    std::size_t at = 0;
    while (at < text_.size()) {
        if (is_blank(text_[at])) {
            ++at;
            continue;
        }
        const std::size_t start = at;
        if (text_[at] == '"') {
            const std::size_t end = text_.find('"', at + 1);
            const std::size_t stop = end == std::string::npos ? text_.size() : end;
            tokens_.push_back({text_.substr(at + 1, stop - at - 1), start, true});
            at = end == std::string::npos ? stop : stop + 1;
            continue;
        }
        const bool relation = is_operator_character(text_[at]);
        while (at < text_.size() && !is_blank(text_[at]) &&
               is_operator_character(text_[at]) == relation) {
            ++at;
        }
        tokens_.push_back({text_.substr(start, at - start), start, false});
    }
    tokens_.push_back({"", text_.size(), false}); // end marker: `peek()` is always valid
}

// Consumes the next token if it is this unquoted word.
bool command_parser::accept(std::string_view word)
{
    if (at_end() || peek().quoted || peek().text != word) {
        return false;
    }
    ++next_token_;
    return true;
}

// Consumes all of the words, or none if they do not all match.
bool command_parser::accept_words(std::string_view words)
{
    const std::size_t start = next_token_;
    while (!words.empty()) {
        const std::size_t end = std::min(words.find(' '), words.size());
        if (!accept(words.substr(0, end))) {
            next_token_ = start;
            return false;
        }
        words.remove_prefix(std::min(end + 1, words.size()));
    }
    return true;
}

std::nullopt_t command_parser::fail(std::string expected)
{
    error_ = {.position = peek().position,
              .found = at_end() ? "end of command" : fmt::format("`{}`", peek().text),
              .expected = std::move(expected)};
    return std::nullopt;
}

std::optional<std::string> command_parser::parse_name(const std::string& expected)
{
    if (at_end() || peek().text.empty()) {
        return fail(expected);
    }
    return tokens_[next_token_++].text;
}

std::optional<std::uint64_t> command_parser::parse_number(const std::string& expected)
{
    const std::string& text = peek().text;
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (at_end() || error != std::errc() || stop != end) {
        return fail(expected);
    }
    ++next_token_;
    return value;
}

std::optional<parsed_command> command_parser::parse()
{
    std::optional<parsed_command> result;
    if (accept("show")) {
        if (auto query = parse_show()) {
            result = std::move(*query);
        }
    }
    else if (auto change = parse_change()) {
        result = std::move(*change);
    }
    if (result && !at_end()) {
        return fail("end of command");
    }
    return result;
}

std::optional<show_query> command_parser::parse_show()
{
    show_query query;
    const auto* row =
        std::find_if(show_subject_names.begin(), show_subject_names.end(),
                     [this](const auto& candidate) { return accept_words(candidate.name); });
    if (row == show_subject_names.end()) {
        return fail("`backend servers`, `availability zones`, `client accounts`, `models`, "
                    "`services`, `requests`, `configuration`, `commands` or `command ID`");
    }
    query.subject = row->value;
    if (query.subject == show_subject::command) {
        const auto id = parse_name("a command id");
        if (!id) {
            return std::nullopt;
        }
        query.id = *id;
    }
    if (!parse_show_clauses(query)) {
        return std::nullopt;
    }
    return query;
}

bool command_parser::parse_show_clauses(show_query& query)
{
    if (accept("where")) {
        do {
            auto next = parse_condition();
            if (!next) {
                return false;
            }
            query.conditions.push_back(std::move(*next));
        } while (accept("and"));
    }
    if (accept("sort")) {
        if (!accept("by")) {
            fail("`by`");
            return false;
        }
        const auto column = parse_name("a column name");
        if (!column) {
            return false;
        }
        query.sort_column = *column;
        query.descending = accept("descending");
    }
    if (accept("limit")) {
        const auto limit = parse_number("a non-negative integer");
        if (!limit) {
            return false;
        }
        query.limit = *limit;
    }
    if (accept("as")) {
        query.json = accept("json");
        if (!query.json && !accept("table")) {
            fail("`json` or `table`");
            return false;
        }
    }
    if (!at_end()) {
        fail("`where`, `and`, `sort by`, `limit`, `as json` or end of command");
        return false;
    }
    return true;
}

std::optional<show_condition> command_parser::parse_condition()
{
    show_condition result;
    const auto column = parse_name("a column name");
    if (!column) {
        return std::nullopt;
    }
    result.column = *column;
    const auto relation = at_end() ? std::nullopt : value_of(comparison_names, peek().text);
    if (!relation) {
        return fail("a comparison operator: = != < > <= >=");
    }
    result.relation = *relation;
    ++next_token_;
    const auto value = parse_name("a value");
    if (!value) {
        return std::nullopt;
    }
    result.value = *value;
    return result;
}

std::optional<change_command> command_parser::parse_change()
{
    if (accept_words("take out")) {
        return parse_order(order_verb::take_out);
    }
    if (accept("restore")) {
        return parse_order(order_verb::restore);
    }
    if (accept("drain")) {
        return parse_order(order_verb::drain);
    }
    if (accept("remove")) {
        return parse_order(order_verb::remove);
    }
    if (accept("quarantine")) {
        return parse_order(order_verb::quarantine);
    }
    if (accept("release")) {
        return parse_order(order_verb::release);
    }
    if (accept_words("put configuration into force")) {
        return parse_revision_condition(
            {.orders = {}, .put_configuration = true, .expected_revision = {}});
    }
    return fail("`show`, `take out`, `restore`, `drain`, `remove`, `quarantine`, `release` or "
                "`put configuration into force`");
}

std::optional<change_command> command_parser::parse_order(order_verb verb)
{
    struct subject_words {
        subject_kind subject;
        std::string_view words;
        std::vector<order_verb> verbs;
    };
    static const std::vector<subject_words> subjects{
        {subject_kind::availability_zone,
         "availability zone",
         {order_verb::take_out, order_verb::restore}},
        {subject_kind::backend_server, "backend server", {order_verb::drain, order_verb::restore}},
        {subject_kind::service, "service", {order_verb::remove}},
        {subject_kind::client_account, "client account", {order_verb::remove}},
        {subject_kind::request, "request", {order_verb::quarantine, order_verb::release}},
    };
    std::string expected;
    for (const subject_words& row : subjects) {
        if (std::find(row.verbs.begin(), row.verbs.end(), verb) == row.verbs.end()) {
            continue;
        }
        expected += fmt::format("{}`{} NAME`", expected.empty() ? "" : " or ", row.words);
        if (!accept_words(row.words)) {
            continue;
        }
        const auto subject_name = parse_name("a name");
        if (!subject_name) {
            return std::nullopt;
        }
        change_command change;
        change.orders.push_back(
            {.verb = verb, .subject = row.subject, .name = *subject_name, .fields = {}});
        return parse_revision_condition(std::move(change));
    }
    return fail(expected);
}

std::optional<change_command> command_parser::parse_revision_condition(change_command change)
{
    if (accept("if")) {
        if (!accept("revision")) {
            return fail("`revision`");
        }
        change.expected_revision = parse_number("a revision number");
        if (!change.expected_revision) {
            return std::nullopt;
        }
    }
    if (!at_end()) {
        return fail("`if revision N` or end of command");
    }
    return change;
}

namespace {

struct file_section {
    std::string_view prefix;
    subject_kind subject;
    std::set<std::string> keys;
};

const std::vector<file_section>& file_sections()
{
    static const std::vector<file_section> sections{
        {"service ", subject_kind::service, {"kind", "repeatable"}},
        {"client account ", subject_kind::client_account, {"credential_sha256", "weight"}},
    };
    return sections;
}

} // namespace

std::vector<configuration_order> parse_configuration_file(std::string_view text,
                                                          const std::string& name,
                                                          std::vector<finding>& findings)
{
    const settings_file file = settings_file::parse(text, name, findings);
    std::vector<configuration_order> orders;
    for (const settings_entry& entry : file.entries()) {
        const auto section =
            std::find_if(file_sections().begin(), file_sections().end(),
                         [&](const auto& row) { return entry.section.starts_with(row.prefix); });
        if (section == file_sections().end()) {
            findings.push_back({name, entry.line, "[" + entry.section + "]", "unknown section",
                                "use [service NAME] or [client account NAME]"});
            continue;
        }
        if (!section->keys.contains(entry.key)) {
            findings.push_back({name, entry.line, "[" + entry.section + "] " + entry.key,
                                "unknown key", "see docs/LANGUAGE.md for the valid keys"});
            continue;
        }
        const std::string subject_name = entry.section.substr(section->prefix.size());
        auto order = std::find_if(orders.begin(), orders.end(), [&](const auto& other) {
            return other.subject == section->subject && other.name == subject_name;
        });
        if (order == orders.end()) {
            orders.push_back({.verb = order_verb::put,
                              .subject = section->subject,
                              .name = subject_name,
                              .fields = {}});
            order = std::prev(orders.end());
        }
        order->fields[entry.key] = entry.value;
    }
    if (orders.empty() && findings.empty()) {
        findings.push_back({name, 0, "file", "contains no sections",
                            "add at least one [service NAME] or [client account NAME]"});
    }
    return orders;
}

} // namespace cyclamen
