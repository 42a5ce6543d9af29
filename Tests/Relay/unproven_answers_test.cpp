// Tests what the relay makes of responses, and ends of responses, that prove nothing.

#include "relay_harness.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cyclamen;

namespace {

const std::string chunked_stream =
    "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n9\r\nid: 1\n\nid\r\n";
const std::string unmarked_stream =
    "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Type: text/event-stream\r\n\r\n";

class unproven_answers : public testing::Test {
protected:
    unproven_answers() : shops{&fleet.add_backend("s1"), &fleet.add_backend("s2")}
    {
        fleet.configure(relay_harness::configuration());
    }

    std::size_t arrivals() const { return shops[0]->requests() + shops[1]->requests(); }

    // Waits for request number `count` and returns the server that received it.
    scripted_backend& receiver_of(std::size_t count)
    {
        const std::size_t before = shops[0]->requests();
        EXPECT_TRUE(fleet.wait_for([&] { return arrivals() == count; }));
        return shops[0]->requests() > before ? *shops[0] : *shops[1];
    }

    scripted_caller& send(const std::string& request)
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(request);
        return caller;
    }

    void await_end(const scripted_caller& caller)
    {
        ASSERT_TRUE(fleet.wait_for([&] { return caller.ended(); })) << caller.received();
    }

    relay_harness fleet;
    std::array<scripted_backend*, 2> shops;
};

// Whether the response has anything but its connection to mark its end.
bool marks_end(const scripted_caller& caller)
{
    return caller.received().find("\r\n0\r\n") != std::string::npos ||
           caller.received().find("Content-Length") != std::string::npos;
}

} // namespace

// Guards against a stream that its server broke off between two events by closing the connection,
// and that reaches its caller framed as complete.
TEST_F(unproven_answers, a_stream_that_ends_with_its_connection_is_not_framed_as_complete)
{
    scripted_caller& caller = send(post("/tell/", "x"));
    scripted_backend& shop = receiver_of(1);
    shop.respond(0, unmarked_stream + "id: 1\n\nid: 2\n\n");
    shop.close(0);
    await_end(caller);
    EXPECT_NE(caller.received().find("id: 2\n\n"), std::string::npos);
    EXPECT_FALSE(marks_end(caller)) << caller.received();
}

// Guards against the same for the server that continues a stream.
TEST_F(unproven_answers, a_continued_stream_that_ends_with_its_connection_is_not_framed_as_complete)
{
    scripted_caller& caller = send(post("/resume/", "x"));
    scripted_backend& first = receiver_of(1);
    first.respond(0, chunked_stream);
    first.reset(0);
    scripted_backend& second = receiver_of(2);
    second.respond(0, unmarked_stream + "id: 2\n\n");
    second.close(0);
    await_end(caller);
    EXPECT_NE(caller.received().find("id: 2\n\n"), std::string::npos);
    EXPECT_FALSE(marks_end(caller)) << caller.received();
}

// Guards against a success for an answer whose server stopped in the middle of its head, or
// anywhere before its end, and closed.
TEST_F(unproven_answers, an_answer_cut_at_any_byte_is_never_framed_as_whole)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 4\r\n\r\nbody";
    const std::size_t head = whole.size() - 4;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        scripted_caller& caller = send(post("/pay/", std::to_string(size)));
        scripted_backend& shop = receiver_of(size + 1);
        shop.respond(shop.requests() - 1, whole.substr(0, size));
        shop.close(shop.requests() - 1);
        ASSERT_TRUE(fleet.wait_for([&] { return caller.ended() || caller.status() == 502; }));
        EXPECT_EQ(caller.status(), size < head ? 502 : 200) << size;
        EXPECT_FALSE(caller.received().ends_with("body")) << size;
        EXPECT_EQ(arrivals(), size + 1) << size;
    }
}

namespace {

const std::string refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

// Both servers have a kept connection.
class unproven_refusals : public unproven_answers {
protected:
    unproven_refusals()
    {
        for (std::size_t count = 1; count <= shops.size(); ++count) {
            // The connection of the first request is busy during the second one.
            send(get("/view/"));
            receiver_of(count);
        }
        for (scripted_backend* shop : shops) {
            EXPECT_EQ(shop->requests(), 1U);
            shop->respond(0, response_of("q1", "seen"));
        }
        EXPECT_TRUE(fleet.wait_for(
            [&] { return fleet.relay().describe()["idle_backend_connections"] == 2; }));
    }
};

} // namespace

// Guards against an earlier refusal that a faulty server writes once more on a kept connection and
// that is taken for the refusal of a request which runs: its caller was told "not run", or it ran
// at a second server.
TEST_F(unproven_refusals, without_an_id_on_a_kept_connection_prove_nothing)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    scripted_backend& shop = receiver_of(3);
    shop.respond(1, refusal);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_EQ(caller.status(), 502);
    EXPECT_EQ(arrivals(), 3U);
    EXPECT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(1); }));
}

// Guards against the same for an earlier request's refusal that names that request.
TEST_F(unproven_refusals, of_another_request_prove_nothing)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    scripted_backend& shop = receiver_of(3);
    shop.respond(1, response_of("q0", "", 503, "Not-Executed: 1\r\n") + refusal);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_EQ(caller.status(), 502);
    EXPECT_EQ(arrivals(), 3U);
}

// Guards against an answer to another request on a kept connection.
TEST_F(unproven_refusals, as_little_as_answers_without_an_id)
{
    scripted_caller& caller = send(post("/pay/", "x"));
    scripted_backend& shop = receiver_of(3);
    shop.respond(1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhose");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_EQ(caller.status(), 502);
    EXPECT_EQ(caller.received().find("whose"), std::string::npos);
}

// A request that can't be told from others gets a connection of its own.
TEST_F(unproven_refusals, do_not_reach_requests_without_an_id)
{
    scripted_caller& caller =
        send("POST /pay/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
             "Content-Length: 1\r\n\r\nx");
    scripted_backend& shop = receiver_of(3);
    EXPECT_EQ(shop.connections(), 2U);
    shop.respond(1, refusal);
    receiver_of(4).respond(1, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid");
    EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("paid"); }));
}

namespace {

struct follower {
    const char* name;
    std::string response; // of the server that is to continue the stream
};

std::ostream& operator<<(std::ostream& out, const follower& row)
{
    return out << row.name;
}

// A stream that broke off after its event with the id 1, and what the next server answers.
class unproven_continuations : public unproven_answers,
                               public testing::WithParamInterface<follower> {
protected:
    scripted_caller& begin_and_break_off(const std::string& begun)
    {
        scripted_caller& caller = send(post("/resume/", "x"));
        scripted_backend& first = receiver_of(1);
        first.respond(0, begun);
        first.reset(0);
        return caller;
    }
};

std::string stream_of(const std::string& status, const std::string& headers,
                      const std::string& events)
{
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: q1\r\n" + headers +
           "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
}

const std::string stream_type = "Content-Type: text/event-stream\r\n";

} // namespace

// Guards against a stream whose middle holds an error's text, events of another stream or events
// that came before, or that ends as if it were complete.
TEST_P(unproven_continuations, do_not_follow_a_stream_that_broke_off)
{
    scripted_caller& caller = begin_and_break_off(chunked_stream);
    scripted_backend& second = receiver_of(2);
    second.respond(0, GetParam().response);
    await_end(caller);
    EXPECT_TRUE(caller.received().ends_with("7\r\nid: 1\n\n\r\n")) << caller.received();
}

INSTANTIATE_TEST_SUITE_P(
    relay, unproven_continuations,
    testing::Values(
        follower{"error", stream_of("500 Oops", "", "oops")},
        follower{"error_stream", stream_of("500 Oops", stream_type, "id: 2\ndata: oops\n\n")},
        follower{"gone_stream", stream_of("404 None", stream_type, "id: 2\ndata: oops\n\n")},
        follower{"moved_stream", stream_of("302 Moved", stream_type, "id: 2\ndata: oops\n\n")},
        follower{"partial_stream", stream_of("206 Part", stream_type, "id: 2\ndata: oops\n\n")},
        follower{"no_content", "HTTP/1.1 204 None\r\nAttempt-Id: q1\r\n" + stream_type + "\r\n"},
        follower{"document", stream_of("200 OK", "Content-Type: text/plain\r\n", "oops")},
        follower{"no_type", stream_of("200 OK", "", "id: 2\ndata: oops\n\n")},
        follower{"rejection", stream_of("503 Full", "Not-Executed: 1\r\n", "")},
        follower{"misdirected_stream", stream_of("421 No", stream_type, "id: 2\ndata: oops\n\n")},
        follower{"repeated_event", stream_of("200 OK", stream_type, "id: 1\ndata: again\n\n")},
        follower{"begun_anew",
                 stream_of("200 OK", stream_type, "id: 0\ndata: again\n\nid: 1\ndata: again\n\n")},
        follower{"unnamed_event", stream_of("200 OK", stream_type, "data: which\n\nid: 2\n\n")},
        follower{"no_whole_event", stream_of("200 OK", stream_type, "id: 2\ndata: oo")}),
    [](const testing::TestParamInfo<follower>& row) { return row.param.name; });

// Guards against a document that goes on as an event stream.
TEST_F(unproven_continuations, are_not_asked_for_unless_the_answer_is_an_event_stream)
{
    for (const std::string& begun :
         {std::string("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 9\r\n\r\nhalf"),
          std::string("HTTP/1.1 404 None\r\nAttempt-Id: q1\r\n") + stream_type +
              "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n",
          // An event without an id would come twice.
          std::string("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n") + stream_type +
              "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\n\ndata: a\n\n\r\n"}) {
        const std::size_t before = arrivals();
        scripted_caller& caller = send(post("/resume/", "x"));
        scripted_backend& shop = receiver_of(before + 1);
        shop.respond(shop.requests() - 1, begun);
        ASSERT_TRUE(fleet.wait_for(
            [&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
        shop.reset(shop.requests() - 1);
        await_end(caller);
        EXPECT_EQ(arrivals(), before + 1) << begun;
    }
}

// Guards against a look-up that is sent to a second server after a part of its answer was passed
// on.
TEST_F(unproven_answers, a_document_that_broke_off_is_not_asked_for_again)
{
    scripted_caller& caller = send(get("/view/"));
    scripted_backend& shop = receiver_of(1);
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 9\r\n\r\nhalf");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("half"); }));
    shop.reset(0);
    await_end(caller);
    EXPECT_EQ(arrivals(), 1U);
}

// Guards against a stream that a mark of its end makes look complete although it ends inside an
// event.
TEST_F(unproven_answers, a_marked_end_inside_an_event_is_no_end)
{
    scripted_caller& caller = send(post("/tell/", "x"));
    receiver_of(1).respond(0, chunked_stream + "0\r\n\r\n");
    await_end(caller);
    EXPECT_TRUE(caller.received().ends_with("7\r\nid: 1\n\n\r\n")) << caller.received();
}

// Guards against a promise that a request has not run, made by a status alone.
TEST_F(unproven_answers, a_status_without_a_proof_promises_nothing)
{
    std::size_t count = 0;
    for (const int status : {408, 429, 503}) {
        scripted_caller& caller = send(post("/pay/", std::to_string(status)));
        scripted_backend& shop = receiver_of(++count);
        shop.respond(shop.requests() - 1,
                     response_of("q1", "", status, "Server-Signature: s\r\nRetry-After: 9\r\n"));
        ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
        EXPECT_EQ(caller.status(), 502) << status;
        EXPECT_EQ(caller.received().find("Server-Signature"), std::string::npos);
        EXPECT_EQ(arrivals(), count);
    }
}
