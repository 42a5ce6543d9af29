// Tests how platform_feed reads the platform's store.  The test supplies the store's responses.

#include "platform_feed.h"
#include "relay_harness.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

// Time that the entries have for a change of the configuration, from its confirmation by the store.
constexpr millis configuration_deadline = 3000ms;
// Part of it for the other entries: to hear that a reader is cut off, and to read the store
// instead.
constexpr millis takeover_time = 700ms;

bool wait_for(kernel& core, scripted_backend& store, const std::function<bool()>& condition)
{
    const millis end = core.now() + 10000ms;
    while (core.now() < end && !condition()) {
        event_base_loop(core.loop(), EVLOOP_NONBLOCK);
        store.poll();
    }
    return condition();
}

} // namespace

// Guards against an old configuration in force: entries that read the store for the others were
// cut off from it, and noticed only after the longest wait of a read had passed.
TEST(platform_feed, notices_within_the_configuration_deadline_that_the_store_is_cut_off)
{
    kernel core({.program = "test", .instance = "test"});
    scripted_backend store;
    auto& state = core.add(std::make_unique<relay_state>(core, relay_state_options{}));
    auto& feed = core.add(std::make_unique<platform::platform_feed>(
        core,
        platform::platform_feed_options{.store = {.host = "127.0.0.1", .port = store.port()}}));
    state.start();
    feed.start();
    ASSERT_TRUE(wait_for(core, store, [&] { return store.requests() == 2; }));
    for (const std::size_t listing : {0U, 1U}) {
        ASSERT_NE(store.request(listing).find("/v1/log-newest"), std::string::npos);
        store.respond(listing, response_of("", R"({"Entries":[],"HasMore":false,"EndOffset":0})"));
    }
    ASSERT_TRUE(wait_for(core, store, [&] { return store.requests() == 4; }));
    ASSERT_TRUE(feed.last_reads_answered());
    const millis cut_at = core.now(); // from here on the store is silent
    ASSERT_TRUE(wait_for(core, store, [&] { return !feed.last_reads_answered(); }));
    EXPECT_LE(core.now() - cut_at, configuration_deadline - takeover_time);
}
