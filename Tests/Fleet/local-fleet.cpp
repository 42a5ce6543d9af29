#include "local_fleet.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace cyclamen::test;

namespace {

std::string header(const call_result& response, const char* name)
{
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? "?" : found->second;
}

// Stops the entries first and then the agents, one at a time, by SIGTERM. Prints each exit status,
// or -1 if the process does not exit within 10 s. Returns whether all exited with status 0.
bool stop_all(local_fleet& fleet)
{
    bool clean = true;
    const auto stop = [&](local_fleet::fleet_member& member) {
        member.process->signal(SIGTERM);
        const auto status = member.process->wait(std::chrono::milliseconds(10000));
        fmt::print("stopped {} (process {}): exit status {}\n", member.name, member.process->pid(),
                   status.value_or(-1));
        clean = clean && status == 0;
    };
    stop(fleet.entry(0));
    stop(fleet.entry(1));
    for (local_fleet::fleet_member& member : fleet.engines()) {
        stop(member);
    }
    for (local_fleet::fleet_member& member : fleet.plain_servers()) {
        stop(member);
    }
    return clean;
}

} // namespace

// Starts a fleet with stand-in backend servers, streams one chat, makes one payment, repeats the
// payment through the other entry, and stops the fleet.
int main()
{
    try {
        local_fleet fleet({});
        fmt::print("{}", fleet.command(0, "show backend servers").body);
        const call_result chat = fleet.chat(0, "Draft a letter about quince and medlar.", true, 8);
        fmt::print("\nchat through entry-1: status {}, served by {}\n{}", chat.status,
                   header(chat, "X-Served-By"), chat.body);
        const call_result payment = fleet.pay(1, "jar-0001", "one jar, 12 ringgit");
        fmt::print("payment through entry-2: status {}, served by {}\n{}\n", payment.status,
                   header(payment, "X-Served-By"), payment.body);
        const call_result repeat = fleet.pay(0, "jar-0001", "one jar, 12 ringgit");
        fmt::print("same payment repeated through entry-1: status {}, replayed {}\n", repeat.status,
                   header(repeat, "Idempotency-Replayed"));
        const std::size_t runs = fleet.execution_count("jar-0001");
        fmt::print("executions of the payment: {}\n\n", runs);
        const bool clean = stop_all(fleet);
        const bool succeeded = clean && runs == 1 && chat.status == 200 && payment.status == 200 &&
                               repeat.status == 200 &&
                               chat.body.find("[DONE]") != std::string::npos;
        fmt::print("{}\n", succeeded ? "all steps succeeded" : "at least one step failed");
        return succeeded ? 0 : 1;
    }
    catch (const std::exception& fault) {
        fmt::print(stderr, "{}\n", fault.what());
        return 1;
    }
}
