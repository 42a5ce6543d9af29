// Tests how entries tell each other, and those that start later, where streams began.

#include "hashing.h"
#include "kernel.h"
#include "origin_exchange.h"
#include "relay_state.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

// A store that answers at once, or not at all.
struct scripted_archive {
    std::map<std::uint64_t, wire::stream_origins> slots;
    bool up = true;
    unsigned writes = 0;
    unsigned reads = 0;
};

struct exchanging_entry {
    explicit exchanging_entry(scripted_archive& archive)
        : origins(core.add(
              std::make_unique<origin_exchange>(core, origin_exchange_options{}, hooks(archive))))
    {
        origins.start();
        state.start();
    }

    origin_exchange::hooks hooks(scripted_archive& archive)
    {
        return {.send =
                    [this](const wire::stream_origins& message) {
                        std::size_t receivers = 0;
                        for (exchanging_entry* peer : peers) {
                            ++receivers;
                            if (const auto reply = peer->origins.handle(message)) {
                                replies.push_back(*reply);
                            }
                        }
                        return receivers;
                    },
                .is_archiver = [this] { return archives; },
                .archive =
                    [&archive](std::uint64_t slot, const wire::stream_origins& batch,
                               const std::function<void(bool)>& on_end) {
                        ++archive.writes;
                        if (archive.up) {
                            archive.slots[slot] = batch;
                        }
                        on_end(archive.up);
                    },
                .read_archive =
                    [&archive](const auto& on_end) {
                        ++archive.reads;
                        std::vector<wire::stream_origins> batches;
                        for (const auto& [slot, batch] : archive.slots) {
                            batches.push_back(batch);
                        }
                        on_end(archive.up ? std::optional(batches) : std::nullopt);
                    },
                .read_servers =
                    [this](const auto& on_end) {
                        if (in_step && on_read_servers) {
                            on_read_servers();
                        }
                        on_end(in_step);
                    }};
    }

    void list(const std::string& id, const std::string& version, std::uint64_t started_at = 1)
    {
        state.update_backend({.id = id,
                              .service = "shop",
                              .address = {.host = "127.0.0.1", .port = 1},
                              .started_at = started_at,
                              .software_version = version});
    }

    void begin_stream(std::uint64_t stream, const std::string& version)
    {
        state.origins().record({.stream = stream, .service = "shop", .version = version},
                               core.now());
    }

    // The version at which the stream can continue; "unknown" if none was found, "-" while the
    // search goes on.
    std::string& look_for(std::uint64_t stream)
    {
        results.push_back("-");
        std::string& result = results.back();
        state.find_origin(stream, "shop", [&result](const std::optional<std::string>& version) {
            result = version.value_or("unknown");
        });
        return result;
    }

    bool run_until(const std::function<bool()>& holds)
    {
        const millis until = core.now() + 10000ms;
        const kernel::timer wake = core.every(5ms, [] {});
        while (!holds() && core.now() < until) {
            event_base_loop(core.loop(), EVLOOP_ONCE);
            for (const wire::stream_origins& reply : std::exchange(replies, {})) {
                origins.handle(reply);
            }
        }
        return holds();
    }

    std::string found(std::uint64_t stream)
    {
        const std::string& result = look_for(stream);
        EXPECT_TRUE(run_until([&] { return result != "-"; }));
        return result;
    }

    kernel core{{.program = "test", .instance = "entry"}};
    std::vector<exchanging_entry*> peers;
    std::vector<wire::stream_origins> replies;
    std::list<std::string> results;
    bool archives = true;
    bool in_step = true;                   // the store answers reads of the list of servers
    std::function<void()> on_read_servers; // brings what the list holds
    relay_state& state = core.add(std::make_unique<relay_state>(core, relay_state_options{}));
    origin_exchange& origins;
};

} // namespace

// Guards against streams that continue at another version, or are refused, after all entries were
// killed at once: only the store remembers then.
TEST(origin_exchange, tells_entries_that_start_when_no_other_is_left)
{
    scripted_archive archive;
    {
        exchanging_entry first(archive);
        first.list("s1", "v1");
        first.begin_stream(1, "v1");
        first.list("s2", "v2");
        first.begin_stream(2, "v2");
        EXPECT_TRUE(first.run_until([&] { return !archive.slots.empty(); }));
    }
    exchanging_entry next(archive);
    next.list("s2", "v2"); // the server of the other version has left
    EXPECT_EQ(next.found(1), "v1");
    EXPECT_EQ(next.found(2), "v2");
    EXPECT_EQ(next.found(3), "unknown") << "began at either version";
    EXPECT_EQ(archive.reads, 1U);
}

// Calls to the store cost: a fleet whose servers have one version makes hardly any.
TEST(origin_exchange, calls_the_store_only_where_versions_differ)
{
    scripted_archive archive;
    exchanging_entry entry(archive);
    entry.list("s1", "v1");
    for (std::uint64_t stream = 1; stream <= 100; ++stream) {
        entry.begin_stream(stream, "v1");
    }
    const millis end = entry.core.now() + 300ms;
    entry.run_until([&] { return entry.core.now() > end; });
    EXPECT_EQ(archive.writes + archive.reads, 0U);
    EXPECT_EQ(entry.found(7777), "v1") << "no other version has served";
    EXPECT_EQ(archive.reads, 1U);
    EXPECT_EQ(entry.found(8888), "v1");
    EXPECT_EQ(archive.reads, 1U);
}

TEST(origin_exchange, asks_the_peers_before_the_store)
{
    scripted_archive archive;
    exchanging_entry first(archive);
    first.archives = false;
    first.list("s1", "v1");
    first.list("s2", "v2");
    first.begin_stream(1, "v1");
    exchanging_entry started(archive);
    started.list("s1", "v1");
    started.list("s2", "v2");
    started.peers = {&first};
    EXPECT_EQ(started.found(1), "v1");
    EXPECT_EQ(archive.reads, 0U);
    EXPECT_EQ(started.found(2), "unknown");
    EXPECT_EQ(archive.reads, 1U) << "the peer did not know, either";
}

// A peer that was killed or cut off does not answer.
TEST(origin_exchange, does_not_wait_long_for_a_silent_peer_or_store)
{
    scripted_archive archive{.up = false};
    exchanging_entry silent(archive);
    exchanging_entry entry(archive);
    entry.list("s1", "v1");
    entry.list("s2", "v2");
    const std::string& result = entry.look_for(1);
    EXPECT_EQ(result, "unknown");
    entry.peers = {&silent};
    const std::string& slow = entry.look_for(2);
    const millis asked_at = entry.core.now();
    entry.replies.clear(); // lost
    EXPECT_TRUE(entry.run_until([&] { return slow == "unknown"; }));
    EXPECT_LT(entry.core.now() - asked_at, 500ms);
}

// Guards against streams that are missing in the archive because the store was away, or came back
// from an older copy.
TEST(origin_exchange, archives_later_what_the_store_did_not_take_or_has_lost)
{
    scripted_archive archive{.up = false};
    exchanging_entry entry(archive);
    entry.list("s1", "v1");
    entry.list("s2", "v2");
    entry.begin_stream(1, "v1");
    EXPECT_TRUE(entry.run_until([&] { return archive.writes > 1; }));
    archive.up = true;
    EXPECT_TRUE(entry.run_until([&] { return !archive.slots.empty(); }));
    archive.slots.clear();
    entry.origins.store_restored();
    EXPECT_TRUE(entry.run_until([&] { return !archive.slots.empty(); }));
}

// An id that starts again with other software: its streams of before have no server left.
TEST(origin_exchange, counts_the_version_that_an_id_had_before_it_started_again)
{
    scripted_archive archive;
    exchanging_entry entry(archive);
    entry.list("s1", "v1");
    EXPECT_EQ(entry.found(1), "v1");
    entry.begin_stream(2, "v1");
    entry.list("s1", "v2", 2);
    EXPECT_EQ(entry.found(2), "v1");
    EXPECT_EQ(entry.found(3), "unknown");
}

// Guards against streams that only the entry knows that began them: it may be killed next.
TEST(origin_exchange, shares_the_streams_of_an_entry_with_its_peers)
{
    scripted_archive archive;
    exchanging_entry peer(archive);
    exchanging_entry entry(archive);
    entry.peers = {&peer};
    entry.archives = false;
    for (exchanging_entry* each : {&peer, &entry}) {
        each->list("s1", "v1");
        each->list("s2", "v2");
    }
    entry.begin_stream(1, "v1");
    EXPECT_TRUE(entry.run_until(
        [&] { return peer.state.origins().find(1, "shop", peer.core.now()) == "v1"; }));
    EXPECT_TRUE(peer.run_until([&] { return !archive.slots.empty(); }))
        << "the peer archives them for all";
}

// release: guards against a stream that goes on at another version because the entry at which it is
// taken up, or a peer, has not heard of the version that began it.
TEST(origin_exchange, does_not_guess_while_the_entry_is_out_of_step)
{
    scripted_archive archive;
    exchanging_entry first(archive);
    exchanging_entry behind(archive);
    first.list("s1", "v1");
    behind.list("s1", "v1");
    EXPECT_EQ(behind.found(7), "v1") << "in step, with servers of one version";
    first.list("s2", "v2");
    first.begin_stream(1, "v2");
    behind.in_step = false; // cut off from the others and from the store
    EXPECT_EQ(behind.found(1), "unknown");
    exchanging_entry other(archive);
    other.list("s1", "v1");
    other.list("s2", "v2");
    behind.in_step = true;
    other.peers = {&behind};
    EXPECT_EQ(other.found(1), "unknown") << "the peer does not know";
}

// The same for an entry that comes back into step, and learns of the version by that.
TEST(origin_exchange, knows_after_it_has_read_the_list_to_its_end)
{
    scripted_archive archive;
    exchanging_entry entry(archive);
    entry.list("s1", "v1");
    EXPECT_EQ(entry.found(7), "v1");
    entry.on_read_servers = [&] { entry.list("s2", "v2"); };
    EXPECT_EQ(entry.found(1), "unknown") << "began at either version";
}
