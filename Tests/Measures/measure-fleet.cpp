#include "local_fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

using namespace cyclamen::test;
using namespace std::chrono_literals;

// Measures idle fleets of several sizes: control traffic, CPU time and memory of one engine
// agent, one agent of a plain service ("desk") and one entry.  Prints CSV, followed by the time
// to the first byte of a call with and without the fleet.

namespace {

constexpr auto observation_period = 6s;

std::uint64_t counter(local_fleet& fleet, const local_fleet::fleet_member& member,
                      const std::string& name)
{
    const std::string text =
        fleet.get(member.operator_port, "/counters", local_fleet::operator_key).body;
    const std::size_t at = text.find(name + " ");
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 1));
}

struct usage {
    double cpu_seconds = 0;
    double resident_mb = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

usage usage_of(local_fleet& fleet, const local_fleet::fleet_member& member)
{
    usage result;
    std::ifstream stat(fmt::format("/proc/{}/stat", member.process->pid()));
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    // After the program name, 11 fields precede utime and stime; see proc(5).
    for (int field = 0; field < 11; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    result.cpu_seconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream memory(fmt::format("/proc/{}/statm", member.process->pid()));
    double pages = 0;
    memory >> pages >> pages;
    result.resident_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576.0;
    result.bytes_in = counter(fleet, member, "peer_bytes_in");
    result.bytes_out = counter(fleet, member, "peer_bytes_out");
    return result;
}

void report(const char* role, unsigned agents, const usage& before, const usage& after)
{
    const double seconds = std::chrono::duration<double>(observation_period).count();
    fmt::print("{},{},{:.0f},{:.0f},{:.2f},{:.1f}\n", role, agents,
               static_cast<double>(after.bytes_in - before.bytes_in) / seconds,
               static_cast<double>(after.bytes_out - before.bytes_out) / seconds,
               100 * (after.cpu_seconds - before.cpu_seconds) / seconds, after.resident_mb);
}

void measure_idle(unsigned agents)
{
    local_fleet fleet({.entries = 1, .engines = agents - 1, .plain_servers = 1});
    fleet.chat(0, "warm up");
    const usage agent = usage_of(fleet, fleet.engine(0));
    const usage plain_server = usage_of(fleet, fleet.plain_server(0));
    const usage entry = usage_of(fleet, fleet.entry(0));
    const auto until = std::chrono::steady_clock::now() + observation_period;
    local_fleet::wait_for([&] { return std::chrono::steady_clock::now() >= until; },
                          observation_period + 1s);
    report("engine agent", agents, agent, usage_of(fleet, fleet.engine(0)));
    report("desk agent", agents, plain_server, usage_of(fleet, fleet.plain_server(0)));
    report("entry", agents, entry, usage_of(fleet, fleet.entry(0)));
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

// Measures the time to the first byte of a streamed chat through the fleet and directly at the
// engine.
void measure_added_time()
{
    constexpr unsigned calls = 300;
    local_fleet fleet({.entries = 1, .engines = 1, .plain_servers = 1, .token_ms = 1});
    const unsigned entry_port = fleet.entry(0).port;
    std::vector<double> via_fleet;
    std::vector<double> direct;
    for (unsigned number = 0; number < calls; ++number) {
        for (const bool fleet_call : {true, false}) {
            const auto started = std::chrono::steady_clock::now();
            std::optional<double> first;
            // chat() connects to the entry's port; the engine's port takes its place for a direct
            // call.
            fleet.entry(0).port = fleet_call ? entry_port : fleet.engine(0).backend_port;
            fleet.chat(0, fmt::format("question {}", number), true, 3, 20000,
                       [&](const std::string&) {
                           if (!first) {
                               first = std::chrono::duration<double, std::milli>(
                                           std::chrono::steady_clock::now() - started)
                                           .count();
                           }
                       });
            (fleet_call ? via_fleet : direct).push_back(first.value_or(0));
        }
    }
    fleet.entry(0).port = entry_port;
    for (const double share : {0.5, 0.95}) {
        fmt::print("first byte p{:.0f} ms: through the fleet {:.2f}, direct {:.2f}\n", 100 * share,
                   percentile(via_fleet, share), percentile(direct, share));
    }
}

} // namespace

int main()
{
    fmt::print("role,agents,bytes_in_per_s,bytes_out_per_s,cpu_percent,resident_mb\n");
    for (const unsigned agents : {4U, 8U, 16U, 32U}) {
        measure_idle(agents);
    }
    measure_added_time();
    return 0;
}
