#include "local_fleet.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace cyclamen::test;

namespace {

std::string header(const call_result& answer, const char* name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? "?" : found->second;
}

// Sends SIGTERM to the entries first and then to the agents, and prints each exit status.
// Returns whether all exited with status 0.
bool stop_all(local_fleet& fleet)
{
    bool clean = true;
    const auto stop = [&](local_fleet::member& part) {
        part.process->signal(SIGTERM);
        const auto status = part.process->wait(std::chrono::milliseconds(10000));
        fmt::print("stopped {} (process {}): exit status {}\n", part.name, part.process->id(),
                   status.value_or(-1));
        clean = clean && status == 0;
    };
    stop(fleet.entry(0));
    stop(fleet.entry(1));
    for (local_fleet::member& part : fleet.engines()) {
        stop(part);
    }
    for (local_fleet::member& part : fleet.desks()) {
        stop(part);
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
        const std::size_t runs = fleet.executions_of("jar-0001");
        fmt::print("executions of the payment: {}\n\n", runs);
        const bool clean = stop_all(fleet);
        const bool good = clean && runs == 1 && chat.status == 200 && payment.status == 200 &&
                          repeat.status == 200 && chat.body.find("[DONE]") != std::string::npos;
        fmt::print("{}\n", good ? "all steps succeeded" : "at least one step failed");
        return good ? 0 : 1;
    }
    catch (const std::exception& fault) {
        fmt::print(stderr, "{}\n", fault.what());
        return 1;
    }
}
