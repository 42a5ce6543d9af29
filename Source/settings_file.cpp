#include "settings_file.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

namespace cyclamen {
namespace {

// Input of inih, read line by line so that the handler knows the current line number.
struct line_source {
    std::string_view rest;
    int line = 0;
    std::vector<settings_entry>* entries = nullptr;
};

// Reader for `ini_parse_stream`, which has the interface of `fgets`.
char* next_line(char* buffer, int size, void* user)
{
    auto& source = *static_cast<line_source*>(user);
    if (source.rest.empty()) {
        return nullptr;
    }
    const std::size_t end = source.rest.find('\n');
    const std::size_t length = end == std::string_view::npos ? source.rest.size() : end + 1;
    const std::size_t copied = std::min(length, static_cast<std::size_t>(size) - 1);
    std::memcpy(buffer, source.rest.data(), copied);
    buffer[copied] = '\0';
    source.rest.remove_prefix(copied);
    if (copied == length) {
        ++source.line;
    }
    return buffer;
}

int add_entry(void* user, const char* section, const char* key, const char* value)
{
    auto& source = *static_cast<line_source*>(user);
    source.entries->push_back({.section = section,
                               .key = key,
                               .value = value == nullptr ? "" : value,
                               .line = source.line});
    return 1;
}

} // namespace

settings_file settings_file::parse(std::string_view text, const std::string& name,
                                   std::vector<finding>& findings)
{
    settings_file file(name);
    line_source source{.rest = text, .line = 0, .entries = &file.entries_};
    const int error_line = ini_parse_stream(next_line, &source, add_entry, &source);
    if (error_line > 0) {
        findings.push_back({.file = name,
                            .line = error_line,
                            .subject = "syntax",
                            .message = "expected a [section] or `key = value` line",
                            .remedy = "use `key = value`, or start a comment with `;`"});
    }
    return file;
}

settings_file settings_file::read(const std::string& path, std::vector<finding>& findings)
{
    const std::ifstream input(path);
    if (!input) {
        findings.push_back({.file = path,
                            .line = 0,
                            .subject = "file",
                            .message = "cannot be opened",
                            .remedy = "check the path and its permissions"});
        return settings_file(path);
    }
    std::ostringstream text;
    text << input.rdbuf();
    return parse(text.str(), path, findings);
}

} // namespace cyclamen
