#pragma once

#include "relay_configuration.h"

#include <functional>

namespace cyclamen {

/// Why one attempt to send a request to a backend server gave no complete response.
enum class attempt_outcome {
    not_sent, // no connection was established: the request did not run
    rejected, // the server reported that the request did not run
    failed,   // the server responded with an error
    lost,     // the response is missing or truncated: the request may have run
    unproven, // the response proves nothing about the request, which may have run
};

inline constexpr std::array attempt_outcome_names{
    enum_name<attempt_outcome>{attempt_outcome::not_sent, "not_sent"},
    enum_name<attempt_outcome>{attempt_outcome::rejected, "rejected"},
    enum_name<attempt_outcome>{attempt_outcome::failed, "failed"},
    enum_name<attempt_outcome>{attempt_outcome::lost, "lost"},
    enum_name<attempt_outcome>{attempt_outcome::unproven, "unproven"},
};

/// What to do with the request after an unsuccessful attempt.
enum class attempt_action {
    retry,           // retry at another backend server
    forward_failure, // forward the server's error response to the caller
    report_not_run,  // report to the caller that the request did not run
    report_unknown,  // report to the caller that the request may have run
};

struct direct_attempts_options {
    unsigned max_connect_failures = 6; // failed connections tolerated per request
    unsigned max_rejections = 3;       // rejections by servers tolerated per request
};

/// Decides whether a request is retried after an unsuccessful attempt.  A request that may run
/// at most once is retried only when it provably has not run.  Owned by one exchange.
class direct_attempts {
public:
    struct hooks {
        std::function<bool()> take_retry; // takes a retry from the service's budget; false if empty
    };

    /// `resumable` says whether a stream may continue at another server; `max_backends` limits the
    /// servers at which the request may run.
    direct_attempts(direct_attempts_options options, route_kind kind, bool resumable,
                    unsigned max_backends, hooks collaborators);

    /// Records the outcome of an attempt and decides what to do next.
    attempt_action next_action(attempt_outcome outcome);

    /// Takes a retry for an attempt that may run and is given up for one at another server; false
    /// if there may be none.
    bool take_restart();

    /// Whether the request may be retried although an earlier attempt may have run.
    bool repeatable() const { return repeatable_; }
    bool may_have_run() const { return possible_runs_ > 0; }
    /// Number of attempts for which a connection was established.
    unsigned sent() const { return sent_; }

private:
    attempt_action final_action() const;

    direct_attempts_options options_;
    bool repeatable_;
    unsigned max_backends_;
    hooks hooks_;
    unsigned sent_ = 0;
    unsigned possible_runs_ = 0; // attempts that may have run at a server
    unsigned connect_failures_ = 0;
    unsigned rejections_ = 0;
};

} // namespace cyclamen
