#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamen {

/// IP address and TCP port.
struct net_address {
    std::string host;
    std::uint16_t port = 0;

    /// Parses `IPv4:PORT` or `[IPv6]:PORT`. Returns nullopt for host names, port 0 and other
    /// texts.
    static std::optional<net_address> parse(std::string_view text);

    /// Returns `IPv4:PORT` or `[IPv6]:PORT`.
    std::string text() const;
    /// Returns the ZeroMQ endpoint, `tcp://IP:PORT`.
    std::string endpoint() const { return "tcp://" + text(); }
};

} // namespace cyclamen
