#pragma once

#include "finding.h"
#include "settings_file.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cyclamen {

/// How the text of a setting is checked.
enum class setting_type { text, integer, address, choice };

/// One key that a settings file may hold.
struct setting {
    std::string section;
    std::string key; // "*" admits any key in the section
    setting_type type = setting_type::text;
    std::string fallback; // used when absent; empty and `required` is a fault
    bool required = false;
    std::int64_t least = 0;
    std::int64_t most = 0;
    std::vector<std::string> choices;
    std::string description;
};

/// A whole number from `least` to `most`.
setting integer_setting(std::string section, std::string key, std::int64_t fallback,
                        std::int64_t least, std::int64_t most, std::string description);

/// Values of a checked settings file.  Every key of the schema has a value.
class settings_values {
public:
    const std::string& text(const std::string& section, const std::string& key) const;
    std::int64_t integer(const std::string& section, const std::string& key) const;
    /// Keys and values of a section that admits any key, in order of key.
    std::map<std::string, std::string> section(const std::string& name) const;
    void put(const std::string& section, const std::string& key, std::string value);

private:
    std::map<std::string, std::map<std::string, std::string>> values_;
};

/// The keys that one program accepts.  Owned by the program's main.
class settings_schema {
public:
    explicit settings_schema(std::vector<setting> settings);

    /// Checks every entry and reports all faults together.  A check that spans
    /// several keys runs after the single ones, as `across`.
    settings_values check(const settings_file& file, std::vector<finding>& findings) const;

    /// Markdown table of all keys, for docs/SETTINGS.md.
    std::string manual() const;

    std::function<void(const settings_values&, const std::string& file, std::vector<finding>&)>
        across;

private:
    const setting* find(const std::string& section, const std::string& key) const;
    bool has_section(const std::string& section) const;

    std::vector<setting> settings_;
};

} // namespace cyclamen
