// Tests that an unexpected error in the handling of one event does not end the event loop.

#include "contained_errors.h"
#include "http_client.h"
#include "http_server.h"
#include "kernel.h"
#include "message_socket.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <string>

using namespace cyclamen;

namespace {

constexpr millis patience = 10000ms; // maximum time until an expected event

class contained_errors : public testing::Test {
protected:
    // Runs the event loop until `holds` is true; returns false if it is not within `patience`.
    bool wait_for(const std::function<bool()>& holds)
    {
        const millis until = core.now() + patience;
        const kernel::timer wake = core.every(5ms, [] {});
        while (!holds()) {
            if (core.now() > until) {
                return false;
            }
            event_base_loop(core.loop(), EVLOOP_ONCE);
        }
        return true;
    }

    // Starts an HTTP server on a free port.
    void serve(const http_server::handler& on_request)
    {
        constexpr std::uint16_t first_port = 21400;
        constexpr std::uint16_t last_port = 21500;
        for (address.port = first_port; !server && address.port <= last_port;) {
            try {
                server = std::make_unique<http_server>(core.loop(), address, http_server_options{},
                                                       on_request);
            }
            catch (const std::runtime_error&) {
                ++address.port;
            }
        }
        ASSERT_TRUE(server);
    }

    kernel core{{.program = "test", .instance = "i1", .random_seed = 1}};
    net_address address{.host = "127.0.0.1", .port = 0};
    std::unique_ptr<http_server> server;
    unsigned calls = 0;
};

} // namespace

TEST_F(contained_errors, in_a_repeated_timer_leave_it_running)
{
    const kernel::timer fails = core.every(1ms, [this] {
        ++calls;
        throw std::runtime_error("timer");
    });
    EXPECT_TRUE(wait_for([this] { return calls >= 3; }));
}

TEST_F(contained_errors, in_a_reload_leave_the_process_running)
{
    core.on_reload = [this] {
        ++calls;
        throw std::runtime_error("reload");
    };
    kill(getpid(), SIGHUP);
    EXPECT_TRUE(wait_for([this] { return calls == 1; }));
}

TEST_F(contained_errors, in_one_message_leave_the_link_open)
{
    const std::string endpoint =
        "ipc://" + testing::TempDir() + "contained_errors." + std::to_string(getpid());
    const auto bound = message_socket::bind(
        core.loop(), core.metrics(), endpoint,
        [this](const std::string& /*route*/, const wire::envelope& /*message*/) {
            ++calls;
            throw std::runtime_error("message");
        });
    const auto peer = message_socket::connect(
        core.loop(), core.metrics(), endpoint, "peer",
        [](const std::string& /*route*/, const wire::envelope& /*message*/) {});
    wire::envelope greeting;
    greeting.mutable_hello()->set_instance("entry-1");
    peer->send({}, greeting);
    peer->send({}, greeting);
    EXPECT_TRUE(wait_for([this] { return calls == 2; }));
}

// Guards against a caller that waits for the response to a request that could not be handled.
TEST_F(contained_errors, in_a_request_are_told_to_its_caller)
{
    serve([this](const std::shared_ptr<http_exchange>& caller) {
        if (++calls == 1) {
            throw std::runtime_error("request");
        }
        caller->reply(200, "text/plain", "served");
    });
    http_fetcher fetcher(core.loop());
    std::vector<int> statuses;
    const auto fetch = [&] {
        fetcher.fetch({.server = address},
                      [&](const http_response& response) { statuses.push_back(response.status); });
    };
    fetch();
    ASSERT_TRUE(wait_for([&] { return statuses.size() == 1; }));
    fetch();
    ASSERT_TRUE(wait_for([&] { return statuses.size() == 2; }));
    EXPECT_EQ(statuses, (std::vector<int>{500, 200}));
}

TEST_F(contained_errors, in_a_response_leave_the_next_call_unharmed)
{
    serve([](const std::shared_ptr<http_exchange>& caller) {
        caller->reply(200, "text/plain", "served");
    });
    http_fetcher fetcher(core.loop());
    fetcher.fetch({.server = address}, [this](const http_response& /*response*/) {
        ++calls;
        throw std::runtime_error("response");
    });
    ASSERT_TRUE(wait_for([this] { return calls == 1; }));
    int status = 0;
    fetcher.fetch({.server = address},
                  [&](const http_response& response) { status = response.status; });
    EXPECT_TRUE(wait_for([&] { return status == 200; }));
}

// Guards against a call that never ends because its owner could not handle a part of the response.
TEST_F(contained_errors, in_a_part_of_a_response_end_its_call)
{
    serve([](const std::shared_ptr<http_exchange>& caller) {
        caller->reply(200, "text/plain", "served");
    });
    std::optional<http_call_result> result;
    const http_call call(
        core.loop(), {.server = address},
        {.on_head = [](int /*status*/, const std::string& /*type*/) {},
         .on_data = [](std::string_view /*data*/) { throw std::runtime_error("part"); },
         .on_end = [&](http_call_result end) { result = end; }});
    ASSERT_TRUE(wait_for([&] { return result.has_value(); }));
    EXPECT_EQ(*result, http_call_result::lost);
}
