#include "relay_harness.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <stdexcept>

using namespace cyclamen;

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

int listen_on_free_port(std::uint16_t& port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    if (bind(socket, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        listen(socket, 64) != 0 ||
        getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
        throw std::runtime_error("no loopback port is free");
    }
    port = ntohs(address.sin_port);
    return socket;
}

std::uint16_t free_port()
{
    std::uint16_t port = 0;
    ::close(listen_on_free_port(port));
    return port;
}

// Appends all available bytes to `text`; returns true if the peer has closed the connection.
bool read_into(int socket, std::string& text)
{
    std::array<char, 65536> part{};
    while (true) {
        errno = 0;
        const ssize_t count = recv(socket, part.data(), part.size(), MSG_DONTWAIT);
        if (count > 0) {
            text.append(part.data(), static_cast<std::size_t>(count));
            continue;
        }
        return count == 0 || (errno != EAGAIN && errno != EINTR);
    }
}

void write_all(int socket, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t count = ::send(socket, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return; // the peer has closed the connection; the test checks for that itself
        }
        done += static_cast<std::size_t>(count);
    }
}

void reset_socket(int socket)
{
    const struct linger hard {
        .l_onoff = 1, .l_linger = 0
    };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(socket);
}

std::size_t content_length(const std::string& head)
{
    const std::size_t at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

} // namespace

scripted_backend::scripted_backend() : listener_(listen_on_free_port(port_)) {}

scripted_backend::~scripted_backend()
{
    stop_listening();
    for (const connection_state& row : connections_) {
        if (row.socket >= 0) {
            ::close(row.socket);
        }
    }
}

void scripted_backend::stop_listening()
{
    if (listener_ >= 0) {
        ::close(listener_);
        listener_ = -1;
    }
}

void scripted_backend::poll()
{
    while (listener_ >= 0) {
        const int socket = accept(listener_, nullptr, nullptr);
        if (socket < 0) {
            break;
        }
        connections_.push_back({.socket = socket});
    }
    for (std::size_t index = 0; reading_ && index < connections_.size(); ++index) {
        connection_state& row = connections_[index];
        if (row.socket >= 0 && !row.ended) {
            row.ended = read_into(row.socket, row.unread);
            row.reset = row.ended && errno == ECONNRESET;
            parse_requests(index);
        }
    }
    for (connection_state& row : connections_) {
        write_repeated(row);
    }
}

void scripted_backend::write_repeated(connection_state& row)
{
    while (row.socket >= 0 && !row.ended && row.bytes_left > 0) {
        const std::size_t offset = row.bytes_repeated % row.repeated.size();
        const std::size_t size = std::min(row.repeated.size() - offset, row.bytes_left);
        const ssize_t count =
            ::send(row.socket, row.repeated.data() + offset, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0) {
            return; // the relay has not read the bytes before, or has closed the connection
        }
        row.bytes_repeated += static_cast<std::size_t>(count);
        row.bytes_left -= static_cast<std::size_t>(count);
    }
}

void scripted_backend::parse_requests(std::size_t index)
{
    std::string& unread = connections_[index].unread;
    while (true) {
        const std::size_t head_end = unread.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            return;
        }
        const std::size_t whole = head_end + 4 + content_length(unread.substr(0, head_end));
        if (unread.size() < whole) {
            return;
        }
        requests_.push_back(unread.substr(0, whole));
        request_connections_.push_back(index);
        unread.erase(0, whole);
    }
}

std::string scripted_backend::header(std::size_t index, const std::string& name) const
{
    const std::string& text = request(index);
    const std::size_t at = text.find(fmt::format("\r\n{}: ", name));
    if (at == std::string::npos || at > text.find("\r\n\r\n")) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return text.substr(begin, text.find("\r\n", begin) - begin);
}

std::string scripted_backend::body(std::size_t index) const
{
    return request(index).substr(request(index).find("\r\n\r\n") + 4);
}

void scripted_backend::respond(std::size_t index, const std::string& text)
{
    write_all(connections_.at(request_connections_.at(index)).socket, text);
}

void scripted_backend::repeat_response(std::size_t index, const std::string& text,
                                       std::size_t max_bytes)
{
    constexpr std::size_t bytes_per_write = 65536;
    connection_state& row = connections_.at(request_connections_.at(index));
    row.repeated = text;
    while (row.repeated.size() < bytes_per_write) {
        row.repeated += text;
    }
    row.bytes_left = max_bytes;
    row.bytes_repeated = 0;
    write_repeated(row);
}

std::size_t scripted_backend::bytes_repeated(std::size_t index) const
{
    return connections_.at(request_connections_.at(index)).bytes_repeated;
}

void scripted_backend::respond_on_connection(std::size_t connection, const std::string& text)
{
    write_all(connections_.at(connection).socket, text);
}

void scripted_backend::half_close_connection(std::size_t connection)
{
    ::shutdown(connections_.at(connection).socket, SHUT_WR);
}

void scripted_backend::close_connection(std::size_t connection)
{
    ::close(std::exchange(connections_.at(connection).socket, -1));
}

void scripted_backend::close(std::size_t index)
{
    connection_state& row = connections_.at(request_connections_.at(index));
    ::close(std::exchange(row.socket, -1));
}

void scripted_backend::reset(std::size_t index)
{
    connection_state& row = connections_.at(request_connections_.at(index));
    reset_socket(std::exchange(row.socket, -1));
}

bool scripted_backend::closed_by_relay(std::size_t index)
{
    poll();
    return connections_.at(request_connections_.at(index)).ended;
}

bool scripted_backend::reset_by_relay(std::size_t index)
{
    poll();
    return connections_.at(request_connections_.at(index)).reset;
}

scripted_caller::scripted_caller(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    const sockaddr_in address = loopback(port);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        throw std::runtime_error("cannot connect to the relay: it is not listening");
    }
}

scripted_caller::~scripted_caller()
{
    close();
}

void scripted_caller::close()
{
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

void scripted_caller::send(const std::string& text)
{
    unsent_ += text;
    flush();
}

void scripted_caller::flush()
{
    if (socket_ >= 0 && !unsent_.empty()) {
        const ssize_t count =
            ::send(socket_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        unsent_.erase(0, count > 0 ? static_cast<std::size_t>(count) : 0);
    }
}

void scripted_caller::poll()
{
    flush();
    if (socket_ >= 0 && reading_ && !ended_) {
        ended_ = read_into(socket_, received_);
        was_reset_ = ended_ && errno == ECONNRESET;
    }
}

int scripted_caller::status() const
{
    const std::size_t at = received_.rfind("HTTP/1.1 ");
    if (at == std::string::npos || received_.size() < at + 12) {
        return 0;
    }
    return std::stoi(received_.substr(at + 9, 3));
}

// Tests of slow callers choose their own bounds, which are lower.
constexpr std::size_t connection_bytes = 1073741824;

relay_harness::relay_harness(relay_server_options options, relay_state_options state,
                             header_codec codec)
    : port_(free_port()), core_({.program = "relay_harness",
                                 .instance = "test",
                                 .random_seed = 7,
                                 .connection_bytes = connection_bytes})
{
    options.listen = {.host = "127.0.0.1", .port = port_};
    options.chooser.zone = std::string("a");
    state_ = &core_.add(std::make_unique<relay_state>(core_, state));
    relay_ =
        &core_.add(std::make_unique<relay_server>(core_, std::move(options), std::move(codec)));
    state_->start();
    relay_->start();
}

bool relay_harness::wait_for(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < end) {
        event_base_loop(core_.loop(), EVLOOP_NONBLOCK);
        for (const auto& row : backends_) {
            row->poll();
        }
        for (const auto& row : callers_) {
            row->poll();
        }
        if (condition()) {
            return true;
        }
    }
    return false;
}

void relay_harness::run_for(millis time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    wait_for([&] { return std::chrono::steady_clock::now() >= end; });
}

scripted_backend& relay_harness::add_backend(const std::string& id, const std::string& service,
                                             const std::string& zone)
{
    backends_.push_back(std::make_unique<scripted_backend>());
    state_->update_backend({.id = id,
                            .service = service,
                            .address = {.host = "127.0.0.1", .port = backends_.back()->port()},
                            .zone = zone,
                            .slots = 6,
                            .started_at = 1,
                            .sequence = 1});
    return *backends_.back();
}

scripted_caller& relay_harness::add_caller()
{
    callers_.push_back(std::make_unique<scripted_caller>(port_));
    return *callers_.back();
}

void relay_harness::configure(relay_configuration configuration)
{
    state_->confirmed_by_source();
    state_->apply_configuration(std::move(configuration));
    state_->mark_complete();
}

relay_configuration relay_harness::configuration(std::uint64_t version)
{
    const auto route = [](std::string prefix, route_kind kind) {
        return relay_route{.name = fmt::format("r{}", prefix),
                           .host = "h.example",
                           .prefix = std::move(prefix),
                           .kind = kind,
                           .timeout = 3000ms,
                           .target = 400ms,
                           .services = {{"shop", 1}},
                           .max_backends = 2};
    };
    relay_configuration result{.version = version, .keys_required = true};
    result.services["shop"] = {.name = "shop"};
    result.routes = {route("/view/", route_kind::safe),     route("/pay/", route_kind::unsafe),
                     route("/open/", route_kind::safe),     route("/tell/", route_kind::stream),
                     route("/resume/", route_kind::stream), route("/brief/", route_kind::safe)};
    result.routes[2].open = true;
    result.routes[4].resumable = true;
    result.routes[5].timeout = 150ms;
    result.accounts = {{.name = "medlar", .keys = {"k1", "k2"}}, {.name = "foam", .keys = {"k3"}}};
    return result;
}

std::string get(const std::string& path, const std::string& headers)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                       "Authorization: Bearer k1\r\n{}\r\n",
                       path, headers);
}

std::string post(const std::string& path, const std::string& body, const std::string& headers)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                       "Authorization: Bearer k1\r\nContent-Length: {}\r\n{}\r\n{}",
                       path, body.size(), headers, body);
}

std::string response_of(const std::string& id, const std::string& body, int status,
                        const std::string& headers)
{
    return fmt::format("HTTP/1.1 {} Any\r\nAttempt-Id: {}\r\nContent-Length: {}\r\n{}\r\n{}",
                       status, id, body.size(), headers, body);
}
