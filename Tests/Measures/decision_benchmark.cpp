#include "backend_chooser.h"
#include "claim_ledger.h"
#include "configuration_state.h"
#include "hashing.h"
#include "load_estimator.h"
#include "placement.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <random>

using namespace cyclamen;

namespace {

// Returns the resident memory of this process in bytes.
std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t pages = 0;
    file >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void rank_in_a_pool(benchmark::State& state)
{
    std::mt19937_64 random(1);
    std::vector<placement_candidate> engines;
    for (std::uint32_t index = 0; index < state.range(0); ++index) {
        engines.push_back({random(), index});
    }
    std::uint64_t chat = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(rank_engines({.prefix = chat / 64, .chat = chat}, engines, 2, 8));
        ++chat;
    }
}
BENCHMARK(rank_in_a_pool)->Arg(12)->Arg(333)->Arg(1333)->Arg(12000);

// Creates a table with `count` idle engines of one service in two zones.
backend_table make_backend_table(std::int64_t count)
{
    backend_table table;
    for (std::int64_t index = 0; index < count; ++index) {
        table.put({.id = "i-" + std::to_string(index),
                   .service = "engine",
                   .zone = index % 3 == 0 ? "a" : "b",
                   .slots = 64,
                   .started_at = 1},
                  1000ms);
    }
    return table;
}

// Builds the backend table from a list of backend servers and reads their mean load.
void take_a_list_of_backends(benchmark::State& state)
{
    for (auto _ : state) {
        const backend_table table = make_backend_table(state.range(0));
        benchmark::DoNotOptimize(table.mean_load("engine", 1000ms));
    }
}
BENCHMARK(take_a_list_of_backends)->Arg(50)->Arg(300)->Arg(3000);

// The second argument is 1 if each request has a prefix segment, the third 1 if the expected load
// decides.
void choose_a_backend(benchmark::State& state)
{
    backend_table table = make_backend_table(state.range(0));
    const relay_service service{.name = "engine"};
    const prefix_locations locations;
    backend_chooser chooser({.zone = "a", .even_load = state.range(2) != 0});
    std::uint64_t prompt = 0;
    for (auto _ : state) {
        ++prompt;
        backend_criteria criteria{.service = "engine", .locations = &locations};
        if (state.range(1) != 0) {
            criteria.segment_hashes = {prompt};
        }
        benchmark::DoNotOptimize(chooser.choose(table, service, criteria, 2000ms));
    }
}
BENCHMARK(choose_a_backend)->ArgsProduct({{50, 300, 3000}, {0, 1}, {0, 1}});

// Replaces one peer entry's numbers of requests in flight, at up to 40 servers.
void take_counts_of_a_peer(benchmark::State& state)
{
    backend_table table = make_backend_table(state.range(0));
    std::mt19937_64 random(1);
    constexpr unsigned peers = 300;
    constexpr unsigned counts_per_peer = 40;
    std::uint64_t turn = 0;
    for (auto _ : state) {
        std::map<std::uint32_t, unsigned> counts;
        for (unsigned row = 0; row < counts_per_peer; ++row) {
            const std::string id =
                "i-" + std::to_string(random() % static_cast<std::uint64_t>(state.range(0)));
            counts[static_cast<std::uint32_t>(hash_of(id))] = 1;
        }
        table.set_peer_in_flight(std::to_string(++turn % peers), std::move(counts));
    }
}
BENCHMARK(take_counts_of_a_peer)->Arg(50)->Arg(300)->Arg(3000);

// Computes an engine's load cap from the reports of its peers.
void cap_of_an_engine(benchmark::State& state)
{
    load_estimator estimator({});
    estimator.set_pool_size(static_cast<unsigned>(state.range(0)));
    for (std::int64_t peer = 0; peer + 1 < state.range(0); ++peer) {
        estimator.record(std::to_string(peer), static_cast<unsigned>(peer % 16), true, 10ms);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(estimator.cap(5, 100ms));
    }
}
BENCHMARK(cap_of_an_engine)->Arg(12)->Arg(50)->Arg(160)->Arg(333);

void apply_a_claim(benchmark::State& state)
{
    const std::size_t before = resident_bytes();
    claim_ledger ledger;
    std::uint64_t offset = 0;
    for (auto _ : state) {
        claim_record record;
        record.claims.push_back(
            {.key = fmt::format("account/018f0000-0000-7000-8000-{:012}", offset),
             .token = fmt::format("desk-1/0123456789abcdef/{}", offset),
             .fingerprint = offset});
        ledger.apply(offset, millis(static_cast<std::int64_t>(offset)), record);
        ++offset;
    }
    state.counters["bytes_per_key"] =
        static_cast<double>(resident_bytes() - before) / static_cast<double>(ledger.size());
}
BENCHMARK(apply_a_claim)->Iterations(50000);
BENCHMARK(apply_a_claim)->Iterations(100000);
BENCHMARK(apply_a_claim)->Iterations(200000);
BENCHMARK(apply_a_claim)->Iterations(400000);

// Returns a configuration record that adds a client account.
std::string account_record(std::uint64_t number)
{
    configuration_command command{.id = fmt::format("id-{}", number), .by = "operator"};
    command.orders.push_back(
        {.verb = order_verb::put,
         .subject = subject_kind::client_account,
         .name = fmt::format("account-{}", number),
         .fields = {{"credential_sha256", fmt::format("{:064x}", number)}, {"weight", "1"}}});
    return command.encode();
}

void apply_a_configuration_record(benchmark::State& state)
{
    std::vector<std::string> records;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        records.push_back(account_record(static_cast<std::uint64_t>(number)));
    }
    for (auto _ : state) {
        configuration_state configuration;
        for (std::size_t at = 0; at < records.size(); ++at) {
            configuration.apply(at, records[at]);
        }
        benchmark::DoNotOptimize(configuration.revision());
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(apply_a_configuration_record)->Arg(100)->Arg(400)->Arg(1600);

void take_a_snapshot(benchmark::State& state)
{
    configuration_state configuration;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        configuration.apply(static_cast<std::uint64_t>(number),
                            account_record(static_cast<std::uint64_t>(number)));
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = configuration.snapshot().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(take_a_snapshot)->Arg(100)->Arg(400)->Arg(800)->Arg(1600);

} // namespace

BENCHMARK_MAIN();
