#pragma once

#include "relay_configuration.h"

#include <functional>

namespace cyclamen {

/// How one sending of a request to a backend server ended, short of a whole answer.
enum class attempt_end {
    not_sent, // no connection came up: it certainly did not run
    rejected, // the server said that it did not run
    failed,   // the server answered with a failure of its own
    lost,     // the answer did not come, or broke off: it may have run
};

inline constexpr std::array attempt_end_names{
    enum_name<attempt_end>{attempt_end::not_sent, "not_sent"},
    enum_name<attempt_end>{attempt_end::rejected, "rejected"},
    enum_name<attempt_end>{attempt_end::failed, "failed"},
    enum_name<attempt_end>{attempt_end::lost, "lost"},
};

/// What becomes of the request then.
enum class attempt_step {
    again,   // choose another backend server
    pass_on, // the caller gets the server's own failure
    refuse,  // the caller is told that it did not run
    unknown, // the caller is told that it may have run
};

struct direct_attempts_options {
    unsigned most_unsent = 6;   // connections that did not come up, for one request
    unsigned most_rejected = 3; // sendings that servers rejected, for one request
};

/// Decides how often, and after what, one request is sent.  A request that may run only
/// once is sent again only after a proof that it has not run.  Owned by one exchange.
class direct_attempts {
public:
    struct hooks {
        std::function<bool()> take_retry; // from the retry budget of the service
    };

    direct_attempts(direct_attempts_options options, route_kind kind, bool resumable,
                    unsigned most_backends, hooks collaborators);

    attempt_step after(attempt_end end);

    /// It may be sent again although it may have run.
    bool repeatable() const { return repeatable_; }
    bool may_have_run() const { return runs_ > 0; }
    unsigned sent() const { return sent_; }

private:
    attempt_step give_up() const;

    direct_attempts_options options_;
    bool repeatable_;
    unsigned most_backends_;
    hooks hooks_;
    unsigned sent_ = 0;
    unsigned runs_ = 0; // sendings not proved to have had no effect
    unsigned unsent_ = 0;
    unsigned rejected_ = 0;
};

} // namespace cyclamen
