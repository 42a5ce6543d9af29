#include "direct_attempts.h"

#include <algorithm>

namespace cyclamen {

direct_attempts::direct_attempts(direct_attempts_options options, route_kind kind, bool resumable,
                                 unsigned max_backends, hooks collaborators)
    : options_(options),
      repeatable_(kind == route_kind::safe || (kind == route_kind::stream && resumable)),
      max_backends_(std::max(1U, max_backends)), hooks_(std::move(collaborators))
{
}

attempt_action direct_attempts::final_action() const
{
    return may_have_run() ? attempt_action::report_unknown : attempt_action::report_not_run;
}

attempt_action direct_attempts::next_action(attempt_outcome outcome)
{
    if (outcome == attempt_outcome::not_sent) {
        ++connect_failures_;
        return connect_failures_ <= options_.max_connect_failures ? attempt_action::retry
                                                                  : final_action();
    }
    ++sent_;
    if (outcome == attempt_outcome::rejected) {
        ++rejections_;
        return rejections_ <= options_.max_rejections && hooks_.take_retry() ? attempt_action::retry
                                                                             : final_action();
    }
    ++possible_runs_;
    if (repeatable_ && possible_runs_ < max_backends_ && hooks_.take_retry()) {
        return attempt_action::retry;
    }
    return outcome == attempt_outcome::failed ? attempt_action::forward_failure
                                              : attempt_action::report_unknown;
}

bool direct_attempts::take_restart()
{
    if (!repeatable_ || possible_runs_ + 1 >= max_backends_ || !hooks_.take_retry()) {
        return false;
    }
    ++sent_;
    ++possible_runs_;
    return true;
}

} // namespace cyclamen
