// Tests that news from backend servers and other sources, which arrives while the event loop is
// busy, is not overtaken by timers that expire in the meantime.

#include "client_connection.h"
#include "http_client.h"
#include "metadata_store.h"
#include "relay_harness.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

class relay_paused_loop : public testing::Test {
protected:
    static constexpr millis stop_grace = 300ms;
    static constexpr std::size_t max_unsent = 1000;
    // Longer than the timeout of /brief/ with the time that the relay adds to it.
    static constexpr millis past_deadline = 400ms;

    relay_paused_loop()
        : fleet({.lame_duck_time = 60ms,
                 .limits = {.stop_grace = stop_grace},
                 .exchange = {.max_unsent = max_unsent}}),
          shop(fleet.add_backend("s1"))
    {
        fleet.configure(relay_harness::configuration());
    }

    // Keeps the event loop from running for `time`, like a long computation does.
    void block_loop(millis time)
    {
        const millis until = fleet.core().now() + time;
        while (fleet.core().now() < until) {
            // busy
        }
    }

    // Opens a connection that stays open after its first response.
    scripted_caller& add_idle_caller()
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(get("/none/"));
        EXPECT_TRUE(fleet.wait_for([&] { return caller.status() == 404; }));
        return caller;
    }

    // Sends a request and waits until the backend server has received it.
    scripted_caller& send_request(const std::string& text)
    {
        scripted_caller& caller = fleet.add_caller();
        const std::size_t before = shop.requests();
        caller.send(text);
        EXPECT_TRUE(fleet.wait_for([&] { return shop.requests() > before; }));
        return caller;
    }

    void expect_status(scripted_caller& caller, int status)
    {
        EXPECT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || caller.ended(); }));
        EXPECT_EQ(caller.status(), status);
    }

    std::uint64_t connections_opened()
    {
        return fleet.core().metrics().named("backend_connections_opened");
    }

    static void block_after_connecting(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        auto* test = static_cast<relay_paused_loop*>(user);
        EXPECT_EQ(test->connections_opened(), 1U);
        test->block_loop(past_deadline);
    }

    relay_harness fleet;
    scripted_backend& shop;
};

} // namespace

// Guards against a 504 in place of a response that had arrived when the deadline was handled.
TEST_F(relay_paused_loop, delivers_a_response_that_arrived_before_its_deadline_was_handled)
{
    scripted_caller& caller = send_request(get("/brief/"));
    shop.respond(0, response_of("q1", "ready"));
    block_loop(past_deadline);
    expect_status(caller, 200);
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("ready"); }));
}

// The same for a response that takes several reads and ends with its connection.
TEST_F(relay_paused_loop, delivers_a_long_response_that_ends_with_its_connection)
{
    scripted_caller& caller = send_request(get("/brief/"));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n" + std::string(60000, 'x') + "end");
    shop.close(0);
    block_loop(past_deadline);
    expect_status(caller, 200);
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().find("end") != std::string::npos; }));
}

// The caller gets a clean refusal, and not the beginning of a response that is then broken off.
TEST_F(relay_paused_loop, refuses_at_the_deadline_if_only_a_part_of_the_response_has_arrived)
{
    scripted_caller& caller = send_request(get("/brief/"));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 10\r\n\r\nfirst");
    block_loop(past_deadline);
    expect_status(caller, 504);
    EXPECT_EQ(caller.received().find("first"), std::string::npos);
}

// A response that has not arrived is refused in time.
TEST_F(relay_paused_loop, refuses_at_the_deadline_if_no_response_has_arrived)
{
    scripted_caller& caller = send_request(get("/brief/"));
    block_loop(past_deadline);
    expect_status(caller, 504);
}

// Guards against a 502 in place of a response that had arrived at the end of the grace period.
TEST_F(relay_paused_loop, delivers_a_response_that_arrived_before_the_end_of_the_grace_period)
{
    scripted_caller& caller = send_request(get("/view/"));
    fleet.relay().begin_stop();
    shop.respond(0, response_of("q1", "ready"));
    block_loop(stop_grace + 50ms);
    expect_status(caller, 200);
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("ready"); }));
}

// Guards against a second run: what arrives at the end of the grace period starts no new attempt.
TEST_F(relay_paused_loop, starts_no_attempt_at_the_end_of_the_grace_period)
{
    scripted_backend& other = fleet.add_backend("s2");
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() + other.requests() == 1; }));
    const std::uint64_t opened = connections_opened();
    fleet.relay().begin_stop();
    (shop.requests() == 1 ? shop : other).respond(0, response_of("q1", "failed", 500));
    block_loop(stop_grace + 50ms);
    expect_status(caller, 500);
    EXPECT_EQ(connections_opened(), opened);
}

// Guards against a server that counts as unreachable although it had accepted the connection:
// libevent reports only the time-out of a connect that has both completed and timed out.
TEST_F(relay_paused_loop, uses_a_connection_that_was_made_before_its_timeout_was_handled)
{
    scripted_caller& caller = add_idle_caller();
    caller.send(get("/view/"));
    // Blocks behind the callback that parses the request and connects, in the same iteration.
    const kernel::timer block = fleet.core().after(0ms, [&] {
        event_base_once(fleet.core().loop(), -1, EV_TIMEOUT,
                        &relay_paused_loop::block_after_connecting, this, nullptr);
    });
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1 || caller.status() != 404; }));
    EXPECT_EQ(connections_opened(), 1U);
    EXPECT_FALSE(fleet.state().backends().find("s1")->health.in_backoff(fleet.core().now()));
    ASSERT_EQ(shop.requests(), 1U);
    shop.respond(0, response_of("q1", "ready"));
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("ready"); }));
}

// Guards against timers that begin in the past: libevent counts them from the time at which the
// iteration began, so a long callback earlier in the same iteration used the time up.
TEST_F(relay_paused_loop, gives_a_request_its_whole_time_after_a_long_callback)
{
    scripted_caller& caller = add_idle_caller();
    caller.send(get("/brief/"));
    const kernel::timer callback = fleet.core().after(0ms, [&] { block_loop(past_deadline); });
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1 || caller.status() != 404; }));
    ASSERT_EQ(shop.requests(), 1U);
    shop.respond(0, response_of("q1", "ready"));
    EXPECT_TRUE(fleet.wait_for([&] { return caller.status() != 404; }));
    EXPECT_EQ(caller.status(), 200);
}

// Guards against an unknown outcome of an unsafe request: it was sent on an idle connection whose
// end had arrived.
TEST_F(relay_paused_loop, does_not_reuse_a_connection_whose_end_has_arrived)
{
    scripted_caller& first = send_request(get("/view/"));
    scripted_caller& second = add_idle_caller();
    shop.respond(0, response_of("q1", "ready"));
    expect_status(first, 200);
    second.send(post("/pay/", "body"));
    shop.close(0);
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 2 || second.status() != 404; }));
    ASSERT_EQ(shop.requests(), 2U);
    shop.respond(1, response_of("q1", "paid"));
    EXPECT_TRUE(fleet.wait_for([&] { return second.received().ends_with("paid"); }));
}

// Guards against a 504 for the next request on a connection: it was reused with reading still
// paused, because the caller of the previous response had been slow.
TEST_F(relay_paused_loop, reads_the_next_response_on_a_connection_that_was_paused)
{
    scripted_caller& caller = send_request(get("/view/"));
    shop.respond(0, response_of("q1", std::string(2 * max_unsent, 'x') + "first"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("first"); }));
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 2; }));
    ASSERT_EQ(connections_opened(), 1U);
    shop.respond(1, response_of("q1", "second"));
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("second"); }));
}

// Guards against a lost response of a server that answers before it has read the whole request and
// closes: the relay's write fails before the rest of the response is read.
TEST_F(relay_paused_loop, delivers_an_early_response_that_ends_with_a_reset)
{
    constexpr std::size_t body_bytes = 16000000; // more than the sockets hold
    std::string body;
    body.assign(body_bytes, 'x');
    http_head head;
    head.method = "POST";
    head.target = "/";
    head.length = body.size();
    client_connection connection(fleet.core().loop(), {.host = "127.0.0.1", .port = shop.port()},
                                 {});
    std::string received;
    std::optional<http_call_result> end;
    shop.stop_reading();
    connection.call(head, body,
                    {.on_head = [](const http_head& /*head*/) { return true; },
                     .on_body = [&](std::string_view data) { received.append(data); },
                     .on_end = [&](http_call_result result) { end = result; }});
    ASSERT_TRUE(fleet.wait_for([&] { return shop.connections() == 1; }));
    shop.respond_on_connection(0, response_of("q1", std::string(60000, 'x') + "end"));
    shop.close_connection(0);
    ASSERT_TRUE(fleet.wait_for([&] { return end.has_value(); }));
    EXPECT_EQ(*end, http_call_result::complete);
    EXPECT_TRUE(received.ends_with("end"));
}

// Guards against a 503 for a request that waits for a server, whose listing was due in the pause.
TEST_F(relay_paused_loop, looks_for_a_server_again_after_a_pause)
{
    relay_harness empty;
    empty.configure(relay_harness::configuration());
    scripted_caller& caller = empty.add_caller();
    bool waiting = false;
    caller.send(get("/view/"));
    ASSERT_TRUE(empty.wait_for([&] {
        return std::exchange(waiting, empty.core().metrics().named("requests_taken") == 1);
    }));
    scripted_backend* listed = nullptr;
    const kernel::timer listing =
        empty.core().after(100ms, [&] { listed = &empty.add_backend("s1"); });
    block_loop(past_deadline);
    ASSERT_TRUE(empty.wait_for(
        [&] { return caller.status() != 0 || (listed != nullptr && listed->requests() == 1); }));
    EXPECT_EQ(caller.status(), 0);
}

// Guards against a belief that the store does not answer, from an answer that had arrived.
TEST_F(relay_paused_loop, uses_a_page_that_arrived_before_its_timeout_was_handled)
{
    scripted_backend& server = fleet.add_backend("store", "store");
    platform::metadata_store store(
        fleet.core(),
        {.address = {.host = "127.0.0.1", .port = server.port()}, .response_timeout = 300ms});
    std::optional<log_call_status> end;
    store.list_newest("topic", {}, [&](const keyed_log_page& page) { end = page.end; });
    ASSERT_TRUE(fleet.wait_for([&] { return server.requests() == 1; }));
    server.respond(0, response_of("", R"({"EndOffset":0,"Entries":[],"HasMore":false})"));
    block_loop(past_deadline);
    ASSERT_TRUE(fleet.wait_for([&] { return end.has_value(); }));
    EXPECT_EQ(*end, log_call_status::answered);
}

// Guards against a lost response of an HTTP call that had arrived before its time-out was handled.
TEST_F(relay_paused_loop, uses_a_fetched_response_that_arrived_before_its_timeout_was_handled)
{
    scripted_backend& server = fleet.add_backend("log", "log");
    std::optional<http_response> response;
    http_fetcher fetcher(fleet.core().loop());
    fetcher.fetch({.server = {.host = "127.0.0.1", .port = server.port()},
                   .method = "GET",
                   .target = "/",
                   .timeout = 300ms},
                  [&](const http_response& received) { response = received; });
    ASSERT_TRUE(fleet.wait_for([&] { return server.requests() == 1; }));
    server.respond(0, response_of("", "ready"));
    block_loop(past_deadline);
    ASSERT_TRUE(fleet.wait_for([&] { return response.has_value(); }));
    EXPECT_EQ(response->end, http_call_result::complete);
    EXPECT_EQ(response->body, "ready");
}

// node_slow, burst: guards against requests that reach a server long after their callers have left:
// the close had arrived, but was handled after the request.
TEST_F(relay_paused_loop, sends_no_request_whose_caller_has_left_meanwhile)
{
    scripted_caller& first = send_request(get("/view/"));
    shop.respond(0, response_of("q1", "x"));
    expect_status(first, 200);
    scripted_caller& caller = add_idle_caller();
    caller.send(get("/view/"));
    caller.close();
    block_loop(50ms);
    fleet.run_for(200ms);
    EXPECT_EQ(shop.requests(), 1U);
    EXPECT_EQ(fleet.core().metrics().named("requests_taken"), 3U);
}
