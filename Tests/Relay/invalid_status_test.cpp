// Tests responses whose status line has no status.

#include "relay_harness.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

class invalid_status_lines : public testing::TestWithParam<std::string> {
protected:
    invalid_status_lines() : shops{&fleet.add_backend("s1"), &fleet.add_backend("s2")}
    {
        fleet.configure(relay_harness::configuration());
    }

    std::size_t arrivals() const { return shops[0]->requests() + shops[1]->requests(); }

    scripted_backend& receiver_of(std::size_t count)
    {
        const std::size_t before = shops[0]->requests();
        EXPECT_TRUE(fleet.wait_for([&] { return arrivals() == count; }));
        return shops[0]->requests() > before ? *shops[0] : *shops[1];
    }

    static std::string answer()
    {
        return GetParam() + "\r\nAttempt-Id: q1\r\nServer-Signature: s\r\n" +
               "Content-Length: 4\r\n\r\nbody";
    }

    relay_harness fleet;
    std::array<scripted_backend*, 2> shops;
};

} // namespace

// Guards against an answer whose status is none: its caller got it, or waited until its deadline.
TEST_P(invalid_status_lines, are_no_answer_to_a_payment)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(post("/pay/", "x"));
    receiver_of(1).respond(0, answer());
    const millis sent_at = fleet.core().now();
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || caller.ended(); }));
    EXPECT_EQ(caller.status(), 502) << caller.received();
    EXPECT_LT(fleet.core().now() - sent_at, 500ms);
    EXPECT_EQ(arrivals(), 1U);
}

TEST_P(invalid_status_lines, let_another_server_answer_a_safe_request)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    receiver_of(1).respond(0, answer());
    scripted_backend& second = receiver_of(2);
    second.respond(0, response_of("q1", "seen"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    EXPECT_EQ(caller.status(), 200);
    EXPECT_TRUE(caller.received().ends_with("seen"));
}

INSTANTIATE_TEST_SUITE_P(of_servers, invalid_status_lines,
                         testing::Values("HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 099 Low",
                                         "HTTP/1.1 1000 Long", "HTTP/1.1 2x0 Odd",
                                         "HTTP/1.1 20 Short", "HTTP/1.1 2 Short", "HTTP/1.1 OK",
                                         "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 -200 OK",
                                         "HTTP/1.1 600 High", "HTTP/1.1 999 High"));
