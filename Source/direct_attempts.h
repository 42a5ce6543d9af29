#pragma once

#include "relay_configuration.h"

#include <functional>

namespace cyclamen {

/// Why one attempt to send a request to a backend server gave no complete response.
enum class attempt_end {
    not_sent, // no connection was established: the request did not run
    rejected, // the server reported that the request did not run
    failed,   // the server responded with an error
    lost,     // the response is missing or truncated: the request may have run
};

inline constexpr std::array attempt_end_names{
    enum_name<attempt_end>{attempt_end::not_sent, "not_sent"},
    enum_name<attempt_end>{attempt_end::rejected, "rejected"},
    enum_name<attempt_end>{attempt_end::failed, "failed"},
    enum_name<attempt_end>{attempt_end::lost, "lost"},
};

/// What to do with the request after an unsuccessful attempt.
enum class attempt_step {
    again,   // retry at another backend server
    pass_on, // forward the server's error response to the caller
    refuse,  // report to the caller that the request did not run
    unknown, // report to the caller that the request may have run
};

struct direct_attempts_options {
    unsigned most_unsent = 6;   // failed connections tolerated per request
    unsigned most_rejected = 3; // rejections by servers tolerated per request
};

/// Decides whether a request is retried after an unsuccessful attempt.  A request that may run
/// at most once is retried only when it provably has not run.  Owned by one exchange.
class direct_attempts {
public:
    struct hooks {
        std::function<bool()> take_retry; // takes a retry from the service's budget; false if empty
    };

    direct_attempts(direct_attempts_options options, route_kind kind, bool resumable,
                    unsigned most_backends, hooks collaborators);

    /// Records the outcome of an attempt and decides what to do next.
    attempt_step after(attempt_end end);

    /// Whether the request may be retried although an earlier attempt may have run.
    bool repeatable() const { return repeatable_; }
    bool may_have_run() const { return runs_ > 0; }
    /// Number of attempts for which a connection was established.
    unsigned sent() const { return sent_; }

private:
    attempt_step give_up() const;

    direct_attempts_options options_;
    bool repeatable_;
    unsigned most_backends_;
    hooks hooks_;
    unsigned sent_ = 0;
    unsigned runs_ = 0; // attempts that may have run at a server
    unsigned unsent_ = 0;
    unsigned rejected_ = 0;
};

} // namespace cyclamen
