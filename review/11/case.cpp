#include "chat.h"

#include <csignal>

// Streams begin at a version that is not the default one, because the servers of that are full,
// while the store is down.  All entries are killed and start again, and the store is back.  The
// streams must not go on at the default version.

using namespace review;

namespace {

constexpr unsigned entries = 3;
constexpr unsigned capacity = 6; // of each worker
constexpr unsigned streams = 30;
constexpr unsigned mixed_allowed = 2; // ORDER: "more than two streams"
constexpr unsigned most_tries = 4;    // of a caller to take its stream up
constexpr millis between_callers{30};
constexpr millis outage{8000}; // at most
constexpr millis kill_time{500};

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    recorder record(count > 1 ? arguments[1] : "record.txt");
    scratch_folder folder;
    store platform(record, {loopback(1), 8223});
    platform.put("keyed.op", "config", configuration(3));
    std::vector<std::unique_ptr<worker>> pool;
    for (unsigned number = 1; number <= 4; ++number) {
        pool.push_back(
            std::make_unique<worker>(record, platform,
                                     worker::options{.id = "i-" + std::to_string(number),
                                                     .service = "llm",
                                                     .version = number <= 2 ? "A" : "B",
                                                     .zone = number % 2 == 0 ? "zone-a" : "zone-b",
                                                     .address = {loopback(100 + number), 8463},
                                                     .capacity = number <= 2 ? capacity : 64},
                                     chat_server{record, 70}));
    }
    pool[0]->start("A");
    pool[1]->start("A");
    std::vector<std::string> seeds;
    std::vector<std::unique_ptr<entry_process>> fleet;
    for (unsigned number = 0; number < entries; ++number) {
        seeds.push_back(loopback(11 + number));
    }
    for (unsigned number = 0; number < entries; ++number) {
        fleet.push_back(std::make_unique<entry_process>(
            record, "edge-" + std::to_string(number + 1), loopback(11 + number),
            number % 2 == 0 ? "zone-a" : "zone-b", platform.address(), seeds, folder.path()));
        fleet.back()->start();
    }
    const auto all_ready = [&] {
        for (const auto& each : fleet) {
            if (!each->ready()) {
                return false;
            }
        }
        return true;
    };
    const bool settled =
        wait_until(all_ready, millis(10000)) &&
        wait_until([&] { return platform.holds("keyed.defaults", "versions"); }, millis(10000));
    pool[2]->start("B");
    pool[3]->start("B");
    const auto all_listed = [&] {
        for (const auto& each : pool) {
            if (!each->registered()) {
                return false;
            }
        }
        return platform.entries_read("keyed.servers") >= entries;
    };
    if (!settled || !wait_until(all_listed, millis(5000))) {
        record.line("the entries have not settled");
        return could_not_run;
    }
    const auto down_since = clock::now();
    if (with_trouble()) {
        platform.set_down(true);
    }
    std::vector<std::unique_ptr<chat>> chats;
    std::vector<std::thread> callers;
    std::atomic<bool> back = false;
    for (unsigned number = 0; number < streams; ++number) {
        chats.push_back(std::make_unique<chat>());
        chat& mine = *chats.back();
        callers.emplace_back([&mine, &record, &fleet, &back, number] {
            mine.run(record, fleet[number % entries]->callers(), "/chat/2f", new_attempt_id());
            const std::string first = mine.attempt;
            if (mine.whole || mine.last_event == 0) {
                return;
            }
            wait_until([&] { return back.load(); }, millis(10000));
            for (unsigned tries = 0; tries < most_tries && !mine.whole; ++tries) {
                const unsigned entry = (number + tries + 1) % entries;
                mine.run(record, fleet[entry]->callers(), "/chat/2f", new_attempt_id(), first);
                std::this_thread::sleep_for(mine.retry_after);
            }
        });
        std::this_thread::sleep_for(between_callers);
    }
    const bool begun = wait_until([] { return callers_with_events_of("B") > 2 * mixed_allowed; },
                                  outage - millis(2000));
    for (const auto& each : fleet) {
        each->kill();
    }
    std::this_thread::sleep_for(kill_time); // for which they are down
    if (with_trouble()) {
        platform.set_down(false);
    }
    record.line(
        "the store was down for " +
        std::to_string(std::chrono::duration_cast<millis>(clock::now() - down_since).count()) +
        " ms");
    for (const auto& each : fleet) {
        each->start();
    }
    const bool again = wait_until(all_ready, millis(10000));
    back = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    unsigned mixed = 0;
    unsigned went_on = 0;
    for (const auto& each : chats) {
        mixed += each->made.size() > 1 ? 1 : 0;
        went_on += each->whole ? 1 : 0;
    }
    record.line("streams: " + std::to_string(chats.size()) + ", whole: " + std::to_string(went_on) +
                ", with events of two software versions: " + std::to_string(mixed));
    if (mixed > mixed_allowed) {
        return rule_broken;
    }
    return begun && again ? rule_held : could_not_run;
}
