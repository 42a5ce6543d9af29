#pragma once

#include "configuration_state.h"
#include "enum_names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamen {

/// The tables that `show` can print.
enum class show_subject {
    backend_servers,
    availability_zones,
    client_accounts,
    models,
    services,
    requests,
    configuration,
    commands,
    command,
};

inline constexpr std::array show_subject_names{
    enum_name<show_subject>{show_subject::backend_servers, "backend servers"},
    enum_name<show_subject>{show_subject::availability_zones, "availability zones"},
    enum_name<show_subject>{show_subject::client_accounts, "client accounts"},
    enum_name<show_subject>{show_subject::models, "models"},
    enum_name<show_subject>{show_subject::services, "services"},
    enum_name<show_subject>{show_subject::requests, "requests"},
    enum_name<show_subject>{show_subject::configuration, "configuration"},
    enum_name<show_subject>{show_subject::commands, "commands"},
    enum_name<show_subject>{show_subject::command, "command"},
};

enum class comparison { equal, not_equal, below, above, at_most, at_least };

inline constexpr std::array comparison_names{
    enum_name<comparison>{comparison::equal, "="},
    enum_name<comparison>{comparison::not_equal, "!="},
    enum_name<comparison>{comparison::below, "<"},
    enum_name<comparison>{comparison::above, ">"},
    enum_name<comparison>{comparison::at_most, "<="},
    enum_name<comparison>{comparison::at_least, ">="},
};

struct show_condition {
    std::string column;
    comparison relation = comparison::equal;
    std::string value;
};

/// `show SUBJECT [where ...] [sort by ...] [limit N] [as json]`
struct show_query {
    show_subject subject = show_subject::backend_servers;
    std::string id; // command id; only for the subject `command`
    std::vector<show_condition> conditions;
    std::string sort_column; // empty: rows keep the order in which the table was built
    bool descending = false;
    std::optional<std::size_t> limit;
    bool json = false;
};

/// A command that changes the configuration.
struct change_command {
    std::vector<configuration_order> orders; // empty if `put_configuration` is set
    bool put_configuration = false;          // the orders are in the INI text sent with the command
    std::optional<std::uint64_t> expected_revision; // N of `if revision N`
};

using parsed_command = std::variant<show_query, change_command>;

/// A syntax error: its position, and what was found and expected there.
struct command_syntax_error {
    std::size_t position = 0; // index of the first character that could not be parsed
    std::string found;
    std::string expected;

    /// The command, a marker below the position, and what was found and expected.
    std::string text(std::string_view command) const;
};

/// Parser of the operators' command language, which docs/LANGUAGE.md describes.
class command_parser {
public:
    explicit command_parser(std::string_view text);

    /// Returns nothing on a syntax error; `last_error` then describes it.
    std::optional<parsed_command> parse();
    const command_syntax_error& last_error() const { return error_; }

private:
    struct token {
        std::string text;
        std::size_t position = 0;
        bool quoted = false;
    };

    void tokenize();
    const token& peek() const { return tokens_[next_token_]; }
    bool at_end() const { return next_token_ + 1 >= tokens_.size(); }
    bool accept(std::string_view word);
    bool accept_words(std::string_view words);
    /// Records a syntax error at the next token.
    std::nullopt_t fail(std::string expected);
    std::optional<std::string> parse_name(const std::string& expected);
    std::optional<std::uint64_t> parse_number(const std::string& expected);

    std::optional<show_query> parse_show();
    bool parse_show_clauses(show_query& query);
    std::optional<show_condition> parse_condition();
    std::optional<change_command> parse_change();
    std::optional<change_command> parse_order(order_verb verb);
    std::optional<change_command> parse_revision_condition(change_command change);

    std::string text_;
    std::vector<token> tokens_;
    std::size_t next_token_ = 0;
    command_syntax_error error_;
};

/// Parses a configuration file into one order per section: `[service NAME]` with `kind` and
/// `repeatable`, `[client account NAME]` with `credential_sha256` and `weight`.  Adds all errors
/// to `findings`.
std::vector<configuration_order> parse_configuration_file(std::string_view text,
                                                          const std::string& name,
                                                          std::vector<struct finding>& findings);

} // namespace cyclamen
