#include "chat.h"

#include <csignal>

// An entry stands still while a worker of another version comes, serves and leaves.  The log of the
// workers' entries is compacted before it goes on.  The other entry, at which streams of that
// version run, is killed.

using namespace review;

namespace {

constexpr unsigned streams = 40;
constexpr unsigned mixed_allowed = 2; // ORDER: "more than two streams"
constexpr unsigned most_tries = 4;    // of a caller to take its stream up
constexpr millis between_callers{20};
// The store holds a read for a second at most; the entry's last one ends while it stands still.
constexpr millis before_the_worker{1300};
constexpr millis freeze{3500};
constexpr millis before_the_kill{1300};

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    recorder record(count > 1 ? arguments[1] : "record.txt");
    scratch_folder folder;
    store platform(record, {loopback(1), 8223});
    platform.put("keyed.op", "config", configuration(3));
    std::vector<std::unique_ptr<worker>> pool;
    for (unsigned number = 1; number <= 3; ++number) {
        pool.push_back(
            std::make_unique<worker>(record, platform,
                                     worker::options{.id = "i-" + std::to_string(number),
                                                     .service = "llm",
                                                     .version = "A",
                                                     .address = {loopback(100 + number), 8463}},
                                     chat_server{record, 80}));
    }
    pool[0]->start("A");
    pool[1]->start("A");
    const std::vector<std::string> seeds{loopback(11), loopback(12)};
    entry_process still(record, "edge-1", loopback(11), "zone-a", platform.address(), seeds,
                        folder.path());
    entry_process killed(record, "edge-2", loopback(12), "zone-a", platform.address(), seeds,
                         folder.path());
    still.start();
    killed.start();
    const bool settled =
        wait_until([&] { return still.ready() && killed.ready(); }, millis(10000)) &&
        wait_until([&] { return platform.holds("keyed.defaults", "versions"); }, millis(10000));
    if (!settled) {
        record.line("the entries have not settled");
        return could_not_run;
    }
    // An earlier take-up, of a stream that nobody knows, makes the entry read the archive.
    chat earlier;
    earlier.last_event = 75;
    earlier.run(record, still.callers(), "/chat/2f", new_attempt_id(), new_attempt_id());
    still.signal(SIGSTOP);
    const auto stopped = clock::now();
    std::this_thread::sleep_until(stopped + before_the_worker);
    pool[2]->start("B");
    const bool listed = wait_until(
        [&] { return pool[2]->registered() && platform.entries_read("keyed.servers") >= 1; },
        millis(1000));
    std::vector<std::unique_ptr<chat>> chats;
    std::vector<std::thread> callers;
    for (unsigned number = 0; number < streams; ++number) {
        chats.push_back(std::make_unique<chat>());
        chat& mine = *chats.back();
        callers.emplace_back([&mine, &record, &still, &killed] {
            mine.run(record, killed.callers(), "/chat/2f", new_attempt_id());
            const std::string first = mine.attempt;
            for (unsigned tries = 0; tries < most_tries && !mine.whole && mine.last_event > 0;
                 ++tries) {
                mine.run(record, still.callers(), "/chat/2f", new_attempt_id(), first);
                std::this_thread::sleep_for(mine.retry_after);
            }
        });
        std::this_thread::sleep_for(between_callers);
    }
    const bool begun =
        wait_until([] { return callers_with_events_of("B") > 2 * mixed_allowed; }, millis(1500));
    pool[2]->leave();
    if (with_trouble()) {
        platform.compact("keyed.servers");
    }
    std::this_thread::sleep_until(stopped + freeze);
    still.signal(SIGCONT);
    std::this_thread::sleep_for(before_the_kill);
    killed.kill();
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
    return listed && begun ? rule_held : could_not_run;
}
