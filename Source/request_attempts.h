#pragma once

#include "refusal_names.h"
#include "time_types.h"

#include <wire.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

struct request_attempts_options {
    // Maximum number of refusals before a pause, after which all agents may be tried again.  The
    // last attempt of a round may be queued at its agent.
    unsigned refusals_per_round = 4;
    millis pause_between_rounds = 30ms;
    // Delay before a retry while another attempt holds the idempotency key.
    millis pause_for_key = 100ms;
    unsigned max_configuration_retries = 3; // retries at agents whose configuration is behind
    unsigned max_log_refusals = 2; // `log_unavailable` refusals after which the request ends
};

/// What the owner of a request has to do next.
enum class request_action_kind {
    dispatch, // send the request to `agent`
    pause,    // call `resumed` after `pause`
    finish,   // report `result` and `reason` to the caller
    none,     // wait for further messages
};

struct request_action {
    request_action_kind kind = request_action_kind::none;
    std::string agent;
    unsigned attempt = 0;
    bool may_queue = false;
    millis pause{0};
    outcome result = outcome::unknown;
    wire::refusal reason = wire::refusal_none;
};

/// Decides for one request which agents are tried, in which order and how often, and which
/// outcome is reported to its caller.  `not_run` is reported only if every attempt is proved
/// not to have run.  Owned by the entry's dispatcher, one for each open request.
class request_attempts {
public:
    /// Callbacks supplied by the owner.
    struct hooks {
        std::function<std::vector<std::string>()> candidates; // agents, best first
        // Takes a retry from the retry budget; returns false if a retry is not allowed.
        std::function<bool()> take_retry;
    };

    request_attempts(request_attempts_options options, wire::request_class repeat, millis deadline,
                     hooks callbacks);

    request_action start(millis now);
    /// The agent refused the attempt, which therefore never starts.  `hint` names a less loaded
    /// agent to try next, or is empty.
    request_action refused(unsigned attempt, wire::refusal reason, const std::string& hint,
                           millis now);
    /// The attempt was not sent, because no link to the agent was established or sending failed.
    request_action not_sent(unsigned attempt, millis now);
    /// Contact with the agent was lost or the agent was replaced; the attempt may have run.
    request_action lost(unsigned attempt, millis now);
    /// The backend server failed; `may_have_run` is false if the request certainly did not run,
    /// and `crashed` is true if the server crashed during the run.
    request_action backend_failed(unsigned attempt, bool may_have_run, bool crashed, millis now);
    /// A pause has ended.
    request_action resumed(millis now);
    request_action deadline_passed(millis now);

    unsigned attempt() const { return attempt_; }
    const std::string& agent() const { return agent_; }
    millis deadline() const { return deadline_; }
    unsigned tries() const { return attempt_; }
    /// True while the outcome of the current attempt is not known.
    bool awaiting_outcome() const { return awaiting_outcome_; }

private:
    request_action next_candidate(const std::string& hint, millis now);
    request_action dispatch_to(std::string agent, bool may_queue);
    request_action finish(outcome result, wire::refusal reason);
    request_action give_up(wire::refusal reason);
    request_action retry_on_another_agent(wire::refusal reason, millis now);

    request_attempts_options options_;
    wire::request_class repeat_;
    millis deadline_;
    hooks hooks_;
    std::string agent_;
    unsigned attempt_ = 0;
    bool awaiting_outcome_ = false;
    bool may_have_run_ = false;
    bool finished_ = false;
    unsigned refusals_ = 0; // refusals in the current round
    unsigned configuration_retries_ = 0;
    unsigned log_refusals_ = 0;
    unsigned crashes_ = 0;
    std::set<std::string> tried_; // agents tried in the current round
    wire::refusal last_reason_ = wire::refusal_none;
};

} // namespace cyclamen
