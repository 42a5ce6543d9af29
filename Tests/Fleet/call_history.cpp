#include "call_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace cyclamen::test {

void call_history::add(recorded_call call)
{
    const std::lock_guard lock(guard_);
    calls_.push_back(std::move(call));
}

std::size_t call_history::count(told end) const
{
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(), [&](const recorded_call& call) { return call.end == end; }));
}

told told_by(const call_result& answer)
{
    if (answer.status == 200) {
        return told::answered;
    }
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    if (!problem.is_object()) {
        return told::nothing;
    }
    return problem.value("outcome", "") == "not_run" ? told::not_run : told::unknown;
}

std::vector<std::string> violations(const std::vector<recorded_call>& calls,
                                    const std::vector<execution>& executions)
{
    std::vector<std::string> found;
    std::map<std::string, std::vector<execution>> runs;
    for (const execution& run : executions) {
        runs[run.key].push_back(run);
    }
    for (const auto& row : runs) {
        const std::string& key = row.first;
        const std::vector<execution>& list = row.second;
        if (list.size() > 1) {
            found.push_back(fmt::format("key {} was executed {} times", key, list.size()));
        }
        for (const execution& run : list) {
            const bool allowed =
                std::any_of(calls.begin(), calls.end(), [&](const recorded_call& call) {
                    return call.key == key && call.end != told::not_run &&
                           call.begun_ms <= run.at_ms;
                });
            if (!allowed) {
                found.push_back(fmt::format(
                    "key {} was executed, but every earlier call with this key ended as not_run",
                    key));
            }
        }
    }
    for (const recorded_call& call : calls) {
        if (call.end != told::answered) {
            continue;
        }
        if (!runs.contains(call.key)) {
            found.push_back(fmt::format("key {} got status 200, but was not executed", call.key));
        }
        const auto answer = nlohmann::json::parse(call.answer, nullptr, false);
        if (!answer.is_object() || answer.value("echo", "") != call.body) {
            found.push_back(fmt::format("key {} got a response that does not echo its request: {}",
                                        call.key, call.answer));
        }
    }
    return found;
}

} // namespace cyclamen::test
