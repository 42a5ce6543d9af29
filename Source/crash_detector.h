#pragma once

#include "crash_register.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamen {

/// How an attempt to run a request at a backend server ended.
enum class attempt_end {
    not_run,   // the server has not run the request
    completed, // the response is a success and whole
    answered,  // any other whole response
    lost,      // the response is missing, broken off, or ended without a mark of its end
    given_up,  // this process, or the caller, has not waited long for the response
};

/// What an attempt was made with.
struct attempt_subject {
    std::vector<suspect> suspects;
    std::uint64_t server = 0;  // incarnation of the backend server
    std::uint64_t service = 0; // hash of its service's name
};

struct crash_detector_options {
    // Longest time between the end of an attempt and the news that its server has ended.  News come
    // late while the source of the servers' entries is away.
    millis news_delay = 60000ms;
    // A server may answer the request that crashes it.  A success counts once the server has been
    // heard this much later ...
    millis aftermath = 500ms;
    // ... or is not known to have ended this much later.  Entries of servers that crashed expire
    // within this time.
    millis survival_time = 6000ms;
    // Longest time from the loss of a request to another one's success at the same service, which
    // shows that the loss is not due to an outage.
    millis comparison_time = 3000ms;
    // Whether an attempt counts as lost at once when its server has ended, or only at its own end:
    // an agent that probes its server may take a busy one for down.
    bool counts_open_attempts = true;
    std::size_t max_losses = 1024;   // beyond that the oldest are evicted
    std::size_t max_servers = 4096;  // servers that have ended; beyond that the oldest are evicted
    std::size_t max_responses = 256; // for each server
    // A crash also loses unrelated requests in flight at the server, whose callers retry them.  A
    // third loss of the same request is unlikely to be a coincidence.
    crash_register_options evidence{.request_threshold = 3, .retention = 900000ms};
};

/// Detects what crashes backend servers, from the view of a process that sends requests to them:
/// the end of an attempt, and the end of its server.  Each may be seen by this process or by a
/// peer, in any sequence, and either may not be seen at all.  Reads no clock: the caller passes the
/// current time.
class crash_detector {
public:
    using attempt_number = std::uint64_t;

    explicit crash_detector(crash_detector_options options = {})
        : options_(options), evidence_(options.evidence)
    {
    }

    /// Records that a request was sent to a backend server.  Returns the number of the attempt.
    attempt_number begin(attempt_subject subject, millis now);
    /// Records the end of the attempt; ignored if that is recorded already.  Returns the suspects
    /// of which the evidence has changed.
    std::vector<std::uint64_t> end(attempt_number attempt, attempt_end how, millis now);
    /// Records the loss of a request with these suspects at `server`, without an attempt.  Returns
    /// the suspects for which a crash was counted.
    std::vector<std::uint64_t> record_loss(const std::vector<suspect>& suspects,
                                           std::uint64_t server, millis now);
    /// Records that a request with these suspects completed at a server that has outlived it.
    /// Returns the suspects that this clears.
    std::vector<std::uint64_t> record_success(const std::vector<suspect>& suspects, millis now)
    {
        return evidence_.record_success(suspects, now, now);
    }
    /// Records a sign of life of the incarnation `server`.  Returns the suspects that this clears.
    std::vector<std::uint64_t> on_server_heard(std::uint64_t server, millis now);
    /// Records that the incarnation `server` has ended or was replaced, and that this is known for
    /// `age`.  Returns the suspects for which a crash was counted.
    std::vector<std::uint64_t> on_server_down(std::uint64_t server, millis now,
                                              millis age = millis(0));
    /// Records that this incarnation lives, although it was taken to have ended.
    void on_server_alive(std::uint64_t server) { down_.erase(server); }
    /// Whether the end of this incarnation is known.
    bool known_down(std::uint64_t server) const { return down_.contains(server); }

    /// Merges what a peer, or an earlier process, knows.  Returns the suspects for which a crash
    /// was counted because of it, with losses of this process.
    std::vector<std::uint64_t> merge(const wire::crash_evidence& evidence, millis now);
    bool merge(const wire::suspect_record& record, millis now)
    {
        return evidence_.merge(record, now);
    }
    /// Takes successes into account that their servers have outlived by now.  To be called several
    /// times a second.  Returns the suspects that this clears.
    std::vector<std::uint64_t> sweep(millis now);
    /// Losses, and attempts with known suspects, that peers were not told of.  Each is returned
    /// once.
    wire::crash_evidence take_news(millis now);
    /// Adds what was learned recently, beside what is known of suspects, up to `count` rows of each
    /// kind.  `start` is the number of the first, so that all have their turn.
    void add_recent(wire::crash_evidence& to, std::size_t start, std::size_t count,
                    millis now) const;
    const crash_register& evidence() const { return evidence_; }

private:
    struct open_attempt {
        attempt_subject subject;
        millis began_at{0};
        bool counted = false; // a crash was counted, because the server has ended
    };
    struct loss {
        std::vector<suspect> suspects;
        millis at{0};
        bool from_peer = false; // which tells the others what it counts
        bool published = false;
    };
    struct unexplained_loss {
        attempt_subject subject;
        millis began_at{0};
        millis at{0};
    };
    struct response {
        std::vector<suspect> suspects;
        millis at{0};
    };
    // Identifies the loss of one request at one server.
    using loss_key = std::pair<std::uint64_t, std::uint64_t>;

    static loss_key key_of(std::uint64_t server, const std::vector<suspect>& suspects);
    void add_loss(std::uint64_t server, loss lost);
    void settle(std::vector<response>& rows, millis outlived_by, millis now,
                std::vector<std::uint64_t>& cleared);
    std::vector<std::uint64_t> compare_losses(const attempt_subject& success, millis began_at,
                                              millis now);
    void forget_old(millis now);

    crash_detector_options options_;
    crash_register evidence_;
    attempt_number last_attempt_ = 0;
    std::unordered_map<attempt_number, open_attempt> open_;
    std::map<loss_key, loss> losses_;           // at servers not known to have ended
    std::vector<unexplained_loss> unexplained_; // of this process, ordered by time
    // Successes that their servers have not outlived yet, by server, ordered by time.
    std::map<std::uint64_t, std::vector<response>> unsettled_;
    std::map<std::uint64_t, millis> down_; // servers that have ended, and when
    std::vector<std::pair<std::uint64_t, std::vector<suspect>>> risky_; // attempts to be published
    millis forgot_at_{0};
};

} // namespace cyclamen
