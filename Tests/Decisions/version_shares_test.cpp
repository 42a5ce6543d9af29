// Tests how streams are assigned to software versions.

#include "version_shares.h"

#include <gtest/gtest.h>

using namespace cyclamen;

TEST(version_shares, assign_streams_in_proportion_to_the_weights)
{
    const version_shares shares({{.version = "v1", .weight = 1}, {.version = "v2", .weight = 3}});
    constexpr unsigned streams = 10000;
    unsigned first = 0;
    for (std::uint64_t stream = 0; stream < streams; ++stream) {
        first += shares.version_of(stream) == "v1" ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(first) / streams, 0.25, 0.02);
    EXPECT_DOUBLE_EQ(shares.part_of("v2"), 0.75);
    EXPECT_DOUBLE_EQ(shares.part_of("v3"), 0);
}

// Entries on machines of different kinds read each other's shares.
TEST(version_shares, assign_the_same_streams_everywhere)
{
    const version_shares shares({{.version = "v2", .weight = 5}, {.version = "v1", .weight = 3}});
    const version_shares same({{.version = "v1", .weight = 3}, {.version = "v2", .weight = 5}});
    EXPECT_EQ(shares, same);
    std::string assigned;
    for (std::uint64_t stream = 1; stream <= 12; ++stream) {
        assigned += shares.version_of(stream * 0x9e3779b97f4a7c15U).back();
    }
    EXPECT_EQ(assigned, "222221211222");
}

TEST(version_shares, take_what_a_record_may_hold)
{
    const version_shares heavy(
        {{.version = "v1", .weight = UINT32_MAX}, {.version = "v2", .weight = UINT32_MAX}});
    EXPECT_DOUBLE_EQ(heavy.part_of("v1"), 0.5);
    const version_shares weightless({{.version = "v1", .weight = 0}, {.version = "v2"}});
    EXPECT_EQ(weightless.single(), "v2");
    EXPECT_EQ(weightless.version_of(1), "v2");
    EXPECT_EQ(version_shares({}).version_of(1), "") << "no server has this version";
}
