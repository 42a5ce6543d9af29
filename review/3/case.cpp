// All entries are killed, and while they are down the only backend server of a service is replaced
// by one with other software.  Checks that no stream goes on there that the old software began.

#include "stand_ins.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr unsigned streams = 12;
constexpr unsigned events = 60;        // of a stream
constexpr milliseconds event_time{50}; // between two of them
constexpr unsigned events_before = 5;  // each caller has as many when the entries are killed
constexpr milliseconds entries_down{2900};
constexpr milliseconds drain_time{2000};
constexpr milliseconds exit_time{200}; // after that, until the old server is gone
constexpr milliseconds pause_before_resuming{1100};
constexpr unsigned tries = 4; // of a caller
constexpr unsigned allowed = 2;
constexpr milliseconds start_limit{20000};

struct stream {
    std::string id; // of the attempt that begins it
    std::atomic<unsigned> got = 0;
    std::vector<stream_event> events;
    std::set<std::string> versions;
};

// Begins a stream at one entry, and takes it up at the other when it breaks off.
void play(stream& played, const std::vector<entry_options>& entries, unsigned first,
          record_file& record)
{
    const auto end = std::chrono::steady_clock::now() + 15s;
    std::string attempt = played.id;
    for (unsigned number = 0; number < tries; ++number) {
        const entry_options& entry = entries[(first + number) % entries.size()];
        const auto left =
            std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
        if (left <= 0ms) {
            return;
        }
        caller_request request{
            .path = "/chat/a", .attempt_id = attempt, .headers = {}, .body = "x", .budget = left};
        if (!played.events.empty()) {
            request.headers = {{"Resumes", played.id},
                               {"Last-Event-Id", std::to_string(played.events.back().id)}};
        }
        const answer given = call(entry.ip, entry.callers_port, request, [&](const answer& so_far) {
            if (number == 0) {
                played.got = static_cast<unsigned>(events_of(so_far.body).size());
            }
        });
        std::string got;
        if (given.success()) {
            for (const stream_event& event : events_of(given.body)) {
                played.events.push_back(event);
                played.versions.insert(event.data);
                got = event.data;
            }
        }
        record.line("caller of " + played.id + ", try " + std::to_string(number + 1) + " at " +
                    entry.name + ": status " + std::to_string(given.head.status()) + ", end " +
                    name_of(given.end) + ", up to event " +
                    std::to_string(played.events.empty() ? 0 : played.events.back().id) + " " +
                    got);
        if (given.success() && given.end == answer_end::whole) {
            return;
        }
        attempt = hexadecimal(random_number());
        std::this_thread::sleep_for(pause_before_resuming);
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
    const auto old_server = make_server("i-llm-old", "v1");
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
    old_server->start();
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

    std::vector<std::unique_ptr<stream>> played;
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < streams; ++index) {
        stream& each = *played.emplace_back(std::make_unique<stream>());
        each.id = hexadecimal(random_number());
        threads.emplace_back([&, index] { play(each, plans, index % 2, record); });
    }
    const bool all_began = wait_until(10s, [&] {
        return std::all_of(played.begin(), played.end(),
                           [](const auto& each) { return each->got >= events_before; });
    });
    if (all_began && arguments.trouble) {
        record.line("SIGKILL to both entries");
        const auto down_since = std::chrono::steady_clock::now();
        first.signal(SIGKILL);
        second.signal(SIGKILL);
        first.wait_for_exit(5s);
        second.wait_for_exit(5s);
        new_server->start();
        old_server->report_draining();
        record.line("i-llm-new (v2) is ready, i-llm-old (v1) drains");
        std::this_thread::sleep_for(drain_time + exit_time);
        old_server->leave();
        record.line("i-llm-old has left");
        std::this_thread::sleep_until(down_since + entries_down);
        first.start();
        second.start();
        record.line("both entries start again");
    }
    for (std::thread& each : threads) {
        each.join();
    }
    if (!all_began) {
        record.line("not all streams have begun");
        return could_not_run;
    }

    unsigned joined = 0;
    unsigned unfinished = 0;
    for (const auto& each : played) {
        const bool two = each->versions.size() > 1;
        joined += two ? 1 : 0;
        unfinished += each->events.empty() || each->events.back().id < events ? 1 : 0;
        if (two) {
            std::string parts;
            for (std::size_t at = 0; at < each->events.size(); ++at) {
                if (at == 0 || each->events[at].data != each->events[at - 1].data) {
                    parts += " " + each->events[at].data + " from event " +
                             std::to_string(each->events[at].id);
                }
            }
            record.line("stream " + each->id + " holds events of two versions:" + parts);
        }
    }
    const std::string verdict = std::to_string(joined) + " of " + std::to_string(streams) +
                                " streams hold events of two software versions; " +
                                std::to_string(unfinished) + " were not finished";
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    if (joined > allowed) {
        return rule_broken;
    }
    return arguments.trouble || unfinished == 0 ? rule_held : could_not_run;
}
