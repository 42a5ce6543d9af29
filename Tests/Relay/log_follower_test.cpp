// Tests how log_follower lists and follows a log of keyed records.  The test supplies the
// responses of the log.

#include "kernel.h"
#include "log_follower.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <stdexcept>

using namespace cyclamen;

namespace {

class log_follower_listing : public testing::Test {
protected:
    log_follower_listing()
        : mirror({.on_change =
                      [this](const mirrored_record& record) {
                          if (record.key == harmful_key) {
                              throw std::runtime_error("record");
                          }
                      }}),
          follower(core, {.name = "servers"}, mirror,
                   {.list =
                        [this](const std::optional<std::string>& after,
                               std::function<void(keyed_log_page)> on_page) {
                            listed_after = after.value_or("");
                            pending_call = std::move(on_page);
                        },
                    .read =
                        [this](std::uint64_t from, millis /*wait*/,
                               std::function<void(keyed_log_page)> on_page) {
                            read_from = from;
                            pending_call = std::move(on_page);
                        },
                    .should_read = {},
                    .on_page_received = [] {},
                    .on_failed = [this](const std::string& /*why*/) { ++failures; },
                    .on_records_applied = [this] { ++updates; }})
    {
        follower.start();
    }

    // Completes the open call with `page`.
    void reply(keyed_log_page page) { std::exchange(pending_call, {})(std::move(page)); }

    // Runs the event loop until the follower makes a call; returns false if it makes none in 5 s.
    bool wait_for_call()
    {
        const millis until = core.now() + 5s;
        while (!pending_call && core.now() < until) {
            event_base_loop(core.loop(), EVLOOP_NONBLOCK);
        }
        return pending_call != nullptr;
    }

    static mirrored_record record(const std::string& key, std::uint64_t offset)
    {
        return {.key = key, .value = "x", .offset = offset};
    }

    kernel core{{.program = "test", .instance = "test"}};
    record_mirror mirror;
    log_follower follower;
    std::function<void(keyed_log_page)> pending_call;
    std::string listed_after;
    std::string harmful_key; // of records that cannot be handled
    std::uint64_t read_from = 0;
    unsigned failures = 0;
    unsigned updates = 0;
};

} // namespace

TEST_F(log_follower_listing, each_page_of_a_long_list_serves_at_once)
{
    reply({.end = log_call_status::answered,
           .records = {record("a", 3), record("b", 5)},
           .log_end = 8,
           .next_page_after = "b"});
    EXPECT_EQ(listed_after, "b");
    EXPECT_EQ(mirror.size(), 2U);
    EXPECT_FALSE(mirror.position()) << "position must be unset before the last list page";
    EXPECT_EQ(updates, 1U);
    reply({.end = log_call_status::answered, .records = {record("c", 9)}, .log_end = 10});
    EXPECT_EQ(mirror.size(), 3U);
    EXPECT_EQ(read_from, 8U) << "reading must start at the log end of the first list page";
}

TEST_F(log_follower_listing, a_key_that_no_page_names_was_dropped)
{
    reply({.end = log_call_status::answered, .records = {record("a", 3)}, .log_end = 4});
    EXPECT_EQ(read_from, 4U);
    reply({.end = log_call_status::truncated});
    reply({.end = log_call_status::answered, .records = {record("b", 20)}, .log_end = 21});
    ASSERT_EQ(mirror.listing().size(), 1U);
    EXPECT_EQ(mirror.listing()[0].key, "b");
}

TEST_F(log_follower_listing, a_failed_page_keeps_what_came_before)
{
    reply({.end = log_call_status::answered,
           .records = {record("a", 3)},
           .log_end = 8,
           .next_page_after = "a"});
    reply({.end = log_call_status::failed, .error = "status 503"});
    EXPECT_EQ(failures, 1U);
    EXPECT_FALSE(follower.answered());
    EXPECT_EQ(mirror.size(), 1U);
}

// Guards against a tight loop against a store that announces records but sends none.
TEST_F(log_follower_listing, waits_after_a_page_that_brought_nothing)
{
    reply({.end = log_call_status::answered, .records = {record("a", 3)}, .log_end = 4});
    ASSERT_TRUE(pending_call);
    const millis replied_at = core.now();
    reply({.end = log_call_status::answered, .log_end = 9});
    EXPECT_FALSE(pending_call) << "the log must not be read again at once";
    ASSERT_TRUE(wait_for_call());
    EXPECT_GE(core.now() - replied_at, log_follower_options{}.read_interval / 2);
    EXPECT_EQ(read_from, 4U);
    reply({.end = log_call_status::answered, .records = {record("b", 4)}, .log_end = 9});
    EXPECT_TRUE(pending_call) << "a page with records must be followed by the next at once";
    EXPECT_EQ(read_from, 5U);
}

// Guards against a listing without end of a store that sends the same pages again and again.
TEST_F(log_follower_listing, a_list_that_does_not_advance_has_failed)
{
    const auto page = [](const std::string& key) {
        return keyed_log_page{.end = log_call_status::answered,
                              .records = {record(key, 3)},
                              .log_end = 8,
                              .next_page_after = key};
    };
    reply(page("a"));
    reply(page("b"));
    EXPECT_TRUE(follower.answered());
    reply(page("a"));
    EXPECT_FALSE(pending_call) << "the next page must not be requested at once";
    EXPECT_EQ(failures, 1U);
    EXPECT_FALSE(follower.answered());
    EXPECT_EQ(updates, 2U);
    ASSERT_TRUE(wait_for_call());
    EXPECT_EQ(listed_after, "b");
    reply({.end = log_call_status::answered, .records = {record("c", 5)}, .log_end = 8});
    EXPECT_TRUE(follower.answered());
    EXPECT_EQ(mirror.size(), 3U);
    // A later listing starts over.
    reply({.end = log_call_status::truncated});
    reply(page("a"));
    EXPECT_EQ(failures, 1U);
    EXPECT_EQ(listed_after, "a");
}

// Guards against a log that is followed at offsets which it had before it was restored from an
// older copy: what is written there again was ignored, and the log was listed over and over.
TEST_F(log_follower_listing, starts_over_when_the_log_was_restored_from_an_older_copy)
{
    reply({.end = log_call_status::answered, .records = {record("a", 3)}, .log_end = 4, .era = 1});
    EXPECT_EQ(read_from, 4U);
    reply({.end = log_call_status::truncated, .era = 2});
    reply({.end = log_call_status::answered, .records = {record("a", 1)}, .log_end = 2, .era = 2});
    ASSERT_TRUE(pending_call);
    EXPECT_EQ(read_from, 2U);
    reply({.end = log_call_status::answered,
           .records = {{.key = "a", .value = "changed", .offset = 2}},
           .log_end = 3,
           .era = 2});
    ASSERT_EQ(mirror.listing().size(), 1U);
    EXPECT_EQ(mirror.listing()[0].value, "changed");
}

// Guards against a listing that joins pages from before and after a restore.
TEST_F(log_follower_listing, starts_over_when_the_log_is_restored_between_two_pages)
{
    reply({.end = log_call_status::answered,
           .records = {record("a", 3)},
           .log_end = 8,
           .era = 1,
           .next_page_after = "a"});
    EXPECT_EQ(listed_after, "a");
    reply({.end = log_call_status::answered, .records = {record("c", 1)}, .log_end = 2, .era = 2});
    EXPECT_EQ(listed_after, "") << "the first page must be requested again";
    EXPECT_FALSE(mirror.position());
    reply({.end = log_call_status::answered,
           .records = {record("a", 0), record("c", 1)},
           .log_end = 2,
           .era = 2});
    EXPECT_EQ(read_from, 2U);
    EXPECT_EQ(mirror.era(), 2U);
}

// Guards against records that a read finds beyond the ones which the restored log has in place of
// those that the mirror knows: the log was longer again before anybody looked.
TEST_F(log_follower_listing, lists_a_restored_log_that_has_grown_again)
{
    reply({.end = log_call_status::answered,
           .records = {record("a", 1), record("b", 3)},
           .log_end = 4,
           .era = 1});
    reply({.end = log_call_status::answered, .records = {record("d", 4)}, .log_end = 5, .era = 2});
    EXPECT_EQ(mirror.find("d"), nullptr) << "offsets 2 and 3 may have other records by now";
    reply({.end = log_call_status::answered,
           .records = {record("a", 1), record("c", 2), record("d", 4)},
           .log_end = 5,
           .era = 2});
    EXPECT_EQ(read_from, 5U);
    EXPECT_NE(mirror.find("c"), nullptr);
}

// A response that was on its way while a peer told of the restore.
TEST_F(log_follower_listing, ignores_what_it_hears_from_an_earlier_era)
{
    reply({.end = log_call_status::answered, .records = {record("a", 3)}, .log_end = 4, .era = 1});
    mirror.enter_era(2);
    mirror.apply_listing({}, 2);
    reply({.end = log_call_status::answered, .records = {record("b", 4)}, .log_end = 5, .era = 1});
    EXPECT_EQ(mirror.find("b"), nullptr);
    EXPECT_EQ(mirror.position(), 2U);
    ASSERT_TRUE(wait_for_call());
    EXPECT_EQ(read_from, 2U);
    reply({.end = log_call_status::answered, .records = {record("b", 4)}, .log_end = 5, .era = 1});
    EXPECT_EQ(mirror.find("b"), nullptr);
    EXPECT_EQ(failures, 1U);
}

// Guards against a tight loop of listings, as after a restore that was not recognized.
TEST_F(log_follower_listing, waits_before_it_lists_again_in_vain)
{
    const auto list = [&] {
        reply({.end = log_call_status::answered, .records = {record("a", 3)}, .log_end = 4});
    };
    list();
    reply({.end = log_call_status::truncated});
    list();
    reply({.end = log_call_status::truncated});
    EXPECT_FALSE(pending_call);
    ASSERT_TRUE(wait_for_call());
    list();
    reply({.end = log_call_status::answered, .records = {record("b", 4)}, .log_end = 5});
    EXPECT_NE(mirror.find("b"), nullptr);
}

// Guards against an entry that hears of nothing any more because one record could not be handled.
TEST_F(log_follower_listing, goes_on_after_a_record_that_cannot_be_handled)
{
    harmful_key = "a";
    reply({.end = log_call_status::answered, .records = {record("a", 3)}, .log_end = 4});
    EXPECT_EQ(failures, 1U);
    harmful_key.clear();
    ASSERT_TRUE(wait_for_call());
    reply({.end = log_call_status::answered, .records = {record("b", 3)}, .log_end = 4});
    EXPECT_EQ(read_from, 4U);
    harmful_key = "c";
    reply({.end = log_call_status::answered,
           .records = {record("c", 4)},
           .log_end = 5,
           .next_offset = 5});
    EXPECT_EQ(failures, 2U);
    EXPECT_TRUE(wait_for_call());
}
