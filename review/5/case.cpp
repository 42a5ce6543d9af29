// An entry is killed, and just after that the first backend server of a new
// software version joins. Checks that the streams of the killed entry go on at
// the servers of their version, which all serve.

#include "stand_ins.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr unsigned old_servers = 3;
constexpr unsigned streams = 16;        // of the entry that is killed
constexpr unsigned new_streams = 24;    // begun at the other entry meanwhile
constexpr unsigned events = 120;        // of a stream
constexpr milliseconds event_time{50};  // between two of them
constexpr unsigned events_before = 10;  // each caller has as many when the entry is killed
constexpr milliseconds calm_time{4000}; // longer than ContactMs, so that the entries are in touch
constexpr milliseconds entry_down{3500};
constexpr milliseconds join_after{300}; // the kill
constexpr milliseconds pause_before_resuming{800};
constexpr milliseconds new_stream_interval{100};
constexpr unsigned tries = 3; // to take a stream up
constexpr unsigned least_streams = 12;
constexpr milliseconds start_limit{20000};

struct stream {
    std::string id; // of the attempt that begins it
    std::atomic<unsigned> got = 0;
    unsigned events_at_first = 0;
    unsigned taken_up = 0; // tries
    std::vector<stream_event> events;
    std::set<std::string> versions;

    bool goes_on() const { return taken_up > 0 && events.size() > events_at_first; }
};

void add_events(stream& played, const answer& given)
{
    if (!given.success()) {
        return;
    }
    for (const stream_event& event : events_of(given.body)) {
        played.events.push_back(event);
        played.versions.insert(event.data);
    }
}

std::string describe(const answer& given)
{
    return "status " + std::to_string(given.head.status()) + ", end " + name_of(given.end) +
           (given.head.status() == 503 ? ", " + given.body : "");
}

// Begins a stream at the first entry, and takes it up at the second when it
// breaks off.
void play(stream& played, const std::vector<entry_options>& entries, record_file& record)
{
    const answer first =
        call(entries[0].ip, entries[0].callers_port,
             {.path = "/chat/a", .attempt_id = played.id, .headers = {}, .body = "x"},
             [&](const answer& so_far) {
                 played.got = static_cast<unsigned>(events_of(so_far.body).size());
             });
    add_events(played, first);
    played.events_at_first = static_cast<unsigned>(played.events.size());
    record.line("caller of " + played.id + " at " + entries[0].name + ": " + describe(first) +
                ", " + std::to_string(played.events.size()) + " events");
    if (first.end == answer_end::whole || played.events.empty()) {
        return;
    }
    std::this_thread::sleep_for(pause_before_resuming);
    for (unsigned number = 0; number < tries && !played.goes_on(); ++number) {
        ++played.taken_up;
        const answer given =
            call(entries[1].ip, entries[1].callers_port,
                 {.path = "/chat/a",
                  .attempt_id = hexadecimal(random_number()),
                  .headers = {{"Resumes", played.id},
                              {"Last-Event-Id", std::to_string(played.events.back().id)}},
                  .body = "x"});
        add_events(played, given);
        record.line("caller of " + played.id + " takes it up at " + entries[1].name + ": " +
                    describe(given) + ", " + std::to_string(played.events.size()) + " events");
        const double wait = std::atof(given.head.header("Retry-After").c_str());
        std::this_thread::sleep_for(milliseconds(static_cast<int>(wait * 1000)));
    }
}

} // namespace

int main(int count, char** values)
{
    const case_arguments arguments = read_arguments(count, values);
    record_file record(arguments.record);
    store platform(loopback_address(1));
    const auto make_server = [&](const std::string& id, const std::string& version) {
        return std::make_unique<backend>(
            platform, loopback_address(2),
            backend_options{.id = id, .service = "llm", .version = version},
            [&record, id, version](channel& caller, const http_request& request) {
                const std::string after = request.head.header("Last-Event-Id");
                record.line(id + " (" + version + ") runs " + request.head.header("Attempt-Id") +
                            " after event " + (after.empty() ? "0" : after));
                return send_events(caller, request, version, events, event_time);
            });
    };
    std::vector<std::unique_ptr<backend>> pool;
    for (unsigned number = 1; number <= old_servers; ++number) {
        pool.push_back(make_server("i-llm-" + std::to_string(number), "v1"));
        pool.back()->start();
    }
    const auto new_server = make_server("i-llm-new", "v2");
    platform.put("keyed.op", "config",
                 configuration(1,
                               {{.name = "chat",
                                 .prefix = "/chat/",
                                 .type = "streaming",
                                 .service = "llm",
                                 .max_attempts = 2,
                                 .resumable = true}},
                               {"llm"}));
    const auto plans = plan_entries(2, arguments.program, arguments.folder, platform.address());
    entry_process first(plans[0]);
    entry_process second(plans[1]);
    first.start();
    second.start();
    if (!wait_until(start_limit, [&] { return first.ready() && second.ready(); })) {
        record.line("the entries do not get ready");
        return could_not_run;
    }
    record.line("both entries are ready");
    std::this_thread::sleep_for(calm_time);

    std::vector<std::unique_ptr<stream>> played;
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < streams; ++index) {
        stream& each = *played.emplace_back(std::make_unique<stream>());
        each.id = hexadecimal(random_number());
        threads.emplace_back([&] { play(each, plans, record); });
    }
    const bool all_began = wait_until(10s, [&] {
        return std::all_of(played.begin(), played.end(),
                           [](const auto& each) { return each->got >= events_before; });
    });
    std::atomic<unsigned> begun = 0;
    if (all_began) {
        const auto killed_at = std::chrono::steady_clock::now();
        if (arguments.trouble) {
            record.line("SIGKILL to entry-1");
            first.signal(SIGKILL);
            first.wait_for_exit(5s);
        }
        std::this_thread::sleep_for(join_after);
        if (arguments.trouble && std::getenv("NO_RELEASE") == nullptr) {
            new_server->start();
            record.line("i-llm-new (v2) joins");
        }
        for (unsigned index = 0; index < new_streams; ++index) {
            threads.emplace_back([&] {
                const std::string id = hexadecimal(random_number());
                const answer given =
                    call(plans[1].ip, plans[1].callers_port,
                         {.path = "/chat/a", .attempt_id = id, .headers = {}, .body = "x"});
                const auto got = events_of(given.body).size();
                begun += given.success() && got > 0 ? 1 : 0;
                record.line("new stream " + id + " at entry-2: " + describe(given) + ", " +
                            std::to_string(got) + " events");
            });
            std::this_thread::sleep_for(new_stream_interval);
        }
        if (arguments.trouble) {
            std::this_thread::sleep_until(killed_at + entry_down);
            first.start();
            const bool ready = wait_until(start_limit, [&] { return first.ready(); });
            record.line(ready ? "entry-1 is ready again" : "entry-1 does not get ready again");
        }
    }
    for (std::thread& each : threads) {
        each.join();
    }
    if (!all_began) {
        record.line("not all streams have begun");
        return could_not_run;
    }

    unsigned taken_up = 0;
    unsigned going_on = 0;
    for (const auto& each : played) {
        taken_up += each->taken_up > 0 ? 1 : 0;
        going_on += each->goes_on() ? 1 : 0;
    }
    const std::string verdict = std::to_string(going_on) + " of " + std::to_string(taken_up) +
                                " streams that were taken up went on; " + std::to_string(begun) +
                                " of " + std::to_string(new_streams) + " new ones began";
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    if (!arguments.trouble) {
        return begun == new_streams && taken_up == 0 ? rule_held : could_not_run;
    }
    if (taken_up < least_streams) {
        return could_not_run;
    }
    // Under half of the share of new streams that begin.
    return 2 * going_on * new_streams < begun * taken_up ? rule_broken : rule_held;
}
