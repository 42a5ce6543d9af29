#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen {

struct http_header {
    std::string name;
    std::string value;
};

/// Compares two header names case-insensitively.
bool header_names_equal(std::string_view left, std::string_view right);

/// Start line and headers of an HTTP/1 message.
struct http_head {
    std::string method; // requests only
    std::string target; // requests only: path and query as sent
    int status = 0;     // responses only
    std::string reason; // responses only: reason phrase
    std::vector<http_header> headers;
    std::optional<std::uint64_t> length; // Content-Length, if declared
    bool chunked = false;
    bool keep_alive = true;
    unsigned minor_version = 1; // minor version of HTTP/1.x

    /// Returns the value of the first header with this name, or nullopt.
    std::optional<std::string_view> header(std::string_view name) const;
    std::string_view header_or(std::string_view name, std::string_view fallback) const;
    void add(std::string name, std::string value);
    /// Replaces all headers with this name.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /// Returns the target without its query string.
    std::string_view path() const;
};

/// Removes hop-by-hop headers (RFC 9110, 7.6.1), including those listed in `Connection`. Headers
/// named in `end_to_end` are kept even if `Connection` lists them.
void remove_hop_by_hop_headers(http_head& head, const std::vector<std::string>& end_to_end);

/// Whether all bytes are printable ASCII characters, spaces included.
bool is_printable(std::string_view text);
/// Returns the text with `?` in place of each byte that is no printable ASCII character.
std::string printable_text(std::string_view text);

/// Serializes the start line and the headers, up to and including the empty line.
std::string request_text(const http_head& head);
std::string response_text(const http_head& head);

} // namespace cyclamen
