#pragma once

#include "crash_register.h"

#include <string>
#include <vector>

namespace cyclamen {

struct crash_watch_options {
    // A server that went down with a request shows it within so long: by a refused
    // connection, or by its next entry.
    millis told_within = 8000ms;
    std::size_t most_lost = 1024; // requests that wait for this; the oldest are dropped
    // Others that a server held are lost with it, and their callers send them once more: a
    // third loss of the same request is hardly chance.
    crash_register_options counts{.crashes_allowed = 3, .remembered = 60000ms};
};

/// Finds the requests that crash the backend servers that run them, from what a process
/// that sends them sees: an answer that never came, and then that its server was down.
/// No clock: every call carries the time.
class crash_watch {
public:
    /// `observer` names this process in reports.
    explicit crash_watch(std::string observer, crash_watch_options options = {})
        : observer_(std::move(observer)), options_(options), counts_(options.counts)
    {
    }

    /// A request was sent to `server`, and no answer came.
    void lost(std::uint64_t fingerprint, const std::string& server, millis now);
    /// A request ran to its end: what was counted of it was chance.
    void ended_well(std::uint64_t fingerprint);
    /// A server is down, or began anew.  Returns reports for peers.
    std::vector<wire::crash_report> server_down(const std::string& server, millis now);
    /// Takes a peer's report; true if it was news.
    bool merge(const wire::crash_report& report, millis now) { return counts_.merge(report, now); }
    bool quarantined(std::uint64_t fingerprint, millis now) const
    {
        return counts_.quarantined(fingerprint, now);
    }
    /// Nothing was counted, so that no fingerprint needs to be worked out.
    bool quiet() const { return counts_.size() == 0; }

private:
    struct loss {
        std::uint64_t fingerprint = 0;
        std::string server;
        millis at{0};
    };

    std::string observer_;
    crash_watch_options options_;
    crash_register counts_;
    std::vector<loss> losses_; // in order of time
};

} // namespace cyclamen
