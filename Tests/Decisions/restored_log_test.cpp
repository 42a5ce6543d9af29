// Tests what a mirror of a log keeps when the log is restored from an older copy.

#include "record_mirror.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

// A value of this form contains a version: "v" and a digit.
std::partial_ordering compare_versions(const mirrored_record& left, const mirrored_record& right)
{
    if (!left.value->starts_with("v") || !right.value->starts_with("v")) {
        return std::partial_ordering::unordered;
    }
    return left.value->at(1) <=> right.value->at(1);
}

class restored_log : public testing::Test {
protected:
    static record_mirror::hooks hooks()
    {
        return {.on_change = [](const mirrored_record& /*record*/) {},
                .compare_versions = compare_versions};
    }

    static mirrored_record record(std::uint64_t era, std::uint64_t offset, const std::string& key,
                                  std::optional<std::string> value)
    {
        return {.key = key, .value = std::move(value), .offset = offset, .era = era};
    }

    // Follows a log whose first era holds a configuration, then takes zone "b" out and puts zone
    // "a" back into service, and then holds another configuration.
    static record_mirror first_era()
    {
        record_mirror mirror(hooks());
        mirror.enter_era(1);
        mirror.apply_listing({record(1, 0, "config", "v1"), record(1, 1, "out/a", "yes")}, 2);
        mirror.apply(record(1, 2, "out/b", "yes"));
        mirror.apply(record(1, 3, "out/a", std::nullopt));
        mirror.apply(record(1, 4, "config", "v2"));
        mirror.advance(5);
        return mirror;
    }

    // The restored copy has the first two records.
    static void list_copy(record_mirror& mirror, std::uint64_t era = 2)
    {
        mirror.enter_era(era);
        mirror.note_end(2);
        mirror.apply_listing({record(era, 0, "config", "v1"), record(era, 1, "out/a", "yes")}, 2);
    }

    static std::string value(const record_mirror& mirror, const std::string& key)
    {
        const mirrored_record* found = mirror.find(key);
        return found == nullptr ? "-" : found->value.value_or("-");
    }

    // Sends to `to` what its peer `from` would.
    static void exchange(const record_mirror& from, record_mirror& to)
    {
        const bool listing = to.era() < from.era();
        to.enter_era(from.era());
        to.note_end(*from.position());
        for (const auto& [era, begin] : from.restores().begins()) {
            to.add_restore({.era = era, .offset = begin});
        }
        if (listing) {
            to.apply_listing(from.listing(), *from.position());
            return;
        }
        for (const mirrored_record& each : from.records_since(0)) {
            to.apply(each);
        }
    }
};

} // namespace

// Guards against orders that come back older, since the copy lacks the newer ones.
TEST_F(restored_log, keeps_what_was_lost_until_it_is_written_again)
{
    record_mirror mirror = first_era();
    list_copy(mirror);
    EXPECT_EQ(mirror.position(), 2U);
    EXPECT_EQ(value(mirror, "config"), "v2");
    EXPECT_EQ(value(mirror, "out/a"), "-");
    EXPECT_EQ(value(mirror, "out/b"), "yes");
    EXPECT_EQ(mirror.lost(), 3U);
    mirror.apply(record(2, 2, "out/a", std::nullopt));
    mirror.apply(record(2, 3, "config", "v2"));
    mirror.apply(record(2, 4, "out/b", "yes"));
    EXPECT_EQ(mirror.lost(), 0U);
    mirror.apply(record(2, 5, "out/b", std::nullopt));
    EXPECT_EQ(value(mirror, "out/b"), "-");
}

// Guards against a change that is ignored because it was written, at an offset that was in use
// before, while the entry was still trying to reach the store.
TEST_F(restored_log, takes_what_was_written_before_its_first_listing)
{
    record_mirror mirror = first_era();
    mirror.enter_era(2);
    mirror.note_end(4);
    mirror.apply_listing(
        {record(2, 0, "config", "v1"), record(2, 2, "out/a", "yes"), record(2, 3, "out/c", "yes")},
        4);
    EXPECT_EQ(value(mirror, "out/c"), "yes");
    EXPECT_EQ(value(mirror, "out/a"), "yes") << "offset 2 had another record, so this is a new one";
    EXPECT_EQ(value(mirror, "config"), "v2");
}

TEST_F(restored_log, prefers_a_newer_version_wherever_it_was_written)
{
    record_mirror mirror = first_era();
    mirror.enter_era(2);
    mirror.note_end(3);
    mirror.apply_listing({record(2, 1, "config", "v3")}, 3);
    EXPECT_EQ(value(mirror, "config"), "v3");
    mirror.apply(record(2, 3, "config", "v2"));
    EXPECT_EQ(value(mirror, "config"), "v2") << "within an era the log decides";
}

// Guards against records that stay for ever because nobody writes them again.
TEST_F(restored_log, gives_lost_records_up_unless_their_version_is_newer)
{
    record_mirror mirror = first_era();
    list_copy(mirror);
    mirror.end_lost_values();
    EXPECT_EQ(value(mirror, "out/b"), "-");
    EXPECT_EQ(value(mirror, "out/a"), "-") << "deletions are kept for longer";
    mirror.end_lost();
    EXPECT_EQ(value(mirror, "out/a"), "yes");
    EXPECT_EQ(value(mirror, "config"), "v2");
    EXPECT_FALSE(mirror.accepts_lost());
}

// An entry that starts after the restore has only the copy; one that was cut off has only the log
// before the restore.
TEST_F(restored_log, peers_of_two_eras_learn_what_was_lost_from_each_other)
{
    const record_mirror cut_off = first_era();
    record_mirror started(hooks());
    list_copy(started);
    EXPECT_EQ(value(started, "config"), "v1");
    exchange(cut_off, started);
    EXPECT_EQ(value(started, "config"), "v2");
    EXPECT_EQ(value(started, "out/b"), "yes");
    EXPECT_EQ(started.position(), 2U) << "the peer's position is of an earlier era";

    record_mirror noticed = first_era();
    list_copy(noticed);
    record_mirror next(hooks());
    list_copy(next);
    EXPECT_NE(next.lost_fingerprint(), noticed.lost_fingerprint());
    exchange(noticed, next);
    EXPECT_EQ(next.lost_fingerprint(), noticed.lost_fingerprint());
    EXPECT_EQ(value(next, "out/a"), "-");
    next.end_lost();
    EXPECT_EQ(value(next, "out/a"), "yes") << "knows what the log holds, too";
}

TEST_F(restored_log, an_entry_takes_the_listing_of_a_peer_that_noticed_first)
{
    record_mirror noticed = first_era();
    list_copy(noticed);
    noticed.apply(record(2, 2, "config", "v3"));
    noticed.advance(3);
    record_mirror frozen = first_era();
    exchange(noticed, frozen);
    EXPECT_EQ(frozen.era(), 2U);
    EXPECT_EQ(frozen.position(), 3U);
    EXPECT_EQ(value(frozen, "config"), "v3");
    EXPECT_EQ(value(frozen, "out/b"), "yes");
    EXPECT_EQ(frozen.lost_fingerprint(), noticed.lost_fingerprint());
}

// Two restores, the second of which an entry does not see at once.
TEST_F(restored_log, survives_a_second_restore)
{
    record_mirror mirror = first_era();
    list_copy(mirror);
    mirror.apply(record(2, 2, "config", "v3"));
    mirror.advance(3);
    mirror.enter_era(3);
    mirror.note_end(1);
    mirror.apply_listing({record(3, 0, "config", "v1")}, 1);
    EXPECT_EQ(value(mirror, "config"), "v3");
    EXPECT_EQ(value(mirror, "out/a"), "-");
    EXPECT_EQ(value(mirror, "out/b"), "yes");
    mirror.apply(record(3, 1, "config", "v4"));
    EXPECT_EQ(value(mirror, "config"), "v4");

    record_mirror missed_one = first_era();
    exchange(mirror, missed_one);
    EXPECT_EQ(missed_one.era(), 3U);
    EXPECT_EQ(value(missed_one, "config"), "v4");
    EXPECT_EQ(value(missed_one, "out/b"), "yes");
}

// A peer that has noticed the restore earlier knows better which offsets were used again.
TEST_F(restored_log, reconsiders_records_when_a_peer_knows_where_the_era_began)
{
    record_mirror late(hooks());
    late.enter_era(1);
    late.apply_listing({record(1, 7, "out/a", "yes")}, 8);
    late.apply(record(1, 9, "out/a", std::nullopt));
    late.enter_era(2);
    late.note_end(9);
    late.apply_listing({record(2, 8, "out/a", "yes")}, 9);
    EXPECT_EQ(value(late, "out/a"), "-") << "may be older than the deletion at 9";
    late.add_restore({.era = 2, .offset = 8});
    EXPECT_EQ(value(late, "out/a"), "yes");
}
