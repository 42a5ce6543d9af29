// All entries are killed after streams have begun while the store was down.
#include "../stand-ins-2/platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace review;
using nlohmann::json;

namespace {

constexpr const char* host = "shop.example";
constexpr unsigned streams_per_entry = 16;
// Limit of the pages' site file: the store is down for 8 s.
constexpr milliseconds store_down_limit = 8000ms;
constexpr unsigned most_attempts = 5; // of a client, within its time budget
constexpr milliseconds time_budget = 12000ms;

// A number from the environment, for variants of the case.
unsigned number_of(const char* name, unsigned usual)
{
    const char* value = std::getenv(name);
    return value == nullptr ? usual : static_cast<unsigned>(std::strtoul(value, nullptr, 10));
}

const unsigned entry_count = number_of("ENTRIES", 3);
const unsigned killed_count = number_of("KILLED", entry_count); // the first ones
const unsigned stream_count = entry_count * std::min(streams_per_entry, 84 / entry_count);

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

milliseconds left_of(steady::time_point begin)
{
    return time_budget - std::chrono::duration_cast<milliseconds>(steady::now() - begin);
}

client_result send(stream_seen& seen, const std::string& entry, const std::string& attempt,
                   milliseconds left, std::vector<std::string> more)
{
    std::vector<event> before;
    {
        const std::lock_guard lock(seen.mutex);
        before = seen.events;
    }
    const auto take = [&](const client_result& so_far) {
        if (so_far.status != 200) {
            return;
        }
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
                                     "Deadline-Ms: " + std::to_string(left.count())};
    headers.insert(headers.end(), more.begin(), more.end());
    client_result result = send_request({.ip = entry,
                                         .port = frontend_port,
                                         .path = "/chat/50-100",
                                         .headers = headers,
                                         .body = "a question",
                                         .limit = left,
                                         .on_data = take});
    take(result);
    const std::lock_guard lock(seen.mutex);
    seen.statuses.push_back(result.status);
    seen.complete = result.status == 200 && result.complete;
    return result;
}

// Begins the stream and takes it up after a broken connection, as a client does that honours
// Retry-After.
void run_client(stream_seen& seen, const loopback_net& net)
{
    const auto begin = steady::now();
    std::string attempt = seen.attempt;
    std::vector<std::string> more;
    for (unsigned tries = 0; tries < most_attempts && left_of(begin) > 500ms; ++tries) {
        // Other entries than those that were killed, if there are any.
        const unsigned first = killed_count < entry_count && tries > 0 ? killed_count : 0;
        const unsigned place = first + (seen.entry + tries) % (entry_count - first);
        const std::string entry = net.address(1 + place);
        client_result result = send(seen, entry, attempt, left_of(begin), more);
        if (seen.complete || seen.events.empty()) {
            return;
        }
        const std::string wait = result.headers["retry-after"];
        const auto pause = wait.empty() ? 800ms : milliseconds(int(std::stod(wait) * 1000));
        std::this_thread::sleep_for(std::min<milliseconds>(pause, left_of(begin) / 3));
        attempt = random_id();
        more = {"Last-Event-Id: " + seen.events.back().id, "Resumes: " + seen.attempt};
    }
}

bool rule_held(const std::string& folder)
{
    const bool trouble = with_trouble();
    record log(folder + "/record.txt");
    log.note(trouble ? "the store will be down" : "the store stays up");
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
    for (unsigned number = 1; number <= std::min(3U, entry_count); ++number) {
        seeds.push_back(net.address(number) + ":" + std::to_string(control_port));
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
    const auto all_ready = [&] {
        return std::all_of(entries.begin(), entries.end(),
                           [](const auto& each) { return each->ready(); });
    };
    need(wait_for(15s, all_ready), "the entries aren't ready");
    const auto started = steady::now();
    wait_for(10s, [&] { return steady::now() - started >= 6s; });
    workers[2]->start("v2");
    workers[3]->start("v2");
    const auto listed = steady::now();
    wait_for(3s, [&] { return steady::now() - listed >= 2s; });

    const auto down_at = steady::now();
    if (trouble) {
        platform.set_mode(store_mode::busy);
        log.note("the store is down");
    }
    std::vector<std::shared_ptr<stream_seen>> streams;
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < stream_count; ++number) {
        auto seen = std::make_shared<stream_seen>();
        seen->attempt = random_id();
        seen->entry = number % entry_count;
        streams.push_back(seen);
        threads.emplace_back([seen, &net] { run_client(*seen, net); });
        std::this_thread::sleep_for(20ms);
    }
    const bool all_began = wait_for(2000ms, [&] {
        return std::all_of(streams.begin(), streams.end(), [](const auto& each) {
            const std::lock_guard lock(each->mutex);
            return each->events.size() >= 3;
        });
    });
    for (unsigned number = 0; number < killed_count; ++number) {
        entries[number]->end();
    }
    log.note(std::to_string(killed_count) + " of " + std::to_string(entry_count) +
             " entries are killed");
    const auto killed = steady::now();
    wait_for(1s, [&] { return steady::now() - killed >= 500ms; });
    for (unsigned number = 0; number < killed_count; ++number) {
        entries[number]->start();
    }
    log.note("they start again");
    if (trouble) {
        wait_for(1s, [&] { return steady::now() - killed >= 800ms; });
        platform.set_mode(store_mode::normal);
        const auto down = std::chrono::duration_cast<milliseconds>(steady::now() - down_at);
        log.note("the store is back after " + std::to_string(down.count()) + " ms");
        need(down <= store_down_limit, "the store was down for too long");
    }
    for (std::thread& each : threads) {
        each.join();
    }
    need(all_began, "not all streams began");
    unsigned mixed = 0;
    unsigned went_on = 0;
    for (const auto& each : streams) {
        went_on += each->complete ? 1 : 0;
        std::string line = "stream " + each->attempt + " holds";
        std::string before;
        for (const event& row : each->events) {
            if (row.data != before) {
                line += " " + row.id + ":" + row.data;
                before = row.data;
            }
        }
        line += ", answers";
        for (const int status : each->statuses) {
            line += " " + std::to_string(status);
        }
        log.note(line + (each->complete ? ", complete" : ", broken off"));
        mixed += each->versions().size() > 1 ? 1 : 0;
    }
    const std::string verdict = std::to_string(mixed) + " of " + std::to_string(streams.size()) +
                                " streams hold events of two software versions; " +
                                std::to_string(went_on) + " were taken up to their end";
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
