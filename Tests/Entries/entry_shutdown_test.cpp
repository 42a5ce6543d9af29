// Tests what callers see of a program that stops gracefully while its event loop is busy.

#include "caller_server.h"
#include "configuration_feed.h"
#include "entry_dispatcher.h"
#include "hashing.h"
#include "http_server.h"
#include "instance_directory.h"
#include "kernel.h"
#include "operator_server.h"
#include "service.h"
#include "status_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
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
    const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                       getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    EXPECT_TRUE(bound);
    close(probe);
    return ntohs(address.sin_port);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

int connect_to(std::uint16_t port)
{
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    EXPECT_EQ(connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
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

void send_text(int caller, const std::string& text)
{
    EXPECT_EQ(send(caller, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
}

void send_request(int caller, const std::string& path = "/")
{
    send_text(caller, "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
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

// An entry's server for callers, without a platform.
class entry_shutdown_callers : public testing::Test {
protected:
    static constexpr millis stop_grace = 100ms;
    static constexpr millis request_grace = 300ms;

    entry_shutdown_callers() : core({.program = "test", .instance = "i1", .random_seed = 1})
    {
        const net_address nowhere{.host = "127.0.0.1", .port = free_port()};
        core.add(std::make_unique<instance_directory>(core,
                                                      instance_directory_options{.list = nowhere}));
        auto& configuration = core.add(
            std::make_unique<configuration_feed>(core, configuration_feed_options{.log = nowhere}));
        wire::configuration_update update;
        update.set_caught_up(true);
        const nlohmann::json accounts{
            {"ann", {{"credential_sha256", sha256_hex("key")}, {"weight", 1}}}};
        const nlohmann::json services{{"orders", {{"model", false}, {"repeatable", false}}}};
        update.set_snapshot(nlohmann::json{{"snapshot_offset", 1},
                                           {"revision", 1},
                                           {"settled_by", "test"},
                                           {"zones_out", nlohmann::json::object()},
                                           {"drained", nlohmann::json::object()},
                                           {"quarantined", nlohmann::json::object()},
                                           {"services", services},
                                           {"accounts", accounts},
                                           {"commands", nlohmann::json::array()}}
                                .dump());
        configuration.on_update(update);
        core.add(std::make_unique<entry_dispatcher>(core, entry_dispatcher_options{}));
        core.add(std::make_unique<caller_server>(
            core, caller_server_options{.listen = {.host = "127.0.0.1", .port = port},
                                        .stop_grace = stop_grace,
                                        .request_grace = request_grace}));
    }

    void block_loop(millis duration) const
    {
        const millis until = core.now() + duration;
        while (core.now() < until) {
            // busy
        }
    }

    std::uint16_t port = free_port();
    kernel core;
};

// Makes the state dump larger than the buffers of a connection.
class large_state : public service {
public:
    std::string_view name() const override { return "large"; }
    void start() override {}
    nlohmann::json describe() const override { return std::string(size, 'x'); }

    static constexpr std::size_t size = 32U << 20U;
};

// Stops a program after it has received a request for its state dump, and only then reads the
// response, which is returned.
std::string read_state_after_stop(kernel& core, std::uint16_t port, const std::string& headers)
{
    int caller = -1;
    std::string response;
    kernel::timer stop;
    kernel::timer reads;
    const kernel::timer connects = core.after(1ms, [&] {
        caller = connect_to(port);
        send_text(caller, "GET /state HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
        stop = core.every(1ms, [&] {
            char first = 0;
            if (recv(caller, &first, 1, MSG_DONTWAIT | MSG_PEEK) != 1) {
                return;
            }
            stop = kernel::timer();
            core.stop();
            reads = core.after(
                200ms, [&] { reads = core.every(1ms, [&] { response += receive(caller); }); });
        });
    });
    EXPECT_EQ(core.run(), 0);
    response += receive(caller);
    close(caller);
    return response;
}

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

// Guards against a lost request: the process exited at the end of the grace while the rest of a
// request was on its way.
TEST_F(entry_shutdown_callers, get_a_response_if_they_send_a_request_slowly_after_the_grace)
{
    int caller = -1;
    kernel::timer rest;
    kernel::timer first;
    const kernel::timer stop = core.after(1ms, [&] {
        caller = connect_to(port);
        core.stop();
        first = core.after(stop_grace - 10ms, [&] {
            send_text(caller, "GET /healthz HTTP/1.1\r\n");
            rest = core.after(100ms, [&] { send_text(caller, "Host: a\r\n\r\n"); });
        });
    });
    EXPECT_EQ(core.run(), 0);
    const std::string response = receive(caller);
    close(caller);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
    EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos) << response;
}

// Guards against reset connections: the listener stayed open until the process exited with the
// connections that waited in its queue.
TEST_F(entry_shutdown_callers, are_accepted_or_refused_when_the_grace_has_passed)
{
    int waiting = -1;
    int late = -1;
    kernel::timer connects_again;
    const kernel::timer stop = core.after(1ms, [&] {
        core.stop();
        block_loop(stop_grace + 20ms);
        waiting = connect_to(port);
        send_request(waiting, "/healthz");
        connects_again = core.after(100ms, [&] {
            late = socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = loopback(port);
            EXPECT_NE(connect(late, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
                      0);
            EXPECT_EQ(errno, ECONNREFUSED);
        });
    });
    EXPECT_EQ(core.run(), 0);
    EXPECT_NE(late, -1) << "the process exited without waiting for quiet connections";
    const std::string response = receive(waiting);
    close(waiting);
    close(late);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
}

// Guards against a process that never exits: a caller that sends a request byte by byte.
TEST_F(entry_shutdown_callers, cannot_keep_the_process_from_its_exit)
{
    int caller = -1;
    kernel::timer drip;
    const kernel::timer stop = core.after(1ms, [&] {
        caller = connect_to(port);
        send_text(caller, "GET /healthz HTTP/1.1\r\nA: ");
        core.stop();
        drip = core.every(50ms, [&] { send_text(caller, "a"); });
    });
    EXPECT_EQ(core.run(), 0);
    close(caller);
}

// Guards against a truncated response: the process exited while a reply of the operators' server
// was being sent.
TEST(entry_shutdown, finishes_the_replies_of_the_server_for_operators)
{
    const std::uint16_t port = free_port();
    kernel core({.program = "test", .instance = "i1", .random_seed = 1});
    core.add(std::make_unique<large_state>());
    core.add(std::make_unique<operator_server>(
        core, operator_server_options{.listen = {.host = "127.0.0.1", .port = port},
                                      .credentials = {{"ann", sha256_hex("key")}}}));
    const std::string response = read_state_after_stop(core, port, "Authorization: Bearer key\r\n");
    EXPECT_GT(response.size(), large_state::size);
}

// Guards against a truncated response: the process exited while a reply of the status server was
// being sent.
TEST(entry_shutdown, finishes_the_replies_of_the_status_server)
{
    const std::uint16_t port = free_port();
    kernel core({.program = "test", .instance = "i1", .random_seed = 1});
    core.add(std::make_unique<large_state>());
    core.add(std::make_unique<status_server>(
        core, status_server_options{.readiness = {.host = "127.0.0.1", .port = free_port()},
                                    .readiness_path = "/ready",
                                    .metrics = {.host = "127.0.0.1", .port = port},
                                    .ready = [] { return true; }}));
    const std::string response = read_state_after_stop(core, port, "");
    EXPECT_GT(response.size(), large_state::size);
}

// Guards against a lost error event: the connection was freed with the bytes that had been queued
// before the response was aborted.
TEST(entry_shutdown, delivers_what_was_written_before_a_response_is_aborted)
{
    const std::uint16_t port = free_port();
    kernel core({.program = "test", .instance = "i1", .random_seed = 1});
    http_server server(core.loop(), {.host = "127.0.0.1", .port = port}, {},
                       [](const std::shared_ptr<http_exchange>& caller) {
                           caller->begin_stream(http_ok, "text/event-stream");
                           caller->write("data: {}\n\n");
                           caller->abort();
                           EXPECT_TRUE(caller->closed());
                       });
    int caller = -1;
    std::string response;
    kernel::timer reads;
    const kernel::timer connects = core.after(1ms, [&] {
        caller = connect_to(port);
        send_request(caller);
        reads = core.every(1ms, [&] {
            response += receive(caller);
            char next = 0;
            if (recv(caller, &next, 1, MSG_DONTWAIT | MSG_PEEK) == 0) {
                reads = kernel::timer();
                core.stop();
            }
        });
    });
    EXPECT_EQ(core.run(), 0);
    close(caller);
    EXPECT_TRUE(response.ends_with("data: {}\n\n\r\n")) << response;
    EXPECT_EQ(server.open_requests(), 0U);
}

// Guards against a request without an answer: a request that did not end kept the process alive
// until it was killed.
TEST_F(entry_shutdown_callers, learn_that_the_process_exits_before_their_request_ends)
{
    int caller = -1;
    kernel::timer stop;
    const millis begun = core.now();
    const kernel::timer connects = core.after(1ms, [&] {
        caller = connect_to(port);
        // No agent serves it, so it stays open until its deadline.
        send_text(caller, "POST /services/orders/x HTTP/1.1\r\nHost: a\r\n"
                          "Authorization: Bearer key\r\nX-Deadline-Ms: 20000\r\n"
                          "Content-Length: 0\r\n\r\n");
        stop = core.after(20ms, [&] { core.stop(); });
    });
    EXPECT_EQ(core.run(), 0);
    EXPECT_LT(core.now() - begun, 15000ms) << "the process waited for the deadline";
    const std::string response = receive(caller);
    close(caller);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response;
    EXPECT_NE(response.find("\"outcome\":\"unknown\""), std::string::npos) << response;
    EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos) << response;
}
