// Tests the relay's responses with missing, stale and current configurations, and its graceful
// shutdown.

#include "relay_harness.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

int status_of(relay_harness& fleet, const std::string& text)
{
    scripted_caller& caller = fleet.add_caller();
    caller.send(text);
    EXPECT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
    return caller.status();
}

} // namespace

TEST(relay_knowledge, without_a_configuration_nothing_is_refused_for_good)
{
    relay_harness fleet;
    EXPECT_FALSE(fleet.relay().ready());
    EXPECT_EQ(status_of(fleet, get("/view/")), 503);
}

TEST(relay_knowledge, a_stale_configuration_refuses_no_unknown_route_or_key_for_good)
{
    relay_harness fleet({}, {.fresh_for = 300ms});
    fleet.configure(relay_harness::configuration());
    EXPECT_EQ(status_of(fleet, get("/none/")), 404);
    EXPECT_TRUE(fleet.wait_for([&] { return !fleet.state().fresh(); }));
    EXPECT_EQ(status_of(fleet, get("/none/")), 503);
    EXPECT_EQ(status_of(fleet, "GET /view/ HTTP/1.1\r\nHost: h.example\r\n\r\n"), 503);
}

TEST(relay_knowledge, a_stale_configuration_still_serves_what_it_holds)
{
    relay_harness fleet({}, {.fresh_for = 300ms});
    scripted_backend& shop = fleet.add_backend("s1");
    fleet.configure(relay_harness::configuration());
    ASSERT_TRUE(fleet.wait_for([&] { return !fleet.state().fresh(); }));
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
}

TEST(relay_knowledge, never_goes_back_to_an_earlier_configuration)
{
    relay_harness fleet;
    relay_configuration later = relay_harness::configuration(5);
    later.routes.clear();
    fleet.configure(later);
    fleet.configure(relay_harness::configuration(4));
    EXPECT_EQ(status_of(fleet, get("/view/")), 404);
}

TEST(relay_knowledge, a_request_goes_on_under_the_configuration_that_admitted_it)
{
    relay_harness fleet;
    scripted_backend& shop = fleet.add_backend("s1");
    fleet.configure(relay_harness::configuration());
    scripted_caller& caller = fleet.add_caller();
    caller.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    relay_configuration empty{.version = 9};
    fleet.configure(empty);
    shop.respond(0, response_of("q1", "seen"));
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("seen"); }));
}

// Guards against departed servers that stay listed after a network cut (fault kind node_cut): an
// entry that does not read the logs itself is informed only by peers that the source is reachable
// again, and must then remove a server that leaves.  Servers kept too long failed the DRAIN check
// (run pcf-cutline scale-2, seed 18723040966).
TEST(relay_knowledge, a_source_that_a_peer_confirms_is_not_lost_any_more)
{
    relay_harness fleet({}, {.backends = {.return_grace = 50ms}});
    fleet.add_backend("s1");
    fleet.configure(relay_harness::configuration());
    fleet.state().source_failed("cut");
    fleet.state().remove_backend("s1");
    EXPECT_NE(fleet.state().backends().find("s1"), nullptr);
    fleet.state().confirmed_by_peer(100ms);
    EXPECT_TRUE(fleet.wait_for([&] { return fleet.state().backends().find("s1") == nullptr; }));
}

namespace {

// An entry that was cut off for 2 s, in which a server was removed.
struct cut_entry {
    cut_entry()
    {
        fleet.add_backend("s1");
        fleet.configure(relay_harness::configuration());
        fleet.state().source_failed("cut");
        const millis until = fleet.core().now() + 2000ms;
        EXPECT_TRUE(fleet.wait_for([&] { return fleet.core().now() > until; }));
        fleet.state().confirmed_by_source();
        fleet.state().remove_backend("s1");
    }

    bool listed() { return fleet.state().backends().find("s1") != nullptr; }
    bool removed_within(millis time)
    {
        const millis until = fleet.core().now() + time;
        EXPECT_TRUE(fleet.wait_for([&] { return !listed() || fleet.core().now() > until; }));
        return !listed();
    }

    relay_harness fleet;
};

} // namespace

// Guards against requests at servers that left beside a cut: an entry that comes back kept them for
// longer than DrainMs, as if the store had been away and their entries had only expired (day
// zone-cut-beside-releases, kmb-jelly, seeds 1 to 4).
TEST(relay_knowledge, what_was_removed_during_a_cut_goes_if_the_store_served_others)
{
    cut_entry entry;
    entry.fleet.state().peer_source_steady(60000ms);
    EXPECT_TRUE(entry.removed_within(400ms));
}

// Guards against live servers that are dropped after an outage of the store, in which their entries
// expired.
TEST(relay_knowledge, what_expired_in_an_outage_of_the_store_is_kept_for_a_while)
{
    cut_entry entry;
    EXPECT_EQ(entry.fleet.state().source_steady_time(), 0ms);
    entry.fleet.state().peer_source_steady(100ms); // its store, too, has just come back
    EXPECT_FALSE(entry.removed_within(1500ms));
}

// The same after a restore: what the copy lacks is no sign of servers that left.
TEST(relay_knowledge, what_a_restored_store_lacks_is_kept_for_a_while)
{
    cut_entry entry;
    entry.fleet.state().source_restored();
    entry.fleet.state().peer_source_steady(60000ms);
    EXPECT_FALSE(entry.removed_within(1500ms));
}

TEST(relay_stop, finishes_open_requests_and_closes_idle_connections)
{
    relay_server_options options;
    options.lame_duck_time = 100ms;
    options.limits.stop_grace = 3000ms;
    relay_harness fleet(options);
    scripted_backend& shop = fleet.add_backend("s1");
    fleet.configure(relay_harness::configuration());
    scripted_caller& open = fleet.add_caller();
    open.send(get("/view/"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    scripted_caller& idle = fleet.add_caller();
    EXPECT_TRUE(fleet.relay().ready());
    fleet.relay().begin_stop();
    EXPECT_FALSE(fleet.relay().ready());
    // Load balancers take a while to notice the shutdown: a new connection is still served, then
    // closed.
    scripted_caller& late = fleet.add_caller();
    late.send(get("/none/"));
    EXPECT_TRUE(fleet.wait_for([&] { return late.status() == 404 && late.ended(); }));
    EXPECT_TRUE(fleet.wait_for([&] { return idle.ended(); }));
    EXPECT_FALSE(fleet.relay().idle());
    // Refused, so that the caller uses another entry.
    EXPECT_THROW(fleet.add_caller(), std::runtime_error);
    shop.respond(0, response_of("q1", "seen"));
    ASSERT_TRUE(fleet.wait_for([&] { return open.ended(); }));
    EXPECT_TRUE(open.received().ends_with("seen"));
    EXPECT_TRUE(fleet.wait_for([&] { return fleet.relay().idle(); }));
}

TEST(relay_stop, ends_what_is_still_open_at_the_end_of_its_grace)
{
    relay_server_options options;
    options.lame_duck_time = 50ms;
    options.limits.stop_grace = 200ms;
    relay_harness fleet(options);
    scripted_backend& shop = fleet.add_backend("s1");
    fleet.configure(relay_harness::configuration());
    scripted_caller& open = fleet.add_caller();
    open.send(post("/pay/", "x"));
    ASSERT_TRUE(fleet.wait_for([&] { return shop.requests() == 1; }));
    fleet.relay().begin_stop();
    ASSERT_TRUE(fleet.wait_for([&] { return open.status() != 0; }));
    EXPECT_EQ(open.status(), 502); // the request may have run
    EXPECT_TRUE(fleet.wait_for([&] { return fleet.relay().idle(); }));
}
