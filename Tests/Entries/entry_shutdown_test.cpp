// Tests what callers see of a program that stops gracefully while its event loop is busy.

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace cyclamen;

namespace {

constexpr int http_ok = 200;

std::uint16_t free_port()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(probe, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

int connect_to(std::uint16_t port)
{
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    EXPECT_EQ(connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return caller;
}

// A service with an HTTP server, idle while no request is open.
class echo_service : public service {
public:
    echo_service(kernel& core, std::uint16_t port)
        : server_(core.loop(), {.host = "127.0.0.1", .port = port}, {},
                  [](const std::shared_ptr<http_exchange>& caller) {
                      caller->reply(http_ok, "text/plain", "served");
                  })
    {
    }

    std::string_view name() const override { return "echo"; }
    void start() override {}
    bool idle() const override { return server_.open_requests() == 0; }
    nlohmann::json describe() const override { return {}; }

private:
    http_server server_;
};

std::string receive(int caller)
{
    std::string received;
    char buffer[65536];
    for (;;) {
        const ssize_t count = recv(caller, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count <= 0) {
            return received;
        }
        received.append(buffer, static_cast<std::size_t>(count));
    }
}

void send_request(int caller, const std::string& path = "/")
{
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_EQ(send(caller, request.data(), request.size(), 0),
              static_cast<ssize_t>(request.size()));
}

// Answers a request once the stop has begun.
class late_service : public service {
public:
    late_service(kernel& core, std::uint16_t port, bool streams)
        : server_(core.loop(), {.host = "127.0.0.1", .port = port}, {},
                  [this, &core](const std::shared_ptr<http_exchange>& caller) {
                      open_ = caller;
                      core.stop();
                  }),
          streams_(streams)
    {
    }

    std::string_view name() const override { return "late"; }
    void start() override {}
    void begin_stop() override
    {
        server_.begin_stop();
        if (streams_) {
            open_->begin_stream(http_ok, "text/plain");
            open_->write("served");
            open_->end_stream();
        }
        else {
            open_->reply(http_ok, "text/plain", "served");
        }
    }
    bool idle() const override { return server_.open_requests() == 0; }
    nlohmann::json describe() const override { return {}; }

private:
    http_server server_;
    std::shared_ptr<http_exchange> open_;
    bool streams_;
};

class entry_shutdown_responses : public testing::TestWithParam<bool> {};

} // namespace

// Guards against a lost request on a connection that closes without notice: the response to a
// request that arrived before the stop did not announce the close.
TEST_P(entry_shutdown_responses, announce_the_close_if_they_begin_after_the_stop)
{
    const std::uint16_t port = free_port();
    kernel core({.program = "test", .instance = "i1", .random_seed = 1});
    core.add(std::make_unique<late_service>(core, port, GetParam()));
    int caller = -1;
    const kernel::timer request = core.after(1ms, [&] {
        caller = connect_to(port);
        send_request(caller);
    });
    EXPECT_EQ(core.run(), 0);
    const std::string response = receive(caller);
    close(caller);
    EXPECT_NE(response.find("served"), std::string::npos) << response;
    EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos) << response;
}

INSTANTIATE_TEST_SUITE_P(kinds, entry_shutdown_responses, testing::Bool(),
                         [](const testing::TestParamInfo<bool>& kind) {
                             return kind.param ? "streamed" : "whole";
                         });

// Guards against a lost request: the process exited in the iteration in which it accepted a
// connection whose request had already arrived.
TEST(entry_shutdown, answers_a_request_that_arrived_before_the_idle_check)
{
    const std::uint16_t port = free_port();
    kernel core({.program = "test", .instance = "i1", .random_seed = 1});
    core.add(std::make_unique<echo_service>(core, port));
    int caller = -1;
    const kernel::timer stop = core.after(1ms, [&] {
        core.stop();
        caller = connect_to(port);
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        EXPECT_EQ(send(caller, request.data(), request.size(), 0),
                  static_cast<ssize_t>(request.size()));
        const millis until = core.now() + 60ms;
        while (core.now() < until) {
            // busy
        }
    });
    EXPECT_EQ(core.run(), 0);
    char buffer[1024];
    const ssize_t count = recv(caller, buffer, sizeof(buffer), MSG_DONTWAIT);
    close(caller);
    ASSERT_GT(count, 0) << "the process exited without a response";
    EXPECT_TRUE(std::string(buffer, static_cast<std::size_t>(count)).ends_with("served"));
}
