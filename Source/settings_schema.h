#pragma once

#include "finding.h"
#include "settings_file.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cyclamen {

/// The type that the value of a setting is checked against.
enum class setting_type { text, integer, address, choice };

/// The definition of one key of a settings file.
struct setting {
    std::string section;
    std::string key; // "*" accepts any key in the section
    setting_type type = setting_type::text;
    std::string default_value; // value if the key is absent; unused if `required`
    bool required = false;
    std::int64_t min = 0; // `min` and `max`: inclusive range of an integer
    std::int64_t max = 0;
    std::vector<std::string> choices; // accepted values of a choice
    std::string description;
};

/// Defines an integer setting from `min` to `max`, inclusive.
setting integer_setting(std::string section, std::string key, std::int64_t default_value,
                        std::int64_t min, std::int64_t max, std::string description);

/// Values of a checked settings file.  Every key of the schema except "*" has a value.
class settings_values {
public:
    const std::string& text(const std::string& section, const std::string& key) const;
    std::int64_t integer(const std::string& section, const std::string& key) const;
    /// Keys and values of a section, sorted by key.
    std::map<std::string, std::string> section(const std::string& name) const;
    void put(const std::string& section, const std::string& key, std::string value);

private:
    std::map<std::string, std::map<std::string, std::string>> values_;
};

/// The settings that a program accepts.  Owned by the program's `main`.
class settings_schema {
public:
    explicit settings_schema(std::vector<setting> settings);

    /// Checks every entry and adds all errors to `findings`.  If the single keys are free of
    /// errors, runs `cross_check` as well.
    settings_values check(const settings_file& file, std::vector<finding>& findings) const;

    /// Formats all keys as a Markdown table, for docs/SETTINGS.md.
    std::string markdown_table() const;

    /// Checks conditions that involve several keys.
    std::function<void(const settings_values&, const std::string& file, std::vector<finding>&)>
        cross_check;

private:
    const setting* find(const std::string& section, const std::string& key) const;
    bool has_section(const std::string& section) const;

    std::vector<setting> settings_;
};

} // namespace cyclamen
