// Tests what an entry remembers of the software versions at which streams began.

#include "stream_origins.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

stream_origin origin(std::uint64_t stream, const std::string& version)
{
    return {.stream = stream, .service = "shop", .version = version};
}

} // namespace

TEST(stream_origins, remembers_the_last_version_of_a_stream_for_its_retention)
{
    stream_origins origins;
    origins.record(origin(1, "v1"), 0ms);
    EXPECT_EQ(origins.find(1, "shop", 10ms), "v1");
    origins.record(origin(1, "v2"), 20ms); // the first server rejected it
    EXPECT_EQ(origins.find(1, "shop", 30ms), "v2");
    EXPECT_FALSE(origins.find(1, "office", 30ms));
    EXPECT_FALSE(origins.find(1, "shop", 60020ms));
    origins.sweep(60020ms);
    EXPECT_EQ(origins.size(), 0U);
}

TEST(stream_origins, are_bounded)
{
    stream_origins origins({.max_streams = 2});
    for (std::uint64_t stream = 1; stream <= 3; ++stream) {
        origins.record(origin(stream, "v1"), 0ms);
    }
    EXPECT_EQ(origins.size(), 2U);
    EXPECT_FALSE(origins.find(1, "shop", 0ms));
}

// Guards against streams that are refused although any server can continue them, and against ones
// that continue at the wrong version because the servers of the right one have just left.
TEST(stream_origins, know_the_version_of_any_stream_only_while_there_was_no_other)
{
    stream_origins origins;
    EXPECT_FALSE(origins.only_version("shop", 0ms));
    origins.note_version("shop", "v1", 0ms);
    EXPECT_EQ(origins.only_version("shop", 10ms), "v1");
    origins.set_past_known(false);
    EXPECT_FALSE(origins.only_version("shop", 10ms)) << "other servers may just have left";
    origins.set_past_known(true);
    origins.note_version("shop", "v2", 20ms);
    EXPECT_FALSE(origins.only_version("shop", 59000ms));
    origins.note_version("shop", "v2", 60000ms);
    EXPECT_EQ(origins.only_version("shop", 60000ms), "v2");
}

// Calls to the store are limited: while all servers have one version, nothing needs to be told.
TEST(stream_origins, are_told_once_there_are_several_versions)
{
    stream_origins origins;
    origins.note_version("shop", "v1", 0ms);
    origins.record(origin(1, "v1"), 0ms);
    origins.merge(origin(2, "v1"), 0ms);
    EXPECT_TRUE(origins.take_unshared(10ms).empty());
    EXPECT_TRUE(origins.take_unarchived(10ms).empty());
    origins.note_version("shop", "v2", 20ms);
    ASSERT_EQ(origins.take_unshared(20ms).size(), 1U) << "streams that began before, too";
    const auto archived = origins.take_unarchived(20ms);
    EXPECT_EQ(archived.size(), 2U) << "those of the peers, too";
    origins.merge(origin(2, "v1"), 30ms);
    EXPECT_TRUE(origins.take_unshared(30ms).empty());
    EXPECT_TRUE(origins.take_unarchived(30ms).empty());
    origins.archive_failed(archived);
    EXPECT_EQ(origins.take_unarchived(40ms).size(), 2U);
    origins.archive_lost();
    EXPECT_EQ(origins.take_unarchived(50ms).size(), 2U);
}
