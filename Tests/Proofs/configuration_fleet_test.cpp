#include "local_fleet.h"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

using namespace cyclamen::test;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

std::uint64_t revision_of(local_fleet& fleet, const local_fleet::fleet_member& member)
{
    const auto state = fleet.state(member);
    return state.is_object()
               ? state["services"]["configuration"].value("revision", std::uint64_t{0})
               : 0;
}

std::vector<local_fleet::fleet_member*> all_members(local_fleet& fleet)
{
    std::vector<local_fleet::fleet_member*> members{&fleet.entry(0), &fleet.entry(1)};
    for (local_fleet::fleet_member& member : fleet.engines()) {
        members.push_back(&member);
    }
    for (local_fleet::fleet_member& member : fleet.plain_servers()) {
        members.push_back(&member);
    }
    return members;
}

// Waits until all processes have reached the revision.  The fleet's initial configuration is
// revision 1.
bool in_force_everywhere(local_fleet& fleet, std::uint64_t revision,
                         std::chrono::milliseconds limit)
{
    return local_fleet::wait_for(
        [&] {
            for (const local_fleet::fleet_member* member : all_members(fleet)) {
                if (revision_of(fleet, *member) < revision) {
                    return false;
                }
            }
            return true;
        },
        limit);
}

// Returns the offset of the latest snapshot in the log, or 0 if there is none.
std::uint64_t latest_snapshot_offset(local_fleet& fleet)
{
    const auto page = nlohmann::json::parse(
        fleet.get(fleet.log_port(), "/streams/configuration?from=0&max=1000").body);
    std::uint64_t latest = 0;
    for (const auto& record : page["records"]) {
        const std::string data = record["data"];
        if (data.find("snapshot_offset") != std::string::npos) {
            latest = record["offset"];
        }
    }
    return latest;
}

} // namespace

TEST(configuration, is_in_force_everywhere_within_three_seconds)
{
    local_fleet fleet({});
    for (unsigned round = 0; round < 5; ++round) {
        const bool out = round % 2 == 0;
        const std::string text =
            std::string(out ? "take out" : "restore") + " availability zone zone-c";
        ASSERT_EQ(fleet.command(round % 2, text).status, 200);
        const auto started = steady::now();
        EXPECT_TRUE(in_force_everywhere(fleet, 2 + round, 3000ms));
        std::printf("in force after %lld ms\n",
                    static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                               steady::now() - started)
                                               .count()));
    }
}

TEST(configuration, lets_one_of_two_racing_operators_win)
{
    local_fleet fleet({});
    unsigned wins = 0;
    for (std::uint64_t round = 0; round < 5; ++round) {
        const std::string condition = " if revision " + std::to_string(1 + round);
        call_result first;
        call_result second;
        std::thread racer(
            [&] { first = fleet.command(0, "take out availability zone zone-a" + condition); });
        second = fleet.command(1, "take out availability zone zone-b" + condition);
        racer.join();
        const unsigned won = (first.status == 200 ? 1U : 0U) + (second.status == 200 ? 1U : 0U);
        const call_result& loser = first.status == 200 ? second : first;
        EXPECT_EQ(won, 1U) << first.body << second.body;
        EXPECT_EQ(loser.status, 409) << loser.body;
        EXPECT_NE(loser.body.find("by ada"), std::string::npos) << loser.body;
        wins += won;
    }
    EXPECT_EQ(wins, 5U);
}

TEST(configuration, survives_lost_answers_of_the_log_and_its_outage)
{
    local_fleet fleet({});
    fleet.post(fleet.log_port(), "/faults", {{"lose_answers", 1}});
    const call_result lost = fleet.command(0, "take out availability zone zone-a", "", "order-1");
    EXPECT_EQ(lost.status, 200)
        << lost.body; // the append took effect although its response was lost
    EXPECT_TRUE(in_force_everywhere(fleet, 2, 3000ms));
    fleet.post(fleet.log_port(), "/faults", {{"outage", true}});
    const call_result during_outage =
        fleet.command(0, "take out availability zone zone-b", "", "order-2");
    EXPECT_EQ(during_outage.status, 504) << during_outage.body;
    EXPECT_NE(during_outage.body.find("show command order-2"), std::string::npos);
    // A process that starts during the outage gets the configuration from its peers.
    fleet.engine(0).process->kill();
    fleet.restart(fleet.engine(0));
    EXPECT_TRUE(in_force_everywhere(fleet, 2, 5000ms));
    fleet.post(fleet.log_port(), "/faults", {{"outage", false}});
    EXPECT_EQ(fleet.command(1, "take out availability zone zone-b", "", "order-2").status, 200);
    EXPECT_TRUE(in_force_everywhere(fleet, 3, 3000ms));
}

TEST(configuration, outlives_all_processes_and_the_retention_of_the_log)
{
    local_fleet fleet({.entry_settings = {{"configuration", "snapshot_every = 8\n"}},
                       .agent_settings = {{"configuration", "snapshot_every = 8\n"}}});
    for (unsigned round = 0; round < 12; ++round) {
        const bool out = round % 2 == 0;
        ASSERT_EQ(
            fleet.command(0, std::string(out ? "drain" : "restore") + " backend server engine-3")
                .status,
            200);
    }
    ASSERT_EQ(fleet.command(0, "take out availability zone zone-c").status, 200);
    ASSERT_TRUE(in_force_everywhere(fleet, 14, 3000ms));
    ASSERT_EQ(fleet.command(0, "drain backend server engine-2").status, 200);
    // Further records, so that a new snapshot becomes due.
    for (unsigned round = 0; round < 8; ++round) {
        ASSERT_EQ(fleet.command(0, "quarantine request 00ff").status, 200);
    }
    ASSERT_TRUE(in_force_everywhere(fleet, 23, 3000ms));
    // Retention drops all records before the latest snapshot.
    std::uint64_t snapshot_offset = 0;
    ASSERT_TRUE(local_fleet::wait_for([&] {
        snapshot_offset = latest_snapshot_offset(fleet);
        return snapshot_offset > 0;
    }));
    fleet.post(fleet.log_port(), "/faults",
               {{"stream", "configuration"}, {"drop_before", snapshot_offset}});
    for (local_fleet::fleet_member* member : all_members(fleet)) {
        member->process->kill();
    }
    for (local_fleet::fleet_member* member : all_members(fleet)) {
        fleet.restart(*member);
    }
    EXPECT_TRUE(in_force_everywhere(fleet, 23, 5000ms)) << fleet.logs();
    EXPECT_EQ(fleet.state(fleet.entry(0))["services"]["configuration"]["zones_out"].size(), 1U);
}

TEST(configuration, never_reverts_at_a_process_that_slept)
{
    local_fleet fleet({});
    fleet.engine(2).process->signal(SIGSTOP);
    ASSERT_EQ(fleet.command(0, "take out availability zone zone-a").status, 200);
    ASSERT_EQ(fleet.command(0, "restore availability zone zone-a").status, 200);
    fleet.engine(2).process->signal(SIGCONT);
    EXPECT_TRUE(in_force_everywhere(fleet, 3, 3000ms));
    std::uint64_t last = 0;
    for (unsigned sample = 0; sample < 50; ++sample) {
        const std::uint64_t now = revision_of(fleet, fleet.engine(2));
        EXPECT_GE(now, last);
        last = now;
    }
}

TEST(configuration, is_ordered_with_the_operators_program)
{
    local_fleet fleet({.engines = 1, .plain_servers = 1});
    const auto run = [&](const std::string& words) {
        const std::string key = fleet.folder() + "/key";
        std::ofstream(key) << local_fleet::operator_key << "\n";
        const std::string line =
            std::string(CYCLAMEN_BINARIES) + "/Source/cyclamen-ctl --entry 127.0.0.1:" +
            std::to_string(fleet.entry(0).operator_port) + " --key-file " + key + " " + words;
        std::string output;
        std::FILE* pipe = popen((line + " 2>&1").c_str(), "r");
        char chunk[256];
        while (std::fgets(chunk, sizeof(chunk), pipe) != nullptr) {
            output += chunk;
        }
        const int status = pclose(pipe);
        return std::make_pair(WEXITSTATUS(status), output);
    };
    EXPECT_EQ(run("take out availability zone zone-b"),
              std::make_pair(0, std::string("accepted at revision 2\n")));
    EXPECT_EQ(run("restore availability zone zone-b if revision 1"),
              std::make_pair(3, std::string("conflict with revision 2 by ada\n")));
    const auto [status, output] = run("show availability zones where state = out");
    EXPECT_EQ(status, 0);
    EXPECT_EQ(output, "name    state  servers  in_flight\nzone-b  out    0        0\n");
    EXPECT_EQ(run("show nothing").first, 1);
    EXPECT_EQ(run("--colour blue show models").first, 2);
}

TEST(configuration, is_not_shown_without_a_credential)
{
    local_fleet fleet({.engines = 1, .plain_servers = 1});
    const unsigned port = fleet.entry(0).operator_port;
    EXPECT_EQ(fleet.get(port, "/healthz").status, 200);
    EXPECT_EQ(fleet.get(port, "/state").status, 401);
    EXPECT_EQ(fleet.get(port, "/counters", "wrong-key").status, 401);
    EXPECT_EQ(fleet.get(port, "/counters", local_fleet::operator_key).status, 200);
}
