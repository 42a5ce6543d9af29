// Tests of servers in trouble that send bytes without end, in a head or in a body, until the
// connection is closed.

#include "event_log.h"
#include "http_client.h"
#include "metadata_store.h"
#include "relay_harness.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>

using namespace cyclamen;

namespace {

class endless_response : public testing::Test {
protected:
    endless_response() : shops{&fleet.add_backend("s1"), &fleet.add_backend("s2")}
    {
        fleet.configure(relay_harness::configuration());
    }

    struct arrival {
        scripted_backend* shop;
        std::size_t index;

        void respond(const std::string& text) const { shop->respond(index, text); }
        void repeat(const std::string& text) const { shop->repeat_response(index, text); }
        bool closed() const { return shop->closed_by_relay(index); }
    };

    std::size_t arrivals() const { return shops[0]->requests() + shops[1]->requests(); }

    // Waits for the next request at either backend server.  Returns nothing if the caller gets a
    // response first.
    std::optional<arrival> next_arrival(const scripted_caller& caller)
    {
        const std::size_t before = seen[0] + seen[1];
        EXPECT_TRUE(fleet.wait_for([&] { return arrivals() > before || caller.status() != 0; }));
        if (arrivals() == before) {
            return std::nullopt;
        }
        const std::size_t at = shops[0]->requests() > seen[0] ? 0 : 1;
        return arrival{.shop = shops[at], .index = seen[at]++};
    }

    scripted_caller& send(const std::string& text)
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(text);
        return caller;
    }

    void expect_served_elsewhere(const scripted_caller& caller)
    {
        const auto second = next_arrival(caller);
        ASSERT_TRUE(second) << "the caller got status " << caller.status();
        second->respond(response_of("q1", "mine"));
        EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("mine"); }));
        EXPECT_EQ(caller.status(), 200);
    }

    relay_harness fleet;
    std::array<scripted_backend*, 2> shops;
    std::array<std::size_t, 2> seen{};
};

// A response that begins with `begin` and goes on with `repeated` without end.
struct endless_case {
    const char* name;
    std::string begin;
    std::string repeated;
};

std::ostream& operator<<(std::ostream& out, const endless_case& row)
{
    return out << row.name;
}

const std::string filler(4096, 'x');

class endless_before_the_body : public endless_response,
                                public testing::WithParamInterface<endless_case> {};

class endless_after_the_head : public endless_response,
                               public testing::WithParamInterface<endless_case> {};

std::string name_of_case(const testing::TestParamInfo<endless_case>& row)
{
    return row.param.name;
}

} // namespace

// Guards against callers that wait for the deadline, or for ever, while a server sends no answer.
TEST_P(endless_before_the_body, ends_a_payment_with_an_unknown_outcome)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond(GetParam().begin);
    first->repeat(GetParam().repeated);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_EQ(caller.status(), 502);
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
    EXPECT_EQ(arrivals(), 1U);
}

// Guards against the same loss for requests that another server could have answered.
TEST_P(endless_before_the_body, repeats_a_safe_request_elsewhere)
{
    scripted_caller& caller = send(get("/view/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond(GetParam().begin);
    first->repeat(GetParam().repeated);
    expect_served_elsewhere(caller);
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
}

INSTANTIATE_TEST_SUITE_P(
    heads, endless_before_the_body,
    testing::Values(endless_case{"blank_lines", "", "\r\n"},
                    endless_case{"no_http", "", "\x16garbage\x03"},
                    endless_case{"reason_phrase", "HTTP/1.1 200 ", filler},
                    endless_case{"header_name", "HTTP/1.1 200 OK\r\n", filler},
                    endless_case{"header_value", "HTTP/1.1 200 OK\r\nX-Own: ", filler},
                    endless_case{"header_fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
                    endless_case{"interim_responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
                    endless_case{"interim_header", "HTTP/1.1 103 Early Hints\r\nLink: ", filler},
                    endless_case{"responses_to_other_requests", "", response_of("q0", "late")},
                    endless_case{"empty_responses_to_other_requests", "",
                                 "HTTP/1.1 204 No\r\nAttempt-Id: q0\r\n\r\n"},
                    endless_case{"body_for_another_request",
                                 "HTTP/1.1 200 OK\r\nAttempt-Id: q0\r\n\r\n", filler},
                    endless_case{
                        "chunks_for_another_request",
                        "HTTP/1.1 200 OK\r\nAttempt-Id: q0\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "1;" + std::string(1000, 'e') + "\r\nx\r\n"}),
    name_of_case);

// The caller already has the status, so it learns from the cut that the answer is not whole.
TEST_P(endless_after_the_head, breaks_the_answer_off)
{
    scripted_caller& caller = send(post("/pay/", "x", "Connection: close\r\n"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   GetParam().begin);
    first->repeat(GetParam().repeated);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_EQ(caller.status(), 200);
    EXPECT_FALSE(caller.received().ends_with("0\r\n\r\n"));
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
    EXPECT_EQ(arrivals(), 1U);
}

INSTANTIATE_TEST_SUITE_P(bodies, endless_after_the_head,
                         testing::Values(endless_case{"chunk_size", "", "0"},
                                         endless_case{"chunk_extension", "5;", filler},
                                         endless_case{"trailer_fields", "0\r\n", "X: y\r\n"},
                                         endless_case{"trailer_value", "0\r\nX: ", filler},
                                         endless_case{"no_chunk", "1\r\nx\r\n", "garbage"}),
                         name_of_case);

// Guards against a log that grows with each response of a server in trouble: lines about
// responses to other requests are warnings, which no rate limit holds back.
TEST_F(endless_response, writes_few_log_lines_about_responses_to_other_requests)
{
    testing::internal::CaptureStdout();
    scripted_caller& caller = send(post("/pay/", "x"));
    const auto first = next_arrival(caller);
    if (first) {
        first->repeat(response_of("q0", "late"));
    }
    const bool responded = fleet.wait_for([&] { return caller.status() != 0; });
    flush_events();
    const std::string log = testing::internal::GetCapturedStdout();
    ASSERT_TRUE(first && responded);
    EXPECT_LT(std::count(log.begin(), log.end(), '\n'), 50);
}

// A server may announce several times that it is still at work.
TEST_F(endless_response, passes_a_response_after_some_interim_responses)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    for (int count = 0; count < 20; ++count) {
        first->respond("HTTP/1.1 102 Processing\r\n\r\n");
    }
    first->respond(response_of("q1", "mine"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("mine"); }));
}

// Excess bytes must neither reach the caller nor the next request.
TEST_F(endless_response, closes_a_connection_whose_body_exceeds_its_length)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond(response_of("q1", "mine"));
    first->repeat(filler);
    ASSERT_TRUE(fleet.wait_for([&] { return first->closed(); }));
    EXPECT_TRUE(caller.received().ends_with("mine"));
}

TEST_F(endless_response, breaks_a_body_without_length_off_at_the_time_limit)
{
    scripted_caller& caller = send(get("/brief/", "Connection: close\r\n"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n");
    first->repeat(filler);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_FALSE(caller.received().ends_with("0\r\n\r\n"));
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
}

TEST_F(endless_response, ends_a_body_without_length_or_time_limit_when_the_caller_leaves)
{
    relay_configuration unlimited = relay_harness::configuration(2);
    for (relay_route& route : unlimited.routes) {
        route.timeout = 0ms;
    }
    fleet.configure(unlimited);
    scripted_caller& caller = send(get("/view/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n");
    first->repeat(filler);
    constexpr std::size_t passed_bytes = 4000000;
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().size() > passed_bytes; }));
    caller.close();
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
}

TEST_F(endless_response, serves_other_callers_meanwhile)
{
    scripted_caller& caller = send(get("/tell/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n");
    first->repeat(filler);
    constexpr std::size_t passed_bytes = 1000000;
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().size() > passed_bytes; }));
    scripted_caller& other = send(get("/none/"));
    EXPECT_TRUE(fleet.wait_for([&] { return other.status() == 404; }));
    EXPECT_FALSE(caller.ended());
}

namespace {

class endless_discarded_body : public endless_response,
                               public testing::WithParamInterface<endless_case> {};

} // namespace

// Guards against a deadline missed while the relay waits for the end of a body that it drops
// anyway: the request could long have run elsewhere.
TEST_P(endless_discarded_body, repeats_a_safe_request_after_an_error)
{
    scripted_caller& caller = send(get("/view/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 500 Oh\r\nAttempt-Id: q1\r\n" + GetParam().begin);
    if (!GetParam().repeated.empty()) {
        first->repeat(GetParam().repeated);
    }
    expect_served_elsewhere(caller);
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
}

TEST_P(endless_discarded_body, repeats_a_payment_that_was_not_executed)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + GetParam().begin);
    if (!GetParam().repeated.empty()) {
        first->repeat(GetParam().repeated);
    }
    expect_served_elsewhere(caller);
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
}

INSTANTIATE_TEST_SUITE_P(
    bodies, endless_discarded_body,
    testing::Values(endless_case{"without_length", "\r\n", filler},
                    endless_case{"large_length", "Content-Length: 60000000\r\n\r\n", filler},
                    endless_case{"chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
                    endless_case{"chunk_extensions", "Transfer-Encoding: chunked\r\n\r\n",
                                 "1;" + std::string(30000, 'e') + "\r\nx\r\n"},
                    endless_case{"stalled", "Content-Length: 10\r\n\r\n", ""}),
    name_of_case);

// The body of an ordinary rejection costs no connection.
TEST_F(endless_response, keeps_the_connection_after_a_short_discarded_body)
{
    scripted_caller& caller = send(get("/view/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 500 Oh\r\nAttempt-Id: q1\r\nContent-Length: 2000\r\n\r\n" +
                   std::string(2000, 'x'));
    expect_served_elsewhere(caller);
    EXPECT_FALSE(first->closed());
}

// Guards against an event that is buffered and searched again with each read until memory and
// time run out.  Only a resumable stream needs whole events; another one passes as it comes.
TEST_F(endless_response, passes_an_event_without_end_of_a_stream_that_is_not_resumable)
{
    scripted_caller& caller = send(get("/tell/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Type: text/event-stream\r\n\r\n"
                   "data: begin\n\ndata: ");
    first->repeat(filler);
    constexpr std::size_t passed_bytes = 8000000;
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().size() > passed_bytes; }));
    EXPECT_FALSE(caller.ended());
}

TEST_F(endless_response, resumes_a_stream_elsewhere_after_an_event_without_end)
{
    scripted_caller& caller = send(get("/resume/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    const std::string head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Type: text/event-stream\r\n";
    first->respond(head + "\r\nid: 1\ndata: begin\n\ndata: ");
    first->repeat(filler);
    ASSERT_TRUE(fleet.wait_for([&] { return arrivals() == 2 || caller.ended(); }));
    ASSERT_EQ(arrivals(), 2U);
    scripted_backend& other = first->shop == shops[0] ? *shops[1] : *shops[0];
    EXPECT_EQ(other.header(0, "Last-Event-Id"), "1");
    other.respond(0, head + "Content-Length: 18\r\n\r\nid: 2\ndata: end\n\n\n");
    EXPECT_TRUE(fleet.wait_for([&] { return caller.ended(); }));
    EXPECT_FALSE(caller.was_reset());
    EXPECT_TRUE(caller.received().ends_with("data: end\n\n\n")) << caller.received();
    EXPECT_EQ(caller.received().find("xxxx"), std::string::npos);
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
}

// Guards against a payment that is written to a connection which already holds bytes that answer
// nothing, and that is then lost.  The relay finds the payment and those bytes in one iteration.
TEST_F(endless_response, does_not_reuse_a_connection_with_unread_bytes)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond(response_of("q1", "mine"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("mine"); }));
    // Leaves one server, so that the relay has to choose it again.
    scripted_backend& unused = first->shop == shops[0] ? *shops[1] : *shops[0];
    unused.stop_listening();
    caller.send(post("/pay/", "y"));
    first->repeat("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhose");
    const auto has_foreign_body = [&] {
        return caller.received().find("whose") != std::string::npos;
    };
    ASSERT_TRUE(fleet.wait_for([&] { return first->shop->requests() == 2 || has_foreign_body(); }));
    ASSERT_FALSE(has_foreign_body());
    first->shop->respond(1, response_of("q1", "second"));
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("second"); }));
    EXPECT_FALSE(has_foreign_body());
    EXPECT_EQ(first->shop->connections(), 2U);
    EXPECT_TRUE(fleet.wait_for([&] { return first->shop->connection_ended(0); }));
}

TEST_F(endless_response, closes_an_idle_connection_that_receives_bytes)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond(response_of("q1", "mine"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("mine"); }));
    first->repeat(filler);
    EXPECT_TRUE(fleet.wait_for([&] { return first->closed(); }));
}

namespace {

class endless_fetch : public endless_response {
protected:
    net_address server() const { return {.host = "127.0.0.1", .port = shops[0]->port()}; }

    // Fetches a document and waits until the server has received the request.
    void begin(const http_client_request& request)
    {
        fetcher.fetch(request, [this](const http_response& given) { response = given; });
        ASSERT_TRUE(fleet.wait_for([&] { return shops[0]->requests() == 1; }));
    }

    http_fetcher fetcher{fleet.core().loop()};
    std::optional<http_response> response;
};

} // namespace

// Guards against an agent that never probes its backend server again, and an instance list that
// is never read again, because each byte restarted the time limit.
TEST_F(endless_fetch, ends_although_bytes_keep_coming_slowly)
{
    begin({.server = server(), .timeout = 200ms});
    shops[0]->respond(0, "HTTP/1.1 200 OK\r\n\r\n");
    millis sent_at = fleet.core().now();
    EXPECT_TRUE(fleet.wait_for([&] {
        if (fleet.core().now() - sent_at >= 20ms && !response) {
            shops[0]->respond(0, "x");
            sent_at = fleet.core().now();
        }
        return response.has_value();
    }));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->end, http_call_result::lost);
    EXPECT_TRUE(fleet.wait_for([&] { return shops[0]->closed_by_relay(0); }));
}

TEST_F(endless_fetch, ends_at_a_size_that_no_document_has)
{
    begin({.server = server()});
    shops[0]->respond(0, "HTTP/1.1 200 OK\r\n\r\n");
    shops[0]->repeat_response(0, filler);
    ASSERT_TRUE(fleet.wait_for([&] { return response.has_value(); }));
    EXPECT_EQ(response->end, http_call_result::lost);
    constexpr std::size_t max_bytes = 20000000;
    EXPECT_LT(response->body.size(), max_bytes);
    EXPECT_TRUE(fleet.wait_for([&] { return shops[0]->closed_by_relay(0); }));
}

namespace {

class endless_store : public endless_response, public testing::WithParamInterface<endless_case> {};

} // namespace

// Guards against a store's answer that fills the memory of each entry that reads it.
TEST_P(endless_store, fails_the_read_and_closes_the_connection)
{
    platform::metadata_store store(
        fleet.core(),
        {.address = {.host = "127.0.0.1", .port = shops[0]->port()}, .response_timeout = 60000ms});
    std::optional<keyed_log_page> page;
    store.read("routes", 0, 0ms, [&](keyed_log_page given) { page = std::move(given); });
    ASSERT_TRUE(fleet.wait_for([&] { return shops[0]->requests() == 1; }));
    shops[0]->respond(0, GetParam().begin);
    shops[0]->repeat_response(0, GetParam().repeated);
    ASSERT_TRUE(fleet.wait_for([&] { return page.has_value(); }));
    EXPECT_EQ(page->end, log_call_status::failed);
    ASSERT_TRUE(fleet.wait_for([&] { return shops[0]->closed_by_relay(0); }));
    // Includes what was left in the buffers of the sockets.
    constexpr std::size_t max_bytes = 30000000;
    EXPECT_LT(shops[0]->bytes_repeated(0), max_bytes);
    // The next read opens a connection of its own.
    page.reset();
    store.read("routes", 0, 0ms, [&](keyed_log_page given) { page = std::move(given); });
    ASSERT_TRUE(fleet.wait_for([&] { return shops[0]->requests() == 2; }));
    shops[0]->respond(1, response_of("", std::string(16, '\0')));
    ASSERT_TRUE(fleet.wait_for([&] { return page.has_value(); }));
    EXPECT_EQ(page->end, log_call_status::answered);
}

INSTANTIATE_TEST_SUITE_P(
    responses, endless_store,
    testing::Values(endless_case{"reason_phrase", "HTTP/1.1 200 ", filler},
                    endless_case{"interim_responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
                    endless_case{"body", "HTTP/1.1 200 OK\r\n\r\n", filler},
                    endless_case{"error_body", "HTTP/1.1 500 Oh\r\n\r\n", filler},
                    endless_case{"declared_body",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", filler}),
    name_of_case);

// Guards against a legitimate response that is cut or refused only because it is long.
TEST_F(endless_response, passes_a_long_response_of_a_declared_length)
{
    constexpr std::size_t length = 70000000;
    scripted_caller& caller = send(get("/view/"));
    const auto first = next_arrival(caller);
    ASSERT_TRUE(first);
    first->respond(
        fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: {}\r\n\r\n", length));
    first->shop->repeat_response(first->index, filler, length);
    ASSERT_TRUE(fleet.wait_for([&] {
        return caller.received().size() > length || caller.ended() ||
               (caller.status() != 0 && caller.status() != 200);
    }));
    EXPECT_EQ(caller.status(), 200);
    EXPECT_FALSE(first->closed());
}
