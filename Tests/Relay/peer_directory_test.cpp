// Tests how entries find each other through the store.  Gossip is a model: entries that are linked
// hear each other, and of all that these hear.

#include "kernel.h"
#include "peer_directory.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace cyclamen;

namespace {

constexpr peer_directory_options fast{.settle_time = 50ms,
                                      .spread = 200ms,
                                      .hearing_time = 60ms,
                                      .retry = 50ms,
                                      .interval = 400ms,
                                      .removal_time = 900ms};

class entries_with_a_store : public testing::Test {
protected:
    struct entry {
        std::string address;
        std::size_t group = 0;
        bool alive = true;
        std::unique_ptr<peer_directory> directory;
    };

    void start(std::size_t count)
    {
        const std::size_t first = entries.size();
        for (std::size_t index = first; index < first + count; ++index) {
            entry& added = entries.emplace_back();
            added.address = "entry-" + std::to_string(1000 + index);
            added.group = index;
        }
        for (std::size_t index = first; index < entries.size(); ++index) {
            entries[index].directory =
                std::make_unique<peer_directory>(core, fast, hooks(entries[index]));
            entries[index].directory->start();
        }
    }

    peer_directory::hooks hooks(entry& self)
    {
        return {.own_address = self.address,
                .leads =
                    [this, &self] {
                        return std::none_of(entries.begin(), entries.end(), [&](const entry& each) {
                            return each.alive && each.group == self.group &&
                                   each.address < self.address;
                        });
                    },
                .hears =
                    [this, &self](const std::string& address) {
                        const entry* other = find(address);
                        return other != nullptr && other->alive && other->group == self.group;
                    },
                .add_peer = [this, &self](const std::string& address) { link(self, address); },
                .read =
                    [this](const auto& on_end) {
                        ++reads;
                        on_end(up ? std::optional(
                                        std::vector<std::string>(listed.begin(), listed.end()))
                                  : std::nullopt);
                    },
                .add_self =
                    [this, &self](const auto& on_end) {
                        ++writes;
                        if (up) {
                            listed.insert(self.address);
                        }
                        on_end(up);
                    },
                .remove =
                    [this](const std::vector<std::string>& addresses) {
                        for (const std::string& address : addresses) {
                            listed.erase(address);
                        }
                    }};
    }

    entry* find(const std::string& address)
    {
        const auto found = std::find_if(entries.begin(), entries.end(),
                                        [&](const entry& each) { return each.address == address; });
        return found == entries.end() ? nullptr : &*found;
    }

    void link(entry& self, const std::string& address)
    {
        const entry* other = find(address);
        if (cut || other == nullptr || !other->alive) {
            return;
        }
        const std::size_t joined = other->group;
        for (entry& each : entries) {
            each.group = each.group == joined ? self.group : each.group;
        }
    }

    bool all_linked() const
    {
        return std::all_of(entries.begin(), entries.end(), [&](const entry& each) {
            return !each.alive || each.group == entries.front().group;
        });
    }

    bool run_until(const std::function<bool()>& holds, millis limit = 5000ms)
    {
        const millis until = core.now() + limit;
        const kernel::timer wake = core.every(5ms, [] {});
        while (!holds() && core.now() < until) {
            event_base_loop(core.loop(), EVLOOP_ONCE);
        }
        return holds();
    }

    kernel core{{.program = "test", .instance = "test", .random_seed = 7}};
    std::deque<entry> entries;
    std::set<std::string> listed;
    bool up = true;   // the store answers
    bool cut = false; // no link comes about
    std::size_t reads = 0;
    std::size_t writes = 0;
};

} // namespace

// review/9: guards against entries that never hear of each other because all seeds are stale: each
// took itself for the only one that archives, reads the logs, and owns the retry budget.
TEST_F(entries_with_a_store, find_each_other_without_a_seed)
{
    start(8);
    EXPECT_TRUE(run_until([&] { return all_linked(); }));
}

// The store takes 400 writes and 2,000 reads a second of all entries together.
TEST_F(entries_with_a_store, find_each_other_by_few_calls_when_300_start_at_once)
{
    start(300);
    EXPECT_TRUE(run_until([&] { return all_linked(); }));
    EXPECT_LE(writes, 100U);
    EXPECT_LE(reads, 600U);
}

// An entry whose seeds answer has no need of the list, and calls cost.
TEST_F(entries_with_a_store, leave_the_list_to_the_one_that_leads)
{
    start(20);
    for (entry& each : entries) {
        each.group = 0;
    }
    EXPECT_TRUE(run_until([&] { return !listed.empty(); }));
    run_until([] { return false; }, 300ms);
    EXPECT_EQ(listed.size(), 1U);
    EXPECT_EQ(writes, 1U);
    EXPECT_LE(reads, 3U);
}

// Guards against two parts of a fleet that stay apart after a partition: each has forgotten the
// other, and its seeds lie on one side only.
TEST_F(entries_with_a_store, meet_again_after_a_partition)
{
    cut = true;
    start(6);
    for (std::size_t index = 0; index < 6; ++index) {
        entries[index].group = index / 3;
    }
    ASSERT_TRUE(run_until([&] { return listed.size() == 2; }));
    EXPECT_FALSE(all_linked());
    cut = false;
    EXPECT_TRUE(run_until([&] { return all_linked(); }));
}

TEST_F(entries_with_a_store, find_those_that_start_while_it_is_away_when_it_is_back)
{
    up = false;
    start(3);
    run_until([] { return false; }, 500ms);
    EXPECT_FALSE(all_linked());
    up = true;
    EXPECT_TRUE(run_until([&] { return all_linked(); }));
}

// Machines leave without a word; the list must not grow with them, nor lose those that live.
TEST_F(entries_with_a_store, drop_those_that_are_gone_and_list_those_again_that_were_dropped)
{
    listed.insert("gone");
    start(2);
    ASSERT_TRUE(run_until([&] { return all_linked() && listed.contains(entries[0].address); }));
    EXPECT_TRUE(run_until([&] { return !listed.contains("gone"); }));
    EXPECT_TRUE(listed.contains(entries[0].address));
    listed.clear(); // the store was restored from an older copy
    EXPECT_TRUE(run_until([&] { return listed.contains(entries[0].address); }));
}
