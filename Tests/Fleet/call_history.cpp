#include "call_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace cyclamen::test {

void call_history::add(recorded_call call)
{
    const std::lock_guard lock(mutex_);
    calls_.push_back(std::move(call));
}

std::size_t call_history::count(call_outcome outcome) const
{
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(),
                      [&](const recorded_call& call) { return call.outcome == outcome; }));
}

call_outcome outcome_of(const call_result& response)
{
    if (response.status == 200) {
        return call_outcome::answered;
    }
    const auto problem = nlohmann::json::parse(response.body, nullptr, false);
    if (!problem.is_object()) {
        return call_outcome::no_response;
    }
    return problem.value("outcome", "") == "not_run" ? call_outcome::not_run
                                                     : call_outcome::unknown;
}

std::vector<std::string> find_violations(const std::vector<recorded_call>& calls,
                                         const std::vector<execution>& executions)
{
    std::vector<std::string> violations;
    std::map<std::string, std::vector<execution>> executions_by_key;
    for (const execution& run : executions) {
        executions_by_key[run.key].push_back(run);
    }
    for (const auto& key_and_executions : executions_by_key) {
        const std::string& key = key_and_executions.first;
        const std::vector<execution>& key_executions = key_and_executions.second;
        if (key_executions.size() > 1) {
            violations.push_back(
                fmt::format("key {} was executed {} times", key, key_executions.size()));
        }
        for (const execution& run : key_executions) {
            const bool allowed =
                std::any_of(calls.begin(), calls.end(), [&](const recorded_call& call) {
                    return call.key == key && call.outcome != call_outcome::not_run &&
                           call.started_at_ms <= run.executed_at_ms;
                });
            if (!allowed) {
                violations.push_back(fmt::format(
                    "key {} was executed, but every earlier call with this key ended as not_run",
                    key));
            }
        }
    }
    for (const recorded_call& call : calls) {
        if (call.outcome != call_outcome::answered) {
            continue;
        }
        if (!executions_by_key.contains(call.key)) {
            violations.push_back(
                fmt::format("key {} got status 200, but was not executed", call.key));
        }
        const auto response = nlohmann::json::parse(call.response, nullptr, false);
        if (!response.is_object() || response.value("echo", "") != call.body) {
            violations.push_back(
                fmt::format("key {} got a response that does not echo its request: {}", call.key,
                            call.response));
        }
    }
    return violations;
}

} // namespace cyclamen::test
