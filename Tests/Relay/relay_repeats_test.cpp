// Tests which requests the relay retries, and its responses to those that it must not retry.

#include "relay_harness.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

class relay_repeats : public testing::Test {
protected:
    relay_repeats() : shops{&fleet.add_backend("s1"), &fleet.add_backend("s2")}
    {
        fleet.configure(relay_harness::configuration());
    }

    std::size_t arrivals() const { return shops[0]->requests() + shops[1]->requests(); }

    // Returns the backend server that received the latest request, and sets `index` to the index
    // of that request.
    scripted_backend& latest(std::size_t& index)
    {
        scripted_backend& shop = shops[0]->requests() > seen[0] ? *shops[0] : *shops[1];
        seen = {shops[0]->requests(), shops[1]->requests()};
        index = shop.requests() - 1;
        return shop;
    }

    void expect_arrivals(std::size_t count)
    {
        ASSERT_TRUE(fleet.wait_for([&] { return arrivals() == count; }));
    }

    void expect_status(scripted_caller& caller, int status)
    {
        ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
        EXPECT_EQ(caller.status(), status);
    }

    relay_harness fleet;
    std::array<scripted_backend*, 2> shops;
    std::array<std::size_t, 2> seen{};
};

const std::string rejection = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string event_stream = "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Signature: first\r\n"
                                 "Content-Type: text/event-stream\r\n\r\n";

} // namespace

TEST_F(relay_repeats, a_payment_whose_answer_was_lost_is_not_sent_again)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    latest(index).reset(index);
    expect_status(caller, 502);
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(relay_repeats, a_payment_goes_elsewhere_after_a_proof_that_it_did_not_run)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    latest(index).respond(index, rejection);
    expect_arrivals(2);
    latest(index).respond(index, response_of("q1", "paid"));
    expect_status(caller, 200);
}

TEST_F(relay_repeats, a_payment_that_every_server_rejected_is_told_as_not_run)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "x"));
    for (std::size_t count = 1; count <= 2; ++count) {
        expect_arrivals(count);
        std::size_t index = 0;
        latest(index).respond(index, rejection);
    }
    expect_status(caller, 503);
    EXPECT_NE(caller.received().find("Retry-After: "), std::string::npos);
}

TEST_F(relay_repeats, a_payment_is_never_told_as_not_run_once_it_may_have_run)
{
    fleet.relay().set_entries(1);
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& shop = latest(index);
    shop.respond(index, "HTTP/1.1 200 OK\r\nContent-Le");
    shop.close(index);
    expect_status(caller, 502);
}

TEST_F(relay_repeats, a_servers_own_failure_of_a_payment_is_passed_on)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    latest(index).respond(index, response_of("q1", "oops", 500, "Server-Signature: s\r\n"));
    expect_status(caller, 500);
    EXPECT_NE(caller.received().find("Server-Signature: s"), std::string::npos);
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(relay_repeats, a_look_up_goes_to_another_server_after_a_failure_or_a_lost_answer)
{
    scripted_caller& failed = fleet.add_caller();
    failed.send(get("/view/"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& first = latest(index);
    first.respond(index, response_of("q1", "oops", 500));
    expect_arrivals(2);
    scripted_backend& second = latest(index);
    EXPECT_NE(&first, &second);
    second.respond(index, response_of("q1", "seen"));
    expect_status(failed, 200);

    scripted_caller& lost = fleet.add_caller();
    lost.send(get("/view/"));
    expect_arrivals(3);
    latest(index).close(index);
    expect_arrivals(4);
    latest(index).respond(index, response_of("q1", "seen"));
    expect_status(lost, 200);
}

TEST_F(relay_repeats, a_look_up_is_sent_to_no_more_servers_than_its_route_allows)
{
    scripted_backend& third = fleet.add_backend("s3");
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    const auto all = [&] { return arrivals() + third.requests(); };
    for (std::size_t count = 1; count <= 2; ++count) {
        ASSERT_TRUE(fleet.wait_for([&] { return all() == count; }));
        scripted_backend* open[] = {shops[0], shops[1], &third};
        for (scripted_backend* shop : open) {
            if (shop->requests() > 0 && !shop->closed_by_relay(shop->requests() - 1)) {
                shop->respond(shop->requests() - 1, response_of("q1", "oops", 500));
            }
        }
    }
    expect_status(caller, 500);
    EXPECT_EQ(all(), 2U);
}

TEST_F(relay_repeats, a_server_that_refuses_connections_costs_nothing)
{
    shops[0]->stop_listening();
    shops[1]->stop_listening();
    scripted_backend& third = fleet.add_backend("s3");
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "x"));
    ASSERT_TRUE(fleet.wait_for([&] { return third.requests() == 1; }));
    third.respond(0, response_of("q1", "paid"));
    expect_status(caller, 200);
}

// If the server has just closed an idle connection, a payment sent on it would be lost with an
// unknown outcome.  Connections that were idle for long are therefore not used for payments.
TEST_F(relay_repeats, a_payment_does_not_go_on_a_connection_that_was_idle_for_long)
{
    relay_server_options options;
    options.connections.max_idle_at_most_once = 30ms;
    relay_harness fleet(options);
    scripted_backend& shop = fleet.add_backend("s1");
    fleet.configure(relay_harness::configuration());
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    shop.respond(0, response_of("q1", "seen"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("seen"); }));
    fleet.run_for(60ms);
    caller.send(post("/pay/", "x"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 2; }));
    EXPECT_EQ(shop.connections(), 2U);
}

TEST_F(relay_repeats, a_connection_is_given_up_before_the_server_says_it_ends)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& shop = latest(index);
    shop.respond(index, response_of("q1", "seen", 200, "Keep-Alive: timeout=1\r\n"));
    EXPECT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(index); }));
}

TEST_F(relay_repeats, a_broken_stream_goes_on_after_its_last_whole_event)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/resume/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& first = latest(index);
    first.respond(index, event_stream + "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    ASSERT_TRUE(
        fleet.wait_for([&] { return caller.received().find("data: b") != std::string::npos; }));
    first.reset(index);
    expect_arrivals(2);
    scripted_backend& second = latest(index);
    EXPECT_EQ(second.header(index, "Last-Event-Id"), "2");
    second.respond(index, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Signature: second\r\n"
                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_FALSE(caller.was_reset());
    EXPECT_NE(caller.received().find("data: c"), std::string::npos);
    EXPECT_EQ(caller.received().find("second"), std::string::npos);
    EXPECT_EQ(caller.received().find("id: 3\nda\n"), std::string::npos);
}

TEST_F(relay_repeats, a_stream_that_may_not_go_on_elsewhere_ends_without_its_end)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/tell/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& shop = latest(index);
    shop.respond(index, event_stream + "id: 1\ndata: a\n\n");
    ASSERT_TRUE(
        fleet.wait_for([&] { return caller.received().find("data: a") != std::string::npos; }));
    shop.reset(index);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_EQ(caller.received().find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(caller.was_reset());
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(relay_repeats, nothing_is_sent_to_a_server_that_leaves_or_to_a_zone_that_is_out)
{
    scripted_backend& away = fleet.add_backend("s3", "shop", "b");
    fleet.state().remove_backend("s1");
    fleet.state().update_backend({.id = "s2",
                                  .service = "shop",
                                  .zone = "a",
                                  .draining = true,
                                  .started_at = 1,
                                  .sequence = 2});
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return away.requests() == 1; }));
    fleet.state().update_zones_out({"b"});
    scripted_caller& refused = fleet.add_caller();
    refused.send(get("/view/"));
    expect_status(refused, 503);
    EXPECT_EQ(arrivals(), 0U);
    EXPECT_EQ(away.requests(), 1U);
}

// The caller keeps retrying a request that crashes every server that runs it.
TEST_F(relay_repeats, a_request_that_crashed_three_servers_is_not_sent_any_more)
{
    constexpr std::size_t crashes = 3;
    for (std::size_t count = 1; count <= crashes; ++count) {
        scripted_caller& caller = fleet.add_caller();
        caller.send(post("/pay/", "poison"));
        expect_arrivals(count);
        std::size_t index = 0;
        scripted_backend& shop = latest(index);
        shop.reset(index);
        expect_status(caller, 502);
        const std::string id = &shop == shops[0] ? "s1" : "s2";
        backend_entry again = fleet.state().backends().find(id)->entry;
        ++again.started_at;
        fleet.state().update_backend(again);
    }
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "poison"));
    expect_status(caller, 503);
    EXPECT_EQ(arrivals(), crashes);
    scripted_caller& other = fleet.add_caller();
    other.send(post("/pay/", "sound"));
    expect_arrivals(crashes + 1);
}

namespace {

// Requests of which one part of the prompt crashes the servers that begin to answer.
class crashing_part : public relay_repeats {
protected:
    static std::string chat(unsigned number, const std::string& parts)
    {
        return post(
            "/tell/", fmt::format("chat {}", number),
            fmt::format("Attempt-Id: q1\r\nPrefix-Hash: a1:700,{},{:x}:130\r\n", parts, number));
    }

    void restart(scripted_backend& shop)
    {
        backend_entry again = fleet.state().backends().find(&shop == shops[0] ? "s1" : "s2")->entry;
        ++again.started_at;
        fleet.state().update_backend(again);
    }

    // Sends a request whose server, if it is sent to one, crashes once it has begun to answer.
    void send_harmful(const std::string& request)
    {
        const std::size_t before = arrivals();
        scripted_caller& caller = fleet.add_caller();
        caller.send(request);
        ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || arrivals() > before; }));
        if (arrivals() == before) {
            EXPECT_EQ(caller.status(), 503);
            return;
        }
        std::size_t index = 0;
        scripted_backend& shop = latest(index);
        shop.respond(index, event_stream + "id: 1\n\n");
        expect_status(caller, 200);
        shop.reset(index);
        ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
        restart(shop);
    }
};

} // namespace

// Guards against crashes that are counted for each request alone, so that requests which are not
// alike but share a harmful part of their prompts crash one server after the other.
TEST_F(crashing_part, is_sent_to_no_further_server_whatever_else_the_request_holds)
{
    for (unsigned number = 1; number <= 5; ++number) {
        ASSERT_NO_FATAL_FAILURE(send_harmful(chat(number, "bad:400")));
    }
    const std::size_t crashes = arrivals();
    for (unsigned number = 6; number <= 9; ++number) {
        scripted_caller& caller = fleet.add_caller();
        caller.send(chat(number, "bad:400"));
        expect_status(caller, 503);
    }
    EXPECT_EQ(arrivals(), crashes);
}

// Guards against a quarantine that takes the sound requests of the same caller along.
TEST_F(crashing_part, leaves_sound_requests_with_the_same_key_and_first_part_alone)
{
    for (unsigned number = 1; number <= 5; ++number) {
        ASSERT_NO_FATAL_FAILURE(send_harmful(chat(number, "bad:400")));
        const std::size_t count = arrivals() + 1;
        scripted_caller& sound = fleet.add_caller();
        sound.send(chat(100 + number, "c3:400"));
        expect_arrivals(count);
        std::size_t index = 0;
        scripted_backend& shop = latest(index);
        shop.respond(index, response_of("q1", "whole"));
        expect_status(sound, 200);
    }
    const std::size_t before = arrivals();
    scripted_caller& sound = fleet.add_caller();
    sound.send(chat(200, "c3:400"));
    expect_arrivals(before + 1);
    scripted_caller& harmful = fleet.add_caller();
    harmful.send(chat(201, "bad:400"));
    expect_status(harmful, 503);
    EXPECT_EQ(arrivals(), before + 1);
}

// Guards against a stream without a length whose connection breaks inside an event and that looks
// complete to its caller.
TEST_F(relay_repeats, a_stream_that_ends_inside_an_event_has_been_broken_off)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/tell/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& shop = latest(index);
    shop.respond(index, event_stream + "id: 1\n\nid: 2\ndata: hal");
    shop.close(index);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_EQ(caller.received().find("\r\n0\r\n"), std::string::npos) << caller.received();
    EXPECT_TRUE(caller.was_reset());
}

// Guards against the same stream being given up although another server may send the rest.
TEST_F(relay_repeats, a_stream_that_ends_inside_an_event_goes_on_elsewhere)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/resume/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& first = latest(index);
    first.respond(index, event_stream + "id: 1\n\nid: 2\ndata: hal");
    first.close(index);
    expect_arrivals(2);
    scripted_backend& second = latest(index);
    EXPECT_EQ(second.header(index, "Last-Event-Id"), "1");
    second.respond(index, event_stream + "id: 2\ndata: whole\n\n");
    second.close(index);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_FALSE(caller.was_reset());
    EXPECT_EQ(caller.received().find("hal\n"), std::string::npos);
    EXPECT_NE(caller.received().find("data: whole"), std::string::npos);
}

// A response that ends with its connection, outside of an event, is passed on in the same form: it
// has neither a length nor chunks, and its connection ends in an orderly way.
TEST_F(relay_repeats, a_stream_without_a_length_ends_with_its_connection)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/tell/", "x"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& shop = latest(index);
    shop.respond(index, event_stream + "id: 1\n\nid: 2\n\n\n");
    shop.close(index);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_TRUE(caller.received().ends_with("\r\n\r\nid: 1\n\nid: 2\n\n\n")) << caller.received();
    EXPECT_NE(caller.received().find("Connection: close\r\n"), std::string::npos);
    EXPECT_EQ(caller.received().find("Transfer-Encoding"), std::string::npos);
    EXPECT_EQ(caller.received().find("Content-Length"), std::string::npos);
    EXPECT_FALSE(caller.was_reset());
}

// Guards against a limit that the server names in its responses and that nobody reads.
TEST_F(relay_repeats, a_server_that_names_a_limit_gets_the_next_requests_only_as_it_allows)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    expect_arrivals(1);
    std::size_t index = 0;
    scripted_backend& shop = latest(index);
    shop.respond(index, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Signature: x\r\n"
                        "Server-Limit: 0.05\r\nContent-Length: 2\r\n\r\nok");
    expect_status(caller, 200);
    const backend* limited = fleet.state().backends().find(&shop == shops[0] ? "s1" : "s2");
    EXPECT_EQ(limited->limit.per_second, 0.05);
    EXPECT_NE(caller.received().find("Server-Limit: 0.05"), std::string::npos);
}
