#include "fleet_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace cyclamen::test {

namespace {

constexpr std::uint64_t entry_incarnation = 77;
constexpr millis request_deadline = 3000ms;
constexpr unsigned max_resends = 6;
constexpr unsigned settle_rounds = 400;

std::string agent_name(unsigned number)
{
    return fmt::format("agent-{}", number);
}

} // namespace

std::ostream& operator<<(std::ostream& out, const scheduled_step& step)
{
    static constexpr std::array names{"deliver",      "drop",          "repeat",
                                      "read_log",     "append",        "append_and_lose_answer",
                                      "toggle_log",   "restart_agent", "toggle_freeze",
                                      "end_run",      "crash_backend", "pass_time",
                                      "give_up_link", "send_fence",    "resend"};
    return out << names.at(step.kind % fleet_step_count) << "(" << step.first << ", " << step.second
               << ")";
}

struct fleet_model::agent {
    unsigned number = 0;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    claim_ledger ledger;
    claim_batcher batcher{claim_batcher_options{}};
    std::map<std::string, attempt_id> claiming; // undecided claims, by token
    std::map<std::string, std::string> key_of;  // key of each claim, by token
    std::set<attempt_id> running;
    bool read_to_head = false;
    std::unique_ptr<agent_core> core;
};

struct fleet_model::request {
    std::uint64_t sequence = 0;
    std::string key;
    std::uint64_t fingerprint = 0;
    std::unique_ptr<request_attempts> attempts;
    std::uint64_t agent_incarnation = 0; // incarnation of the current attempt's agent
    bool paused = false;
    bool finished = false;
    outcome result = outcome::unknown;
    unsigned dispatches = 0;
};

fleet_model::fleet_model(fleet_model_options options) : options_(options)
{
    for (unsigned number = 0; number < options_.agents; ++number) {
        agents_.push_back(std::make_unique<agent>());
        start_agent(number);
        read_log(*agents_[number], 1000);
    }
    for (unsigned key = 0; key < options_.keys; ++key) {
        begin_request(key);
    }
}

fleet_model::~fleet_model() = default;

void fleet_model::start_agent(unsigned number)
{
    auto created = std::make_unique<agent>();
    agent* self = created.get();
    self->number = number;
    self->incarnation = next_incarnation_++;
    agent_core::hooks hooks{
        .send =
            [this, self](const std::string&, wire::envelope message) {
                network_.push_back({.to_agent = false,
                                    .agent = self->number,
                                    .agent_incarnation = self->incarnation,
                                    .message = std::move(message)});
            },
        .start_run =
            [this, self](attempt_id id, const wire::dispatch& request) {
                ++executions_by_key_[request.idempotency_key()];
                ++executions_by_attempt_[id];
                self->running.insert(id);
            },
        .stop_run = [self](attempt_id id) { self->running.erase(id); },
        .claims_ready =
            [this, self] {
                if (!self->read_to_head) {
                    return claim_readiness::not_read;
                }
                return log_up_ ? claim_readiness::ready : claim_readiness::log_down;
            },
        .key_lookup =
            [this, self](const std::string& key) {
                return options_.naive_claims ? key_status{} : self->ledger.status(key);
            },
        .key_expired = [](const std::string&) { return std::optional<bool>(false); },
        .claim =
            [self](attempt_id id, const key_claim& item) {
                self->claiming[item.token] = id;
                self->key_of[item.token] = item.key;
                self->batcher.claim(item);
            },
        .release = [self](key_release item) { self->batcher.release(std::move(item)); },
        .record_answer = [self](key_answer item) { self->batcher.answer(std::move(item)); },
        .gossip_crash_evidence = [](const wire::crash_evidence&) {}};
    agent_core_options options{.instance = agent_name(number),
                               .availability_zone = "zone",
                               .service = "orders",
                               .incarnation = self->incarnation,
                               .limits = {.ramp = {.capacity = 16}}};
    // Disables quarantine, which is not under test here.
    options.crashes = {.request_threshold = 1000, .proven_threshold = 1000};
    self->core = std::make_unique<agent_core>(options, configuration_, metrics_, std::move(hooks));
    agents_[number] = std::move(created);
}

void fleet_model::begin_request(unsigned key)
{
    const auto number = static_cast<unsigned>(requests_.size());
    auto created = std::make_unique<request>();
    created->sequence = number + 1;
    created->key = fmt::format("account/key-{}", key);
    created->fingerprint = 1000 + key;
    created->attempts = std::make_unique<request_attempts>(
        request_attempts_options{}, options_.repeat, now_ + request_deadline,
        request_attempts::hooks{.candidates =
                                    [this, number] {
                                        std::vector<std::string> ranked;
                                        for (unsigned at = 0; at < options_.agents; ++at) {
                                            ranked.push_back(
                                                agent_name((at + number) % options_.agents));
                                        }
                                        return ranked;
                                    },
                                .take_retry = [] { return true; }});
    requests_.push_back(std::move(created));
    apply_step(number, requests_[number]->attempts->start(now_));
}

void fleet_model::apply_step(unsigned number, const request_action& step)
{
    request& open = *requests_[number];
    switch (step.kind) {
    case request_action_kind::none:
        return;
    case request_action_kind::pause:
        open.paused = true;
        return;
    case request_action_kind::finish:
        open.finished = true;
        open.result = step.result;
        return;
    case request_action_kind::dispatch:
        break;
    }
    const auto target = static_cast<unsigned>(std::stoul(step.agent.substr(6)));
    agent& to = *agents_[target];
    if (to.frozen || ++open.dispatches > 200) {
        // A frozen agent sends no welcome.  After 200 dispatches of a request, no agent does.
        open.paused = true; // retried at the next tick
        apply_step(number, open.attempts->not_sent(step.attempt, now_));
        return;
    }
    wire::hello greeting;
    greeting.set_incarnation(entry_incarnation);
    greeting.set_next_sequence(open.sequence);
    greeting.set_sent_at_ms(static_cast<std::uint64_t>(now_.count()));
    to.core->on_hello("entry", greeting, now_);
    network_.pop_back(); // discards the welcome
    open.agent_incarnation = to.incarnation;
    network_packet packet{.agent = target};
    wire::dispatch& body = *packet.message.mutable_dispatch();
    body.mutable_id()->set_entry_incarnation(entry_incarnation);
    body.mutable_id()->set_sequence(open.sequence);
    body.set_attempt(step.attempt);
    body.set_agent_incarnation(to.incarnation);
    body.set_account("account");
    body.set_service("orders");
    body.set_repeat(options_.repeat);
    body.set_idempotency_key(open.key);
    body.set_fingerprint(open.fingerprint);
    body.set_sent_at_ms(static_cast<std::uint64_t>(now_.count()));
    body.set_deadline_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, (open.attempts->deadline() - now_).count())));
    body.set_may_queue(step.may_queue);
    network_.push_back(std::move(packet));
}

void fleet_model::deliver(std::size_t at)
{
    network_packet packet = std::move(network_[at]);
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(at));
    if (!packet.to_agent) {
        to_entry(packet);
        return;
    }
    if (agents_[packet.agent]->frozen) {
        // The message stays in the socket's queue until the agent resumes.
        network_.push_back(std::move(packet));
        return;
    }
    to_agent(packet);
}

void fleet_model::to_agent(const network_packet& packet)
{
    agent_core& core = *agents_[packet.agent]->core;
    const wire::envelope& message = packet.message;
    if (message.has_dispatch()) {
        core.on_dispatch("entry", message.dispatch(), now_);
    }
    else if (message.has_cancel_fence()) {
        core.on_fence("entry", message.cancel_fence(), now_);
    }
}

void fleet_model::to_entry(const network_packet& packet)
{
    const wire::envelope& message = packet.message;
    const auto request_index = [&](std::uint64_t sequence) {
        return static_cast<unsigned>(sequence - 1);
    };
    if (message.has_verdict() && message.verdict().kind() == wire::refused) {
        const wire::verdict& body = message.verdict();
        const unsigned number = request_index(body.id().sequence());
        apply_step(number, requests_[number]->attempts->refused(body.attempt(), body.reason(),
                                                                body.hint_instance(), now_));
    }
    else if (message.has_fence_reply()) {
        const wire::fence_reply& body = message.fence_reply();
        const unsigned number = request_index(body.id().sequence());
        request_attempts& attempts = *requests_[number]->attempts;
        if (body.status() == wire::never_starts) {
            apply_step(number, attempts.refused(body.attempt(), wire::cancelled, {}, now_));
        }
        else if (body.status() != wire::running) {
            apply_step(number, attempts.lost(body.attempt(), now_));
        }
    }
    else if (message.has_answer_part()) {
        const wire::answer_part& body = message.answer_part();
        const unsigned number = request_index(body.id().sequence());
        request& open = *requests_[number];
        if (open.finished || !open.attempts->awaiting_outcome() ||
            open.attempts->attempt() != body.attempt()) {
            return;
        }
        if (body.end() == wire::complete) {
            open.finished = true;
            open.result = outcome::answered;
        }
        else if (body.end() != wire::more) {
            apply_step(number, open.attempts->backend_failed(body.attempt(),
                                                             body.end() == wire::failed_maybe_run,
                                                             body.crashed_backend(), now_));
        }
    }
}

void fleet_model::read_log(agent& reader, std::size_t max_records)
{
    if (!log_up_) {
        return;
    }
    for (std::size_t count = 0; count < max_records && reader.ledger.next_offset() < log_.size();
         ++count) {
        const std::uint64_t offset = reader.ledger.next_offset();
        reader.ledger.apply(offset, now_, log_[offset]);
    }
    reader.read_to_head = reader.read_to_head || reader.ledger.next_offset() == log_.size();
    decide_claims(reader);
}

void fleet_model::append(agent& writer, bool lose_response)
{
    const auto record = writer.batcher.next(now_);
    if (!record) {
        return;
    }
    if (!log_up_) {
        writer.batcher.on_append_failed(now_);
        return;
    }
    log_.push_back(*record);
    if (lose_response) {
        writer.batcher.on_append_failed(now_);
    }
    else {
        writer.batcher.on_append_succeeded();
    }
}

void fleet_model::decide_claims(agent& holder)
{
    std::vector<std::pair<attempt_id, bool>> decided;
    for (auto undecided = holder.claiming.begin(); undecided != holder.claiming.end();) {
        const std::string& key = holder.key_of[undecided->first];
        if (options_.naive_claims || holder.ledger.decided(key, undecided->first)) {
            decided.emplace_back(undecided->second, options_.naive_claims ||
                                                        holder.ledger.holds(key, undecided->first));
            undecided = holder.claiming.erase(undecided);
        }
        else {
            ++undecided;
        }
    }
    for (const auto& [id, won] : decided) {
        holder.core->on_claim_decided(id, won, now_);
    }
}

void fleet_model::end_run(agent& runner, run_outcome end)
{
    if (runner.running.empty()) {
        return;
    }
    const attempt_id id = *runner.running.begin();
    runner.running.erase(runner.running.begin());
    runner.core->on_answer_head(id, 200, "text/plain", now_);
    runner.core->on_answer_data(id, "paid", now_);
    runner.core->on_run_end(id, end, now_);
    runner.core->on_backend_state(true, false); // as a health probe would soon report
}

void fleet_model::tick()
{
    for (const auto& current : agents_) {
        if (!current->frozen) {
            current->core->on_tick(now_);
        }
    }
    for (unsigned number = 0; number < requests_.size(); ++number) {
        request& open = *requests_[number];
        if (open.finished) {
            continue;
        }
        if (open.paused) {
            open.paused = false;
            apply_step(number, open.attempts->resumed(now_));
        }
        if (!open.finished) {
            apply_step(number, open.attempts->deadline_passed(now_));
        }
    }
}

void fleet_model::step(const scheduled_step& next)
{
    agent& chosen = *agents_[next.first % agents_.size()];
    const auto number = static_cast<unsigned>(next.first % requests_.size());
    request& open = *requests_[number];
    const std::size_t packet = network_.empty() ? 0 : next.second % network_.size();
    switch (static_cast<fleet_step>(next.kind % fleet_step_count)) {
    case fleet_step::deliver:
        if (!network_.empty()) {
            deliver(packet);
        }
        return;
    case fleet_step::drop:
        if (!network_.empty()) {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(packet));
        }
        return;
    case fleet_step::repeat:
        if (!network_.empty()) {
            network_.push_back(network_[packet]);
        }
        return;
    case fleet_step::read_log:
        if (!chosen.frozen) {
            read_log(chosen, 1 + next.second % 4);
        }
        return;
    case fleet_step::append:
    case fleet_step::append_and_lose_answer:
        if (!chosen.frozen) {
            append(chosen, next.kind % fleet_step_count ==
                               static_cast<unsigned>(fleet_step::append_and_lose_answer));
        }
        return;
    case fleet_step::toggle_log:
        log_up_ = !log_up_;
        return;
    case fleet_step::restart_agent:
        start_agent(chosen.number);
        return;
    case fleet_step::toggle_freeze:
        chosen.frozen = !chosen.frozen;
        return;
    case fleet_step::end_run:
        if (!chosen.frozen) {
            end_run(chosen, run_outcome::complete);
        }
        return;
    case fleet_step::crash_backend:
        if (!chosen.frozen) {
            end_run(chosen, run_outcome::lost);
        }
        return;
    case fleet_step::pass_time:
        now_ += millis(next.second % 800);
        tick();
        return;
    case fleet_step::give_up_link:
        if (options_.naive_silence) {
            apply_step(number,
                       open.attempts->refused(open.attempts->attempt(), wire::cancelled, {}, now_));
        }
        else {
            apply_step(number, open.attempts->lost(open.attempts->attempt(), now_));
        }
        return;
    case fleet_step::send_fence:
        if (open.attempts->awaiting_outcome()) {
            network_packet fence{
                .agent = static_cast<unsigned>(std::stoul(open.attempts->agent().substr(6)))};
            wire::cancel_fence& body = *fence.message.mutable_cancel_fence();
            body.mutable_id()->set_entry_incarnation(entry_incarnation);
            body.mutable_id()->set_sequence(open.sequence);
            body.set_attempt(open.attempts->attempt());
            body.set_agent_incarnation(open.agent_incarnation);
            network_.push_back(std::move(fence));
        }
        return;
    case fleet_step::resend:
        if (requests_.size() < options_.keys + max_resends) {
            begin_request(next.second % options_.keys);
        }
        return;
    }
}

void fleet_model::run(const std::vector<scheduled_step>& schedule)
{
    for (const scheduled_step& next : schedule) {
        step(next);
    }
}

void fleet_model::settle()
{
    log_up_ = true;
    for (unsigned round = 0; round < settle_rounds; ++round) {
        for (const auto& current : agents_) {
            current->frozen = false;
            append(*current, false);
            read_log(*current, 1000);
            end_run(*current, run_outcome::complete);
        }
        while (!network_.empty()) {
            deliver(0);
        }
        now_ += 50ms;
        tick();
    }
}

std::vector<model_request_outcome> fleet_model::requests() const
{
    std::vector<model_request_outcome> ends;
    for (const auto& open : requests_) {
        model_request_outcome end{.finished = open->finished, .result = open->result};
        for (const auto& [id, count] : executions_by_attempt_) {
            end.executions += id.sequence == open->sequence ? count : 0;
        }
        ends.push_back(end);
    }
    return ends;
}

} // namespace cyclamen::test
