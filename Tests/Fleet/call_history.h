#pragma once

#include "local_fleet.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamen::test {

/// Outcome of a call as the caller saw it: answered for status 200, not_run or unknown by the field
/// `outcome` of a problem document, and no_response if the caller received neither.
enum class call_outcome { answered, not_run, unknown, no_response };

/// One call of a non-idempotent request with an idempotency key.
struct recorded_call {
    std::string key;
    std::string body;     // body of the request
    std::string response; // body of the response
    call_outcome outcome = call_outcome::no_response;
    std::int64_t started_at_ms = 0; // wall-clock time at which the call was sent
};

/// Calls recorded during one test run. `add` may be called from several threads at once; `calls`
/// and `count` take no lock.
class call_history {
public:
    void add(recorded_call call);
    const std::vector<recorded_call>& calls() const { return calls_; }
    std::size_t count(call_outcome outcome) const;

private:
    std::mutex mutex_;
    std::vector<recorded_call> calls_;
};

/// Derives the outcome of a call from its response.
call_outcome outcome_of(const call_result& response);

/// Compares calls with executions and describes each violation of at-most-once execution: a key
/// that was executed more than once, an execution that no call can account for because all calls
/// started later or were reported as `not_run`, a response without an execution, and a response
/// that belongs to another request.
std::vector<std::string> find_violations(const std::vector<recorded_call>& calls,
                                         const std::vector<execution>& executions);

} // namespace cyclamen::test
