#include "configuration_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace cyclamen;

namespace {

// A generated command.  The ranges of its values are small, so that commands often share an id,
// a zone or an expected revision.
struct generated_command {
    unsigned id = 0;
    unsigned zone = 0;
    bool out = false;
    bool conditional = false;
    unsigned expected = 0;
};

std::string record_of(const generated_command& command)
{
    configuration_command record{.id = "id-" + std::to_string(command.id), .by = "operator"};
    if (command.conditional) {
        record.expected_revision = command.expected;
    }
    record.orders.push_back({.verb = command.out ? order_verb::take_out : order_verb::restore,
                             .subject = subject_kind::availability_zone,
                             .name = "zone-" + std::to_string(command.zone),
                             .fields = {}});
    return record.encode();
}

// Reference model: replays the complete log from the first command.
struct naive_state {
    std::uint64_t revision = 0;
    std::set<std::string> out;

    explicit naive_state(const std::vector<generated_command>& log)
    {
        std::set<unsigned> seen;
        for (const generated_command& command : log) {
            if (!seen.insert(command.id).second) {
                continue;
            }
            if (command.conditional && command.expected != revision) {
                continue;
            }
            ++revision;
            const std::string zone = "zone-" + std::to_string(command.zone);
            if (command.out) {
                out.insert(zone);
            }
            else {
                out.erase(zone);
            }
        }
    }
};

std::set<std::string> zones_of(const configuration_state& state)
{
    std::set<std::string> zones;
    for (const auto& [zone, revision] : state.zones_out()) {
        zones.insert(zone);
    }
    return zones;
}

} // namespace

namespace rc {

template <>
struct Arbitrary<generated_command> {
    static Gen<generated_command> arbitrary()
    {
        return gen::build<generated_command>(
            gen::set(&generated_command::id, gen::inRange(0U, 60U)),
            gen::set(&generated_command::zone, gen::inRange(0U, 3U)),
            gen::set(&generated_command::out), gen::set(&generated_command::conditional),
            gen::set(&generated_command::expected, gen::inRange(0U, 8U)));
    }
};

} // namespace rc

// Records arrive late, duplicated and out of order, and sometimes a snapshot of another reader is
// restored: the state must equal the reference model's at its offset and never go back.
RC_GTEST_PROP(configuration_state, agrees_with_the_naive_replay_at_every_offset,
              (const std::vector<generated_command>& log))
{
    configuration_state reader;
    configuration_state other;
    std::uint64_t last = 0;
    for (std::size_t count = 0; count < 4 * log.size(); ++count) {
        const auto at = *rc::gen::inRange<std::size_t>(0, log.size());
        const bool other_reads = *rc::gen::arbitrary<bool>();
        (other_reads ? other : reader).apply(at, record_of(log[at]));
        if (*rc::gen::inRange(0, 8) == 0) {
            reader.restore(other.snapshot());
        }
        RC_ASSERT(reader.revision() >= last);
        last = reader.revision();
        const std::vector<generated_command> replayed(
            log.begin(), log.begin() + static_cast<std::ptrdiff_t>(reader.offset()));
        const naive_state naive(replayed);
        RC_ASSERT(reader.revision() == naive.revision);
        RC_ASSERT(zones_of(reader) == naive.out);
    }
}

RC_GTEST_PROP(configuration_state, snapshots_of_equal_states_are_equal,
              (const std::vector<generated_command>& log))
{
    configuration_state replayed;
    for (std::size_t at = 0; at < log.size(); ++at) {
        replayed.apply(at, record_of(log[at]));
    }
    configuration_state restored;
    restored.restore(replayed.snapshot());
    RC_ASSERT(log.empty() || restored.snapshot() == replayed.snapshot());
}

TEST(configuration_state, a_credential_belongs_to_one_account)
{
    const auto put = [](const std::string& id, const std::string& name) {
        configuration_command record{.id = id, .by = "operator"};
        record.orders.push_back({.verb = order_verb::put,
                                 .subject = subject_kind::client_account,
                                 .name = name,
                                 .fields = {{"credential_sha256", std::string(64, 'a')}}});
        return record.encode();
    };
    configuration_state state;
    state.apply(0, put("1", "first"));
    state.apply(1, put("2", "second"));
    EXPECT_EQ(state.account_of(std::string(64, 'a')), "first");
    EXPECT_EQ(state.command("2")->result, command_result::invalid);
}
