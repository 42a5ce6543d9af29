// Tests the choice of the backend server after servers have said that they leave or want rest.  A
// word before a colon at the start of a comment names the fault pattern that the test covers.

#include "backend_chooser.h"

#include <gtest/gtest.h>

#include <set>

using namespace cyclamen;

namespace {

constexpr millis now = 100000ms;
constexpr millis rest = 3000ms;

// One service with a pool of servers in one availability zone.
struct pool {
    explicit pool(unsigned count)
    {
        for (unsigned index = 0; index < count; ++index) {
            table.put(entry(index), now);
        }
    }

    static std::string name(unsigned index) { return "s" + std::to_string(index); }

    static backend_entry entry(unsigned index, std::uint64_t started_at = 1)
    {
        return {.id = name(index),
                .service = "shop",
                .address = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(1000 + index)},
                .zone = "a",
                .slots = 8,
                .started_at = started_at,
                .sequence = 1};
    }

    backend& server(unsigned index) { return *table.find(name(index)); }

    void let_rest(unsigned index, millis time = rest)
    {
        table.words().record_rest(server(index).incarnation(), now + time, now);
    }

    backend_choice choose(millis at = now, const std::set<std::string>& tried = {})
    {
        return chooser.choose(table, service, {.service = "shop", .tried = &tried}, at);
    }

    backend_table table;
    relay_service service{.name = "shop"};
    backend_chooser chooser{{.zone = "a"}};
};

} // namespace

// shed rest: some servers turn all requests away.
TEST(server_words, keep_requests_from_a_resting_server_until_its_rest_ends)
{
    pool servers(2);
    servers.let_rest(0);
    for (millis at = now; at < now + rest; at += 100ms) {
        ASSERT_EQ(servers.choose(at).server, &servers.server(1));
        ++servers.server(1).in_flight;
        servers.server(1).in_flight %= 4;
    }
    servers.server(1).in_flight = 4;
    EXPECT_EQ(servers.choose(now + rest).server, &servers.server(0));
}

TEST(server_words, of_a_shorter_rest_do_not_end_a_longer_one)
{
    pool servers(1);
    servers.let_rest(0, 2000ms);
    servers.let_rest(0, 500ms);
    EXPECT_EQ(servers.choose(now + 1000ms).server, nullptr);
}

// A resting server is no spare, however bad the others are.
TEST(server_words, keep_requests_from_a_resting_server_if_the_others_are_outliers)
{
    pool servers(3);
    servers.let_rest(0);
    for (unsigned count = 0; count < 20; ++count) {
        servers.table.record_outcome(servers.server(1), backend_outcome::failure, now);
        servers.table.record_outcome(servers.server(2), backend_outcome::success, now);
    }
    servers.server(2).in_flight = 7;
    const backend_choice choice = servers.choose();
    ASSERT_NE(choice.server, nullptr);
    EXPECT_NE(choice.server, &servers.server(0));
}

TEST(server_words, tell_when_the_first_of_all_resting_servers_takes_requests)
{
    pool servers(3);
    servers.let_rest(0, 900ms);
    servers.let_rest(1, 300ms);
    servers.let_rest(2, 600ms);
    const backend_choice choice = servers.choose();
    EXPECT_EQ(choice.reason, resting);
    EXPECT_EQ(choice.rest_end, now + 300ms);
    EXPECT_EQ(servers.choose(now, {pool::name(1)}).rest_end, now + 600ms);
    const backend_choice hopeless =
        servers.choose(now, {pool::name(0), pool::name(1), pool::name(2)});
    EXPECT_EQ(hopeless.reason, resting);
    EXPECT_FALSE(hopeless.rest_end);
}

// A server that is unreachable or cold may take requests before the rest ends.
TEST(server_words, do_not_end_the_wait_for_a_server_that_is_kept_out_for_another_reason)
{
    pool servers(2);
    servers.let_rest(0);
    servers.table.record_connect_failure(servers.server(1), now);
    const backend_choice choice = servers.choose();
    EXPECT_EQ(choice.server, nullptr);
    EXPECT_EQ(choice.reason, "unreachable");
    EXPECT_FALSE(choice.rest_end);
}

TEST(server_words, are_followed_by_twice_as_many_requests_after_each_answer)
{
    pool servers(1);
    servers.let_rest(0);
    const std::uint64_t incarnation = servers.server(0).incarnation();
    const millis after = now + rest;
    for (const unsigned allowed : {1U, 2U, 4U}) {
        for (unsigned count = 0; count < allowed; ++count) {
            const backend_choice choice = servers.choose(after);
            ASSERT_NE(choice.server, nullptr) << allowed;
            EXPECT_TRUE(choice.trial);
        }
        EXPECT_EQ(servers.choose(after).reason, "after_rest");
        for (unsigned count = 0; count < allowed; ++count) {
            servers.table.words().end_trial(incarnation, true);
        }
    }
    for (unsigned count = 0; count < 8; ++count) {
        EXPECT_NE(servers.choose(after).server, nullptr);
        servers.table.words().end_trial(incarnation, true);
    }
    EXPECT_FALSE(servers.choose(after).trial);
}

TEST(server_words, are_followed_by_one_request_again_after_a_trial_was_turned_away)
{
    pool servers(1);
    servers.let_rest(0, 1000ms);
    const std::uint64_t incarnation = servers.server(0).incarnation();
    ASSERT_TRUE(servers.choose(now + 1000ms).trial);
    servers.table.words().end_trial(incarnation, false);
    servers.let_rest(0, 2000ms);
    EXPECT_EQ(servers.choose(now + 1500ms).server, nullptr);
    EXPECT_TRUE(servers.choose(now + 2000ms).trial);
    EXPECT_EQ(servers.choose(now + 2000ms).server, nullptr);
}

// shed rest: all servers but one rest, and the one must not get the requests of all.
TEST(server_words, do_not_overload_the_only_server_that_takes_requests)
{
    pool servers(12);
    for (unsigned index = 1; index < 12; ++index) {
        servers.let_rest(index);
    }
    unsigned sent = 0;
    while (servers.choose().server != nullptr && sent < 100) {
        ++servers.server(0).in_flight;
        ++sent;
    }
    EXPECT_EQ(sent, pool::entry(0).slots);
    EXPECT_EQ(servers.choose().reason, "full");
}

// signed: the store is silent, lags or lists the server anew while it leaves.
TEST(server_words, of_leaving_outlive_the_entries_of_their_incarnation)
{
    pool servers(1);
    servers.table.words().record_leaving(servers.server(0).incarnation(), now);
    EXPECT_EQ(servers.choose().reason, none_accepts);
    servers.table.drop(pool::name(0), now);
    servers.table.put(pool::entry(0), now);
    EXPECT_EQ(servers.choose().reason, none_accepts);
    servers.table.put(pool::entry(0, 2), now);
    EXPECT_NE(servers.choose().server, nullptr);
}

TEST(server_words, are_kept_in_bounded_memory)
{
    server_words words;
    for (std::uint64_t incarnation = 1; incarnation <= 10000; ++incarnation) {
        words.record_leaving(incarnation, millis(static_cast<std::int64_t>(incarnation)));
    }
    EXPECT_FALSE(words.leaving(1));
    EXPECT_TRUE(words.leaving(10000));
    EXPECT_EQ(words.leaving_to_report(10000ms).size(), 4096U);
}
