#pragma once

#include "net_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string_view>

namespace cyclamen::test {

inline sockaddr_in socket_address(const net_address& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/// A blocking TCP socket, closed when destroyed.
class raw_socket {
public:
    raw_socket() : handle_(::socket(AF_INET, SOCK_STREAM, 0)) {}
    explicit raw_socket(int handle) : handle_(handle) {}
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    ~raw_socket()
    {
        if (handle_ >= 0) {
            ::close(handle_);
        }
    }

    int handle() const { return handle_; }
    bool connect(const net_address& to) const
    {
        const sockaddr_in address = socket_address(to);
        return ::connect(handle_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    }
    bool listen(const net_address& at) const
    {
        const int on = 1;
        setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = socket_address(at);
        constexpr int backlog = 1024;
        return bind(handle_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
               ::listen(handle_, backlog) == 0;
    }
    bool send(std::string_view text) const
    {
        while (!text.empty()) {
            const ssize_t sent = ::send(handle_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

private:
    int handle_;
};

} // namespace cyclamen::test
