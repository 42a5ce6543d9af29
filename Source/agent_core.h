#pragma once

#include "answer_tail.h"
#include "claim_ledger.h"
#include "cold_start_ramp.h"
#include "configuration_state.h"
#include "counters.h"
#include "crash_register.h"
#include "entry_memory.h"
#include "fair_queue.h"
#include "load_estimator.h"
#include "time_types.h"

#include <nlohmann/json_fwd.hpp>
#include <wire.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace cyclamen {

struct agent_core_options {
    std::string instance;
    std::string availability_zone;
    std::string service;
    std::uint64_t incarnation = 0;
    unsigned capacity = 16;                  // requests in flight at the backend server
    double most_account_share = 0.5;         // of capacity, for one account while others are active
    std::size_t answer_window = 262144;      // bytes sent ahead of acknowledgements
    std::size_t most_answer_bytes = 8388608; // kept for one answer
    std::size_t most_jobs = 65536;           // open and ended jobs, tombstones
    millis finished_kept = 60000ms;          // idempotent jobs that ended
    millis longest_deadline = 600000ms;      // tombstones and other jobs outlive any deadline
    millis orphan_after = 10000ms;           // entry silent: an idempotent run is stopped
    cold_start_ramp_options ramp{};
    load_estimator_options load{};
    fair_queue_options queue{};
    crash_register_options crashes{};
    entry_memory_options entries{};
};

/// One attempt of a request, as agents and entries name it.
struct attempt_id {
    std::uint64_t entry_incarnation = 0;
    std::uint64_t sequence = 0;
    unsigned attempt = 0;

    auto operator<=>(const attempt_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/// What the claim stream says before and after a claim.
enum class claim_readiness { ready, not_read, log_down };

/// How a backend server's run ended.
enum class run_end { complete, refused_connection, lost, crashed, too_large };

/// Decides whether a request runs at this backend server, and keeps its answer until
/// the entry has it.  It has no sockets, clock or threads: messages and time are
/// handed in, and effects go out through hooks.  Owned by the agent's gate, or by an
/// embedder.
class agent_core {
public:
    /// Effects and collaborators.  `route` names the link that a message came on.
    struct hooks {
        std::function<void(const std::string& route, wire::envelope message)> send;
        std::function<void(attempt_id, const wire::dispatch&)> start_run;
        std::function<void(attempt_id)> stop_run; // nothing is reported of the run afterwards
        std::function<claim_readiness()> claims_ready;
        std::function<key_status(const std::string& key)> key_lookup;
        std::function<std::optional<bool>(const std::string& key)> key_expired;
        std::function<void(attempt_id, key_claim)> claim;
        std::function<void(key_release)> release;
        std::function<void(key_answer)> record_answer;
        std::function<void(const wire::crash_report&)> spread_crash;
    };

    agent_core(agent_core_options options, const configuration_state& configuration,
               counters& metrics, hooks effects);

    // Messages from entries.
    void on_hello(const std::string& route, const wire::hello& message, millis now);
    void on_dispatch(const std::string& route, const wire::dispatch& message, millis now);
    void on_fence(const std::string& route, const wire::cancel_fence& message, millis now);
    void on_resume(const std::string& route, const wire::resume& message, millis now);
    void on_ack(const std::string& route, const wire::answer_ack& message, millis now);
    void on_route_heard(const std::string& route, millis now);

    // Messages from peers.
    void on_load_report(const wire::load_report& report, millis now);
    void on_crash_report(const wire::crash_report& report, millis now);

    // From the claim service: the claim of this attempt stands, or lost.
    void on_claim_decided(attempt_id id, bool won, millis now);
    void on_claim_failed(attempt_id id, millis now);

    // From the backend server.
    void on_answer_head(attempt_id id, unsigned status, const std::string& content_type,
                        millis now);
    void on_answer_data(attempt_id id, std::string_view data, millis now);
    void on_run_end(attempt_id id, run_end end, millis now);
    void on_backend_cold(millis now);
    /// What a health probe said; `cold` as the server tells it.
    void on_backend_state(bool up, bool cold)
    {
        backend_up_ = up;
        ramp_.told_cold(cold);
    }

    // From the instance list and the process.
    void set_leaving(bool leaving) { leaving_ = leaving; }
    void set_pool_size(unsigned size) { load_.set_pool_size(size); }
    void begin_stop() { stopping_ = true; }
    void on_tick(millis now);

    unsigned in_flight() const { return in_flight_; }
    /// Requests not yet answered whole, waiting ones included.
    std::size_t open_jobs() const;
    bool accepting() const;
    wire::load_report load_report() const;
    const cold_start_ramp& ramp() const { return ramp_; }
    const crash_register& crashes() const { return crashes_; }
    nlohmann::json describe(millis now) const;

private:
    enum class phase { queued, claiming, running, finished, tombstone };

    struct job {
        wire::dispatch request; // emptied when the job ends
        wire::request_class repeat = wire::idempotent;
        std::string route;
        phase state = phase::queued;
        bool cancelled = false;
        millis deadline{0};
        millis heard{0}; // last message from the entry
        millis ended{0};
        std::string token; // of the claim
        unsigned status = 0;
        std::string content_type;
        answer_tail answer;
        std::uint64_t sent = 0;
        std::uint64_t acknowledged = 0;
        wire::answer_end end = wire::more;
        bool replayed = false;
        bool crashed = false;
        std::uint64_t handle = 0; // in the waiting queue
    };

    using job_table = std::map<attempt_id, job>;

    wire::refusal refusal_of(const wire::dispatch& message, millis now) const;
    wire::refusal limit_reached(const wire::dispatch& message, millis now) const;
    wire::refusal key_refusal(const wire::dispatch& message) const;
    bool replay_known_answer(attempt_id id, const std::string& route, const wire::dispatch& message,
                             millis now);
    void admit(attempt_id id, const std::string& route, const wire::dispatch& message, millis now);
    void begin(attempt_id id, job& work, millis now);
    void run(attempt_id id, job& work);
    void start_waiting(millis now);
    void end_job(attempt_id id, job& work, wire::answer_end end, millis now);
    void leave_tombstone(attempt_id id, millis now);
    void drop_refused(attempt_id id, wire::refusal reason, millis now);
    void release_place(const job& work);
    void send_verdict(const std::string& route, attempt_id id, wire::verdict_kind kind,
                      wire::refusal reason, millis now);
    void send_answer(attempt_id id, job& work);
    void resend_state(attempt_id id, job& work, millis now);
    millis time_left(const wire::dispatch& message, millis now) const;
    unsigned held_by(const std::string& account) const;
    bool over_share(const std::string& account) const;
    double account_weight(const std::string& account) const;
    void forget_old(millis now);

    agent_core_options options_;
    const configuration_state& configuration_;
    counters& metrics_;
    hooks hooks_;
    cold_start_ramp ramp_;
    load_estimator load_;
    fair_queue queue_;
    crash_register crashes_;
    job_table jobs_;
    entry_memory entries_;
    std::map<std::uint64_t, attempt_id> waiting_;
    std::map<std::string, unsigned> account_in_flight_;
    unsigned in_flight_ = 0;
    std::uint64_t next_handle_ = 1;
    std::uint64_t next_claim_ = 1;
    bool stopping_ = false;
    bool leaving_ = false;
    bool backend_up_ = true;
    bool was_out_ = false; // withdrawn by zone or drain at the last tick
};

/// The attempt that a message names.
attempt_id attempt_of(const wire::request_id& id, unsigned attempt);

} // namespace cyclamen
