// An entry is killed while it passes on answers that have neither a length nor chunks.  Checks that
// no caller takes the part that it got for the whole answer.

#include "stand_ins.h"

#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr unsigned lines = 40;        // of an answer, or events of a stream
constexpr milliseconds line_time{50}; // between two of them
constexpr unsigned callers = 6;       // of each kind
constexpr unsigned lines_before = 10; // each caller has as many when the entry is killed
constexpr milliseconds start_limit{20000};

std::string part(bool stream, const std::string& id, unsigned number)
{
    const std::string text = id + " line " + std::to_string(number) + "\n";
    return stream ? "id: " + std::to_string(number) + "\ndata: " + text + "\n" : text;
}

std::string whole_body(bool stream, const std::string& id)
{
    std::string body;
    for (unsigned number = 1; number <= lines; ++number) {
        body += part(stream, id, number);
    }
    return body;
}

// Answers without a length or chunks, and ends the connection in order after the last line.
bool run(channel& caller, const http_request& request, record_file& record)
{
    const std::string id = request.head.header("Attempt-Id");
    const bool stream = request.head.target().rfind("/chat/", 0) == 0;
    record.line("server runs " + id);
    bool sent = caller.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " + id +
                            ".whole." + std::to_string(whole_body(stream, id).size()) +
                            "\r\nContent-Type: " + (stream ? "text/event-stream" : "text/plain") +
                            "\r\nConnection: close\r\n\r\n");
    for (unsigned number = 1; sent && number <= lines; ++number) {
        std::this_thread::sleep_for(line_time);
        sent = caller.send(part(stream, id, number));
    }
    record.line("server " + std::string(sent ? "has sent all of " : "was left during ") + id);
    return false;
}

struct caller_result {
    std::string id;
    bool stream = false;
    std::atomic<std::size_t> bytes = 0;
    answer given;
};

} // namespace

int main(int count, char** values)
{
    const case_arguments arguments = read_arguments(count, values);
    record_file record(arguments.record);
    store platform(loopback_address(1));
    const auto on_run = [&](channel& caller, const http_request& request) {
        return run(caller, request, record);
    };
    backend llm(platform, loopback_address(2), {.id = "i-llm-1", .service = "llm"}, on_run);
    backend app(platform, loopback_address(2), {.id = "i-app-1", .service = "app"}, on_run);
    platform.put(
        "keyed.op", "config",
        configuration(1,
                      {{.name = "chat", .prefix = "/chat/", .type = "streaming", .service = "llm"},
                       {.name = "order", .prefix = "/order/", .type = "unsafe", .service = "app"}},
                      {"llm", "app"}));
    llm.start();
    app.start();
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

    std::vector<std::unique_ptr<caller_result>> results;
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < 2 * callers; ++index) {
        auto& result = *results.emplace_back(std::make_unique<caller_result>());
        result.stream = index % 2 == 0;
        result.id = hexadecimal(random_number());
        threads.emplace_back([&result, &plans, &record] {
            record.line("caller sends " + result.id + (result.stream ? " (chat)" : " (order)"));
            result.given =
                call(plans[0].ip, plans[0].callers_port,
                     {.path = result.stream ? "/chat/a" : "/order/a",
                      .attempt_id = result.id,
                      .headers = {},
                      .body = "x"},
                     [&result](const answer& so_far) { result.bytes = so_far.body.size(); });
        });
    }
    const bool all_began = wait_until(10s, [&] {
        for (const auto& result : results) {
            if (result->bytes < lines_before * part(result->stream, result->id, 1).size()) {
                return false;
            }
        }
        return true;
    });
    if (all_began && arguments.trouble) {
        record.line("SIGKILL to entry-1");
        first.signal(SIGKILL);
        first.wait_for_exit(5s);
    }
    for (std::thread& each : threads) {
        each.join();
    }
    if (!all_began) {
        record.line("not all answers have begun");
        return could_not_run;
    }

    unsigned mixed = 0;
    unsigned incomplete = 0;
    for (const auto& result : results) {
        const std::string whole = whole_body(result->stream, result->id);
        const bool same = result->given.body == whole;
        const bool wrong = result->given.success() && result->given.looks_complete() && !same;
        mixed += wrong ? 1 : 0;
        incomplete += same ? 0 : 1;
        record.line("caller has " + result->id + ": status " +
                    std::to_string(result->given.head.status()) + ", signature " +
                    result->given.head.header("Server-Signature") + ", end " +
                    name_of(result->given.end) + ", " + std::to_string(result->given.body.size()) +
                    " of " + std::to_string(whole.size()) + " bytes" +
                    (wrong ? "  <- looks complete and is not" : ""));
    }
    std::string verdict = std::to_string(mixed) + " of " + std::to_string(results.size()) +
                          " answers look complete and are not";
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    if (mixed > 0) {
        return rule_broken;
    }
    return arguments.trouble || incomplete == 0 ? rule_held : could_not_run;
}
