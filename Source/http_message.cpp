#include "http_message.h"

#include <fmt/format.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace cyclamen {

namespace {

// Content-Length is not a hop-by-hop header. It is included because `append_headers()` writes it
// from `http_head::length`.
constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate", "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};

bool is_printable_byte(char byte)
{
    return byte >= ' ' && byte <= '~';
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

template <typename Names>
bool contains_name(const Names& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](const auto& other) { return header_names_equal(other, name); });
}

std::vector<std::string> connection_options(const http_head& head)
{
    std::vector<std::string> names;
    for (const http_header& field : head.headers) {
        if (!header_names_equal(field.name, "Connection")) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            names.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

void append_headers(fmt::memory_buffer& text, const http_head& head)
{
    for (const http_header& field : head.headers) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", field.name, field.value);
    }
    if (head.chunked) {
        fmt::format_to(std::back_inserter(text), "Transfer-Encoding: chunked\r\n");
    }
    else if (head.length) {
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", *head.length);
    }
    fmt::format_to(std::back_inserter(text), "\r\n");
}

} // namespace

bool header_names_equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string_view> http_head::header(std::string_view name) const
{
    for (const http_header& field : headers) {
        if (header_names_equal(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

std::string_view http_head::header_or(std::string_view name, std::string_view fallback) const
{
    return header(name).value_or(fallback);
}

void http_head::add(std::string name, std::string value)
{
    headers.push_back({std::move(name), std::move(value)});
}

void http_head::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void http_head::remove(std::string_view name)
{
    std::erase_if(headers,
                  [&](const http_header& field) { return header_names_equal(field.name, name); });
}

std::string_view http_head::path() const
{
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

void remove_hop_by_hop_headers(http_head& head, const std::vector<std::string>& end_to_end)
{
    const std::vector<std::string> named = connection_options(head);
    std::erase_if(head.headers, [&](const http_header& field) {
        if (contains_name(hop_by_hop_headers, field.name)) {
            return true;
        }
        return contains_name(named, field.name) && !contains_name(end_to_end, field.name);
    });
}

bool is_printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_printable_byte);
}

std::string printable_text(std::string_view text)
{
    std::string result(text);
    std::replace_if(
        result.begin(), result.end(), [](char byte) { return !is_printable_byte(byte); }, '?');
    return result;
}

std::string request_text(const http_head& head)
{
    fmt::memory_buffer text;
    fmt::format_to(std::back_inserter(text), "{} {} HTTP/1.1\r\n", head.method, head.target);
    append_headers(text, head);
    return fmt::to_string(text);
}

std::string response_text(const http_head& head)
{
    fmt::memory_buffer text;
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", head.status, head.reason);
    append_headers(text, head);
    return fmt::to_string(text);
}

} // namespace cyclamen
