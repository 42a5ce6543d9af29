#include "net_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

namespace cyclamen {

std::optional<net_address> net_address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, port);
    if (error != std::errc() || stop != end || port == 0 || digits.front() == '0') {
        return std::nullopt;
    }
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    if (inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), binary.data()) != 1) {
        return std::nullopt;
    }
    return net_address{.host = std::move(host), .port = port};
}

std::string net_address::text() const
{
    const bool bracketed = host.find(':') != std::string::npos;
    return bracketed ? fmt::format("[{}]:{}", host, port) : fmt::format("{}:{}", host, port);
}

} // namespace cyclamen
