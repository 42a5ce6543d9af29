#include "program_arguments.h"

#include <fmt/format.h>

#include <cstdio>

namespace cyclamen {

int run_program(TCLAP::CmdLine& line, int argument_count, char** arguments,
                const std::function<int()>& body)
{
    try {
        line.setExceptionHandling(false); // by default TCLAP exits with its own status
        line.parse(argument_count, arguments);
        return body();
    }
    catch (const TCLAP::ExitException& end) { // --help and --version
        return end.getExitStatus();
    }
    catch (const TCLAP::ArgException& error) {
        fmt::print(stderr, "{} {}: see --help\n", error.error(), error.argId());
        return exit_bad_settings;
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return exit_failure;
    }
}

int run_daemon(int argument_count, char** arguments, const std::string& description,
               const settings_schema& schema,
               const std::function<int(const settings_values&)>& serve)
{
    TCLAP::CmdLine line(description, ' ', program_version);
    TCLAP::UnlabeledValueArg<std::string> path("settings", "settings file (INI)", false, "", "FILE",
                                               line);
    TCLAP::SwitchArg check_only("", "check-settings", "check the settings and exit", line);
    TCLAP::SwitchArg print_settings("", "print-settings", "print the keys as a table and exit",
                                    line);
    return run_program(line, argument_count, arguments, [&] {
        if (print_settings.getValue()) {
            fmt::print("{}", schema.markdown_table());
            return exit_ok;
        }
        if (path.getValue().empty()) {
            fmt::print(stderr, "no settings file given: pass its path, or see --help\n");
            return exit_bad_settings;
        }
        if (path.getValue().starts_with("--")) {
            fmt::print(stderr, "unknown option {}: see --help\n", path.getValue());
            return exit_bad_settings;
        }
        const auto values = read_and_check_settings(path.getValue(), schema);
        if (!values) {
            return exit_bad_settings;
        }
        if (check_only.getValue()) {
            fmt::print("{}: ok\n", path.getValue());
            return exit_ok;
        }
        return serve(*values);
    });
}

std::optional<settings_values> read_and_check_settings(const std::string& path,
                                                       const settings_schema& schema)
{
    std::vector<finding> findings;
    const settings_file file = settings_file::read(path, findings);
    const bool unreadable = !findings.empty() && findings.front().line == 0;
    std::optional<settings_values> values;
    if (!unreadable) {
        values = schema.check(file, findings);
    }
    if (!findings.empty()) {
        fmt::print(stderr, "{}", format_findings(findings));
        return std::nullopt;
    }
    return values;
}

} // namespace cyclamen
