// Tests what the callers of an entry get when an agent's answer is not whole.

#include "agent_job.h"
#include "caller_server.h"
#include "configuration_feed.h"
#include "entry_dispatcher.h"
#include "hashing.h"
#include "http_server.h"
#include "instance_directory.h"
#include "message_socket.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <deque>
#include <string>

using namespace cyclamen;

namespace {

constexpr millis patience = 10000ms; // maximum time until an expected event
constexpr unsigned http_ok = 200;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

std::uint16_t free_port()
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                       getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    EXPECT_TRUE(bound);
    ::close(probe);
    return ntohs(address.sin_port);
}

net_address free_address()
{
    return {.host = "127.0.0.1", .port = free_port()};
}

// An agent that the test operates.
struct scripted_agent {
    net_address address = free_address();
    std::uint64_t incarnation = 0;
    std::unique_ptr<message_socket> socket;
    std::string route; // of the entry
    std::vector<wire::dispatch> requests;

    void on_message(const std::string& from, const wire::envelope& message)
    {
        route = from;
        if (message.has_hello()) {
            wire::envelope welcome;
            welcome.mutable_welcome()->set_incarnation(incarnation);
            socket->send(from, std::move(welcome));
        }
        if (message.has_dispatch()) {
            requests.push_back(message.dispatch());
        }
    }

    // Sends the start of an answer, or all of it if `end` is `complete`, to the latest request.
    void answer(const std::string& data, const std::string& content_type, wire::answer_end end)
    {
        wire::answer_part part;
        part.set_data(data);
        part.set_status(http_ok);
        part.set_content_type(content_type);
        part.set_end(end);
        part.set_total_length(data.size());
        send(std::move(part));
    }

    void fail()
    {
        wire::answer_part part;
        part.set_end(wire::failed_maybe_run);
        send(std::move(part));
    }

    void send(wire::answer_part part)
    {
        *part.mutable_id() = requests.back().id();
        part.set_attempt(requests.back().attempt());
        wire::envelope message;
        *message.mutable_answer_part() = std::move(part);
        socket->send(route, std::move(message));
    }
};

// An entry with two agents of a model and two of a plain service.
class entry_answers : public testing::Test {
protected:
    entry_answers()
    {
        auto rows = nlohmann::json::array();
        for (scripted_agent& agent : agents) {
            agent.incarnation = rows.size() + 1;
            agent.socket = message_socket::bind(
                core.loop(), core.metrics(), "tcp://" + agent.address.text(),
                [&agent](const std::string& route, const wire::envelope& message) {
                    agent.on_message(route, message);
                });
            rows.push_back({{"name", fmt::format("agent-{}", agent.incarnation)},
                            {"role", "agent"},
                            {"availability_zone", "zone-a"},
                            {"service", agent.incarnation <= 2 ? "model" : "orders"},
                            {"address", agent.address.text()}});
        }
        const net_address list_address = free_address();
        list = std::make_unique<http_server>(core.loop(), list_address, http_server_options{},
                                             [text = nlohmann::json{{"instances", rows}}.dump()](
                                                 const std::shared_ptr<http_exchange>& caller) {
                                                 caller->reply(http_ok, "application/json", text);
                                             });
        auto& directory = core.add(std::make_unique<instance_directory>(
            core, instance_directory_options{.list = list_address}));
        auto& configuration = core.add(std::make_unique<configuration_feed>(
            core, configuration_feed_options{.log = free_address()}));
        auto& dispatcher =
            core.add(std::make_unique<entry_dispatcher>(core, entry_dispatcher_options{}));
        auto& callers = core.add(std::make_unique<caller_server>(
            core, caller_server_options{.listen = {.host = "127.0.0.1", .port = port}}));
        directory.start();
        configuration.start();
        dispatcher.start();
        callers.start();
        configuration.on_update(snapshot());
        EXPECT_TRUE(wait_for([&] {
            return directory.instances().size() == agents.size() && configuration.caught_up();
        }));
    }
    entry_answers(const entry_answers&) = delete;
    entry_answers& operator=(const entry_answers&) = delete;
    ~entry_answers() override
    {
        if (caller >= 0) {
            ::close(caller);
        }
    }

    static wire::configuration_update snapshot()
    {
        const nlohmann::json accounts{
            {"ann", {{"credential_sha256", sha256_hex("key")}, {"weight", 1}}}};
        const nlohmann::json services{{"orders", {{"model", false}, {"repeatable", true}}},
                                      {"model", {{"model", true}, {"repeatable", true}}}};
        wire::configuration_update update;
        update.set_caught_up(true);
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
        return update;
    }

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
            receive();
        }
        return true;
    }

    void receive()
    {
        std::array<char, 65536> buffer{};
        const ssize_t count =
            caller < 0 ? -1 : recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
        ended = ended || count == 0;
    }

    void send(const std::string& request_line, const std::string& body)
    {
        caller = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(port);
        ASSERT_EQ(connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
        const std::string text = fmt::format(
            "{} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nConnection: close\r\n"
            "Content-Length: {}\r\n\r\n{}",
            request_line, body.size(), body);
        ASSERT_EQ(::send(caller, text.data(), text.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(text.size()));
    }

    // Sends a chat whose answer is streamed.
    void send_chat()
    {
        send("POST /v1/chat/completions",
             R"({"model":"model","stream":true,"messages":[{"role":"user","content":"x"}]})");
    }

    // Waits for request number `count` at any agent and returns that agent.
    scripted_agent& receiver_of(std::size_t count)
    {
        std::vector<std::size_t> before;
        for (const scripted_agent& agent : agents) {
            before.push_back(agent.requests.size());
        }
        std::size_t at = 0;
        EXPECT_TRUE(wait_for([&] {
            std::size_t sum = 0;
            for (std::size_t index = 0; index < agents.size(); ++index) {
                sum += agents[index].requests.size();
                at = agents[index].requests.size() > before[index] ? index : at;
            }
            return sum == count;
        }));
        return agents[at];
    }

    kernel core{{.program = "test", .instance = "entry-1", .random_seed = 1}};
    std::uint16_t port = free_port();
    std::array<scripted_agent, 4> agents;
    std::unique_ptr<http_server> list;
    int caller = -1;
    std::string received;
    bool ended = false;
};

const std::string event_stream = "text/event-stream";

} // namespace

// Guards against an answer that holds the bytes of two attempts.
TEST_F(entry_answers, holds_only_the_bytes_of_the_attempt_that_was_answered)
{
    ASSERT_NO_FATAL_FAILURE(send("GET /services/orders/x", ""));
    scripted_agent& first = receiver_of(1);
    first.answer("half of the fir", "text/first", wire::more);
    first.fail();
    receiver_of(2).answer("second", "text/second", wire::complete);
    ASSERT_TRUE(wait_for([&] { return ended; }));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\nsecond")) << received;
    EXPECT_NE(received.find("text/second"), std::string::npos) << received;
}

// Guards against an answer that goes on with that of another attempt after its caller got a part.
TEST_F(entry_answers, are_not_continued_once_a_part_has_reached_the_caller)
{
    ASSERT_NO_FATAL_FAILURE(send_chat());
    scripted_agent& first = receiver_of(1);
    first.answer("data: a\n\n", event_stream, wire::more);
    ASSERT_TRUE(wait_for([&] { return received.find("data: a") != std::string::npos; }));
    first.fail();
    ASSERT_TRUE(wait_for([&] { return ended; }));
    EXPECT_EQ(received.find("\r\n0\r\n"), std::string::npos) << received;
    EXPECT_NE(received.find("data: {\"error\""), std::string::npos) << received;
}

// Guards against the text of an error inside an event that the server broke off.
TEST_F(entry_answers, get_no_error_event_inside_another_event)
{
    ASSERT_NO_FATAL_FAILURE(send_chat());
    scripted_agent& agent = receiver_of(1);
    agent.answer("data: a\n\ndata: hal", event_stream, wire::more);
    ASSERT_TRUE(wait_for([&] { return received.find("data: hal") != std::string::npos; }));
    agent.fail();
    ASSERT_TRUE(wait_for([&] { return ended; }));
    EXPECT_EQ(received.find("error"), std::string::npos) << received;
    EXPECT_EQ(received.find("\r\n0\r\n"), std::string::npos) << received;
}

// Guards against the same inside an answer that is no event stream.
TEST_F(entry_answers, get_no_error_event_inside_another_document)
{
    ASSERT_NO_FATAL_FAILURE(send_chat());
    scripted_agent& agent = receiver_of(1);
    agent.answer("{\"begin\":\n\n", "application/json", wire::more);
    ASSERT_TRUE(wait_for([&] { return received.find("begin") != std::string::npos; }));
    agent.fail();
    ASSERT_TRUE(wait_for([&] { return ended; }));
    EXPECT_EQ(received.find("error"), std::string::npos) << received;
    EXPECT_EQ(received.find("\r\n0\r\n"), std::string::npos) << received;
}

// Guards against a request that waits for its deadline because no agent can read its message.
TEST_F(entry_answers, reject_a_path_that_messages_cannot_carry)
{
    ASSERT_NO_FATAL_FAILURE(send("GET /services/orders/\xff", ""));
    ASSERT_TRUE(wait_for([&] { return ended; }));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 400")) << received;
}

// Guards against a refusal that says of a request which has run that it has not.
TEST_F(entry_answers, that_are_too_large_are_no_promise_that_the_request_has_not_run)
{
    const std::string half(5000000, 'x');
    ASSERT_NO_FATAL_FAILURE(send("GET /services/orders/x", ""));
    scripted_agent& agent = receiver_of(1);
    agent.answer(half, "text/plain", wire::more);
    wire::answer_part last;
    last.set_offset(half.size());
    last.set_data(half);
    last.set_end(wire::complete);
    last.set_total_length(2 * half.size());
    agent.send(std::move(last));
    ASSERT_TRUE(wait_for([&] { return ended; }));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received.substr(0, 200);
}
