#include "agent_core.h"

#include "hashing.h"
#include "http_message.h"
#include "refusal_names.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {

constexpr std::size_t max_recorded_answer_bytes = 4096; // longer answers are not stored in the log
constexpr unsigned first_redirection = 300;
// Bodies of requests up to this size are accepted in any case.
constexpr std::size_t least_body_bytes = 16384;

// What the request has in common with others that may crash servers.
std::vector<suspect> suspects_of(const wire::dispatch& request)
{
    std::vector<suspect> result{{.hash = request.fingerprint()}};
    for (const std::uint64_t part : request.prompt_parts()) {
        result.push_back({.hash = part, .position = static_cast<unsigned>(result.size())});
    }
    return result;
}

} // namespace

agent_core::agent_core(agent_core_options options, const configuration_state& configuration,
                       counters& metrics, hooks effects)
    : options_(std::move(options)), configuration_(configuration), metrics_(metrics),
      hooks_(std::move(effects)), limits_(options_.limits),
      idempotency_guard_({.claims_ready = hooks_.claims_ready,
                          .lookup = hooks_.key_lookup,
                          .expired = hooks_.key_expired}),
      queue_(options_.queue),
      crashes_({.counts_open_attempts = false, .evidence = options_.crashes}),
      memory_(options_.max_held_bytes), entry_tracker_(options_.entries)
{
}

bool agent_core::accepting() const
{
    return !stopping_ && !leaving_ && backend_up_ &&
           !configuration_.zone_out(options_.availability_zone) &&
           !configuration_.drained(options_.instance);
}

std::size_t agent_core::open_jobs() const
{
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& row) {
        return row.second.state != job_phase::tombstone && !row.second.delivered();
    }));
}

double agent_core::account_weight(const std::string& account) const
{
    const account_settings* settings = configuration_.account(account);
    return settings == nullptr ? 1.0 : settings->weight;
}

void agent_core::on_hello(const std::string& route, const wire::hello& message, millis now)
{
    entry_tracker_.on_hello(message.incarnation(), message.next_sequence(), message.sent_at_ms(),
                            now);
    wire::envelope reply;
    reply.mutable_welcome()->set_instance(options_.instance);
    reply.mutable_welcome()->set_incarnation(options_.incarnation);
    reply.mutable_welcome()->set_configuration_offset(configuration_.offset());
    hooks_.send(route, std::move(reply));
}

millis agent_core::time_left(const wire::dispatch& message, millis now) const
{
    const millis allowed = std::min(millis(message.deadline_ms()), options_.max_deadline);
    return entry_tracker_.time_left(message.id().entry_incarnation(), message.sent_at_ms(), allowed,
                                    now);
}

// Checks the refusal reasons that do not depend on load.
wire::refusal agent_core::refusal_of(const wire::dispatch& message, millis now) const
{
    if (message.agent_incarnation() != options_.incarnation) {
        return wire::stale_incarnation;
    }
    if (message.service() != options_.service) {
        return wire::unknown_service;
    }
    if (stopping_) {
        return wire::stopping;
    }
    if (leaving_) {
        return wire::leaving;
    }
    if (configuration_.zone_out(options_.availability_zone)) {
        return wire::zone_out;
    }
    if (configuration_.drained(options_.instance)) {
        return wire::draining;
    }
    if (message.configuration_offset() > configuration_.offset()) {
        return wire::configuration_behind;
    }
    if (time_left(message, now) <= 0ms) {
        return wire::deadline_passed;
    }
    if (crashes().quarantined(suspects_of(message), now) ||
        configuration_.quarantined(message.fingerprint())) {
        return wire::quarantined;
    }
    if (!backend_up_) {
        return wire::backend_down;
    }
    if (jobs_.size() >= options_.max_jobs ||
        message.body().size() >
            memory_.allowance(std::min(least_body_bytes, options_.max_held_bytes),
                              options_.max_held_bytes)) {
        return wire::over_capacity;
    }
    return wire::refusal_none;
}

void agent_core::on_dispatch(const std::string& route, const wire::dispatch& message, millis now)
{
    const attempt_id id = attempt_of(message.id(), message.attempt());
    entry_tracker_.record_message(id.entry_incarnation, message.sent_at_ms(), now);
    for (const wire::seen_load& seen : message.seen()) {
        limits_.load().raise_expected_load(seen.instance(), seen.in_flight());
    }
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && message.agent_incarnation() == options_.incarnation) {
        found->second.route = route;
        found->second.last_seen = now;
        resend_state(id, found->second, now);
        return;
    }
    const wire::refusal reason = refusal_of(message, now);
    if (reason != wire::refusal_none) {
        send_verdict(route, id, wire::refused, reason, now);
        return;
    }
    if (message.repeat() == wire::keyed && replay_recorded_answer(id, route, message, now)) {
        return;
    }
    const wire::refusal key_reason = idempotency_guard_.refusal(message);
    if (key_reason != wire::refusal_none) {
        send_verdict(route, id, wire::refused, key_reason, now);
        return;
    }
    admit(id, route, message, now);
}

// Answers a request with the recorded answer of its idempotency key, if any, without a run.
bool agent_core::replay_recorded_answer(attempt_id id, const std::string& route,
                                        const wire::dispatch& message, millis now)
{
    const auto found = idempotency_guard_.recorded_answer(message);
    if (!found) {
        return false;
    }
    agent_job& job = jobs_[id];
    job.request = message;
    job.repeat = message.repeat();
    job.route = route;
    job.last_seen = now;
    job.ended = now;
    job.state = job_phase::finished;
    job.end = wire::complete;
    job.replayed = true;
    job.status = found->answer.status;
    job.content_type = found->answer.content_type;
    job.answer.append(found->answer.body);
    job.count_memory(memory_);
    ++metrics_.named("answers_replayed");
    send_answer(id, job);
    return true;
}

void agent_core::admit(attempt_id id, const std::string& route, const wire::dispatch& message,
                       millis now)
{
    // A new request must not overtake queued ones.
    const wire::refusal limit =
        queue_.size() > 0 ? wire::over_capacity
                          : limits_.limit_reached(message.account(), queue_.accounts(), now);
    if (limit != wire::refusal_none && !message.may_queue()) {
        send_verdict(route, id, wire::refused, limit, now);
        return;
    }
    if (limit != wire::refusal_none) {
        const std::uint64_t handle = next_handle_++;
        if (!queue_.push(message.account(), {.handle = handle, .priority = message.priority()})) {
            const bool over_share = limit == wire::over_account_share;
            send_verdict(route, id, wire::refused,
                         over_share ? wire::over_account_share : wire::over_capacity, now);
            return;
        }
        queued_jobs_[handle] = id;
        agent_job& job = jobs_[id];
        job.handle = handle;
        job.request = message;
        job.count_memory(memory_);
        job.repeat = message.repeat();
        job.route = route;
        job.last_seen = now;
        job.deadline = now + time_left(message, now);
        send_verdict(route, id, wire::queued, limit, now);
        return;
    }
    agent_job& job = jobs_[id];
    job.request = message;
    job.count_memory(memory_);
    job.repeat = message.repeat();
    job.route = route;
    job.last_seen = now;
    job.deadline = now + time_left(message, now);
    begin(id, job, now);
}

// Acquires a slot at the backend server.  A keyed request claims its key before it runs.
void agent_core::begin(attempt_id id, agent_job& job, millis now)
{
    limits_.acquire_slot(job.request.account());
    if (job.request.repeat() == wire::keyed) {
        job.state = job_phase::claiming;
        job.token =
            fmt::format("{}/{:016x}/{}", options_.instance, options_.incarnation, next_claim_++);
        send_verdict(job.route, id, wire::queued, wire::refusal_none, now);
        hooks_.claim(id, {.key = job.request.idempotency_key(),
                          .token = job.token,
                          .fingerprint = job.request.fingerprint()});
        return;
    }
    send_verdict(job.route, id, wire::started, wire::refusal_none, now);
    run(id, job, now);
}

void agent_core::run(attempt_id id, agent_job& job, millis now)
{
    job.state = job_phase::running;
    job.run = crashes_.begin({.suspects = suspects_of(job.request),
                              .server = backend_incarnation(),
                              .service = hash_of(options_.service)},
                             now);
    ++metrics_.named("runs_started");
    hooks_.start_run(id, job.request);
}

void agent_core::stop_run(attempt_id id, agent_job& job, millis now)
{
    hooks_.stop_run(id);
    record_run_end(job, attempt_end::given_up, now);
}

void agent_core::record_run_end(agent_job& job, attempt_end how, millis now)
{
    if (const auto number = std::exchange(job.run, std::nullopt)) {
        publish_crash_evidence(crashes_.end(*number, how, now), now);
    }
}

// Replaces the job, if any, by a record that the attempt must never start.
void agent_core::record_tombstone(attempt_id id, millis now)
{
    agent_job& job = jobs_[id];
    const std::string route = job.route;
    job = agent_job{};
    job.route = route;
    job.state = job_phase::tombstone;
    job.ended = now;
}

// Refuses a queued or claiming job, which then never starts.
void agent_core::refuse_job(attempt_id id, wire::refusal reason, millis now)
{
    agent_job& job = jobs_.at(id);
    if (job.state == job_phase::queued) {
        queue_.remove(job.handle);
        queued_jobs_.erase(job.handle);
    }
    else {
        limits_.release_slot(job.request.account());
    }
    const std::string route = job.route;
    record_tombstone(id, now);
    send_verdict(route, id, wire::refused, reason, now);
}

void agent_core::on_claim_decided(attempt_id id, bool won, millis now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.state != job_phase::claiming) {
        return;
    }
    agent_job& job = found->second;
    const key_release release{.key = job.request.idempotency_key(), .token = job.token};
    if (won && (job.cancelled || now >= job.deadline)) {
        hooks_.release(release);
        refuse_job(id, job.cancelled ? wire::cancelled : wire::deadline_passed, now);
    }
    else if (won) {
        send_verdict(job.route, id, wire::started, wire::refusal_none, now);
        run(id, job, now);
        return;
    }
    else {
        const std::string route = job.route;
        const wire::dispatch request = job.request;
        if (idempotency_guard_.recorded_answer(request)) {
            limits_.release_slot(job.request.account());
            jobs_.erase(id);
            replay_recorded_answer(id, route, request, now);
        }
        else {
            refuse_job(id, idempotency_guard_.lost_claim_refusal(request), now);
        }
    }
    start_queued_jobs(now);
}

void agent_core::on_claim_failed(attempt_id id, millis now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.state != job_phase::claiming) {
        return;
    }
    hooks_.release({.key = found->second.request.idempotency_key(), .token = found->second.token});
    refuse_job(id, wire::log_unavailable, now);
    start_queued_jobs(now);
}

void agent_core::start_queued_jobs(millis now)
{
    while (queue_.size() > 0) {
        // An account without requests in flight, so that only the common limits apply.
        const std::string idle_account;
        if (!accepting() ||
            limits_.limit_reached(idle_account, queue_.accounts(), now) != wire::refusal_none) {
            return;
        }
        const auto next = queue_.pop([this](const std::string& account) {
            return limits_.at_account_share(account, queue_.accounts())
                       ? std::nullopt
                       : std::optional<double>(limits_.slots_held_by(account) /
                                               account_weight(account));
        });
        if (!next) {
            return;
        }
        const attempt_id id = queued_jobs_.at(next->handle);
        queued_jobs_.erase(next->handle);
        agent_job& job = jobs_.at(id);
        if (now >= job.deadline) {
            const std::string route = job.route;
            record_tombstone(id, now);
            send_verdict(route, id, wire::refused, wire::deadline_passed, now);
            continue;
        }
        begin(id, job, now);
    }
}

void agent_core::on_fence(const std::string& route, const wire::cancel_fence& message, millis now)
{
    const attempt_id id = attempt_of(message.id(), message.attempt());
    wire::envelope reply;
    wire::fence_reply& body = *reply.mutable_fence_reply();
    name_attempt(body, id);
    const auto found = jobs_.find(id);
    if (message.agent_incarnation() != options_.incarnation) {
        body.set_status(wire::other_incarnation);
    }
    else if (found == jobs_.end()) {
        const bool proved = entry_tracker_.proves_never_received(id.entry_incarnation, id.sequence);
        record_tombstone(id, now);
        body.set_status(proved ? wire::never_starts : wire::finished);
    }
    else {
        agent_job& job = found->second;
        job.route = route;
        switch (job.state) {
        case job_phase::queued:
            queue_.remove(job.handle);
            queued_jobs_.erase(job.handle);
            record_tombstone(id, now);
            body.set_status(wire::never_starts);
            break;
        case job_phase::claiming:
            job.cancelled = true; // on_claim_decided() releases the claim
            body.set_status(wire::never_starts);
            break;
        case job_phase::running:
            body.set_status(wire::running);
            if (message.abandon() && job.request.repeat() == wire::idempotent) {
                stop_run(id, job, now);
                end_job(id, job, wire::failed_maybe_run, now);
            }
            break;
        case job_phase::finished:
            body.set_status(wire::finished);
            break;
        case job_phase::tombstone:
            body.set_status(wire::never_starts);
            break;
        }
    }
    hooks_.send(route, std::move(reply));
}

void agent_core::on_resume(const std::string& route, const wire::resume& message, millis now)
{
    const attempt_id id = attempt_of(message.id(), message.attempt());
    const auto found = jobs_.find(id);
    if (message.agent_incarnation() != options_.incarnation || found == jobs_.end()) {
        wire::cancel_fence fence;
        name_attempt(fence, id);
        fence.set_agent_incarnation(message.agent_incarnation());
        on_fence(route, fence, now); // the fence ensures that a late dispatch never starts
        return;
    }
    agent_job& job = found->second;
    job.route = route;
    job.last_seen = now;
    job.acknowledge(message.received());
    job.count_memory(memory_);
    resend_state(id, job, now);
}

// Reports the current state of an attempt to its entry, after a reconnect or a duplicate dispatch.
void agent_core::resend_state(attempt_id id, agent_job& job, millis now)
{
    switch (job.state) {
    case job_phase::queued:
    case job_phase::claiming:
        send_verdict(job.route, id, wire::queued, wire::refusal_none, now);
        return;
    case job_phase::tombstone:
        send_verdict(job.route, id, wire::refused, wire::cancelled, now);
        return;
    case job_phase::running:
    case job_phase::finished:
        send_verdict(job.route, id, wire::started, wire::refusal_none, now);
        job.sent = job.acknowledged;
        send_answer(id, job);
        return;
    }
}

void agent_core::on_ack(const std::string& route, const wire::answer_ack& message, millis now)
{
    const attempt_id id = attempt_of(message.id(), message.attempt());
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.state == job_phase::tombstone) {
        return;
    }
    agent_job& job = found->second;
    job.route = route;
    job.last_seen = now;
    job.acknowledge(message.received());
    job.count_memory(memory_);
    if (job.sent < job.answer.length()) {
        send_answer(id, job);
    }
}

void agent_core::on_route_activity(const std::string& route, millis now)
{
    for (auto& [id, job] : jobs_) {
        if (job.route == route) {
            job.last_seen = now;
        }
    }
}

void agent_core::on_load_report(const wire::load_report& report, millis now)
{
    if (report.service() != options_.service || report.instance() == options_.instance) {
        return;
    }
    limits_.load().record(report.instance(), report.in_flight(), report.accepting(), now);
    start_queued_jobs(now);
}

void agent_core::on_crash_evidence(const wire::crash_evidence& evidence, millis now)
{
    std::vector<std::uint64_t> changed;
    for (const wire::suspect_record& record : evidence.suspects()) {
        if (crashes_.merge(record, now)) {
            changed.push_back(record.suspect());
        }
    }
    publish_crash_evidence(changed, now); // not what is known, so that gossip ends
}

void agent_core::publish_crash_evidence(const std::vector<std::uint64_t>& suspects, millis now)
{
    wire::crash_evidence evidence;
    for (const std::uint64_t hash : suspects) {
        *evidence.add_suspects() = crashes().record(hash, now);
    }
    if (evidence.suspects_size() > 0) {
        hooks_.gossip_crash_evidence(evidence);
    }
}

void agent_core::on_answer_head(attempt_id id, unsigned status, const std::string& content_type,
                                millis now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.state != job_phase::running) {
        return;
    }
    found->second.status = status;
    found->second.content_type = printable_text(content_type); // messages carry UTF-8 only
    publish_crash_evidence(crashes_.on_server_heard(backend_incarnation(), now), now);
}

void agent_core::on_answer_data(attempt_id id, std::string_view data, millis now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.state != job_phase::running) {
        return;
    }
    agent_job& job = found->second;
    job.append(data);
    job.count_memory(memory_);
    if (job.answer.kept() >
        memory_.allowance(std::min(options_.answer_window, options_.max_answer_bytes),
                          options_.max_answer_bytes)) {
        hooks_.stop_run(id);
        on_run_end(id, run_outcome::too_large, now);
        return;
    }
    send_answer(id, job);
}

// Hash that identifies the backend server since its last start, as far as health probes show it.
std::uint64_t agent_core::backend_incarnation() const
{
    return combine_hashes(combine_hashes(hash_of(options_.instance), options_.incarnation),
                          backend_starts_);
}

void agent_core::on_run_end(attempt_id id, run_outcome end, millis now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.state != job_phase::running) {
        return;
    }
    agent_job& job = found->second;
    if (end == run_outcome::complete && job.broken_off()) {
        end = run_outcome::lost;
    }
    if (end != run_outcome::complete && end != run_outcome::too_large) {
        limits_.ramp().restart(now); // a server that drops connections may have restarted
    }
    switch (end) {
    case run_outcome::complete:
        limits_.ramp().completed(now);
        record_run_end(
            job, job.status < first_redirection ? attempt_end::completed : attempt_end::answered,
            now);
        end_job(id, job, wire::complete, now);
        break;
    case run_outcome::refused_connection:
        record_run_end(job, attempt_end::not_run, now);
        if (!job.token.empty()) {
            hooks_.release({.key = job.request.idempotency_key(), .token = job.token});
        }
        end_job(id, job, wire::failed_before_run, now);
        break;
    case run_outcome::crashed: {
        job.crashed = true;
        record_run_end(job, attempt_end::lost, now);
        on_backend_ended(now);
        ++metrics_.named("backend_crashes");
        end_job(id, job, wire::failed_maybe_run, now);
        break;
    }
    case run_outcome::lost:
    case run_outcome::too_large:
        record_run_end(job, end == run_outcome::lost ? attempt_end::lost : attempt_end::given_up,
                       now);
        end_job(id, job, wire::failed_maybe_run, now);
        break;
    }
    start_queued_jobs(now);
}

void agent_core::end_job(attempt_id id, agent_job& job, wire::answer_end end, millis now)
{
    limits_.release_slot(job.request.account());
    job.state = job_phase::finished;
    job.end = end;
    job.ended = now;
    if (end == wire::complete && !job.token.empty()) {
        // The body is recorded if it is short and the buffer still has all of it.
        const bool kept = job.acknowledged == 0 && job.answer.length() <= max_recorded_answer_bytes;
        hooks_.record_answer(
            {.key = job.request.idempotency_key(),
             .token = job.token,
             .status = job.status,
             .content_type = job.content_type,
             .body =
                 kept ? std::string(job.answer.from(0, max_recorded_answer_bytes)) : std::string(),
             .kept = kept});
    }
    ++metrics_.named(end == wire::complete ? "runs_completed" : "runs_failed");
    job.request.Clear();
    if (end != wire::complete) {
        job.answer.drop(); // is not sent any more
    }
    job.count_memory(memory_);
    send_answer(id, job);
}

void agent_core::send_answer(attempt_id id, agent_job& job)
{
    for (wire::answer_part& part : job.parts_to_send(id, options_.answer_window)) {
        wire::envelope message;
        *message.mutable_answer_part() = std::move(part);
        hooks_.send(job.route, std::move(message));
    }
}

void agent_core::send_verdict(const std::string& route, attempt_id id, wire::verdict_kind kind,
                              wire::refusal reason, millis now)
{
    wire::envelope message;
    wire::verdict& body = *message.mutable_verdict();
    name_attempt(body, id);
    body.set_kind(kind);
    body.set_reason(reason);
    body.set_in_flight(limits_.in_flight());
    body.set_agent_incarnation(options_.incarnation);
    body.set_configuration_offset(configuration_.offset());
    if (kind == wire::refused) {
        ++metrics_.named("refused_" + refusal_name(reason));
        body.set_hint_instance(limits_.load().hint(limits_.in_flight(), now).value_or(""));
    }
    hooks_.send(route, std::move(message));
}

void agent_core::on_backend_cold(millis now)
{
    limits_.ramp().restart(now);
}

void agent_core::on_backend_ended(millis now)
{
    publish_crash_evidence(crashes_.on_server_down(backend_incarnation(), now), now);
}

void agent_core::on_tick(millis now)
{
    publish_crash_evidence(crashes_.sweep(now), now);
    const bool out = configuration_.zone_out(options_.availability_zone) ||
                     configuration_.drained(options_.instance);
    if (was_withdrawn_ && !out) {
        limits_.ramp().restart(now); // load returns gradually through the cold-start ramp
    }
    was_withdrawn_ = out;
    for (auto& [id, job] : jobs_) {
        const bool orphaned = job.state == job_phase::running &&
                              job.request.repeat() == wire::idempotent &&
                              now - job.last_seen > options_.orphan_timeout;
        if (orphaned) {
            ++metrics_.named("orphans_stopped");
            stop_run(id, job, now);
            end_job(id, job, wire::failed_maybe_run, now);
        }
    }
    stop_overdue_runs(now);
    for (auto& [id, job] : jobs_) {
        if (job.state == job_phase::finished && now - job.last_seen > options_.orphan_timeout) {
            job.acknowledge(job.answer.length()); // the entry is gone: frees the buffered answer
            job.count_memory(memory_);
        }
    }
    std::vector<attempt_id> to_refuse;
    for (const auto& [handle, id] : queued_jobs_) {
        if (now >= jobs_.at(id).deadline || !accepting()) {
            to_refuse.push_back(id);
        }
    }
    for (const attempt_id& id : to_refuse) {
        refuse_job(id, now >= jobs_.at(id).deadline ? wire::deadline_passed : wire::stopping, now);
    }
    evict_expired_jobs(now);
    start_queued_jobs(now);
}

// Stops runs whose backend server goes on sending, however slowly, long after the deadline: nobody
// waits for them, and each holds a slot.
void agent_core::stop_overdue_runs(millis now)
{
    for (auto& [id, job] : jobs_) {
        if (job.state != job_phase::running) {
            continue;
        }
        const millis overtime =
            job.repeat == wire::idempotent ? options_.max_overtime : options_.max_other_overtime;
        if (now < job.deadline + overtime) {
            continue;
        }
        ++metrics_.named("overdue_runs_stopped");
        stop_run(id, job, now);
        end_job(id, job, wire::failed_maybe_run, now);
    }
}

// Evicts old jobs.  Jobs that must not run twice are kept until every message about them has
// passed its deadline.
void agent_core::evict_expired_jobs(millis now)
{
    const millis tombstone_retention = options_.max_deadline + options_.finished_retention;
    std::erase_if(jobs_, [&](const auto& row) {
        const auto& [id, job] = row;
        if (job.state != job_phase::finished && job.state != job_phase::tombstone) {
            return false;
        }
        const bool repeatable = job.state == job_phase::finished && job.repeat == wire::idempotent;
        if (now - job.ended <= (repeatable ? options_.finished_retention : tombstone_retention)) {
            return false;
        }
        entry_tracker_.record_eviction(id.entry_incarnation, id.sequence);
        return true;
    });
}

wire::load_report agent_core::load_report() const
{
    wire::load_report report;
    report.set_instance(options_.instance);
    report.set_service(options_.service);
    report.set_in_flight(limits_.in_flight());
    report.set_capacity(limits_.ramp().limit());
    report.set_accepting(accepting());
    report.set_configuration_offset(configuration_.offset());
    report.set_cold(limits_.ramp().cold());
    report.set_waiting(static_cast<std::uint32_t>(queue_.size()));
    report.set_backend_up(backend_up_);
    return report;
}

nlohmann::json agent_core::describe(millis now) const
{
    const load_estimate seen = limits_.load().estimate(limits_.in_flight(), now);
    return {{"instance", options_.instance},
            {"availability_zone", options_.availability_zone},
            {"service", options_.service},
            {"incarnation", fmt::format("{:016x}", options_.incarnation)},
            {"in_flight", limits_.in_flight()},
            {"waiting", queue_.size()},
            {"capacity", options_.limits.capacity},
            {"ramp_limit", limits_.ramp().limit()},
            {"cold", limits_.ramp().cold()},
            {"accepting", accepting()},
            {"stopping", stopping_},
            {"leaving", leaving_},
            {"backend_up", backend_up_},
            {"load_cap", limits_.load().cap(limits_.in_flight(), now)},
            {"load_mean", seen.mean},
            {"load_error", seen.error},
            {"load_samples", seen.samples},
            {"jobs", jobs_.size()},
            {"held_bytes", memory_.used()},
            {"suspects", crashes().size()},
            {"configuration_offset", configuration_.offset()}};
}

} // namespace cyclamen
