#pragma once

#include "finding.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen {

/// One `key = value` line of an INI file.
struct settings_entry {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// The entries of an INI file with their line numbers, not yet checked against a schema.
class settings_file {
public:
    /// Reads and parses the file at `path`; adds errors to `findings`.
    static settings_file read(const std::string& path, std::vector<finding>& findings);

    /// Parses `text`; `name` is the file name used in `findings`.
    static settings_file parse(std::string_view text, const std::string& name,
                               std::vector<finding>& findings);

    const std::string& name() const { return name_; }
    const std::vector<settings_entry>& entries() const { return entries_; }

private:
    explicit settings_file(std::string name) : name_(std::move(name)) {}

    std::string name_;
    std::vector<settings_entry> entries_;
};

} // namespace cyclamen
