// Tests that the relay heeds what backend servers say of themselves in their responses.

#include "relay_harness.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cyclamen;

namespace {

const std::string leaving = "Server-Leaving: 1\r\n";

std::string rest(const std::string& seconds)
{
    return "Retry-After: " + seconds + "\r\n";
}

class server_words_heeded : public testing::Test {
protected:
    server_words_heeded()
    {
        relay_configuration settings = relay_harness::configuration();
        for (relay_route& route : settings.routes) {
            route.timeout = 20000ms;
            route.target = 40000ms; // requests wait up to 5 s for a server
        }
        fleet.configure(settings);
    }

    scripted_backend& add_server(const std::string& id)
    {
        servers.push_back(&fleet.add_backend(id));
        return *servers.back();
    }

    std::size_t arrivals() const
    {
        std::size_t sum = 0;
        for (const scripted_backend* server : servers) {
            sum += server->requests();
        }
        return sum;
    }

    scripted_caller& send(const std::string& request)
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(request);
        return caller;
    }

    // Sends a request and waits until `server` has received it.
    scripted_caller& send_to(scripted_backend& server, const std::string& request)
    {
        const std::size_t before = server.requests();
        scripted_caller& caller = send(request);
        EXPECT_TRUE(fleet.wait_for([&] { return server.requests() > before; }));
        return caller;
    }

    // Sends a request to `server`, which answers with `response`.
    void answer(scripted_backend& server, const std::string& request, const std::string& response)
    {
        scripted_caller& caller = send_to(server, request);
        server.respond(server.requests() - 1, response);
        ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    }

    void expect_refused(scripted_caller& caller)
    {
        const std::size_t before = arrivals();
        ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || arrivals() > before; }));
        EXPECT_EQ(caller.status(), 503);
        EXPECT_EQ(arrivals(), before);
        EXPECT_NE(caller.received().find("Retry-After: "), std::string::npos);
    }

    // Lists the server again, as a newer or older entry of the store would.
    void list_again(const std::string& id, std::uint64_t started_at)
    {
        backend_entry entry = fleet.state().backends().find(id)->entry;
        entry.started_at = started_at;
        ++entry.sequence;
        fleet.state().update_backend(entry);
    }

    relay_harness fleet;
    std::vector<scripted_backend*> servers;
};

struct last_response {
    const char* name;
    std::string request;
    std::string text;
};

std::ostream& operator<<(std::ostream& out, const last_response& row)
{
    return out << row.name;
}

class server_words_in_any_response : public server_words_heeded,
                                     public testing::WithParamInterface<last_response> {};

} // namespace

// Guards against requests to a server that has said that it leaves, in whatever response it did.
TEST_P(server_words_in_any_response, of_leaving_end_new_requests)
{
    scripted_backend& first = add_server("s1");
    scripted_caller& caller = send_to(first, GetParam().request);
    scripted_backend& second = add_server("s2");
    first.respond(0, GetParam().text);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || second.requests() > 0; }));
    for (unsigned count = 0; count < 8; ++count) {
        send_to(second, get("/view/"));
    }
    EXPECT_EQ(first.requests(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    relay, server_words_in_any_response,
    testing::Values(
        last_response{"success", get("/view/"), response_of("q1", "seen", 200, leaving)},
        last_response{"own_failure", post("/pay/", "x"), response_of("q1", "", 500, leaving)},
        last_response{"dropped_failure", get("/view/"), response_of("q1", "", 500, leaving)},
        last_response{"refusal", post("/pay/", "x"),
                      response_of("q1", "", 503, "Not-Executed: 1\r\n" + leaving)},
        last_response{"refusal_without_proof", post("/pay/", "x"),
                      response_of("q1", "", 503, leaving)},
        last_response{"to_another_request", get("/view/"),
                      response_of("q0", "whose", 200, leaving) + response_of("q1", "mine")}),
    [](const testing::TestParamInfo<last_response>& row) { return row.param.name; });

// Guards against a word that the store's older news, or an entry that comes back, overrides.
TEST_F(server_words_heeded, of_leaving_hold_beside_news_of_the_store)
{
    scripted_backend& shop = add_server("s1");
    answer(shop, get("/view/"), response_of("q1", "seen", 200, leaving));
    list_again("s1", 1);
    expect_refused(send(get("/view/")));
    const backend_entry entry = fleet.state().backends().find("s1")->entry;
    fleet.state().remove_backend("s1");
    fleet.state().update_backend(entry);
    expect_refused(send(get("/view/")));
    EXPECT_EQ(shop.requests(), 1U);
}

// Guards against a word that outlives the incarnation that gave it.
TEST_F(server_words_heeded, hold_for_one_incarnation)
{
    scripted_backend& shop = add_server("s1");
    answer(shop, get("/view/"), response_of("q1", "seen", 200, leaving));
    list_again("s1", 2);
    send_to(shop, get("/view/"));
    shop.respond(1, response_of("q1", "", 503, "Not-Executed: 1\r\n" + rest("60")));
    ASSERT_TRUE(
        fleet.wait_for([&] { return fleet.state().describe()["backends"]["s1"]["rest_ms"] > 0; }));
    list_again("s1", 3);
    send_to(shop, get("/view/"));
}

// Guards against a word that arrives on a connection to an earlier incarnation of the server.
TEST_F(server_words_heeded, of_an_earlier_incarnation_arrive_on_no_later_request)
{
    scripted_backend& shop = add_server("s1");
    answer(shop, get("/view/"), response_of("q1", "seen"));
    ASSERT_TRUE(
        fleet.wait_for([&] { return fleet.relay().describe()["idle_backend_connections"] == 1; }));
    list_again("s1", 2);
    send_to(shop, get("/view/"));
    EXPECT_EQ(shop.connections(), 2U);
}

// Guards against a word that cuts what the server is running.
TEST_F(server_words_heeded, cut_no_request_that_runs)
{
    scripted_backend& shop = add_server("s1");
    scripted_caller& first = send_to(shop, get("/view/"));
    answer(shop, get("/view/"), response_of("q1", "seen", 200, leaving));
    shop.respond(0, response_of("q1", "whole", 200, leaving));
    EXPECT_TRUE(fleet.wait_for([&] { return first.received().ends_with("whole"); }));
}

// Guards against a request that waits although every server has said that it leaves.
TEST_F(server_words_heeded, of_leaving_by_all_servers_refuse_at_once)
{
    scripted_backend& shop = add_server("s1");
    answer(shop, get("/view/"), response_of("q1", "seen", 200, leaving));
    const millis sent_at = fleet.core().now();
    expect_refused(send(get("/view/")));
    EXPECT_LT(fleet.core().now() - sent_at, 2000ms);
}

// Guards against requests to a server that has turned one away and asked for rest.
TEST_F(server_words_heeded, of_rest_keep_requests_away)
{
    scripted_backend& first = add_server("s1");
    scripted_caller& caller = send_to(first, post("/pay/", "x"));
    scripted_backend& second = add_server("s2");
    first.respond(0, response_of("q1", "", 503, "Not-Executed: 1\r\n" + rest("60.5")));
    ASSERT_TRUE(fleet.wait_for([&] { return second.requests() == 1; }));
    second.respond(0, response_of("q1", "paid"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 200; }));
    for (unsigned count = 0; count < 8; ++count) {
        send_to(second, get("/view/"));
    }
    EXPECT_EQ(first.requests(), 1U);
}

// Guards against a request that waits for the end of a rest that comes too late for it.
TEST_F(server_words_heeded, of_a_long_rest_refuse_at_once_if_no_other_server_is_left)
{
    scripted_backend& shop = add_server("s1");
    answer(shop, get("/view/"), response_of("q1", "", 503, "Not-Executed: 1\r\n" + rest("60")));
    const millis sent_at = fleet.core().now();
    expect_refused(send(get("/view/")));
    EXPECT_LT(fleet.core().now() - sent_at, 2000ms);
}

// Guards against a refusal although the only server takes requests again in a moment.
TEST_F(server_words_heeded, of_a_short_rest_are_waited_for)
{
    scripted_backend& shop = add_server("s1");
    answer(shop, post("/pay/", "x"),
           response_of("q1", "", 503, "Not-Executed: 1\r\n" + rest("0.3")));
    const millis asked_at = fleet.core().now();
    scripted_caller& caller = send_to(shop, get("/view/"));
    EXPECT_GE(fleet.core().now() - asked_at, 250ms);
    shop.respond(1, response_of("q1", "seen"));
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("seen"); }));
}

// Guards against a rush of the requests that wait for the end of a rest.
TEST_F(server_words_heeded, of_rest_are_followed_by_one_request_at_first)
{
    scripted_backend& shop = add_server("s1");
    answer(shop, post("/pay/", "x"),
           response_of("q1", "", 503, "Not-Executed: 1\r\n" + rest("0.1")));
    constexpr std::size_t callers = 12;
    for (std::size_t count = 0; count < callers; ++count) {
        send(get("/view/"));
    }
    std::size_t answered = 1; // requests that the test has handled
    std::size_t allowed = 1;
    while (answered < 1 + callers) {
        ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() > answered; }));
        fleet.run_for(60ms); // longer than the interval at which waiting requests look again
        ASSERT_LE(shop.requests() - answered, allowed);
        while (answered < shop.requests()) {
            shop.respond(answered++, response_of("q1", "seen"));
        }
        allowed *= 2;
    }
}
