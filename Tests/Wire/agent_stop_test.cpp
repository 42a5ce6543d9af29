// Tests what entries and agents say to each other when an agent stops gracefully.

#include "agent_server.h"
#include "configuration_feed.h"
#include "entry_dispatcher.h"
#include "http_server.h"
#include "instance_directory.h"
#include "message_socket.h"
#include "peer_exchange.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace cyclamen;

namespace {

constexpr millis patience = 10000ms; // maximum time until an expected event

std::string free_address()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                       getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    EXPECT_TRUE(bound);
    ::close(descriptor);
    return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

net_address parsed(const std::string& address)
{
    return net_address::parse(address).value_or(net_address{});
}

// Runs the event loop until `holds` is true; returns false if it is not within `patience`.
bool run_until(kernel& core, const std::function<bool()>& holds)
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

// The link of an entry to an agent, operated by the test.
class scripted_entry {
public:
    scripted_entry(kernel& core, std::string name, std::uint64_t incarnation,
                   const std::string& address)
        : core_(core), incarnation_(incarnation),
          socket_(message_socket::connect(
              core.loop(), core.metrics(), "tcp://" + address, name,
              [this](const std::string& /*route*/, const wire::envelope& message) {
                  if (message.has_welcome()) {
                      agent_incarnation_ = message.welcome().incarnation();
                  }
                  farewells_ += message.has_farewell() ? 1 : 0;
                  if (message.has_verdict()) {
                      verdict_ = message.verdict();
                  }
              }))
    {
        wire::envelope greeting;
        greeting.mutable_hello()->set_instance(name);
        greeting.mutable_hello()->set_incarnation(incarnation);
        greeting.mutable_hello()->set_next_sequence(1);
        greeting.mutable_hello()->set_sent_at_ms(static_cast<std::uint64_t>(core.now().count()));
        socket_->send({}, greeting);
    }

    void send_request()
    {
        wire::envelope message;
        wire::dispatch& body = *message.mutable_dispatch();
        name_attempt(body, {.entry_incarnation = incarnation_, .sequence = 1, .attempt = 1});
        body.set_agent_incarnation(agent_incarnation_);
        body.set_service("orders");
        body.set_repeat(wire::unkeyed);
        body.set_sent_at_ms(static_cast<std::uint64_t>(core_.now().count()));
        body.set_deadline_ms(60000);
        socket_->send({}, std::move(message));
    }

    void reply_to_farewell()
    {
        wire::envelope message;
        message.mutable_farewell()->set_agent_incarnation(agent_incarnation_);
        socket_->send({}, std::move(message));
    }

    void disconnect() { socket_.reset(); }

    bool welcomed() const { return agent_incarnation_ != 0; }
    unsigned farewells() const { return farewells_; }
    const std::optional<wire::verdict>& verdict() const { return verdict_; }

private:
    kernel& core_;
    std::uint64_t incarnation_;
    std::uint64_t agent_incarnation_ = 0;
    unsigned farewells_ = 0;
    std::optional<wire::verdict> verdict_;
    std::unique_ptr<message_socket> socket_;
};

// An agent whose platform and backend server are not reachable.
class stopping_agent : public testing::Test {
protected:
    void start(unsigned max_silent_ticks = 1000)
    {
        const net_address nowhere = parsed(free_address());
        core.add(std::make_unique<instance_directory>(core,
                                                      instance_directory_options{.list = nowhere}))
            .start();
        core.add(std::make_unique<configuration_feed>(core,
                                                      configuration_feed_options{.log = nowhere}))
            .start();
        core.add(std::make_unique<peer_exchange>(
                     core, peer_exchange_options{.endpoint = "tcp://" + address}))
            .start();
        agent = &core.add(std::make_unique<agent_server>(
            core, agent_server_options{.core = {.instance = "desk-1", .service = "orders"},
                                       .farewells = {.max_silent_ticks = max_silent_ticks},
                                       .backend = {.backend = nowhere}}));
        agent->start();
    }

    scripted_entry& add_entry(const std::string& name)
    {
        scripted_entry& entry = entries.emplace_back(core, name, entries.size() + 1, address);
        EXPECT_TRUE(run_until(core, [&] { return entry.welcomed(); }));
        return entry;
    }

    kernel core{{.program = "test", .instance = "desk-1"}};
    const std::string address = free_address();
    agent_server* agent = nullptr;
    std::deque<scripted_entry> entries;
};

// An entry between two agents, "desk-1" and "desk-2", that the test operates.
class entry_of_stopping_agent : public testing::Test {
protected:
    struct scripted_agent {
        std::string address = free_address();
        std::uint64_t incarnation = 0;
        std::unique_ptr<message_socket> socket;
        std::string route; // of the entry
        std::vector<wire::dispatch> requests;
        unsigned replies = 0; // to farewells

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
            replies += message.has_farewell() ? 1 : 0;
        }

        void send_farewell()
        {
            wire::envelope message;
            message.mutable_farewell()->set_agent_incarnation(incarnation);
            socket->send(route, std::move(message));
        }

        void refuse(const wire::dispatch& request)
        {
            wire::envelope message;
            wire::verdict& body = *message.mutable_verdict();
            *body.mutable_id() = request.id();
            body.set_attempt(request.attempt());
            body.set_kind(wire::refused);
            body.set_reason(wire::stopping);
            body.set_agent_incarnation(incarnation);
            socket->send(route, std::move(message));
        }
    };

    entry_of_stopping_agent()
    {
        auto rows = nlohmann::json::array();
        for (const char* name : {"desk-1", "desk-2"}) {
            scripted_agent& agent = agents[name];
            agent.incarnation = agents.size();
            agent.socket = message_socket::bind(
                core.loop(), core.metrics(), "tcp://" + agent.address,
                [&agent](const std::string& route, const wire::envelope& message) {
                    agent.on_message(route, message);
                });
            rows.push_back({{"name", name},
                            {"role", "agent"},
                            {"availability_zone", "zone-a"},
                            {"service", "orders"},
                            {"address", agent.address}});
        }
        const net_address list_address = parsed(free_address());
        list = std::make_unique<http_server>(core.loop(), list_address, http_server_options{},
                                             [text = nlohmann::json{{"instances", rows}}.dump()](
                                                 const std::shared_ptr<http_exchange>& caller) {
                                                 caller->reply(200, "application/json", text);
                                             });
        auto& directory = core.add(std::make_unique<instance_directory>(
            core, instance_directory_options{.list = list_address}));
        auto& configuration = core.add(std::make_unique<configuration_feed>(
            core, configuration_feed_options{.log = parsed(free_address())}));
        dispatcher =
            &core.add(std::make_unique<entry_dispatcher>(core, entry_dispatcher_options{}));
        directory.start();
        configuration.start();
        dispatcher->start();
        EXPECT_TRUE(run_until(core, [&] { return directory.instances().size() == agents.size(); }));
    }

    void submit()
    {
        entry_request request;
        request.message.set_service("orders");
        request.message.set_repeat(wire::unkeyed);
        request.deadline = core.now() + 60000ms;
        dispatcher->submit(
            std::move(request),
            {.on_head = [](unsigned, const std::string&, bool, const std::string&) {},
             .on_data = [](std::string_view) {},
             .on_end = [this](const entry_result& end) { ended.push_back(end); },
             .committed = [] { return false; },
             .backlog = [] { return std::size_t{0}; }});
    }

    // Submits a request.  The agent that receives it first is the one that stops.
    void submit_to_stopping_agent()
    {
        submit();
        scripted_agent& one = agents.at("desk-1");
        scripted_agent& two = agents.at("desk-2");
        ASSERT_TRUE(
            run_until(core, [&] { return !one.requests.empty() || !two.requests.empty(); }));
        stopping = one.requests.empty() ? &two : &one;
        other = one.requests.empty() ? &one : &two;
    }

    kernel core{{.program = "test", .instance = "entry-1"}};
    std::map<std::string, scripted_agent> agents;
    scripted_agent* stopping = nullptr;
    scripted_agent* other = nullptr;
    std::unique_ptr<http_server> list;
    entry_dispatcher* dispatcher = nullptr;
    std::vector<entry_result> ended;
};

} // namespace

// Guards against an exit while a request is unread in the socket: its caller got `unknown`.
TEST_F(stopping_agent, refuses_a_request_that_is_unread_when_the_last_job_has_ended)
{
    start();
    scripted_entry& entry = add_entry("entry-1");
    entry.send_request();
    agent->begin_stop();
    ASSERT_FALSE(agent->idle()) << "the agent exits with a request unread";
    ASSERT_TRUE(run_until(core, [&] { return entry.verdict().has_value(); }));
    EXPECT_EQ(entry.verdict()->kind(), wire::refused);
    EXPECT_EQ(entry.verdict()->reason(), wire::stopping);
    EXPECT_FALSE(agent->idle()) << "the refusal may be unsent";
    entry.reply_to_farewell();
    EXPECT_TRUE(run_until(core, [&] { return agent->idle(); }));
}

// Guards against an exit after the reply of one entry while another may still send requests.
TEST_F(stopping_agent, awaits_the_reply_of_each_connected_entry)
{
    start();
    scripted_entry& first = add_entry("entry-1");
    scripted_entry& second = add_entry("entry-2");
    agent->begin_stop();
    ASSERT_TRUE(run_until(core, [&] { return first.farewells() > 0 && second.farewells() > 0; }));
    first.reply_to_farewell();
    const unsigned repeated = second.farewells() + 2;
    ASSERT_TRUE(run_until(core, [&] { return second.farewells() >= repeated; }));
    EXPECT_FALSE(agent->idle());
    second.disconnect();
    EXPECT_TRUE(run_until(core, [&] { return agent->idle(); }));
}

// Guards against an exit while an entry that connected during the stop may send requests.
TEST_F(stopping_agent, announces_the_stop_to_entries_that_connect_later)
{
    start();
    agent->begin_stop();
    EXPECT_TRUE(agent->idle());
    scripted_entry& late = add_entry("entry-1");
    ASSERT_TRUE(run_until(core, [&] { return late.farewells() > 0; }));
    EXPECT_FALSE(agent->idle());
    late.reply_to_farewell();
    EXPECT_TRUE(run_until(core, [&] { return agent->idle(); }));
}

// Guards against an exit by the clock alone, after a pause in which replies were not read.
TEST_F(stopping_agent, gives_entries_time_to_reply_after_a_pause_of_its_own)
{
    start(3);
    scripted_entry& entry = add_entry("entry-1");
    agent->begin_stop();
    const millis until = core.now() + 1000ms;
    while (core.now() < until) {
        // busy
    }
    EXPECT_FALSE(agent->idle());
    entry.reply_to_farewell();
    EXPECT_TRUE(run_until(core, [&] { return agent->idle(); }));
}

// Guards against a stop that a frozen entry, or one of an older version, delays without end.
TEST_F(stopping_agent, stops_without_the_reply_of_a_silent_entry)
{
    start(3);
    const scripted_entry& silent = add_entry("entry-1");
    agent->begin_stop();
    EXPECT_FALSE(agent->idle());
    EXPECT_TRUE(run_until(core, [&] { return silent.farewells() > 0 && agent->idle(); }));
    EXPECT_EQ(agent->describe()["farewells_awaited"], nlohmann::json({"entry-1"}));
}

// Guards against a reply, and so the agent's exit, before the entry knows what became of each of
// its requests.
TEST_F(entry_of_stopping_agent, replies_once_it_awaits_nothing_of_the_agent)
{
    ASSERT_NO_FATAL_FAILURE(submit_to_stopping_agent());
    stopping->send_farewell();
    stopping->refuse(stopping->requests.front());
    ASSERT_TRUE(run_until(core, [&] { return !other->requests.empty(); }));
    EXPECT_EQ(stopping->replies, 0U);
    stopping->send_farewell();
    EXPECT_TRUE(run_until(core, [&] { return stopping->replies == 1; }));
    EXPECT_TRUE(ended.empty());
}

// Guards against requests to an agent that may exit before it reads them.
TEST_F(entry_of_stopping_agent, sends_no_requests_after_the_farewell)
{
    ASSERT_NO_FATAL_FAILURE(submit_to_stopping_agent());
    stopping->refuse(stopping->requests.front());
    ASSERT_TRUE(run_until(core, [&] { return !other->requests.empty(); }));
    stopping->send_farewell();
    ASSERT_TRUE(run_until(core, [&] { return stopping->replies == 1; }));
    other->refuse(other->requests.front());
    submit();
    // Both requests are tried again and again, at the other agent only.
    std::size_t refused = 1;
    ASSERT_TRUE(run_until(core, [&] {
        while (refused < other->requests.size()) {
            other->refuse(other->requests[refused++]);
        }
        return refused >= 10;
    }));
    EXPECT_EQ(stopping->requests.size(), 1U);
    EXPECT_TRUE(ended.empty());
}
