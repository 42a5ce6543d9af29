#pragma once

#include "settings_schema.h"

#include <tclap/CmdLine.h>

#include <functional>
#include <optional>
#include <string>

namespace cyclamen {

inline constexpr const char* program_version = "0.1.0";

/// Exit statuses of the daemons.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_bad_settings = 2;

/// Parses `line` and calls `body`; returns its exit status.  Faults of the command line, and
/// exceptions of `body`, are told on standard error.
int run_program(TCLAP::CmdLine& line, int argument_count, char** arguments,
                const std::function<int()>& body);

/// Reads a settings file and checks it; faults are told together on standard error.
std::optional<settings_values> read_checked(const std::string& path, const settings_schema& schema);

/// Parses a daemon's command line, checks its settings file and calls `serve` with
/// the values.  Faults are reported together on standard error with status 2, before
/// any socket is opened.  `--check-settings` stops after the check.
int run_daemon(int argument_count, char** arguments, const std::string& description,
               const settings_schema& schema,
               const std::function<int(const settings_values&)>& serve);

} // namespace cyclamen
