// Tests how a mirror of a log tells that it has skipped records.

#include "record_mirror.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

// The values of a server are its incarnation and a counter.
class skipped_records : public testing::Test {
protected:
    static std::string incarnation(const mirrored_record& record)
    {
        return record.value->substr(0, record.value->find(':'));
    }

    static mirrored_record record(std::uint64_t offset, const std::string& key,
                                  std::optional<std::string> value)
    {
        return {.key = key, .value = std::move(value), .offset = offset};
    }

    void read(std::uint64_t offset, const std::string& key, std::optional<std::string> value)
    {
        mirror.apply(record(offset, key, std::move(value)));
        mirror.advance(offset + 1);
    }

    // Lists the records of two servers, as an entry does at its start.
    void list_two()
    {
        mirror.apply_listing({record(0, "s1", "a:1"), record(1, "s2", "b:1")}, 2);
        EXPECT_EQ(gaps, 1U) << "nothing is known of what came before";
        gaps = 0;
    }

    unsigned gaps = 0;
    record_mirror mirror{{.on_change = [](const mirrored_record& /*record*/) {},
                          .continues =
                              [](const mirrored_record& earlier, const mirrored_record& later) {
                                  return incarnation(earlier) == incarnation(later);
                              },
                          .on_gap = [this] { ++gaps; }}};
};

} // namespace

TEST_F(skipped_records, are_none_while_the_log_is_read_on)
{
    list_two();
    read(2, "s3", "c:1");
    read(3, "s3", std::nullopt);
    read(4, "s1", "d:1");
    mirror.apply(record(5, "s1", "d:2"));
    mirror.apply(record(6, "s2", "b:2"));
    mirror.advance(7);
    EXPECT_EQ(gaps, 0U);
}

// review/12: guards against a server that came and left while an entry stood still, and is in no
// listing.
TEST_F(skipped_records, are_noticed_when_the_log_is_listed_again)
{
    list_two();
    mirror.apply_listing({record(2, "s1", "a:2"), record(5, "s2", "b:2")}, 6);
    EXPECT_EQ(gaps, 1U);
    mirror.apply_listing({record(2, "s1", "a:2"), record(5, "s2", "b:2")}, 6);
    EXPECT_EQ(gaps, 1U) << "nothing was written in between";
}

// A peer passes the newest records on: those of a server that joined and left, or started again
// with other software and back, hide what it was in between.
TEST_F(skipped_records, are_noticed_in_the_records_of_a_peer)
{
    list_two();
    mirror.apply(record(4, "s3", std::nullopt));
    mirror.advance(5);
    EXPECT_EQ(gaps, 1U) << "s3 has come and left";
    mirror.apply(record(7, "s1", "e:1"));
    mirror.advance(8);
    EXPECT_EQ(gaps, 2U) << "s1 may have started twice";
    mirror.advance(9);
    EXPECT_EQ(gaps, 3U) << "the record was not received";
}

// Each server writes again and again: what a peer leaves out of that is no gap, or there would be
// one each second.
TEST_F(skipped_records, do_not_count_between_records_of_the_same_incarnation)
{
    list_two();
    mirror.apply(record(4, "s1", "a:3"));
    mirror.apply(record(5, "s2", "b:3"));
    mirror.advance(6);
    EXPECT_EQ(gaps, 0U);
    mirror.apply(record(6, "s3", "c:1"));
    mirror.apply(record(7, "s1", "a:4"));
    mirror.advance(8);
    EXPECT_EQ(gaps, 0U) << "no record is left out";
}

TEST_F(skipped_records, are_noticed_after_a_restore)
{
    list_two();
    mirror.enter_era(1);
    mirror.apply_listing({record(0, "s1", "a:1")}, 1);
    EXPECT_EQ(gaps, 1U);
}
