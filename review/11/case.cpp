#include "chat.h"

#include <csignal>

// A worker starts again under its id with other software while the store is down, serves new
// streams, and ends again.  Its streams must not go on at workers of the earlier software.

using namespace review;

namespace {

constexpr unsigned workers = 6;
constexpr unsigned streams_wanted = 5; // at the restarted worker
constexpr unsigned most_streams = 120;
constexpr unsigned mixed_allowed = 2; // ORDER: "more than two streams"

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
        pool.back()->start("A");
    }
    const std::vector<std::string> seeds{loopback(11), loopback(12)};
    entry_process first(record, "edge-a-1", loopback(11), "zone-a", platform.address(), seeds,
                        folder.path());
    entry_process second(record, "edge-b-1", loopback(12), "zone-b", platform.address(), seeds,
                         folder.path());
    first.start();
    second.start();
    if (!wait_until([&] { return first.ready() && second.ready(); }, millis(10000))) {
        record.line("no entry is ready");
        return could_not_run;
    }
    // Then the entries have settled: streams at version A need no record.
    if (!wait_until([&] { return platform.holds("keyed.defaults", "versions"); }, millis(10000))) {
        record.line("the entries have not settled");
        return could_not_run;
    }
    std::vector<std::unique_ptr<chat>> chats;
    std::vector<std::thread> callers;
    const auto begin_stream = [&] {
        chats.push_back(std::make_unique<chat>());
        chat& mine = *chats.back();
        const std::string prefix = new_attempt_id();
        const endpoint entry = callers.size() % 2 == 0 ? first.callers() : second.callers();
        callers.emplace_back(
            [&mine, &record, entry, prefix] { mine.run(record, entry, "/chat/2f", prefix); });
    };
    worker& restarted = *pool.front();
    const auto down_since = clock::now();
    if (with_trouble()) {
        platform.set_down(true);
    }
    restarted.crash();
    std::this_thread::sleep_for(millis(1000)); // for which it is down
    restarted.start("B");
    const bool busy = wait_until(
        [&] {
            if (chats.size() < most_streams) {
                begin_stream();
                std::this_thread::sleep_for(millis(60)); // between two callers
            }
            return callers_with_events_of("B") >= streams_wanted;
        },
        millis(5500));
    record.line("callers with events of the restarted worker: " +
                std::to_string(callers_with_events_of("B")));
    restarted.crash();
    if (with_trouble()) {
        std::this_thread::sleep_until(down_since + millis(8000));
        platform.set_down(false);
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    unsigned mixed = 0;
    for (const auto& each : chats) {
        mixed += each->made.size() > 1 ? 1 : 0;
    }
    record.line("streams: " + std::to_string(chats.size()) +
                ", with events of two software "
                "versions: " +
                std::to_string(mixed));
    if (mixed > mixed_allowed) {
        return rule_broken;
    }
    return busy ? rule_held : could_not_run;
}
