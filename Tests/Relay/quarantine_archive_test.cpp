// Tests that quarantined suspects are kept in a store beyond the life of all entries.

#include "kernel.h"
#include "quarantine_archive.h"
#include "relay_state.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

constexpr std::uint64_t harmful = 7;

// A store that answers at once.
struct scripted_store {
    std::map<std::uint64_t, wire::suspect_record> kept;
    bool up = true;
    bool writes_elsewhere = false; // peers write
    unsigned calls = 0;

    quarantine_archive::hooks hooks()
    {
        return {.read =
                    [this](const auto& on_end) {
                        ++calls;
                        std::vector<wire::suspect_record> records;
                        for (const auto& [hash, record] : kept) {
                            records.push_back(record);
                        }
                        on_end(up ? std::optional(records) : std::nullopt);
                    },
                .store =
                    [this](const wire::suspect_record& record, const auto& on_end) {
                        ++calls;
                        if (up) {
                            kept[record.suspect()] = record;
                        }
                        on_end(up);
                    },
                .remove =
                    [this](std::uint64_t suspect, const auto& on_end) {
                        ++calls;
                        if (up) {
                            kept.erase(suspect);
                        }
                        on_end(up);
                    },
                .should_write = [this] { return !writes_elsewhere; }};
    }
};

// An entry without network.
struct archived_entry {
    explicit archived_entry(scripted_store& store)
        : archive(core.add(std::make_unique<quarantine_archive>(core, store.hooks())))
    {
        archive.start();
    }

    void crash_servers(std::uint64_t first = 1, std::uint64_t last = 3)
    {
        wire::crash_evidence evidence;
        wire::suspect_record& record = *evidence.add_suspects();
        record.set_suspect(harmful);
        record.set_position(2);
        for (std::uint64_t server = first; server <= last; ++server) {
            record.add_crashes()->set_server(server);
        }
        state.merge_crash_evidence(evidence);
    }

    bool quarantines() const { return state.quarantined({{.hash = harmful}}).has_value(); }

    bool run_until(const std::function<bool()>& holds)
    {
        const millis until = core.now() + 10000ms;
        const kernel::timer wake = core.every(5ms, [] {});
        while (!holds() && core.now() < until) {
            event_base_loop(core.loop(), EVLOOP_ONCE);
        }
        return holds();
    }

    kernel core{{.program = "test", .instance = "entry-1"}};
    relay_state& state = core.add(std::make_unique<relay_state>(core, relay_state_options{}));
    quarantine_archive& archive;
};

} // namespace

// Guards against harmful requests that crash servers again once all entries have restarted.
TEST(quarantine_archive, is_known_to_an_entry_that_starts_when_no_other_is_left)
{
    scripted_store store;
    {
        archived_entry first(store);
        first.crash_servers();
        EXPECT_EQ(store.kept.size(), 1U);
    }
    const archived_entry next(store);
    EXPECT_TRUE(next.quarantines());
}

// Guards against a quarantine that is lost because the store was away at its start.
TEST(quarantine_archive, stores_what_was_quarantined_while_the_store_was_away)
{
    scripted_store store{.up = false};
    archived_entry entry(store);
    entry.crash_servers();
    EXPECT_TRUE(store.kept.empty());
    store.up = true;
    EXPECT_TRUE(entry.run_until([&] { return store.kept.size() == 1; }));
}

// Guards against a part that was cleared by a success and is quarantined again after a restart.
TEST(quarantine_archive, removes_what_a_success_has_cleared)
{
    scripted_store store;
    archived_entry entry(store);
    entry.crash_servers();
    entry.state.end_attempt(
        entry.state.begin_attempt({.suspects = {{.hash = harmful, .position = 2}}, .server = 9}),
        attempt_end::completed);
    EXPECT_TRUE(entry.run_until([&] {
        entry.state.backend_heard(9); // its server lives on
        return !entry.quarantines();
    }));
    EXPECT_TRUE(store.kept.empty());
}

TEST(quarantine_archive, makes_no_calls_while_peers_write_and_nothing_changes)
{
    scripted_store store{.writes_elsewhere = true};
    archived_entry entry(store);
    entry.crash_servers();
    EXPECT_EQ(store.calls, 1U) << "the read at the start";
    EXPECT_TRUE(entry.quarantines());
}

// Guards against a quarantine that a restore of the store from an older copy has undone.
TEST(quarantine_archive, stores_again_what_a_restore_has_lost)
{
    scripted_store store;
    archived_entry entry(store);
    entry.crash_servers();
    ASSERT_EQ(store.kept.size(), 1U);
    store.kept.clear();
    wire::suspect_record cleared;
    cleared.set_suspect(harmful + 1);
    store.kept[harmful + 1] = cleared;
    entry.archive.store_restored();
    EXPECT_TRUE(store.kept.contains(harmful));
    EXPECT_FALSE(store.kept.contains(harmful + 1)) << "no longer quarantined";
}

// Calls to the store are limited: one entry's repair serves all.
TEST(quarantine_archive, reads_after_a_restore_only_where_it_writes)
{
    scripted_store store;
    archived_entry entry(store);
    store.writes_elsewhere = true;
    const unsigned calls = store.calls;
    entry.archive.store_restored();
    EXPECT_EQ(store.calls, calls);
}

// Guards against crashes that are counted from zero when all entries have restarted between them.
TEST(quarantine_archive, keeps_what_is_one_crash_short_of_the_quarantine)
{
    scripted_store store;
    {
        archived_entry first(store);
        first.crash_servers(1, 2);
        EXPECT_TRUE(first.run_until([&] { return store.kept.size() == 1; }));
    }
    archived_entry next(store);
    EXPECT_FALSE(next.quarantines());
    next.crash_servers(3, 3);
    EXPECT_TRUE(next.quarantines());
    EXPECT_TRUE(next.run_until([&] { return store.kept.at(harmful).crashes_size() == 3; }))
        << "the record tells of the crash that led to the quarantine, too";
}
