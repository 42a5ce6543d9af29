// A caller sends a request whose content, by its Content-Length, is the text of another request.
// Checks that the content does not run as a request of its own.

#include "stand_ins.h"

#include <algorithm>
#include <cstdio>

using namespace review;

namespace {

constexpr unsigned attempts = 5;
constexpr milliseconds start_limit{20000};
constexpr milliseconds quiet_time{1000}; // after which nothing more is expected to run

struct run_record {
    std::string id;
    std::string first_line;
    std::string body;
};

std::string request_text(const std::string& first_line, const std::string& id,
                         const std::string& body)
{
    return first_line + "\r\nHost: " + host_name + "\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer " + api_key +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

int main(int count, char** values)
{
    const case_arguments arguments = read_arguments(count, values);
    record_file record(arguments.record);
    store platform(loopback_address(1));
    std::mutex mutex;
    std::vector<run_record> runs;
    backend server(
        platform, loopback_address(2), {.id = "i-app-1", .service = "app"},
        [&](channel& caller, const http_request& request) {
            const std::string id = request.head.header("Attempt-Id");
            record.line("server runs " + id + ": " + request.head.first_line + ", " +
                        std::to_string(request.body.size()) + " bytes");
            {
                const std::lock_guard lock(mutex);
                runs.push_back(
                    {.id = id, .first_line = request.head.first_line, .body = request.body});
            }
            return caller.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " +
                               id + ".whole.4\r\nContent-Length: 4\r\n\r\npaid");
        });
    platform.put(
        "keyed.op", "config",
        configuration(1,
                      {{.name = "order", .prefix = "/order/", .type = "unsafe", .service = "app"}},
                      {"app"}));
    server.start();
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

    const std::string method = arguments.trouble ? "CONNECT" : "POST";
    std::set<std::string> outer_ids;
    std::set<std::string> inner_ids;
    unsigned answered = 0;
    for (unsigned number = 0; number < attempts; ++number) {
        const entry_options& entry = plans[number % plans.size()];
        const std::string outer = hexadecimal(random_number());
        const std::string inner = hexadecimal(random_number());
        outer_ids.insert(outer);
        inner_ids.insert(inner);
        const std::string content = request_text("POST /order/inner HTTP/1.1", inner, "");
        const auto connection = channel::connect(entry.ip, entry.callers_port);
        if (connection == nullptr) {
            record.line("no connection to " + entry.name);
            return could_not_run;
        }
        record.line("caller sends " + outer + ": " + method + " /order/outer with " +
                    std::to_string(content.size()) + " bytes of content, the text of request " +
                    inner);
        connection->send(request_text(method + " /order/outer HTTP/1.1", outer, content));
        const auto until = std::chrono::steady_clock::now() + quiet_time;
        while (const auto head = connection->read_head(std::chrono::duration_cast<milliseconds>(
                   until - std::chrono::steady_clock::now()))) {
            record.line(
                "caller of " + outer + " gets: " + head->first_line + " for " +
                (head->header("Attempt-Id").empty() ? "no id" : head->header("Attempt-Id")));
            answered += head->status() > 0 ? 1 : 0;
            const auto length = std::strtoull(head->header("Content-Length").c_str(), nullptr, 10);
            while (connection->buffer.size() < length &&
                   connection->fill(quiet_time) == read_end::data) {
            }
            connection->buffer.erase(0, std::min<std::size_t>(length, connection->buffer.size()));
        }
    }

    const std::lock_guard lock(mutex);
    const auto smuggled = std::count_if(runs.begin(), runs.end(), [&](const run_record& each) {
        return inner_ids.count(each.id) > 0;
    });
    const std::string verdict = std::to_string(smuggled) + " of " + std::to_string(attempts) +
                                " contents ran as requests of their own";
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    if (answered == 0) {
        return could_not_run;
    }
    return smuggled > 0 ? rule_broken : rule_held;
}
