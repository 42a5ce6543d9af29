#pragma once

#include "crash_register.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamen {

struct crash_detector_options {
    // Longest time between the loss of a request and the sign that its server is down, such as a
    // refused connection or the removal of its entry.
    millis detection_window = 8000ms;
    std::size_t max_losses = 1024; // recent losses stored; beyond that the oldest are evicted
    // A crash also loses unrelated requests in flight at the server, whose callers retry them.  A
    // third loss of the same request is unlikely to be a coincidence.
    crash_register_options evidence{.request_threshold = 3, .retention = 900000ms};
};

/// Detects what crashes backend servers, from the view of a process that sends requests to them:
/// a missing response, and a sign that the server is down.  Each may be seen by this process or
/// by a peer, in any sequence.  Reads no clock: the caller passes the current time.
class crash_detector {
public:
    explicit crash_detector(crash_detector_options options = {})
        : options_(options), evidence_(options.evidence)
    {
    }

    /// Records that a request with these suspects was sent to the incarnation `server` of a
    /// backend server and that its response is missing, or has ended without a mark of its end.
    /// Returns the suspects for which a crash was counted, because the server is known to be down.
    std::vector<std::uint64_t> record_loss(const std::vector<suspect>& suspects,
                                           std::uint64_t server, millis now);
    /// Records that the incarnation `server` is down or was replaced.  Returns the suspects for
    /// which a crash was counted.
    std::vector<std::uint64_t> on_server_down(std::uint64_t server, millis now);
    /// Whether that is known already.
    bool known_down(std::uint64_t server) const { return down_.contains(server); }
    /// Records that a request with these suspects completed, so that they did not cause the
    /// crashes before.  Returns the suspects that this clears.
    std::vector<std::uint64_t> record_success(const std::vector<suspect>& suspects, millis now)
    {
        return evidence_.record_success(suspects, now);
    }
    /// Merges what a peer knows of a suspect; returns true if any of it is new.
    bool merge(const wire::suspect_record& record, millis now)
    {
        return evidence_.merge(record, now);
    }
    const crash_register& evidence() const { return evidence_; }

private:
    struct loss {
        std::vector<suspect> suspects;
        std::uint64_t server = 0;
        millis at{0};
    };

    void forget_old(millis now);

    crash_detector_options options_;
    crash_register evidence_;
    std::vector<loss> losses_;             // ordered by time
    std::map<std::uint64_t, millis> down_; // servers recently found to be down, and when
};

} // namespace cyclamen
