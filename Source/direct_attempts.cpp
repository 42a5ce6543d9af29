#include "direct_attempts.h"

#include <algorithm>

namespace cyclamen {

direct_attempts::direct_attempts(direct_attempts_options options, route_kind kind, bool resumable,
                                 unsigned most_backends, hooks collaborators)
    : options_(options),
      repeatable_(kind == route_kind::safe || (kind == route_kind::stream && resumable)),
      most_backends_(std::max(1U, most_backends)), hooks_(std::move(collaborators))
{
}

attempt_step direct_attempts::give_up() const
{
    return may_have_run() ? attempt_step::unknown : attempt_step::refuse;
}

attempt_step direct_attempts::after(attempt_end end)
{
    if (end == attempt_end::not_sent) {
        ++unsent_;
        return unsent_ <= options_.most_unsent ? attempt_step::again : give_up();
    }
    ++sent_;
    if (end == attempt_end::rejected) {
        ++rejected_;
        return rejected_ <= options_.most_rejected && hooks_.take_retry() ? attempt_step::again
                                                                          : give_up();
    }
    ++runs_;
    if (repeatable_ && runs_ < most_backends_ && hooks_.take_retry()) {
        return attempt_step::again;
    }
    return end == attempt_end::failed ? attempt_step::pass_on : attempt_step::unknown;
}

} // namespace cyclamen
