// Tests what an agent reports of answers whose end or head proves nothing.

#include "agent_server.h"
#include "configuration_feed.h"
#include "instance_directory.h"
#include "message_socket.h"
#include "peer_exchange.h"
#include "relay_harness.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <array>

using namespace cyclamen;

namespace {

constexpr millis patience = 10000ms; // maximum time until an expected event

// An agent whose backend server and entry are operated by the test.
class agent_answers : public testing::TestWithParam<std::string> {
protected:
    agent_answers()
    {
        const net_address nowhere{.host = "127.0.0.1", .port = 1};
        core.add(std::make_unique<instance_directory>(core,
                                                      instance_directory_options{.list = nowhere}))
            .start();
        core.add(std::make_unique<configuration_feed>(core,
                                                      configuration_feed_options{.log = nowhere}))
            .start();
        core.add(std::make_unique<peer_exchange>(
                     core, peer_exchange_options{.endpoint = "ipc://" + endpoint}))
            .start();
        core.add(std::make_unique<agent_server>(
                     core, agent_server_options{.core = {.instance = "desk-1", .service = "orders"},
                                                .backend = {.backend = {.host = "127.0.0.1",
                                                                        .port = shop.port()}}}))
            .start();
        entry = message_socket::connect(
            core.loop(), core.metrics(), "ipc://" + endpoint, "entry-1",
            [this](const std::string& /*route*/, const wire::envelope& message) {
                if (message.has_welcome()) {
                    incarnation = message.welcome().incarnation();
                }
                if (message.has_answer_part()) {
                    parts.push_back(message.answer_part());
                }
            });
        wire::envelope greeting;
        greeting.mutable_hello()->set_instance("entry-1");
        greeting.mutable_hello()->set_incarnation(1);
        greeting.mutable_hello()->set_next_sequence(1);
        greeting.mutable_hello()->set_sent_at_ms(static_cast<std::uint64_t>(core.now().count()));
        entry->send({}, greeting);
    }

    // Runs the event loop until `holds` is true; returns false if it is not within `patience`.
    // Answers the health probes meanwhile.
    bool wait_for(const std::function<bool()>& holds)
    {
        const millis until = core.now() + patience;
        const kernel::timer wake = core.every(5ms, [] {});
        while (!holds()) {
            if (core.now() > until) {
                return false;
            }
            event_base_loop(core.loop(), EVLOOP_ONCE);
            shop.poll();
            for (; handled < shop.requests(); ++handled) {
                if (shop.request(handled).starts_with("GET /health")) {
                    ++probes;
                    shop.respond(handled, health);
                    shop.close(handled);
                }
                else {
                    run = handled;
                }
            }
        }
        return true;
    }

    // Lets the backend server answer a request with `response` and close the connection.
    void run_with(const std::string& response)
    {
        ASSERT_TRUE(wait_for([&] { return incarnation != 0 && probes > 0; }));
        wire::envelope message;
        wire::dispatch& body = *message.mutable_dispatch();
        name_attempt(body, {.entry_incarnation = 1, .sequence = 1, .attempt = 1});
        body.set_agent_incarnation(incarnation);
        body.set_service("orders");
        body.set_method("GET");
        body.set_path("/x");
        body.set_repeat(wire::idempotent);
        body.set_sent_at_ms(static_cast<std::uint64_t>(core.now().count()));
        body.set_deadline_ms(60000);
        entry->send({}, std::move(message));
        ASSERT_TRUE(wait_for([&] { return run.has_value(); }));
        shop.respond(*run, response);
        shop.close(*run);
        ASSERT_TRUE(wait_for([&] { return !parts.empty() && parts.back().end() != wire::more; }));
    }

    const std::string endpoint = testing::TempDir() + "agent_answers." + std::to_string(getpid());
    kernel core{{.program = "test", .instance = "desk-1", .random_seed = 1}};
    scripted_backend shop;
    std::string health = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    std::unique_ptr<message_socket> entry;
    std::uint64_t incarnation = 0;
    std::vector<wire::answer_part> parts;
    std::size_t handled = 0; // requests of the agent
    unsigned probes = 0;
    std::optional<std::size_t> run; // index of the request that is no probe
};

} // namespace

TEST_F(agent_answers, are_complete_if_their_end_is_marked)
{
    ASSERT_NO_FATAL_FAILURE(run_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    EXPECT_EQ(parts.back().end(), wire::complete);
}

// Guards against a server that counts as down because its health responses have no length.
TEST_F(agent_answers, are_served_although_health_responses_end_with_their_connection)
{
    health = "HTTP/1.1 200 OK\r\n\r\n{}";
    ASSERT_NO_FATAL_FAILURE(run_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    EXPECT_EQ(parts.back().end(), wire::complete);
}

class agent_answers_without_proof : public agent_answers {};

// Guards against an answer that the backend server broke off and that is recorded and passed on as
// complete.
TEST_P(agent_answers_without_proof, are_reported_as_lost)
{
    ASSERT_NO_FATAL_FAILURE(run_with(GetParam()));
    EXPECT_EQ(parts.back().end(), wire::failed_maybe_run);
    EXPECT_FALSE(parts.back().crashed_backend());
}

INSTANTIATE_TEST_SUITE_P(
    responses, agent_answers_without_proof,
    testing::Values("HTTP/1.1 200 OK\r\n\r\nhalf",                    // may be whole or not
                    "HTTP/1.1 200 OK\r\nContent-Le",                  // ends inside its head
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",       // ends before its body
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha", // ends inside its body
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"));
