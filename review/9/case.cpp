// Entries whose seeds are stale archive the origins of streams into the same records.
#include "../stand-ins-2/platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace review;
using nlohmann::json;

namespace {

constexpr const char* host = "shop.example";
constexpr unsigned entry_count = 8;  // five and the three spare ones of the site
constexpr unsigned killed_count = 4; // the site's herd_kill takes 0.55 of them
constexpr unsigned streams_per_entry = 18;

std::string configuration()
{
    return json{{"Version", 3},
                {"Routes",
                 {{{"Name", "chat"},
                   {"Hostname", host},
                   {"PathPrefix", "/chat/"},
                   {"Type", "streaming"},
                   {"StreamResume", true},
                   {"TimeoutMs", 12000},
                   {"TargetLatencyMs", 500},
                   {"GapTargetMs", 500},
                   {"Priority", 0},
                   {"MaxAttempts", 2},
                   {"Service", "model"}}}},
                {"Services", {{{"Name", "model"}}}},
                {"Limits", {{"HeaderTimeoutMs", 10000}, {"IdleTimeoutMs", 60000}}}}
        .dump();
}

struct stream_seen {
    std::string attempt;
    unsigned entry = 0;
    std::mutex mutex;
    std::vector<event> events; // of both attempts
    std::vector<int> statuses;
    bool complete = false;

    std::set<std::string> versions()
    {
        const std::lock_guard lock(mutex);
        std::set<std::string> result;
        for (const event& each : events) {
            result.insert(each.data.substr(0, each.data.find(' ')));
        }
        return result;
    }
};

void need(bool condition, const std::string& what)
{
    if (!condition) {
        throw cannot_run(what);
    }
}

client_result send(stream_seen& seen, const std::string& entry, const std::string& attempt,
                   std::vector<std::string> more)
{
    std::vector<event> before;
    {
        const std::lock_guard lock(seen.mutex);
        before = seen.events;
    }
    const auto take = [&](const client_result& so_far) {
        const std::lock_guard lock(seen.mutex);
        seen.events = before;
        for (event& each : events_of(so_far.body)) {
            seen.events.push_back(std::move(each));
        }
    };
    std::vector<std::string> headers{std::string("Host: ") + host,
                                     "Attempt-Id: " + attempt,
                                     "Model: m",
                                     "Token-Usage: 130,200",
                                     "Prefix-Hash: " + seen.attempt + ":130",
                                     "Deadline-Ms: 12000"};
    headers.insert(headers.end(), more.begin(), more.end());
    client_result result = send_request({.ip = entry,
                                         .port = frontend_port,
                                         .path = "/chat/60-100",
                                         .headers = headers,
                                         .body = "a question",
                                         .limit = 12000ms,
                                         .on_data = take});
    if (result.status == 200) {
        take(result);
    }
    const std::lock_guard lock(seen.mutex);
    seen.statuses.push_back(result.status);
    seen.complete = result.status == 200 && result.complete;
    return result;
}

bool rule_held(const std::string& folder)
{
    const bool trouble = with_trouble();
    record log(folder + "/record.txt");
    log.note(trouble ? "the seeds are stale" : "the seeds are three of the entries");
    const temporary_folder files;
    const loopback_net net;
    store platform(net.address(200));
    need(platform.put("keyed.op", "config", configuration()), "no configuration");
    std::vector<std::unique_ptr<worker>> workers;
    for (unsigned number = 0; number < 4; ++number) {
        workers.push_back(std::make_unique<worker>(
            platform, log,
            worker_options{.id = "i-" + std::to_string(number), .ip = net.address(100 + number)}));
        workers.back()->on_run = [&log, id = workers.back()->id()](const std::string& attempt,
                                                                   const std::string& version) {
            log.note("worker " + id + " with software " + version + " runs " + attempt);
        };
    }
    workers[0]->start("v1");
    workers[1]->start("v1");
    std::vector<std::string> seeds;
    for (unsigned number = 1; number <= 3; ++number) {
        // The machines at the stale addresses are gone.
        seeds.push_back(net.address(trouble ? 50 + number : number) + ":" +
                        std::to_string(control_port));
    }
    std::vector<std::unique_ptr<entry_process>> entries;
    for (unsigned number = 0; number < entry_count; ++number) {
        entries.push_back(std::make_unique<entry_process>(
            files.path(), entry_options{.name = "entry-" + std::to_string(number),
                                        .ip = net.address(1 + number),
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
    // The site's traffic starts 10 s after the machines: one stream per entry shows that it serves.
    const auto started = steady::now();
    wait_for(10s, [&] { return steady::now() - started >= 6s; });
    workers[2]->start("v2");
    workers[3]->start("v2");
    const auto listed = steady::now();
    wait_for(3s, [&] { return steady::now() - listed >= 2s; });

    std::vector<std::shared_ptr<stream_seen>> streams;
    std::vector<std::thread> threads;
    std::atomic<bool> killed = false;
    for (unsigned turn = 0; turn < streams_per_entry; ++turn) {
        for (unsigned number = 0; number < entry_count; ++number) {
            auto seen = std::make_shared<stream_seen>();
            seen->attempt = random_id();
            seen->entry = number;
            streams.push_back(seen);
            threads.emplace_back([&, seen, number] {
                send(*seen, net.address(1 + number), seen->attempt, {});
                std::string last;
                {
                    const std::lock_guard lock(seen->mutex);
                    if (seen->complete || !killed || seen->events.empty()) {
                        return;
                    }
                    last = seen->events.back().id;
                }
                // Takes the stream up at one of the entries that are left.
                const unsigned other = killed_count + number % (entry_count - killed_count);
                send(*seen, net.address(1 + other), random_id(),
                     {"Last-Event-Id: " + last, "Resumes: " + seen->attempt});
            });
            std::this_thread::sleep_for(20ms);
        }
    }
    const auto began = [&] {
        return std::all_of(streams.begin(), streams.end(), [](const auto& each) {
            const std::lock_guard lock(each->mutex);
            return !each->events.empty() || !each->statuses.empty();
        });
    };
    const bool all_began = wait_for(2000ms, began);
    killed = true;
    for (unsigned number = 0; number < killed_count; ++number) {
        entries[number]->end();
    }
    log.note("entries 0 to " + std::to_string(killed_count - 1) + " are killed");
    const auto killed_at = steady::now();
    wait_for(1s, [&] { return steady::now() - killed_at >= 500ms; });
    for (unsigned number = 0; number < killed_count; ++number) {
        entries[number]->start();
    }
    log.note("they start again");
    for (std::thread& each : threads) {
        each.join();
    }
    need(all_began, "not all streams began");
    unsigned mixed = 0;
    unsigned taken_up = 0;
    unsigned refused = 0;
    for (const auto& each : streams) {
        taken_up += each->statuses.size() > 1 ? 1 : 0;
        refused += each->statuses.size() > 1 && each->statuses.back() != 200 ? 1 : 0;
        if (each->versions().size() < 2) {
            continue;
        }
        ++mixed;
        std::string line =
            "stream " + each->attempt + " of entry " + std::to_string(each->entry) + " holds";
        std::string before;
        for (const event& row : each->events) {
            if (row.data != before) {
                line += " " + row.id + ":" + row.data;
                before = row.data;
            }
        }
        log.note(line + (each->complete ? ", complete" : ", broken off"));
    }
    const std::string verdict = std::to_string(mixed) + " of " + std::to_string(streams.size()) +
                                " streams hold events of two software versions; " +
                                std::to_string(taken_up) + " were taken up, of which " +
                                std::to_string(refused) + " were refused";
    log.note(verdict);
    std::cout << verdict << "\n";
    constexpr unsigned allowed = 2; // the rule: more than two
    return mixed <= allowed;
}

} // namespace

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    return run_case([&] { return rule_held(folder); });
}
