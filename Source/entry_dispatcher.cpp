#include "entry_dispatcher.h"

#include "agent_job.h"
#include "configuration_feed.h"
#include "event_log.h"
#include "instance_directory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace cyclamen {

namespace {

constexpr millis tick_interval = 100ms;

} // namespace

entry_dispatcher::entry_dispatcher(kernel& core, entry_dispatcher_options options)
    : core_(core), options_(options), retries_(options_.retries),
      ranking_(options_.hot_prefixes, options_.max_candidates),
      links_(
          core, options_.link, options_.link_idle_timeout,
          {.on_message =
               [this](const std::string& instance, const wire::envelope& message) {
                   on_link_message(instance, message);
               },
           .on_welcome =
               [this](const std::string& instance, bool same_incarnation) {
                   on_link_welcome(instance, same_incarnation);
               },
           .on_unreachable = [this](const std::string& instance) { on_link_unreachable(instance); },
           .hello = [this] { return make_hello(); }})
{
}

entry_dispatcher::~entry_dispatcher() = default;

void entry_dispatcher::start()
{
    configuration_ = &core_.find<configuration_feed>("configuration");
    directory_ = &core_.find<instance_directory>("directory");
    const auto rebuild = [this] { ranking_.rebuild(*directory_, configuration_->state()); };
    directory_->changed.connect(rebuild);
    configuration_->advanced.connect(rebuild);
    tick_ = core_.every(tick_interval, [this] { tick(); });
}

std::uint64_t entry_dispatcher::submit(entry_request request, answer_sink sink)
{
    const std::uint64_t sequence = next_sequence_++;
    ++core_.metrics().named("requests_taken");
    retries_.record_first_attempt();
    open_request& open = open_[sequence];
    open.request = std::move(request);
    open.sink = std::move(sink);
    open.attempts = std::make_unique<request_attempts>(
        options_.attempts, open.request.message.repeat(), open.request.deadline,
        request_attempts::hooks{.candidates =
                                    [this, &open] {
                                        return ranking_.rank(open.request.message.service(),
                                                             open.request.placement, core_.now());
                                    },
                                .take_retry =
                                    [this, &open] {
                                        if (open.sink.committed() || !retries_.take()) {
                                            return false;
                                        }
                                        ++core_.metrics().named("retries");
                                        return true;
                                    }});
    open.deadline_timer = core_.after(open.request.deadline - core_.now(),
                                      [this, sequence] { on_deadline(sequence); });
    execute(sequence, open.attempts->start(core_.now()));
    return sequence;
}

// If an attempt is still open at the deadline, a `cancel_fence` message asks the agent for proof
// that the attempt never starts, so that fewer callers get `outcome::unknown`.
void entry_dispatcher::on_deadline(std::uint64_t sequence)
{
    const auto found = open_.find(sequence);
    if (found == open_.end()) {
        return;
    }
    open_request& open = found->second;
    if (!open.fence_pending && open.sent && open.attempts->awaiting_outcome() &&
        send_fence(sequence, open)) {
        open.fence_pending = true;
        open.deadline_timer =
            core_.after(options_.fence_timeout, [this, sequence] { on_deadline(sequence); });
        return;
    }
    execute(sequence, open.attempts->deadline_passed(core_.now()));
}

// Asks the agent not to start the current attempt, and to stop its run if it is idempotent.
// Returns false if the message was not sent.
bool entry_dispatcher::send_fence(std::uint64_t sequence, open_request& open)
{
    agent_link* link = links_.find_or_open(*directory_, open.attempts->agent());
    if (link == nullptr || !link->welcomed()) {
        return false;
    }
    wire::envelope fence;
    name_attempt(*fence.mutable_cancel_fence(),
                 {core_.incarnation(), sequence, open.attempts->attempt()});
    fence.mutable_cancel_fence()->set_agent_incarnation(link->agent_incarnation());
    fence.mutable_cancel_fence()->set_abandon(true);
    return link->send(std::move(fence));
}

void entry_dispatcher::execute(std::uint64_t sequence, const request_action& action)
{
    const auto found = open_.find(sequence);
    if (found == open_.end()) {
        return;
    }
    open_request& open = found->second;
    switch (action.kind) {
    case request_action_kind::none:
        return;
    case request_action_kind::dispatch:
        open.may_queue = action.may_queue;
        dispatch(sequence, open);
        return;
    case request_action_kind::pause:
        open.pause_timer = core_.after(action.pause, [this, sequence] {
            const auto again = open_.find(sequence);
            if (again != open_.end()) {
                execute(sequence, again->second.attempts->resumed(core_.now()));
            }
        });
        return;
    case request_action_kind::finish:
        finish(sequence, action.result, action.reason);
        return;
    }
}

std::vector<std::uint64_t> entry_dispatcher::open_requests_at(const std::string& instance) const
{
    std::vector<std::uint64_t> sequences;
    for (const auto& [sequence, open] : open_) {
        if (open.attempts->awaiting_outcome() && open.attempts->agent() == instance) {
            sequences.push_back(sequence);
        }
    }
    return sequences;
}

// Starts an attempt.  If the link is not yet established, on_link_welcome() sends the dispatch.
void entry_dispatcher::dispatch(std::uint64_t sequence, open_request& open)
{
    if (open.sink.committed()) { // the answer of another attempt can't follow
        finish(sequence, outcome::unknown, wire::backend_down);
        return;
    }
    open.sent = false;
    open.head_delivered = false;
    open.answer = answer_assembler();
    open.acknowledged = 0;
    agent_link* link = links_.find_or_open(*directory_, open.attempts->agent());
    if (link == nullptr || link->stopping()) {
        execute(sequence, open.attempts->not_sent(open.attempts->attempt(), core_.now()));
        return;
    }
    if (link->welcomed()) {
        send_dispatch(sequence, open, *link);
    }
}

void entry_dispatcher::send_dispatch(std::uint64_t sequence, open_request& open, agent_link& link)
{
    const millis now = core_.now();
    wire::envelope message;
    wire::dispatch& body = *message.mutable_dispatch();
    body = open.request.message;
    name_attempt(body, {core_.incarnation(), sequence, open.attempts->attempt()});
    body.set_agent_incarnation(link.agent_incarnation());
    body.set_configuration_offset(configuration_->state().offset());
    body.set_may_queue(open.may_queue);
    body.set_sent_at_ms(static_cast<std::uint64_t>(now.count()));
    body.set_deadline_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, (open.request.deadline - now).count())));
    for (const wire::seen_load& seen : open.seen) {
        *body.add_seen() = seen;
    }
    open.seen.clear();
    ++core_.metrics().named("dispatches");
    open.sent = link.send(std::move(message));
    if (!open.sent) {
        execute(sequence, open.attempts->not_sent(open.attempts->attempt(), now));
    }
}

// Returns null if the message does not belong to the current attempt of an open request.
entry_dispatcher::open_request* entry_dispatcher::find_open_attempt(const wire::request_id& id,
                                                                    unsigned attempt)
{
    const auto found = open_.find(id.sequence());
    const bool current = id.entry_incarnation() == core_.incarnation() && found != open_.end() &&
                         found->second.attempts->awaiting_outcome() &&
                         found->second.attempts->attempt() == attempt;
    if (!current) {
        ++core_.metrics().named("late_messages");
        return nullptr;
    }
    return &found->second;
}

void entry_dispatcher::on_link_message(const std::string& instance, const wire::envelope& message)
{
    switch (message.body_case()) {
    case wire::envelope::kVerdict:
        on_verdict(instance, message.verdict());
        return;
    case wire::envelope::kAnswerPart:
        on_answer_part(message.answer_part());
        return;
    case wire::envelope::kFenceReply:
        on_fence_reply(message.fence_reply());
        return;
    case wire::envelope::kFarewell:
        on_farewell(instance, message.farewell());
        return;
    case wire::envelope::kConfigurationUpdate: {
        const auto answer = configuration_->on_update(message.configuration_update());
        agent_link* link = links_.find_or_open(*directory_, instance);
        if (answer && link != nullptr) {
            wire::envelope reply;
            *reply.mutable_configuration_update() = *answer;
            link->send(std::move(reply));
        }
        return;
    }
    default:
        return;
    }
}

void entry_dispatcher::on_verdict(const std::string& instance, const wire::verdict& message)
{
    agent_link* link = links_.find_or_open(*directory_, instance);
    if (link != nullptr && configuration_->is_behind(message.configuration_offset())) {
        wire::envelope query;
        *query.mutable_configuration_update() = configuration_->make_record_query();
        link->send(std::move(query));
    }
    open_request* open = find_open_attempt(message.id(), message.attempt());
    if (open == nullptr || message.kind() != wire::refused) {
        return;
    }
    const millis now = core_.now();
    ++core_.metrics().named("refusals");
    if (is_agent_unavailable(message.reason())) {
        ranking_.avoid(instance, now + options_.avoid_duration);
    }
    if (is_overload(message.reason())) {
        ranking_.record_load_refusal(open->request.placement.prefix, now);
        if (open->seen.size() < options_.max_seen_loads) {
            wire::seen_load& seen = open->seen.emplace_back();
            seen.set_instance(instance);
            seen.set_in_flight(message.in_flight());
        }
    }
    if (message.reason() == wire::configuration_behind && link != nullptr) {
        wire::envelope update;
        *update.mutable_configuration_update() =
            configuration_->make_update_since(message.configuration_offset());
        link->send(std::move(update));
    }
    if (message.reason() == wire::stale_incarnation && link != nullptr &&
        link->agent_incarnation() != message.agent_incarnation()) {
        link->reconnect();
    }
    execute(message.id().sequence(), open->attempts->refused(message.attempt(), message.reason(),
                                                             message.hint_instance(), now));
}

void entry_dispatcher::on_answer_part(const wire::answer_part& message)
{
    open_request* open = find_open_attempt(message.id(), message.attempt());
    if (open == nullptr) {
        return;
    }
    const std::uint64_t sequence = message.id().sequence();
    if (message.end() == wire::failed_before_run || message.end() == wire::failed_maybe_run) {
        ranking_.avoid(open->attempts->agent(), core_.now() + options_.avoid_duration);
        execute(sequence, open->attempts->backend_failed(message.attempt(),
                                                         message.end() == wire::failed_maybe_run,
                                                         message.crashed_backend(), core_.now()));
        return;
    }
    if (message.offset() == 0 && !open->head_delivered) {
        open->head_delivered = true;
        open->sink.on_head(message.status(), message.content_type(), message.replayed(),
                           open->attempts->agent());
    }
    const auto new_bytes = open->answer.append(message);
    if (!new_bytes) {
        ++core_.metrics().named("answer_gaps");
        agent_link* link = links_.find_or_open(*directory_, open->attempts->agent());
        if (link != nullptr) {
            wire::envelope again;
            name_attempt(*again.mutable_resume(),
                         {core_.incarnation(), sequence, message.attempt()});
            again.mutable_resume()->set_agent_incarnation(link->agent_incarnation());
            again.mutable_resume()->set_received(open->answer.received());
            link->send(std::move(again));
        }
        return;
    }
    if (!new_bytes->empty()) {
        open->sink.on_data(*new_bytes);
    }
    acknowledge(sequence, *open, open->answer.is_complete());
    if (open->answer.is_complete()) {
        finish(sequence, outcome::answered, wire::refusal_none);
    }
}

// An acknowledgement lets the agent send more data and release what it has buffered.  As back
// pressure, none is sent while many bytes are buffered for a slow caller, unless `always` is set.
void entry_dispatcher::acknowledge(std::uint64_t sequence, open_request& open, bool always)
{
    const std::uint64_t received = open.answer.received();
    const bool due = received - open.acknowledged >= options_.ack_interval_bytes &&
                     open.sink.backlog() <= options_.max_backlog_bytes;
    if (!due && !always) {
        return;
    }
    agent_link* link = links_.find_or_open(*directory_, open.attempts->agent());
    if (link == nullptr) {
        return;
    }
    wire::envelope ack;
    name_attempt(*ack.mutable_answer_ack(),
                 {core_.incarnation(), sequence, open.attempts->attempt()});
    ack.mutable_answer_ack()->set_received(received);
    link->send(std::move(ack));
    open.acknowledged = received;
}

void entry_dispatcher::on_backlog_drained(std::uint64_t handle)
{
    const auto found = open_.find(handle);
    if (found != open_.end() && found->second.attempts->awaiting_outcome()) {
        acknowledge(handle, found->second, false);
    }
}

void entry_dispatcher::on_fence_reply(const wire::fence_reply& message)
{
    open_request* open = find_open_attempt(message.id(), message.attempt());
    if (open == nullptr) {
        return;
    }
    const std::uint64_t sequence = message.id().sequence();
    switch (message.status()) {
    case wire::never_starts:
        execute(sequence,
                open->attempts->refused(message.attempt(), wire::cancelled, {}, core_.now()));
        return;
    case wire::other_incarnation:
    case wire::finished:
        execute(sequence, open->attempts->lost(message.attempt(), core_.now()));
        return;
    default:
        if (open->fence_pending) {
            on_deadline(sequence);
        }
        return;
    }
}

// Replies once no outcome is awaited of the agent.  The agent repeats its farewell until then.
void entry_dispatcher::on_farewell(const std::string& instance, const wire::farewell& message)
{
    agent_link* link = links_.find(instance);
    if (link == nullptr || !link->welcomed() ||
        link->agent_incarnation() != message.agent_incarnation()) {
        return;
    }
    link->set_stopping();
    ranking_.avoid(instance, core_.now() + options_.avoid_duration);
    if (!open_requests_at(instance).empty()) {
        return;
    }
    wire::envelope reply;
    *reply.mutable_farewell() = message;
    link->send(std::move(reply));
}

void entry_dispatcher::on_link_welcome(const std::string& instance, bool same_incarnation)
{
    agent_link& link = links_.at(instance);
    log_event(event_id::link_opened, "agent={} incarnation={:016x}", instance,
              link.agent_incarnation());
    ranking_.stop_avoiding(instance);
    for (const std::uint64_t sequence : open_requests_at(instance)) {
        const auto found = open_.find(sequence);
        if (found == open_.end()) {
            continue;
        }
        open_request& open = found->second;
        open.failed_connects = 0;
        const unsigned attempt = open.attempts->attempt();
        if (!open.sent) {
            send_dispatch(sequence, open, link);
        }
        else if (!same_incarnation) {
            execute(sequence, open.attempts->lost(attempt, core_.now()));
        }
        else {
            ++core_.metrics().named("answers_resumed");
            wire::envelope message;
            name_attempt(*message.mutable_resume(), {core_.incarnation(), sequence, attempt});
            message.mutable_resume()->set_agent_incarnation(link.agent_incarnation());
            message.mutable_resume()->set_received(open.answer.received());
            link.send(std::move(message));
        }
    }
}

void entry_dispatcher::on_link_unreachable(const std::string& instance)
{
    const millis now = core_.now();
    ranking_.avoid(instance, now + options_.avoid_duration);
    for (const std::uint64_t sequence : open_requests_at(instance)) {
        const auto found = open_.find(sequence);
        if (found == open_.end()) {
            continue;
        }
        open_request& open = found->second;
        const unsigned attempt = open.attempts->attempt();
        if (!open.sent) {
            execute(sequence, open.attempts->not_sent(attempt, now));
        }
        else if (should_give_up(open)) {
            execute(sequence, open.attempts->lost(attempt, now));
        }
    }
}

// Counts a failed connection to the agent of a dispatched request and decides whether the request
// stops waiting for this agent.  An unkeyed request waits until the deadline, because only the
// agent knows whether it ran.  A partly delivered answer waits for a limited number of failed
// connections, because only this agent has the rest of it.  Other requests do not wait.
bool entry_dispatcher::should_give_up(open_request& open) const
{
    ++open.failed_connects;
    if (open.request.message.repeat() == wire::unkeyed) {
        return false;
    }
    return !open.sink.committed() || open.failed_connects >= options_.max_failed_connects;
}

void entry_dispatcher::finish(std::uint64_t sequence, outcome result, wire::refusal reason)
{
    const auto found = open_.find(sequence);
    if (found == open_.end()) {
        return;
    }
    open_request ended = std::move(found->second);
    open_.erase(found);
    ++core_.metrics().named("requests_" + std::string(name_of(outcome_names, result)));
    if (result == outcome::unknown) {
        log_event(event_id::request_unknown_outcome, "sequence={} agent={} reason={}", sequence,
                  ended.attempts->agent(), refusal_name(reason));
    }
    ended.sink.on_end({.result = result, .reason = reason, .served_by = ended.attempts->agent()});
}

void entry_dispatcher::abandon(std::uint64_t handle)
{
    const auto found = open_.find(handle);
    if (found == open_.end()) {
        return;
    }
    ++core_.metrics().named("callers_left");
    open_request& open = found->second;
    if (open.sent && open.attempts->awaiting_outcome()) {
        send_fence(handle, open);
    }
    open_.erase(found);
}

void entry_dispatcher::tick()
{
    std::set<std::string> agents_with_open_requests;
    for (const auto& [sequence, open] : open_) {
        if (open.attempts->awaiting_outcome()) {
            agents_with_open_requests.insert(open.attempts->agent());
        }
    }
    links_.tick(agents_with_open_requests, configuration_->state().offset());
    ranking_.remove_expired(core_.now());
}

wire::hello entry_dispatcher::make_hello() const
{
    wire::hello message;
    message.set_instance(core_.instance());
    message.set_incarnation(core_.incarnation());
    message.set_next_sequence(next_sequence_);
    message.set_sent_at_ms(static_cast<std::uint64_t>(core_.now().count()));
    return message;
}

nlohmann::json entry_dispatcher::describe() const
{
    auto requests = nlohmann::json::array();
    for (const auto& [sequence, open] : open_) {
        requests.push_back({{"sequence", sequence},
                            {"client_account", open.request.message.account()},
                            {"service", open.request.message.service()},
                            {"agent", open.attempts->agent()},
                            {"attempt", open.attempts->attempt()},
                            {"received", open.answer.received()},
                            {"time_left_ms", (open.request.deadline - core_.now()).count()}});
    }
    return {{"open", requests},
            {"links", links_.describe()},
            {"retry_balance", retries_.balance()},
            {"hot_prefixes", ranking_.hot_prefixes()}};
}

} // namespace cyclamen
