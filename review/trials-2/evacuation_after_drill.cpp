// A trial, no case: a zone is to be evacuated once more, right after the store came back from an
// older copy.  By the pages the operator writes again what was lost; with WRITES_AGAIN=1 it does so
// first.
#include "../stand-ins-2/platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace review;
using nlohmann::json;

namespace {

constexpr const char* host = "shop.example";
constexpr const char* evacuated = "zone-b";
// Bounds of the site.
constexpr milliseconds evacuate_bound = 5000ms;
constexpr milliseconds outer_bound = 5000ms; // while the store is unstable, at most
constexpr milliseconds watched = 18000ms;

std::string configuration()
{
    return json{{"Version", 3},
                {"Routes",
                 {{{"Name", "view"},
                   {"Hostname", host},
                   {"PathPrefix", "/plain/"},
                   {"Type", "safe"},
                   {"TimeoutMs", 800},
                   {"TargetLatencyMs", 150},
                   {"Priority", 2},
                   {"MaxAttempts", 2},
                   {"Service", "model"}}}},
                {"Services", {{{"Name", "model"}}}},
                {"Limits", {{"HeaderTimeoutMs", 10000}, {"IdleTimeoutMs", 60000}}}}
        .dump();
}

void need(bool condition, const std::string& what)
{
    if (!condition) {
        throw cannot_run(what);
    }
}

// Runs at the workers of the zone, by the request that a client sent.
struct run_seen {
    steady::time_point at;
    std::string attempt;
    std::string worker;
};

bool rule_held(const std::string& folder)
{
    const bool trouble = with_trouble();
    record log(folder + "/record.txt");
    log.note(trouble ? "the store will come back from an older copy" : "the store stays up");
    const temporary_folder files;
    const loopback_net net;
    store platform(net.address(200));
    need(platform.put("keyed.op", "config", configuration()), "no configuration");
    std::mutex mutex;
    std::vector<run_seen> runs;
    std::map<std::string, steady::time_point> sent;
    std::vector<std::unique_ptr<worker>> workers;
    for (unsigned number = 0; number < 4; ++number) {
        const std::string zone = number % 2 == 0 ? "zone-a" : evacuated;
        workers.push_back(
            std::make_unique<worker>(platform, log,
                                     worker_options{.id = "i-" + std::to_string(number),
                                                    .ip = net.address(100 + number),
                                                    .zone = zone}));
        if (zone == evacuated) {
            workers.back()->on_run = [&, id = workers.back()->id()](const std::string& attempt,
                                                                    const std::string&) {
                const std::lock_guard lock(mutex);
                runs.push_back({steady::now(), attempt, id});
            };
        }
        workers.back()->start("v1");
    }
    const auto runs_in_zone = [&] {
        const std::lock_guard lock(mutex);
        return runs.size();
    };
    std::vector<std::string> seeds;
    std::vector<std::unique_ptr<entry_process>> entries;
    for (unsigned number = 1; number <= 3; ++number) {
        seeds.push_back(net.address(number) + ":" + std::to_string(control_port));
    }
    for (unsigned number = 0; number < 3; ++number) {
        entries.push_back(std::make_unique<entry_process>(
            files.path(), entry_options{.name = "entry-" + std::to_string(number),
                                        .ip = net.address(1 + number),
                                        .zone = number == 1 ? evacuated : "zone-a",
                                        .store = platform.address(),
                                        .seeds = seeds}));
        entries.back()->start();
    }
    need(wait_for(15s,
                  [&] {
                      return std::all_of(entries.begin(), entries.end(),
                                         [](const auto& each) { return each->ready(); });
                  }),
         "the entries aren't ready");
    std::atomic<bool> busy = true;
    std::atomic<unsigned> answered = 0;
    std::atomic<unsigned> failed = 0;
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < 3; ++number) {
        clients.emplace_back([&, number] {
            while (busy) {
                const std::string attempt = random_id();
                {
                    const std::lock_guard lock(mutex);
                    sent[attempt] = steady::now();
                }
                const int status =
                    send_request({.ip = net.address(1 + number),
                                  .port = frontend_port,
                                  .method = "GET",
                                  .path = "/plain/orders",
                                  .headers = {std::string("Host: ") + host,
                                              "Attempt-Id: " + attempt, "Deadline-Ms: 1500"},
                                  .limit = 1500ms})
                        .status;
                ++(status == 200 ? answered : failed);
                std::this_thread::sleep_for(40ms);
            }
        });
    }
    steady::time_point confirmed{};
    const auto end = [&] {
        busy = false;
        for (std::thread& each : clients) {
            each.join();
        }
    };
    const auto calm = [&](bool in_use, milliseconds limit) {
        // Whether the zone is in use, or has been out of use for a second.
        std::size_t before = runs_in_zone();
        auto since = steady::now();
        return wait_for(limit, [&] {
            const std::size_t now = runs_in_zone();
            if (in_use) {
                return now > before;
            }
            if (now != before) {
                before = now;
                since = steady::now();
            }
            return steady::now() - since > 1s;
        });
    };
    try {
        const std::string key = std::string("evacuate/") + evacuated;
        need(calm(true, 5s), "the zone isn't used");
        need(platform.put("keyed.op", key, "{}"), "no evacuation");
        log.note("the zone is to be evacuated, confirmed");
        need(calm(false, 10s), "the zone isn't evacuated");
        const auto copy = platform.copy();
        need(platform.put("keyed.op", key, ""), "no end of the evacuation");
        log.note("the zone is taken back, confirmed");
        need(calm(true, 5s), "the zone isn't used again");
        if (trouble) {
            platform.set_mode(store_mode::busy);
            platform.restore(copy);
            log.note("the store is away");
        }
        // Asks until the store confirms.
        std::thread comes_back([&] {
            if (trouble) {
                const auto away = steady::now();
                wait_for(1s, [&] { return steady::now() - away >= 500ms; });
                platform.set_mode(store_mode::normal);
            }
        });
        const bool writes_again = trouble && std::getenv("WRITES_AGAIN") != nullptr;
        while (writes_again && !platform.put("keyed.op", key, "")) {
            std::this_thread::sleep_for(1ms);
        }
        while (!platform.put("keyed.op", key, "{}")) {
            std::this_thread::sleep_for(1ms);
        }
        confirmed = steady::now();
        comes_back.join();
        log.note("the zone is to be evacuated again, confirmed");
        wait_for(watched + 1s, [&] { return steady::now() - confirmed >= watched; });
    }
    catch (...) {
        end();
        throw;
    }
    end();
    unsigned late = 0;
    for (const run_seen& each : runs) {
        const auto request = sent.find(each.attempt);
        if (request == sent.end()) {
            continue;
        }
        const auto after = std::chrono::duration_cast<milliseconds>(request->second - confirmed);
        if (after > evacuate_bound + outer_bound) {
            ++late;
            log.note("worker " + each.worker + " ran " + each.attempt + ", sent " +
                     std::to_string(after.count()) + " ms after the confirmation");
        }
    }
    const std::string verdict = std::to_string(late) + " requests that were sent later than " +
                                std::to_string((evacuate_bound + outer_bound).count()) +
                                " ms after the confirmation ran in the zone; " +
                                std::to_string(answered) + " requests were answered, " +
                                std::to_string(failed) + " not";
    log.note(verdict);
    std::cout << verdict << "\n";
    return late == 0;
}

} // namespace

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    return run_case([&] { return rule_held(folder); });
}
