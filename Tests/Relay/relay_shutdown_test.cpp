// Tests what callers see of a relay that stops gracefully while its event loop is busy.

#include "relay_harness.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

class relay_shutdown : public testing::Test {
protected:
    static constexpr millis lame_duck_time = 60ms;
    static constexpr millis lame_duck_idle_time = 2000ms;
    static constexpr millis stop_grace = 3000ms;
    // Part of the grace period after which deadlines count.
    static constexpr millis late = 1250ms;

    relay_shutdown()
        : fleet({.lame_duck_time = lame_duck_time,
                 .lame_duck_idle_time = lame_duck_idle_time,
                 .limits = {.stop_grace = stop_grace}}),
          shop(fleet.add_backend("s1"))
    {
        fleet.configure(relay_harness::configuration());
    }

    // Opens a connection that stays open after its first response.
    scripted_caller& add_idle_caller()
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(get("/none/"));
        EXPECT_TRUE(fleet.wait_for([&] { return caller.status() == 404; }));
        return caller;
    }

    // Keeps the event loop from running for `time`, like a long computation does.
    void block_loop(millis time)
    {
        const millis until = fleet.core().now() + time;
        while (fleet.core().now() < until) {
            // busy
        }
    }

    // Checks that the backend server receives request `index` and that the caller gets its
    // response.
    void expect_served(scripted_caller& caller, std::size_t index)
    {
        ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() > index || caller.ended(); }));
        ASSERT_EQ(shop.requests(), index + 1) << "the connection was closed without a response";
        shop.respond(index, response_of("q1", "served"));
        EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("served"); }));
    }

    relay_harness fleet;
    scripted_backend& shop;
};

} // namespace

// Guards against a lost request: idle connections were closed although a request had been read
// into their buffer and waited there to be parsed.
TEST_F(relay_shutdown, serves_a_request_that_arrived_before_its_idle_connection_closes)
{
    scripted_caller& caller = add_idle_caller();
    fleet.relay().begin_stop();
    caller.send(get("/view/"));
    block_loop(lame_duck_time + 40ms);
    expect_served(caller, 0);
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
}

// Guards against a lost request: after a response whose headers had not announced the close, the
// connection was closed and the next request was read and discarded.
TEST_F(relay_shutdown, serves_the_next_request_after_a_response_that_began_before_the_stop)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/1"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 10\r\n\r\nfirst");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("first"); }));
    ASSERT_EQ(caller.received().find("Connection: close"), std::string::npos);
    fleet.relay().begin_stop();
    shop.respond(0, " half");
    caller.send(get("/view/2"));
    expect_served(caller, 1);
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
}

// Guards against a reset of callers that connected just before the listener closes.
TEST_F(relay_shutdown, serves_a_connection_that_waits_to_be_accepted_when_the_listener_closes)
{
    fleet.relay().begin_stop();
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    block_loop(lame_duck_time + 40ms);
    expect_served(caller, 0);
}

// The same for a caller that connects after the event loop has looked for new connections.
TEST_F(relay_shutdown, serves_a_connection_that_is_made_while_the_listener_closes)
{
    scripted_caller* caller = nullptr;
    fleet.relay().begin_stop();
    const kernel::timer connect = fleet.core().after(lame_duck_time - 10ms, [&] {
        caller = &fleet.add_caller();
        caller->send(get("/view/"));
    });
    block_loop(lame_duck_time + 40ms);
    ASSERT_TRUE(fleet.wait_for([&] { return caller != nullptr; }));
    expect_served(*caller, 0);
}

// Guards against a reset of callers whose first request is still on its way when the listener
// closes.
TEST_F(relay_shutdown, gives_a_new_connection_time_to_send_its_first_request)
{
    fleet.relay().begin_stop();
    scripted_caller& caller = fleet.add_caller();
    block_loop(lame_duck_time + 40ms);
    fleet.run_for(20ms);
    caller.send(get("/view/"));
    expect_served(caller, 0);
}

// Guards against a response that is lost at the exit: the process ended before it had written the
// refusals of the requests that were still open at the end of the grace period.
TEST_F(relay_shutdown, writes_refusals_before_it_is_idle_at_the_end_of_the_grace_period)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    fleet.relay().begin_stop();
    bool exited = false;
    const kernel::timer idle_check = fleet.core().every(20ms, [&] {
        if (fleet.relay().idle()) {
            exited = true;
            event_base_loopbreak(fleet.core().loop());
        }
    });
    block_loop(stop_grace + 20ms);
    ASSERT_TRUE(fleet.wait_for([&] { return exited; }));
    EXPECT_EQ(caller.status(), 502);
}

// Guards against an exit in the iteration in which open requests are aborted.
TEST_F(relay_shutdown, is_not_idle_in_the_iteration_of_the_abort)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    fleet.relay().begin_stop();
    bool idle = false;
    const kernel::timer idle_check =
        fleet.core().after(stop_grace + 10ms, [&] { idle = fleet.relay().idle(); });
    block_loop(stop_grace + 30ms);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_FALSE(idle);
}

// Guards against an exit that resets the listen queue: an entry without callers counted as idle
// before its listener had closed.
TEST_F(relay_shutdown, is_not_idle_before_the_listener_has_closed)
{
    scripted_caller* caller = nullptr;
    bool idle = false;
    const kernel::timer connect = fleet.core().after(lame_duck_time - 20ms, [&] {
        caller = &fleet.add_caller();
        caller->send(get("/view/"));
    });
    const kernel::timer idle_check =
        fleet.core().after(lame_duck_time - 10ms, [&] { idle = fleet.relay().idle(); });
    fleet.relay().begin_stop();
    block_loop(lame_duck_time + 40ms);
    ASSERT_TRUE(fleet.wait_for([&] { return caller != nullptr; }));
    EXPECT_FALSE(idle);
    expect_served(*caller, 0);
}

// Guards against a response that breaks off at the end of the grace period.
TEST_F(relay_shutdown, refuses_at_once_what_may_not_finish_before_the_exit)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/1"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 10\r\n\r\nfirst");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("first"); }));
    fleet.relay().begin_stop();
    fleet.run_for(late);
    shop.respond(0, " half");
    caller.send(get("/view/2", "Deadline-Ms: 2900\r\n"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 503; }));
    EXPECT_NE(caller.received().find("Retry-After: 0.000"), std::string::npos);
    EXPECT_EQ(shop.requests(), 1U);
}

// Guards against requests that are cut at the end of a long grace period: the time in which they
// were taken whatever their deadlines grew with it.
TEST(relay_long_shutdown, takes_requests_of_any_deadline_for_a_few_seconds_only)
{
    relay_harness fleet({.lame_duck_time = 60ms,
                         .lame_duck_idle_time = 20000ms,
                         .limits = {.stop_grace = 60000ms}});
    scripted_backend& shop = fleet.add_backend("s1");
    relay_configuration configuration = relay_harness::configuration();
    configuration.routes[1].timeout = 120000ms;
    fleet.configure(std::move(configuration));
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/1"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 10\r\n\r\nfirst");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("first"); }));
    fleet.relay().begin_stop();
    fleet.run_for(3000ms);
    shop.respond(0, " half");
    caller.send(post("/pay/", "x", "Deadline-Ms: 90000\r\n"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 503; }));
    EXPECT_EQ(shop.requests(), 1U);
}

// A request that ends within the grace period is served until then.
TEST_F(relay_shutdown, serves_what_finishes_before_the_exit)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/1"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 10\r\n\r\nfirst");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("first"); }));
    fleet.relay().begin_stop();
    fleet.run_for(late);
    shop.respond(0, " half");
    caller.send(get("/view/2", "Deadline-Ms: 1500\r\n"));
    expect_served(caller, 1);
}

// Guards against an answer that is cut off: a slow caller had not received all of its response when
// its connection was closed, as idle (false) or after an announced close (true).
class relay_shutdown_slow_caller : public testing::TestWithParam<bool> {};

TEST_P(relay_shutdown_slow_caller, receives_the_whole_response)
{
    const bool close_announced = GetParam();
    constexpr std::size_t body_bytes = 20000000; // more than the sockets hold
    constexpr millis pause = 1200ms; // more than the time limits of a closing connection
    relay_harness fleet({.lame_duck_time = 10ms,
                         .lame_duck_idle_time = 50ms,
                         .limits = {.stop_grace = 20000ms},
                         .exchange = {.max_unsent = 2 * body_bytes}});
    scripted_backend& shop = fleet.add_backend("s1");
    fleet.configure(relay_harness::configuration());
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    if (close_announced) {
        fleet.relay().begin_stop();
    }
    const std::string response = response_of("q1", std::string(body_bytes, 'x'));
    constexpr std::size_t part_bytes = 65536;
    shop.respond(0, response.substr(0, part_bytes));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() == 200; }));
    ASSERT_EQ(caller.received().find("Connection: close") != std::string::npos, close_announced);
    caller.stop_reading();
    if (!close_announced) {
        fleet.relay().begin_stop();
    }
    for (std::size_t at = part_bytes; at < response.size(); at += part_bytes) {
        shop.respond(0, response.substr(at, part_bytes));
        fleet.run_for(0ms);
    }
    fleet.run_for(pause);
    caller.resume_reading();
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().size() > body_bytes; }));
}

INSTANTIATE_TEST_SUITE_P(close, relay_shutdown_slow_caller, testing::Bool());

TEST_F(relay_shutdown, closes_idle_connections_after_the_listener)
{
    scripted_caller& caller = add_idle_caller();
    const millis stopped_at = fleet.core().now();
    fleet.relay().begin_stop();
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_GE(fleet.core().now() - stopped_at, lame_duck_time);
    EXPECT_LT(fleet.core().now() - stopped_at, stop_grace);
    EXPECT_TRUE(fleet.wait_for([&] { return fleet.relay().idle(); }));
}
