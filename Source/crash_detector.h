#pragma once

#include "crash_counter.h"

#include <string>
#include <vector>

namespace cyclamen {

struct crash_detector_options {
    // Time from the loss of a request within which the crash of its server becomes visible, by a
    // refused connection or by the entry of the restarted server.
    millis detection_window = 8000ms;
    std::size_t max_losses = 1024; // recent losses stored; beyond that the oldest are evicted
    // A crash also loses unrelated requests in flight at the server, whose callers retry them.  A
    // third loss of the same request is unlikely to be a coincidence.
    crash_counter_options counts{.quarantine_threshold = 3, .retention = 60000ms};
};

/// Detects requests that crash backend servers, from the view of the process that sends them: a
/// missing response, followed by signs that the server is down.  Reads no clock: the caller
/// passes the current time.
class crash_detector {
public:
    /// `observer` is the name of this process in reports.
    explicit crash_detector(std::string observer, crash_detector_options options = {})
        : observer_(std::move(observer)), options_(options), counts_(options.counts)
    {
    }

    /// Records that a request was sent to the server with the id `server` and got no response.
    void record_loss(std::uint64_t fingerprint, const std::string& server, millis now);
    /// Records that a request completed: its earlier losses were coincidences, so its count is
    /// reset.
    void record_success(std::uint64_t fingerprint);
    /// Counts a crash for each request recently lost at `server`, which is down or has restarted.
    /// Returns the reports for peers.
    std::vector<wire::crash_report> on_server_down(const std::string& server, millis now);
    /// Merges a peer's report; returns true if it raised a count.
    bool merge(const wire::crash_report& report, millis now) { return counts_.merge(report, now); }
    unsigned crashes(std::uint64_t fingerprint, millis now) const
    {
        return counts_.crashes(fingerprint, now);
    }
    bool quarantined(std::uint64_t fingerprint, millis now) const
    {
        return counts_.quarantined(fingerprint, now);
    }
    /// Whether no crash is counted, so that callers can skip computing a fingerprint.
    bool empty() const { return counts_.size() == 0; }

private:
    struct loss {
        std::uint64_t fingerprint = 0;
        std::string server;
        millis at{0};
    };

    std::string observer_;
    crash_detector_options options_;
    crash_counter counts_;
    std::vector<loss> losses_; // ordered by time
};

} // namespace cyclamen
