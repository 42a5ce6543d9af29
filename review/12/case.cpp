#include "chat.h"

#include <algorithm>
#include <csignal>

// A worker that has nothing to do starts again under its id with other software while the store is
// down.  Then another worker ends, and its streams go on elsewhere.

using namespace review;

namespace {

constexpr unsigned workers = 4;
constexpr unsigned streams = 15;
constexpr unsigned mixed_allowed = 2; // ORDER: "more than two streams"
constexpr millis between_callers{40};

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    recorder record(count > 1 ? arguments[1] : "record.txt");
    scratch_folder folder;
    store platform(record, {loopback(1), 8223});
    platform.put("keyed.op", "config", configuration(3));
    std::vector<std::unique_ptr<worker>> pool;
    for (unsigned number = 1; number <= workers; ++number) {
        pool.push_back(
            std::make_unique<worker>(record, platform,
                                     worker::options{.id = "i-" + std::to_string(number),
                                                     .service = "llm",
                                                     .version = "A",
                                                     .zone = number % 2 == 0 ? "zone-a" : "zone-b",
                                                     .address = {loopback(100 + number), 8463}},
                                     chat_server{record}));
    }
    pool.front()->start("A");
    const std::vector<std::string> seeds{loopback(11), loopback(12)};
    entry_process first(record, "edge-a-1", loopback(11), "zone-a", platform.address(), seeds,
                        folder.path());
    entry_process second(record, "edge-b-1", loopback(12), "zone-b", platform.address(), seeds,
                         folder.path());
    first.start();
    second.start();
    const bool settled =
        wait_until([&] { return first.ready() && second.ready(); }, millis(10000)) &&
        wait_until([&] { return platform.holds("keyed.defaults", "versions"); }, millis(10000));
    if (!settled) {
        record.line("the entries have not settled");
        return could_not_run;
    }
    std::vector<std::unique_ptr<chat>> chats;
    std::vector<std::thread> callers;
    for (unsigned number = 0; number < streams; ++number) {
        chats.push_back(std::make_unique<chat>());
        chat& mine = *chats.back();
        const endpoint entry = number % 2 == 0 ? first.callers() : second.callers();
        callers.emplace_back(
            [&mine, &record, entry] { mine.run(record, entry, "/chat/2f", new_attempt_id()); });
        std::this_thread::sleep_for(between_callers);
    }
    const bool begun =
        wait_until([&] { return callers_with_events_of("A") == streams; }, millis(3000));
    for (unsigned number = 1; number < workers; ++number) {
        pool[number]->start("A"); // these are added and have no streams yet
    }
    const auto all_listed = [&] {
        return std::all_of(pool.begin(), pool.end(),
                           [](const auto& each) { return each->registered(); }) &&
               platform.entries_read("keyed.servers") >= 2;
    };
    const bool listed = wait_until(all_listed, millis(3000));
    const auto down_since = clock::now();
    if (with_trouble()) {
        platform.set_down(true);
    }
    worker& restarted = *pool[1];
    restarted.crash();
    std::this_thread::sleep_for(millis(300)); // for which it is down
    restarted.start("B");
    if (!with_trouble()) {
        wait_until(all_listed, millis(3000));
    }
    pool.front()->crash();
    if (with_trouble()) {
        std::this_thread::sleep_until(down_since + millis(6000));
        platform.set_down(false);
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    unsigned mixed = 0;
    unsigned whole = 0;
    for (const auto& each : chats) {
        mixed += each->made.size() > 1 ? 1 : 0;
        whole += each->whole ? 1 : 0;
    }
    record.line("streams: " + std::to_string(chats.size()) + ", whole: " + std::to_string(whole) +
                ", with events of two software versions: " + std::to_string(mixed));
    if (mixed > mixed_allowed) {
        return rule_broken;
    }
    return begun && listed ? rule_held : could_not_run;
}
