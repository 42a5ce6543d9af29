#include "request_attempts.h"

namespace cyclamen {

namespace {

constexpr unsigned max_crashes = 2; // crashes of backend servers that quarantine the request

// True for refusals that every agent would repeat, so that a retry is pointless.
bool is_final(wire::refusal reason)
{
    switch (reason) {
    case wire::deadline_passed:
    case wire::quarantined:
    case wire::key_expired:
    case wire::key_reused:
        return true;
    default:
        return false;
    }
}

} // namespace

request_attempts::request_attempts(request_attempts_options options, wire::request_class repeat,
                                   millis deadline, hooks callbacks)
    : options_(options), repeat_(repeat), deadline_(deadline), hooks_(std::move(callbacks))
{
}

request_action request_attempts::finish(outcome result, wire::refusal reason)
{
    finished_ = true;
    awaiting_outcome_ = false;
    return {.kind = request_action_kind::finish, .result = result, .reason = reason};
}

// Ends the request; the outcome is `not_run` only if no attempt may have run.
request_action request_attempts::give_up(wire::refusal reason)
{
    return finish(may_have_run_ || awaiting_outcome_ ? outcome::unknown : outcome::not_run, reason);
}

request_action request_attempts::dispatch_to(std::string agent, bool may_queue)
{
    ++attempt_;
    agent_ = std::move(agent);
    tried_.insert(agent_);
    awaiting_outcome_ = true;
    return {.kind = request_action_kind::dispatch,
            .agent = agent_,
            .attempt = attempt_,
            .may_queue = may_queue};
}

request_action request_attempts::next_candidate(const std::string& hint, millis now)
{
    if (now >= deadline_) {
        return give_up(wire::deadline_passed);
    }
    const std::vector<std::string> ranked = hooks_.candidates();
    const bool may_queue = refusals_ + 1 >= options_.refusals_per_round;
    if (refusals_ < options_.refusals_per_round) {
        if (!hint.empty() && !tried_.contains(hint)) {
            for (const std::string& agent : ranked) {
                if (agent == hint) {
                    return dispatch_to(agent, may_queue);
                }
            }
        }
        for (const std::string& agent : ranked) {
            if (!tried_.contains(agent)) {
                return dispatch_to(agent, may_queue);
            }
        }
    }
    refusals_ = 0;
    tried_.clear();
    return {.kind = request_action_kind::pause, .pause = options_.pause_between_rounds};
}

request_action request_attempts::start(millis now)
{
    return next_candidate({}, now);
}

request_action request_attempts::resumed(millis now)
{
    if (finished_ || awaiting_outcome_) {
        return {};
    }
    return next_candidate({}, now);
}

request_action request_attempts::refused(unsigned attempt, wire::refusal reason,
                                         const std::string& hint, millis now)
{
    if (finished_ || attempt != attempt_ || !awaiting_outcome_) {
        return {};
    }
    awaiting_outcome_ = false;
    last_reason_ = reason;
    if (reason == wire::key_in_progress) {
        // The attempt that holds the key may still complete; its answer is then replayed for
        // this request.
        may_have_run_ = true;
        refusals_ = 0;
        tried_.clear();
        return {.kind = request_action_kind::pause, .pause = options_.pause_for_key};
    }
    if (reason == wire::stale_incarnation || reason == wire::duplicate_attempt) {
        // Only this delivery was refused; an earlier one may have reached the previous process
        // of the agent.
        return retry_on_another_agent(reason, now);
    }
    if (is_final(reason)) {
        return give_up(reason);
    }
    if (reason == wire::log_unavailable && ++log_refusals_ >= options_.max_log_refusals) {
        return give_up(reason);
    }
    if (reason == wire::configuration_behind &&
        configuration_retries_ < options_.max_configuration_retries) {
        ++configuration_retries_;
        return dispatch_to(agent_, false);
    }
    ++refusals_;
    return next_candidate(hint, now);
}

request_action request_attempts::not_sent(unsigned attempt, millis now)
{
    if (finished_ || attempt != attempt_ || !awaiting_outcome_) {
        return {};
    }
    awaiting_outcome_ = false;
    last_reason_ = wire::backend_down;
    return next_candidate({}, now);
}

// Called when an attempt may have run, so that another one is a retry.
request_action request_attempts::retry_on_another_agent(wire::refusal reason, millis now)
{
    may_have_run_ = true;
    if (repeat_ == wire::unkeyed || !hooks_.take_retry()) {
        return finish(outcome::unknown, reason);
    }
    return next_candidate({}, now);
}

request_action request_attempts::lost(unsigned attempt, millis now)
{
    if (finished_ || attempt != attempt_ || !awaiting_outcome_) {
        return {};
    }
    awaiting_outcome_ = false;
    return retry_on_another_agent(wire::backend_down, now);
}

request_action request_attempts::backend_failed(unsigned attempt, bool may_have_run, bool crashed,
                                                millis now)
{
    if (finished_ || attempt != attempt_ || !awaiting_outcome_) {
        return {};
    }
    awaiting_outcome_ = false;
    last_reason_ = wire::backend_down;
    if (!may_have_run) {
        ++refusals_;
        return next_candidate({}, now);
    }
    may_have_run_ = true;
    if (crashed && ++crashes_ >= max_crashes) {
        return finish(outcome::unknown, wire::quarantined);
    }
    if (repeat_ != wire::idempotent) {
        // The failed attempt of a keyed request still holds the claim, so a retry cannot run.
        return finish(outcome::unknown, wire::backend_down);
    }
    return retry_on_another_agent(wire::backend_down, now);
}

request_action request_attempts::deadline_passed(millis now)
{
    if (finished_ || now < deadline_) {
        return {};
    }
    return give_up(last_reason_ == wire::refusal_none ? wire::deadline_passed : last_reason_);
}

} // namespace cyclamen
