// Stops the platform's entry as a separate process, with grace periods of several lengths, while
// callers send requests of all lengths until the process is gone.

#include "entry_process.h"
#include "kernel.h"
#include "recording_backend.h"
#include "stand_in_store.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <optional>
#include <random>
#include <set>
#include <thread>

using namespace cyclamen;
using namespace cyclamen::test;

namespace {

constexpr unsigned caller_count = 24;
constexpr millis time_before_stop = 500ms;
// A request that is sent no later than this after the signal may be cut if its server is still at
// work in the last sixth of the grace period.
constexpr millis early = 3000ms;
constexpr int sixths_of_grace = 6;

struct sent_request {
    std::string attempt;
    std::string kind;
    test_clock::time_point sent;
    millis service_time{0};
    int status = 0; // 0 without a complete response
    bool whole = false;
};

class entry_grace : public testing::TestWithParam<int> {
protected:
    entry_grace() : grace(GetParam()), folder(make_folder())
    {
        store = &core.add(std::make_unique<stand_in_store>(core, net_address{ip(1), 8002}));
        backend = &core.add(
            std::make_unique<recording_backend>(core, net_address{ip(2), 8100}, "i-0", executions));
        entry = std::make_unique<entry_process>(
            entry_process_options{.name = "entry",
                                  .ip = ip(3),
                                  .store = {.host = ip(1), .port = 8002},
                                  .folder = folder,
                                  .grace = std::chrono::seconds(grace)});
    }

    void TearDown() override
    {
        if (!HasFailure()) {
            std::filesystem::remove_all(folder);
        }
    }

    static std::filesystem::path make_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "entry-grace-XXXXXX";
        return mkdtemp(pattern.data());
    }
    // Processes that run at the same time get addresses of their own.
    static std::string ip(unsigned host)
    {
        const auto pid = static_cast<unsigned>(getpid());
        return fmt::format("127.{}.{}.{}", 200 + pid / 8192 % 50, pid / 32 % 256,
                           pid % 32 * 8 + host);
    }

    // Sends requests one after another until the entry is gone.
    void call(unsigned number, std::vector<sent_request>& sent)
    {
        std::mt19937 random(number);
        const auto uniform = [&](int low, int high) {
            return std::uniform_int_distribution<int>(low, high)(random);
        };
        httplib::Client client(ip(3), callers_port);
        client.set_keep_alive(true);
        client.set_read_timeout(std::chrono::seconds(60));
        for (unsigned count = 0; !finished; ++count) {
            static constexpr std::array kinds{"post", "get", "stream"};
            sent_request request{.attempt = fmt::format("{}-{}", number, count),
                                 .kind = kinds.at(static_cast<std::size_t>(uniform(0, 2)))};
            request.service_time =
                millis(count % 2 == 1 ? uniform(300, grace * 1200) : uniform(5, 300));
            if (count == 0) {
                // Its connection carries the next request late: its head announces no close.
                request.kind = "stream";
                request.service_time = time_before_stop + millis(uniform(0, grace * 1000));
            }
            const httplib::Headers headers{
                {"Host", "shop.example"},
                {"Attempt-Id", request.attempt},
                {"Serve-Ms", std::to_string(request.service_time.count())},
                {"Deadline-Ms", std::to_string(request.service_time.count() + uniform(20, 15000))}};
            const std::string path = "/" + request.kind + "/" + request.attempt;
            request.sent = test_clock::now();
            const auto result = request.kind == "get"
                                    ? client.Get(path, headers)
                                    : client.Post(path, headers, "body", "text/plain");
            if (result) {
                request.status = result->status;
                request.whole = result->status != 200 || result->body.ends_with("end\n") ||
                                result->body.ends_with("end\n\n");
            }
            sent.push_back(request);
            std::this_thread::sleep_for(millis(uniform(0, 40)));
        }
    }

    void run()
    {
        store->put(orders_topic, "config", entry_configuration(1, 0));
        std::uint64_t sequence = 0;
        const auto write = [&] {
            store->put(backends_topic, "i-0", backend_record(backend->address(), ++sequence));
        };
        write();
        const kernel::timer heartbeat = core.every(1000ms, write);
        const kernel::timer limit = core.after(std::chrono::seconds(60), [this] {
            ADD_FAILURE() << "the round did not end within 60 s";
            core.stop();
        });
        std::thread control([this] { stop_entry(); });
        core.run();
        control.join();
    }

    // Starts the callers, stops the entry and waits until both are gone.
    void stop_entry()
    {
        while (entry->readiness() != 200 && !core.stopping()) {
            std::this_thread::sleep_for(5ms);
        }
        std::vector<std::thread> threads;
        for (unsigned number = 0; number < caller_count; ++number) {
            threads.emplace_back([this, number] { call(number, requests.at(number)); });
        }
        std::this_thread::sleep_for(time_before_stop);
        stopping = test_clock::now();
        entry->process().signal(SIGTERM);
        status = entry->process().wait(std::chrono::seconds(grace));
        finished = true;
        for (std::thread& thread : threads) {
            thread.join();
        }
        core.stop();
    }

    void check(const sent_request& request, const std::set<std::string>& executed) const
    {
        const auto after = std::chrono::duration_cast<millis>(request.sent - stopping);
        const millis whole_grace = std::chrono::seconds(grace);
        const bool may_be_cut = after <= early && after + request.service_time >=
                                                      whole_grace - whole_grace / sixths_of_grace;
        const bool ran = executed.contains(request.attempt);
        const std::string text = fmt::format(
            "{} {} sent {} ms after SIGTERM, takes {} ms, status {}, whole {} (logs in {})",
            request.kind, request.attempt, after.count(), request.service_time.count(),
            request.status, request.whole, folder.string());
        if (request.status == 503) {
            EXPECT_FALSE(ran) << "refused as not run, but ran: " << text;
            return;
        }
        if (ran && !may_be_cut) {
            EXPECT_TRUE(request.whole && request.status == 200) << text;
        }
    }

    int grace;
    std::filesystem::path folder;
    kernel core{{.program = "entry-grace-test", .instance = "test"}};
    stand_in_store* store = nullptr;
    recording_backend* backend = nullptr;
    std::vector<execution> executions;
    std::unique_ptr<entry_process> entry;
    std::vector<std::vector<sent_request>> requests{caller_count};
    std::atomic<bool> finished = false;
    test_clock::time_point stopping;
    std::optional<int> status;
};

} // namespace

// Guards against requests that are taken late in the grace period and cut at its end, among them
// requests that may not be repeated.
TEST_P(entry_grace, answers_or_refuses_what_comes_until_its_end)
{
    run();
    EXPECT_EQ(status, std::optional<int>(0)) << "no exit within the grace; logs in " << folder;
    std::set<std::string> executed;
    for (const execution& each : executions) {
        executed.insert(each.attempt);
    }
    unsigned late = 0;
    unsigned refused = 0;
    for (const auto& caller : requests) {
        for (const sent_request& request : caller) {
            check(request, executed);
            late += request.sent > stopping + std::chrono::seconds(grace) / 3 ? 1 : 0;
            refused += request.status == 503 ? 1 : 0;
        }
    }
    EXPECT_GT(late, 0U) << "no request came late";
    fmt::print("grace {} s: {} requests came after a third of it, {} were refused\n", grace, late,
               refused);
}

INSTANTIATE_TEST_SUITE_P(seconds, entry_grace, testing::Values(2, 4, 8, 14));
