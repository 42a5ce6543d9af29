#include "command_client.h"
#include "program_arguments.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace {

constexpr int http_ok = 200;
constexpr int http_conflict = 409;
constexpr int http_gateway_timeout = 504;
constexpr int exit_conflict = 3;
constexpr int exit_unknown = 4; // the command may or may not have taken effect

std::optional<std::string> read_file(const std::string& path)
{
    const std::ifstream input(path);
    if (!input) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::string first_line(const std::string& text)
{
    return text.substr(0, text.find('\n'));
}

int exit_status_of(int http_status)
{
    switch (http_status) {
    case http_ok:
        return cyclamen::exit_ok;
    case http_conflict:
        return exit_conflict;
    case http_gateway_timeout:
    case 0:
        return exit_unknown;
    default:
        return cyclamen::exit_failure;
    }
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Sends an operator command to an entry.  Exit status: 0 done, "
                        "1 refused, 2 bad arguments, 3 conflict, 4 unknown.",
                        ' ', cyclamen::program_version);
    TCLAP::ValueArg<std::string> entry("e", "entry", "operator port of an entry", true, "",
                                       "IP:PORT", line);
    TCLAP::ValueArg<std::string> key_file("k", "key-file", "file with the operator's key", true, "",
                                          "FILE", line);
    TCLAP::ValueArg<std::string> body_file(
        "f", "file", "configuration for `put configuration into force`", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> id(
        "i", "id", "id of the command; use the same id to retry it safely", false, "", "ID", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "the command; see docs/LANGUAGE.md",
                                                true, "WORD", line);
    return cyclamen::run_program(line, argc, argv, [&] {
        const auto address = cyclamen::net_address::parse(entry.getValue());
        const auto key = read_file(key_file.getValue());
        const auto body =
            body_file.isSet() ? read_file(body_file.getValue()) : std::optional<std::string>("");
        if (!address || !key || !body) {
            fmt::print(stderr, "{}\n",
                       !address ? "--entry: expected IP:PORT"
                       : !key   ? "--key-file: cannot read the file; check its path"
                                : "--file: cannot read the file; check its path");
            return cyclamen::exit_bad_settings;
        }
        std::string command;
        for (const std::string& word : words.getValue()) {
            if (word.starts_with("--")) {
                fmt::print(stderr, "unknown option {}: see --help\n", word);
                return cyclamen::exit_bad_settings;
            }
            command += (command.empty() ? "" : " ") + word;
        }
        const cyclamen::command_response response =
            cyclamen::send_command({.operator_address = *address, .operator_key = first_line(*key)},
                                   command, *body, id.getValue());
        if (response.status == 0) {
            fmt::print(stderr, "no response from {}: try another entry\n", entry.getValue());
        }
        fmt::print(response.status == http_ok ? stdout : stderr, "{}", response.text);
        return exit_status_of(response.status);
    });
}
