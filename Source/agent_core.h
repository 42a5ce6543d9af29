#pragma once

#include "agent_job.h"
#include "agent_limits.h"
#include "claim_ledger.h"
#include "configuration_state.h"
#include "counters.h"
#include "crash_detector.h"
#include "entry_tracker.h"
#include "fair_queue.h"
#include "idempotency_guard.h"
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
#include <vector>

namespace cyclamen {

struct agent_core_options {
    std::string instance;
    std::string availability_zone;
    std::string service;
    std::uint64_t incarnation = 0;
    std::size_t answer_window = 262144;     // unacknowledged bytes at which sending pauses
    std::size_t max_answer_bytes = 8388608; // maximum buffered bytes of one answer
    // Bytes that the requests and the buffered answers of all jobs hold together, at which large
    // requests are refused and large answers are given up.
    std::size_t max_held_bytes = 67108864;
    std::size_t max_jobs = 65536;        // maximum jobs recorded, including tombstones
    millis finished_retention = 60000ms; // retention of finished idempotent jobs
    // Upper bound of request deadlines.  Tombstones and finished non-idempotent jobs are kept
    // longer than this, so that they outlive every message about them.
    millis max_deadline = 600000ms;
    // Silence of the entry after which its idempotent runs are stopped and its buffered answers
    // dropped.
    millis orphan_timeout = 10000ms;
    // Time from the deadline of an idempotent run, and of any other, until the agent stops it
    // itself.  The entry stops the former at the deadline, and the latter may still have effects.
    millis max_overtime = 10000ms;
    millis max_other_overtime = 600000ms;
    agent_limits_options limits{};
    fair_queue_options queue{};
    crash_register_options crashes{};
    entry_tracker_options entries{};
};

/// Outcome of a run at the backend server.
enum class run_outcome { complete, refused_connection, lost, crashed, too_large };

/// Decides whether a request runs at this backend server, and buffers its answer until the
/// entry has acknowledged it.  Has no sockets, clock or threads: the owner passes in messages
/// and the current time, and effects are performed by hooks.  Owned by the agent server, or
/// by an embedding program.
class agent_core {
public:
    /// Effects and collaborators.  `route` identifies the link on which a message arrived.
    struct hooks {
        std::function<void(const std::string& route, wire::envelope message)> send;
        std::function<void(attempt_id, const wire::dispatch&)> start_run;
        /// Aborts the run.  Reports of it that still arrive are ignored.
        std::function<void(attempt_id)> stop_run;
        std::function<claim_readiness()> claims_ready;
        std::function<key_status(const std::string& key)> key_lookup;
        /// True if the key is older than the key window; nothing if the key has no timestamp.
        std::function<std::optional<bool>(const std::string& key)> key_expired;
        std::function<void(attempt_id, key_claim)> claim;
        std::function<void(key_release)> release;
        std::function<void(key_answer)> record_answer;
        std::function<void(const wire::crash_evidence&)> gossip_crash_evidence;
    };

    agent_core(agent_core_options options, const configuration_state& configuration,
               counters& metrics, hooks effects);

    // Messages from entries.
    void on_hello(const std::string& route, const wire::hello& message, millis now);
    void on_dispatch(const std::string& route, const wire::dispatch& message, millis now);
    void on_fence(const std::string& route, const wire::cancel_fence& message, millis now);
    void on_resume(const std::string& route, const wire::resume& message, millis now);
    void on_ack(const std::string& route, const wire::answer_ack& message, millis now);
    /// A heartbeat arrived on `route`, so the entry at its other end is alive.
    void on_route_activity(const std::string& route, millis now);

    // Messages from peers.
    void on_load_report(const wire::load_report& report, millis now);
    void on_crash_evidence(const wire::crash_evidence& evidence, millis now);

    // From the claim service: whether the attempt won its key, or that no decision was made.
    void on_claim_decided(attempt_id id, bool won, millis now);
    void on_claim_failed(attempt_id id, millis now);

    // From the backend server.
    void on_answer_head(attempt_id id, unsigned status, const std::string& content_type,
                        millis now);
    void on_answer_data(attempt_id id, std::string_view data, millis now);
    void on_run_end(attempt_id id, run_outcome end, millis now);
    void on_backend_cold(millis now);
    /// The backend server has ended: it refuses connections, fails a probe, or has restarted.
    void on_backend_ended(millis now);
    /// Result of a health probe.  `cold`: the server reports that it is cold, or is down.
    void on_backend_state(bool up, bool cold)
    {
        backend_starts_ += up && !backend_up_ ? 1 : 0;
        backend_up_ = up;
        limits_.ramp().set_backend_cold(cold);
    }

    // From the instance list, the stop signal and the timer.
    void set_leaving(bool leaving) { leaving_ = leaving; }
    void set_pool_size(unsigned size) { limits_.load().set_pool_size(size); }
    void begin_stop() { stopping_ = true; }
    void on_tick(millis now);

    unsigned in_flight() const { return limits_.in_flight(); }
    /// Jobs, queued ones included, whose answer the entry has not fully acknowledged.
    std::size_t open_jobs() const;
    bool accepting() const;
    wire::load_report load_report() const;
    const cold_start_ramp& ramp() const { return limits_.ramp(); }
    const crash_register& crashes() const { return crashes_.evidence(); }
    nlohmann::json describe(millis now) const;

private:
    using job_table = std::map<attempt_id, agent_job>;

    wire::refusal refusal_of(const wire::dispatch& message, millis now) const;
    bool replay_recorded_answer(attempt_id id, const std::string& route,
                                const wire::dispatch& message, millis now);
    void admit(attempt_id id, const std::string& route, const wire::dispatch& message, millis now);
    void begin(attempt_id id, agent_job& job, millis now);
    void run(attempt_id id, agent_job& job, millis now);
    void stop_run(attempt_id id, agent_job& job, millis now);
    void record_run_end(agent_job& job, attempt_end how, millis now);
    void start_queued_jobs(millis now);
    void stop_overdue_runs(millis now);
    void publish_crash_evidence(const std::vector<std::uint64_t>& suspects, millis now);
    std::uint64_t backend_incarnation() const;
    void end_job(attempt_id id, agent_job& job, wire::answer_end end, millis now);
    void record_tombstone(attempt_id id, millis now);
    void refuse_job(attempt_id id, wire::refusal reason, millis now);
    void send_verdict(const std::string& route, attempt_id id, wire::verdict_kind kind,
                      wire::refusal reason, millis now);
    void send_answer(attempt_id id, agent_job& job);
    void resend_state(attempt_id id, agent_job& job, millis now);
    millis time_left(const wire::dispatch& message, millis now) const;
    double account_weight(const std::string& account) const;
    void evict_expired_jobs(millis now);

    agent_core_options options_;
    const configuration_state& configuration_;
    counters& metrics_;
    hooks hooks_;
    agent_limits limits_;
    idempotency_guard idempotency_guard_;
    fair_queue queue_;
    crash_detector crashes_;
    memory_budget memory_; // counts what the jobs hold
    job_table jobs_;
    entry_tracker entry_tracker_;
    std::map<std::uint64_t, attempt_id> queued_jobs_; // by handle in the fair queue
    std::uint64_t next_handle_ = 1;
    std::uint64_t next_claim_ = 1;
    bool stopping_ = false;
    bool leaving_ = false;
    bool backend_up_ = true;
    std::uint64_t backend_starts_ = 0; // times that the backend server was up again
    bool was_withdrawn_ = false;       // zone out of service or instance drained at the last tick
};

} // namespace cyclamen
