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

/// Compares header names, which ignore case.
bool same_name(std::string_view left, std::string_view right);

/// The first line and the headers of an HTTP/1 message.
struct http_head {
    std::string method; // of a request
    std::string target; // of a request: path and query as sent
    int status = 0;     // of an answer
    std::string reason; // of an answer
    std::vector<http_header> headers;
    std::optional<std::uint64_t> length; // of the body, where the sender declared it
    bool chunked = false;
    bool keep_alive = true;
    unsigned minor_version = 1; // of HTTP/1

    /// The value of the first header of that name, or nothing.
    std::optional<std::string_view> header(std::string_view name) const;
    std::string_view header_or(std::string_view name, std::string_view fallback) const;
    void add(std::string name, std::string value);
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /// The target without its query.
    std::string_view path() const;
};

/// Removes the headers that concern one connection only (RFC 9110, 7.6.1), those that
/// `Connection` names included; `kept` are end-to-end whatever `Connection` says.
void remove_connection_headers(http_head& head, const std::vector<std::string>& kept);

/// The message's first line and headers as sent, up to and including the empty line.
std::string request_text(const http_head& head);
std::string answer_text(const http_head& head);

} // namespace cyclamen
