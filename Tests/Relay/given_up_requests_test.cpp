// Tests how the connection to a backend server ends when a request is given up.

#include "relay_harness.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

class given_up_requests : public testing::Test {
protected:
    given_up_requests() : shop(fleet.add_backend("s1"))
    {
        fleet.configure(relay_harness::configuration());
    }

    scripted_caller& send(const std::string& path)
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send("GET " + path +
                    " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                    "Authorization: Bearer k1\r\n\r\n");
        EXPECT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
        return caller;
    }

    relay_harness fleet;
    scripted_backend& shop;
};

} // namespace

// node_cut, core_cut: guards against requests that the kernel delivers when a cut heals, long after
// they were given up and their server was taken out of use: their connection was closed in order.
TEST_F(given_up_requests, are_not_delivered_later_when_their_caller_leaves)
{
    send("/view/").close();
    ASSERT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(0); }));
    EXPECT_TRUE(shop.reset_by_relay(0));
}

TEST_F(given_up_requests, are_not_delivered_later_when_their_time_is_up)
{
    const scripted_caller& caller = send("/brief/");
    ASSERT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(0); }));
    EXPECT_TRUE(shop.reset_by_relay(0));
    EXPECT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
}

TEST_F(given_up_requests, differ_from_answered_ones_whose_connection_ends_in_order)
{
    scripted_caller& caller = send("/view/");
    shop.respond(0, "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nConnection: close\r\n"
                    "Content-Length: 4\r\n\r\nseen");
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("seen"); }));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.closed_by_relay(0); }));
    EXPECT_FALSE(shop.reset_by_relay(0));
}
