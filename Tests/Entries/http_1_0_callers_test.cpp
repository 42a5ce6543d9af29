// Tests how a streamed response ends for a caller that uses HTTP/1.0: it is delimited by the end of
// the connection.

#include "http_server.h"
#include "kernel.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

using namespace cyclamen;

namespace {

class http_1_0_callers : public testing::Test {
protected:
    void SetUp() override
    {
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr*>(&address), size), 0);
        EXPECT_EQ(getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size), 0);
        close(probe);
        server = std::make_unique<http_server>(
            core.loop(), net_address{.host = "127.0.0.1", .port = ntohs(address.sin_port)},
            http_server_options{}, [this](const auto& request) { exchange = request; });
        caller = ::socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }
    void TearDown() override { close(caller); }

    bool run_until(const std::function<bool()>& holds)
    {
        const millis until = core.now() + 5000ms;
        const kernel::timer wake = core.every(5ms, [] {});
        while (!holds() && core.now() < until) {
            event_base_loop(core.loop(), EVLOOP_ONCE);
            read_response();
        }
        return holds();
    }

    void read_response()
    {
        std::array<char, 4096> buffer{};
        while (!ended) {
            const ssize_t length = recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (length < 0 && errno == EAGAIN) {
                return;
            }
            if (length <= 0) {
                ended = true;
                was_reset = length < 0 && errno == ECONNRESET;
                return;
            }
            received.append(buffer.data(), static_cast<std::size_t>(length));
        }
    }

    void begin_response(const std::string& version)
    {
        const std::string request = "GET /x HTTP/" + version + "\r\nHost: h\r\n\r\n";
        EXPECT_EQ(send(caller, request.data(), request.size(), 0),
                  static_cast<ssize_t>(request.size()));
        ASSERT_TRUE(run_until([&] { return exchange != nullptr; }));
        exchange->begin_stream(200, "text/event-stream");
        exchange->write("data: part\n\n");
        ASSERT_TRUE(run_until([&] { return received.find("data: part") != std::string::npos; }));
    }

    kernel core{{.program = "test", .instance = "test"}};
    sockaddr_in address{};
    std::unique_ptr<http_server> server;
    std::shared_ptr<http_exchange> exchange;
    int caller = -1;
    std::string received;
    bool ended = false;
    bool was_reset = false;
};

} // namespace

// Guards against a part of a response that looks whole, because its connection ends in order.
TEST_F(http_1_0_callers, see_that_a_response_was_broken_off)
{
    begin_response("1.0");
    EXPECT_EQ(received.find("chunked"), std::string::npos);
    exchange->abort();
    ASSERT_TRUE(run_until([&] { return ended; }));
    EXPECT_TRUE(was_reset);
}

// The same when the process ends, which closes its sockets without a call of the server.
TEST_F(http_1_0_callers, see_that_the_process_has_ended)
{
    begin_response("1.0");
    server.reset();
    ASSERT_TRUE(run_until([&] { return ended; }));
    EXPECT_TRUE(was_reset);
}

TEST_F(http_1_0_callers, get_a_whole_response_in_order)
{
    begin_response("1.0");
    exchange->write("data: end\n\n");
    exchange->end_stream();
    ASSERT_TRUE(run_until([&] { return ended; }));
    EXPECT_FALSE(was_reset);
    EXPECT_TRUE(received.ends_with("data: part\n\ndata: end\n\n")) << received;
}

// Chunks show the end, and the connection carries further requests.
TEST_F(http_1_0_callers, differ_from_those_of_http_1_1)
{
    begin_response("1.1");
    exchange->end_stream();
    ASSERT_TRUE(run_until([&] { return received.ends_with("0\r\n\r\n"); }));
    EXPECT_FALSE(ended);
}
