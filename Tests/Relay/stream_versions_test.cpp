// Tests that an event stream continues only at the software version that began it.

#include "hashing.h"
#include "relay_harness.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

class stream_versions : public testing::Test {
protected:
    stream_versions() { fleet.configure(relay_harness::configuration()); }

    // The store goes away, long enough ago to be told from one that answers.
    void lose_store()
    {
        store_answers.reset();
        const millis until = fleet.core().now() + 600ms;
        ASSERT_TRUE(fleet.wait_for([&] { return fleet.core().now() > until; }));
        fleet.state().source_failed("down");
    }

    void add_server(const std::string& id, const std::string& version)
    {
        servers.push_back(&fleet.add_backend(id));
        versions.push_back(version);
        seen.push_back(0);
        backend_entry entry = fleet.state().backends().find(id)->entry;
        entry.software_version = version;
        ++entry.sequence;
        fleet.state().update_backend(entry);
    }

    scripted_caller& send(const std::string& id, const std::string& headers = "")
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(fmt::format("POST /resume/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\n"
                                "Authorization: Bearer k1\r\nContent-Length: 1\r\n{}\r\nx",
                                id, headers));
        return caller;
    }

    static std::string take_up_of(const std::string& id)
    {
        return fmt::format("Last-Event-Id: 1\r\nResumes: {}\r\n", id);
    }

    // Returns the index of the server that the next request arrives at; the number of servers if
    // `caller` gets a response before.
    std::size_t next_server(scripted_caller& caller)
    {
        std::size_t at = servers.size();
        EXPECT_TRUE(fleet.wait_for([&] {
            for (at = 0; at < servers.size() && servers[at]->requests() == seen[at];) {
                ++at;
            }
            return at < servers.size() || caller.status() != 0;
        }));
        if (at < servers.size()) {
            ++seen[at];
        }
        return at;
    }

    void answer(std::size_t at, const std::string& id, const std::string& events)
    {
        servers[at]->respond(servers[at]->requests() - 1,
                             fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\n"
                                         "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                                         id, events.size(), events));
    }

    void end_answer(std::size_t at)
    {
        servers[at]->respond(servers[at]->requests() - 1, "0\r\n\r\n");
    }

    void break_off(std::size_t at) { servers[at]->reset(servers[at]->requests() - 1); }

    // Begins a stream that its caller breaks off after the first event; returns its version.
    std::string begin_and_break_off(const std::string& id)
    {
        scripted_caller& caller = send(id);
        const std::size_t first = next_server(caller);
        answer(first, id, "id: 1\ndata: a\n\n");
        EXPECT_TRUE(
            fleet.wait_for([&] { return caller.received().find("data: a") != std::string::npos; }));
        caller.close();
        EXPECT_TRUE(fleet.wait_for(
            [&] { return servers[first]->closed_by_relay(servers[first]->requests() - 1); }));
        return versions[first];
    }

    relay_harness fleet;
    std::optional<kernel::timer> store_answers =
        fleet.core().every(100ms, [this] { fleet.state().confirmed_by_source(); });
    std::vector<scripted_backend*> servers;
    std::vector<std::string> versions;
    std::vector<std::size_t> seen; // requests that the test has handled, by server
};

} // namespace

// Guards against answers with events of two software versions: a retry within the answer took any
// server.
TEST_F(stream_versions, a_broken_stream_goes_on_at_the_version_that_began_it)
{
    for (const char* id : {"s1", "s2", "s3", "s4"}) {
        add_server(id, id < std::string("s3") ? "v1" : "v2");
    }
    for (const char* id : {"q1", "q2", "q3", "q4"}) {
        scripted_caller& caller = send(id);
        const std::size_t first = next_server(caller);
        answer(first, id, "id: 1\ndata: a\n\n");
        ASSERT_TRUE(
            fleet.wait_for([&] { return caller.received().find("data: a") != std::string::npos; }));
        break_off(first);
        std::size_t next = servers.size();
        ASSERT_TRUE(fleet.wait_for([&] {
            for (next = 0; next < servers.size() && servers[next]->requests() == seen[next];) {
                ++next;
            }
            return next < servers.size();
        }));
        ++seen[next];
        EXPECT_EQ(versions[next], versions[first]) << id;
        answer(next, id, "id: 2\ndata: b\n\n");
        end_answer(next);
        ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("0\r\n\r\n"); }));
    }
}

// Guards against answers with events of two software versions: a caller that took its stream up
// again got any server.
TEST_F(stream_versions, a_stream_that_is_taken_up_goes_on_at_the_version_that_began_it)
{
    for (const char* id : {"s1", "s2", "s3", "s4"}) {
        add_server(id, id == std::string("s1") || id == std::string("s3") ? "v1" : "v2");
    }
    ASSERT_EQ(begin_and_break_off("q1"), "v1");
    backend_entry leaving = fleet.state().backends().find("s1")->entry;
    leaving.draining = true;
    ++leaving.sequence;
    fleet.state().update_backend(leaving);
    // The second take-up names the attempt that brought the first event, too.
    for (const char* attempt : {"q2", "q3"}) {
        scripted_caller& caller = send(attempt, take_up_of("q1"));
        const std::size_t at = next_server(caller);
        ASSERT_LT(at, servers.size());
        EXPECT_EQ(versions[at], "v1");
        answer(at, attempt, "id: 2\ndata: b\n\n");
        end_answer(at);
        ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("0\r\n\r\n"); }));
    }
}

// Guards against events of another version, and against a caller that waits in vain: no server can
// continue the stream.
TEST_F(stream_versions, a_stream_is_refused_at_once_when_no_server_of_its_version_is_left)
{
    add_server("s1", "v1");
    begin_and_break_off("q1");
    add_server("s2", "v2");
    fleet.state().remove_backend("s1");
    const millis sent_at = fleet.core().now();
    scripted_caller& caller = send("q2", take_up_of("q1"));
    EXPECT_EQ(next_server(caller), servers.size());
    EXPECT_EQ(caller.status(), 503);
    EXPECT_LT(fleet.core().now() - sent_at, 100ms);
}

// Guards against a server that starts again under its id with other software: the streams of its
// old version came to it until its new entry was read.
TEST_F(stream_versions, a_server_that_may_have_restarted_continues_a_stream_last)
{
    add_server("s1", "v1");
    add_server("s2", "v1");
    scripted_caller& caller = send("q1");
    const std::size_t first = next_server(caller);
    answer(first, "q1", "id: 1\ndata: a\n\n");
    ASSERT_TRUE(
        fleet.wait_for([&] { return caller.received().find("data: a") != std::string::npos; }));
    break_off(first);
    const std::size_t second = next_server(caller);
    ASSERT_NE(second, first);
    answer(second, "q1", "id: 2\ndata: b\n\n");
    end_answer(second);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("0\r\n\r\n"); }));
    // The first server may run v2 from now on, and its entry does not tell yet.
    for (const char* attempt : {"q2", "q3", "q4"}) {
        scripted_caller& again = send(attempt, take_up_of("q1"));
        const std::size_t at = next_server(again);
        EXPECT_EQ(at, second);
        answer(at, attempt, "id: 2\ndata: b\n\n");
        end_answer(at);
    }
}

TEST_F(stream_versions, a_server_that_has_restarted_continues_no_stream_until_it_is_listed)
{
    add_server("s1", "v1");
    begin_and_break_off("q1");
    backend& server = *fleet.state().backends().find("s1");
    fleet.state().backend_unreachable(server, true);
    scripted_caller& refused = send("q2", take_up_of("q1"));
    EXPECT_EQ(next_server(refused), servers.size());
    EXPECT_EQ(refused.status(), 503);
    backend_entry restarted = server.entry;
    ++restarted.started_at;
    fleet.state().update_backend(restarted);
    scripted_caller& again = send("q3", take_up_of("q1"));
    EXPECT_EQ(next_server(again), 0U);
}

// Guards against a stream of the old software at a server that started again, with other software,
// while the store was away: the entry that is asked has not seen the crash, only its peer has.
TEST_F(stream_versions, a_server_that_a_peer_has_lost_continues_no_stream_while_the_store_is_away)
{
    add_server("s1", "v1");
    begin_and_break_off("q1");
    lose_store();
    wire::crash_evidence news;
    news.add_doubted()->set_server(fleet.state().backends().find("s1")->incarnation());
    fleet.state().merge_crash_evidence(news);
    scripted_caller& refused = send("q2", take_up_of("q1"));
    EXPECT_EQ(next_server(refused), servers.size());
    EXPECT_EQ(refused.status(), 503);
    // A stream that begins goes there: nothing ties it to a version yet.
    EXPECT_EQ(next_server(send("q3")), 0U);
}

TEST_F(stream_versions, a_lost_server_is_told_to_peers_once)
{
    add_server("s1", "v1");
    unsigned told = 0;
    fleet.state().crash_evidence_found.connect([&](const wire::crash_evidence& news) {
        told += static_cast<unsigned>(news.doubted_size());
    });
    for (const char* id : {"q1", "q2", "q3"}) {
        scripted_caller& caller = send(id);
        const std::size_t at = next_server(caller);
        answer(at, id, "id: 1\ndata: a\n\n");
        ASSERT_TRUE(
            fleet.wait_for([&] { return caller.received().find("data: a") != std::string::npos; }));
        break_off(at);
        ASSERT_TRUE(
            fleet.wait_for([&] { return fleet.state().backends().find("s1")->lost_at > 0ms; }));
    }
    EXPECT_EQ(told, 1U);
}

namespace {

// Servers of two versions, of which v1 is the default; the test confirms where streams begin.
class unconfirmed_starts : public stream_versions {
protected:
    unconfirmed_starts()
    {
        for (const char* id : {"s1", "s2", "s3"}) {
            add_server(id, id == std::string("s3") ? "v2" : "v1");
        }
        fleet.state().set_default_version("shop", "v1", fleet.core().now());
        fleet.state().announce_origin = [this](std::uint64_t /*stream*/, origin_duty /*duty*/,
                                               std::function<void(bool)> on_told) {
            starts.push_back(std::move(on_told));
        };
    }

    // The archive did not confirm the start of a stream in time.
    void leave_unconfirmed(std::size_t start)
    {
        fleet.state().archive_failed();
        std::exchange(starts.at(start), nullptr)(false);
    }

    // Begins a stream at v2, which has sent its first event; the caller waits for it.
    scripted_caller& begin_at_v2(const std::string& id)
    {
        for (const char* other : {"s1", "s2"}) {
            drain(other, true);
        }
        scripted_caller& caller = send(id);
        EXPECT_EQ(next_server(caller), 2U);
        for (const char* other : {"s1", "s2"}) {
            drain(other, false);
        }
        answer(2, id, "id: 1\ndata: from v2\n\n");
        fleet.run_for(50ms);
        EXPECT_EQ(caller.received(), "") << "also no head: it belongs to the events";
        return caller;
    }

    void drain(const std::string& id, bool draining)
    {
        backend_entry entry = fleet.state().backends().find(id)->entry;
        entry.draining = draining;
        ++entry.sequence;
        fleet.state().update_backend(entry);
    }

    std::vector<std::function<void(bool)>> starts;
};

} // namespace

// review/8: guards against streams whose start at another version than the default was known to
// the entries alone, so that they went on at the default version after all had been killed.
TEST_F(unconfirmed_starts, begin_again_at_the_default_version)
{
    scripted_caller& caller = begin_at_v2("q1");
    ASSERT_EQ(starts.size(), 1U);
    leave_unconfirmed(0);
    const std::size_t next = next_server(caller);
    ASSERT_LT(next, 2U);
    EXPECT_TRUE(fleet.wait_for([&] { return servers[2]->closed_by_relay(0); }));
    ASSERT_EQ(starts.size(), 2U) << "the peers have heard of v2";
    starts[1](true);
    answer(next, "q1", "id: 1\ndata: from v1\n\n");
    end_answer(next);
    ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("0\r\n\r\n"); }));
    EXPECT_EQ(caller.received().find("v2"), std::string::npos);
    EXPECT_NE(caller.received().find("data: from v1"), std::string::npos);
}

// review/11: the same if its servers are full; they decide what they take.
TEST_F(unconfirmed_starts, begin_again_at_the_default_version_although_it_has_no_slot)
{
    scripted_caller& caller = begin_at_v2("q1");
    for (const char* id : {"s1", "s2"}) {
        backend& server = *fleet.state().backends().find(id);
        fleet.state().backends().record_load(server, {.running = server.entry.slots},
                                             fleet.core().now());
    }
    leave_unconfirmed(0);
    EXPECT_LT(next_server(caller), 2U);
    EXPECT_EQ(caller.received(), "");
}

// review/11: guards against streams that go on where no archive can tell that they began there.
TEST_F(unconfirmed_starts, fail_if_the_default_version_has_no_server)
{
    scripted_caller& caller = begin_at_v2("q1");
    for (const char* id : {"s1", "s2"}) {
        drain(id, true);
    }
    leave_unconfirmed(0);
    ASSERT_TRUE(fleet.wait_for([&] { return !caller.received().empty(); }));
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 502")) << caller.received();
    EXPECT_EQ(caller.received().find("from v2"), std::string::npos);
}

TEST_F(unconfirmed_starts, are_refused_at_once_if_the_default_version_has_no_server)
{
    for (const char* id : {"s1", "s2"}) {
        drain(id, true);
    }
    fleet.state().archive_failed();
    scripted_caller& caller = send("q1");
    ASSERT_TRUE(fleet.wait_for([&] { return !caller.received().empty(); }));
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 503")) << caller.received();
    EXPECT_TRUE(starts.empty());
}

// Callers must not pay for an outage of the store: while it lasts, streams begin at once where they
// need no record, also beyond the usual bound of load.
TEST_F(unconfirmed_starts, are_avoided_while_the_archive_is_away)
{
    fleet.state().archive_failed();
    const unsigned slots = fleet.state().backends().find("s1")->entry.slots;
    for (unsigned number = 0; number < 2 * slots + 2; ++number) {
        EXPECT_LT(next_server(send(fmt::format("q{}", number))), 2U) << number;
    }
    EXPECT_TRUE(starts.empty());
}

// Where versions share the streams, each begins at its own, also if that of others has a server
// with less load.
TEST_F(unconfirmed_starts, are_avoided_at_each_version_that_shares_the_streams)
{
    const version_shares halves({{.version = "v1"}, {.version = "v2"}});
    fleet.state().set_default_versions("shop", halves, fleet.core().now());
    fleet.state().archive_failed();
    for (unsigned number = 0; number < 20; ++number) {
        const std::string id = fmt::format("q{}", number);
        const bool second = halves.version_of(hash_of(id)) == "v2";
        EXPECT_EQ(next_server(send(id)) == 2, second) << id;
    }
    EXPECT_TRUE(starts.empty());
}

TEST_F(unconfirmed_starts, are_avoided_until_the_source_has_answered_again)
{
    lose_store();
    fleet.state().archive_failed();
    fleet.run_for(1100ms);
    EXPECT_EQ(fleet.state().unrecorded_version("shop", 1), "v1");
    fleet.state().confirmed_by_source();
    EXPECT_FALSE(fleet.state().unrecorded_version("shop", 1));
}
