// Tests what the relay sends to backend servers and callers for single requests.

#include "relay_harness.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

class relay : public testing::Test {
protected:
    relay() : shop(fleet.add_backend("s1")) { fleet.configure(relay_harness::configuration()); }

    // Sends a request and waits until the backend server has received it.
    scripted_caller& send_request(const std::string& text)
    {
        scripted_caller& caller = fleet.add_caller();
        const std::size_t before = shop.requests();
        caller.send(text);
        EXPECT_TRUE(fleet.wait_for([&] { return shop.requests() > before; }));
        return caller;
    }

    // Sends a request and waits for the relay's own response, or for the connection to close.
    scripted_caller& send_and_await_response(const std::string& text)
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(text);
        EXPECT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || caller.ended(); }));
        return caller;
    }

    relay_harness fleet;
    scripted_backend& shop;
};

} // namespace

TEST_F(relay, passes_method_path_query_and_body_unchanged)
{
    scripted_caller& caller = send_request(post("/pay/%7Ea?b=c%20d&e", "a body\r\n\r\n"));
    EXPECT_TRUE(shop.request(0).starts_with("POST /pay/%7Ea?b=c%20d&e HTTP/1.1\r\n"));
    EXPECT_EQ(shop.body(0), "a body\r\n\r\n");
    shop.respond(0, response_of("q1", "done", 200, "X-Own: 1\r\n"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("done"); }));
    EXPECT_NE(caller.received().find("X-Own: 1"), std::string::npos);
}

TEST_F(relay, sends_a_chunked_body_with_its_length)
{
    send_request("POST /pay/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    EXPECT_EQ(shop.body(0), "abcde");
    EXPECT_EQ(shop.header(0, "Content-Length"), "5");
}

TEST_F(relay, strips_headers_that_only_the_system_may_set)
{
    send_request(get("/view/",
                     "Tenant: foam\r\nhold: 7\r\nPin-Ms: 9\r\nKv-Backup: 1.1.1.1:1\r\n"
                     "Kv-From: 1.1.1.1:1/x\r\nRequest-Priority: 0\r\nExpect-Instance: other\r\n"));
    EXPECT_EQ(shop.header(0, "Tenant"), "medlar");
    EXPECT_EQ(shop.header(0, "Expect-Instance"), "s1");
    for (const char* forged :
         {"hold", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Request-Priority", "Authorization"}) {
        EXPECT_EQ(shop.header(0, forged), "") << forged;
    }
}

TEST_F(relay, strips_what_concerns_one_connection_but_never_the_requests_own_headers)
{
    send_request(get("/view/",
                     "Connection: keep-alive, X-Hop, Attempt-Id\r\nX-Hop: 1\r\nKeep-Alive: 3\r\n"
                     "X-End: 2\r\n"));
    EXPECT_EQ(shop.header(0, "X-Hop"), "");
    EXPECT_EQ(shop.header(0, "Keep-Alive"), "");
    EXPECT_EQ(shop.header(0, "X-End"), "2");
    EXPECT_EQ(shop.header(0, "Attempt-Id"), "q1");
}

TEST_F(relay, hands_on_what_is_left_of_the_deadline_and_no_more_than_the_routes_timeout)
{
    send_request(get("/view/", "Deadline-Ms: 1000\r\n"));
    EXPECT_LE(std::stoi(shop.header(0, "Deadline-Ms")), 1000);
    EXPECT_GT(std::stoi(shop.header(0, "Deadline-Ms")), 500);
    send_request(get("/view/", "Deadline-Ms: 60000\r\n"));
    EXPECT_LE(std::stoi(shop.header(1, "Deadline-Ms")), 3000);
}

TEST_F(relay, serves_an_open_route_without_a_key_and_names_no_account)
{
    send_request("GET /open/ HTTP/1.1\r\nHost: h.example\r\nTenant: medlar\r\n\r\n");
    EXPECT_EQ(shop.header(0, "Tenant"), "");
}

TEST_F(relay, refuses_an_unknown_key_and_an_unknown_route)
{
    EXPECT_EQ(send_and_await_response("GET /view/ HTTP/1.1\r\nHost: h.example\r\n\r\n").status(),
              401);
    EXPECT_EQ(send_and_await_response(get("/none/")).status(), 404);
    EXPECT_EQ(send_and_await_response("GET /view/ HTTP/1.1\r\nHost: other\r\n\r\n").status(), 404);
    EXPECT_EQ(shop.requests(), 0U);
}

// Guards against a lost response: a short response was not written if the connection was to be
// closed after it.
TEST_F(relay, writes_the_whole_answer_before_it_closes)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/none/", "Connection: close\r\n"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_EQ(caller.status(), 404);
    EXPECT_TRUE(caller.received().ends_with("}"));
}

TEST_F(relay, keeps_a_connection_and_answers_pipelined_requests_in_order)
{
    scripted_caller& caller = send_request(get("/view/1") + get("/view/2"));
    shop.respond(0, response_of("q1", "first"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 2; }));
    shop.respond(1, response_of("q1", "second"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("second"); }));
    EXPECT_LT(caller.received().find("first"), caller.received().find("second"));
    EXPECT_EQ(shop.connections(), 1U);
}

TEST_F(relay, asks_for_a_body_that_waits_to_be_asked_for)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send("POST /pay/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 100; }));
    caller.send("abc");
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    EXPECT_EQ(shop.body(0), "abc");
    EXPECT_EQ(shop.header(0, "Expect"), "");
}

TEST_F(relay, answers_head_without_a_body)
{
    scripted_caller& caller = send_request("HEAD /view/ HTTP/1.1\r\nHost: h.example\r\n"
                                           "Authorization: Bearer k1\r\n\r\n");
    shop.respond(0, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("\r\n\r\n"); }));
    caller.send(get("/view/"));
    EXPECT_TRUE(fleet.wait_for([&] { return shop.requests() == 2; }));
}

TEST_F(relay, gives_an_answer_without_a_length_to_its_end)
{
    scripted_caller& caller = send_request(get("/view/", "Connection: close\r\n"));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\nsome");
    shop.close(0);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_TRUE(caller.received().ends_with("\r\n\r\nsome")) << caller.received();
    EXPECT_EQ(caller.received().find("Transfer-Encoding"), std::string::npos);
    EXPECT_FALSE(caller.was_reset());
}

TEST_F(relay, never_lets_an_answer_that_broke_off_look_complete)
{
    scripted_caller& caller = send_request(post("/pay/", "x"));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\nsome");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 200; }));
    shop.reset(0);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_EQ(caller.received().find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(caller.was_reset());
}

// Guards against a request that is smuggled in the content of another one.
TEST_F(relay, refuses_connect_and_runs_nothing_of_its_content)
{
    const std::string inner = post("/pay/", "smuggled");
    scripted_caller& caller = send_and_await_response(
        "CONNECT /pay/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
        "Content-Length: " +
        std::to_string(inner.size()) + "\r\n\r\n" + inner);
    EXPECT_EQ(caller.status(), 400);
    fleet.run_for(200ms);
    EXPECT_EQ(shop.requests(), 0U);
}

// Guards against a part of a response that looks whole to a slow caller: the entry closed the
// connection in order while it still held bytes.
TEST(relay_slow_caller, sees_a_reset_when_its_time_for_a_response_without_a_length_is_over)
{
    constexpr std::size_t body_bytes = 16777216; // more than the sockets hold
    relay_server_options options;
    options.exchange.max_unsent = 2 * body_bytes;
    relay_harness fleet(options);
    scripted_backend& shop = fleet.add_backend("s1");
    relay_configuration tight = relay_harness::configuration();
    tight.limits.idle_timeout = 300ms;
    fleet.configure(tight);
    scripted_caller& caller = fleet.add_caller();
    caller.stop_reading();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n");
    shop.repeat_response(0, std::string(65536, 'x'), body_bytes);
    ASSERT_TRUE(fleet.wait_for([&] { return shop.bytes_repeated(0) == body_bytes; }));
    shop.close(0);
    fleet.run_for(1000ms);
    caller.resume_reading();
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_LT(caller.received().size(), body_bytes);
    EXPECT_TRUE(caller.was_reset());
}

TEST_F(relay, closes_a_connection_that_said_more_than_one_answer)
{
    scripted_caller& caller = send_request(get("/view/"));
    shop.respond(0, response_of("q1", "mine") + response_of("q0", "whose?"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("mine"); }));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(0); }));
    EXPECT_EQ(caller.received().find("whose"), std::string::npos);
}

TEST_F(relay, skips_a_late_answer_to_an_earlier_request)
{
    scripted_caller& caller = send_request(get("/view/"));
    shop.respond(0, response_of("q0", "late") + response_of("q1", "mine"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("mine"); }));
    EXPECT_EQ(caller.received().find("late"), std::string::npos);
}

TEST_F(relay, leaves_a_connection_whose_answer_came_before_the_whole_request_was_sent)
{
    shop.stop_reading();
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", std::string(4000000, 'x')));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.connections() == 1; }));
    shop.respond_on_connection(0, response_of("q1", "too long", 422));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 422; }));
    shop.resume_reading();
    EXPECT_TRUE(fleet.wait_for([&] { return shop.connection_ended(0); }));
    EXPECT_EQ(shop.requests(), 0U);
}

TEST_F(relay, cancels_the_work_of_a_caller_that_left)
{
    scripted_caller& caller = send_request(post("/pay/", "x"));
    const millis left_at = fleet.core().now();
    caller.close();
    ASSERT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(0); }));
    EXPECT_LT(fleet.core().now() - left_at, 500ms);
}

TEST_F(relay, gives_up_at_the_routes_timeout)
{
    const millis sent_at = fleet.core().now();
    scripted_caller& caller = send_request(get("/brief/"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_EQ(caller.status(), 504);
    EXPECT_LT(fleet.core().now() - sent_at, 150ms + 500ms);
    EXPECT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(0); }));
}

TEST_F(relay, refuses_what_could_be_read_as_two_requests)
{
    const std::string head =
        "POST /pay/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n";
    const std::string inner = "GET /view/ HTTP/1.1\r\nHost: h.example\r\n\r\n";
    for (const char* lengths :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: +5\r\n",
          "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding : chunked\r\n",
          "Transfer-Encoding: chunked, identity\r\n", "Content-Length: 5 5\r\n",
          "X Y: 1\r\nContent-Length: 0\r\n"}) {
        std::string text = head;
        text.append(lengths).append("\r\n0\r\n\r\n").append(inner);
        EXPECT_EQ(send_and_await_response(text).status(), 400) << lengths;
    }
    EXPECT_EQ(shop.requests(), 0U);
}

// After a busy period, the event loop finds a new request and the expired idle time-out in the
// same iteration.  The request must be served.
TEST_F(relay, answers_a_request_that_came_before_its_connection_was_found_idle)
{
    relay_configuration tight = relay_harness::configuration(2);
    tight.limits.idle_timeout = 60ms;
    fleet.configure(tight);
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/none/"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 404; }));
    caller.send(get("/view/"));
    const millis until = fleet.core().now() + 100ms;
    while (fleet.core().now() < until) {
        // keeps the event loop busy
    }
    EXPECT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
}

// After a busy period, the event loop finds the rest of a request and its expired time limit in
// the same iteration.  The request must be served.
TEST_F(relay, answers_a_request_whose_rest_came_before_its_time_limit_was_handled)
{
    relay_configuration tight = relay_harness::configuration(2);
    tight.limits.head_timeout = 60ms;
    fleet.configure(tight);
    scripted_caller& caller = fleet.add_caller();
    // Longer than what the event loop reads at once.
    const std::string request = get("/view/", "X-Long: " + std::string(12000, 'x') + "\r\n");
    caller.send(request.substr(0, 20));
    fleet.run_for(20ms);
    caller.send(request.substr(20));
    const millis until = fleet.core().now() + 100ms;
    while (fleet.core().now() < until) {
        // keeps the event loop busy
    }
    EXPECT_TRUE(fleet.wait_for([&] { return shop.requests() == 1 || caller.status() != 0; }));
    EXPECT_EQ(caller.status(), 0);
}

// The same for a request that is still in the socket when the idle timer runs.
TEST_F(relay, answers_a_request_that_its_idle_timer_finds_in_the_socket)
{
    relay_configuration tight = relay_harness::configuration(2);
    tight.limits.idle_timeout = 60ms;
    fleet.configure(tight);
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/none/"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 404; }));
    const kernel::timer send = fleet.core().after(50ms, [&] { caller.send(get("/view/")); });
    const millis until = fleet.core().now() + 100ms;
    while (fleet.core().now() < until) {
        // keeps the event loop busy
    }
    EXPECT_TRUE(fleet.wait_for([&] { return shop.requests() == 1 || caller.ended(); }));
    EXPECT_EQ(shop.requests(), 1U);
}

TEST_F(relay, keeps_callers_to_their_limits)
{
    relay_configuration tight = relay_harness::configuration(2);
    tight.limits = {
        .head_bytes = 600, .body_bytes = 100, .head_timeout = 100ms, .idle_timeout = 200ms};
    fleet.configure(tight);
    EXPECT_EQ(
        send_and_await_response(get("/view/", "X: " + std::string(700, 'x') + "\r\n")).status(),
        431);
    EXPECT_EQ(send_and_await_response(post("/pay/", std::string(101, 'x'))).status(), 413);
    EXPECT_EQ(send_and_await_response("GET /view/ HTTP/1.1\r\nHost:").status(), 408);
    scripted_caller& idle = fleet.add_caller();
    EXPECT_TRUE(fleet.wait_for([&] { return idle.ended(); }));
    EXPECT_EQ(idle.received(), "");
    EXPECT_EQ(shop.requests(), 0U);
}
