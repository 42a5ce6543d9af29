#pragma once

#include "settings_schema.h"

#include <tclap/CmdLine.h>

#include <functional>
#include <optional>
#include <string>

namespace cyclamen {

inline constexpr const char* program_version = "0.1.0";

/// Exit statuses of the programs; cyclamen-ctl has further ones.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_bad_settings = 2; // bad settings file or command line

/// Parses the command line, calls `body` and returns the exit status.  Command line errors and
/// exceptions thrown by `body` are printed to standard error.
int run_program(TCLAP::CmdLine& line, int argument_count, char** arguments,
                const std::function<int()>& body);

/// Reads and checks a settings file.  On errors, prints all of them to standard error and returns
/// nothing.
std::optional<settings_values> read_and_check_settings(const std::string& path,
                                                       const settings_schema& schema);

/// Parses a daemon's command line, checks its settings file and calls `serve` with the values.
/// On errors, prints all of them to standard error and returns 2 before any socket is opened.
/// `--check-settings` stops after the check; `--print-settings` only prints the schema.
int run_daemon(int argument_count, char** arguments, const std::string& description,
               const settings_schema& schema,
               const std::function<int(const settings_values&)>& serve);

} // namespace cyclamen
