#include "agent_gate.h"

#include "claim_service.h"
#include "configuration_feed.h"
#include "event_log.h"
#include "http_server.h"
#include "instance_directory.h"
#include "peer_exchange.h"

#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {

constexpr millis tick_interval = 100ms;
constexpr millis probe_timeout = 1000ms;
constexpr unsigned crash_fan_out = 4; // number of random agents that receive a crash report
constexpr int http_ok = 200;

} // namespace

agent_gate::agent_gate(kernel& core, agent_gate_options options)
    : core_(core), options_(std::move(options))
{
}

agent_gate::~agent_gate() = default;

agent_core::hooks agent_gate::make_hooks()
{
    return {
        .send = [this](const std::string& route,
                       wire::envelope message) { peers_->reply(route, std::move(message)); },
        .start_run = [this](attempt_id id,
                            const wire::dispatch& request) { runner_->start(id, request); },
        .stop_run = [this](attempt_id id) { runner_->stop(id); },
        .claims_ready =
            [this] {
                return claims_ == nullptr ? claim_readiness::log_down : claims_->readiness();
            },
        .key_lookup = [this](const std::string& key) { return claims_->lookup(key); },
        .key_expired = [this](const std::string& key) { return claims_->expired(key); },
        .claim = [this](attempt_id id, key_claim entry) { claims_->claim(id, std::move(entry)); },
        .release = [this](key_release entry) { claims_->release(std::move(entry)); },
        .record_answer = [this](key_answer entry) { claims_->record(std::move(entry)); },
        .spread_crash = [this](const wire::crash_report& report) { spread_crash(report); }};
}

// Sends a crash report to random agents, which forward reports that are new to them.
void agent_gate::spread_crash(const wire::crash_report& report)
{
    if (decisions_->crashes().quarantined(report.fingerprint(), core_.now())) {
        log_event(event_id::request_quarantined, "fingerprint={:016x}", report.fingerprint());
    }
    wire::envelope message;
    *message.mutable_crash_report() = report;
    peers_->send_to_random(crash_fan_out, message);
}

// Resends one past crash report periodically, so that agents that missed it converge.
void agent_gate::repeat_crash_report()
{
    const auto report = decisions_->crashes().report(core_.random());
    if (report) {
        wire::envelope message;
        *message.mutable_crash_report() = *report;
        peers_->send_to_random(1, message);
    }
}

void agent_gate::start()
{
    configuration_ = &core_.find<configuration_feed>("configuration");
    directory_ = &core_.find<instance_directory>("directory");
    peers_ = &core_.find<peer_exchange>("peers");
    if (options_.keyed) {
        claims_ = &core_.find<claim_service>("claims");
        claims_->on_decided = [this](attempt_id id, bool won) {
            decisions_->on_claim_decided(id, won, core_.now());
        };
        claims_->on_failed = [this](attempt_id id) {
            decisions_->on_claim_failed(id, core_.now());
        };
    }
    options_.core.incarnation = core_.incarnation();
    decisions_ = std::make_unique<agent_core>(options_.core, configuration_->state(),
                                              core_.metrics(), make_hooks());
    runner_ = std::make_unique<backend_runner>(
        core_, options_.backend,
        backend_runner::handlers{
            .on_head =
                [this](attempt_id id, int status, const std::string& content_type) {
                    decisions_->on_answer_head(id, static_cast<unsigned>(status), content_type,
                                               core_.now());
                },
            .on_data =
                [this](attempt_id id, std::string_view data) {
                    decisions_->on_answer_data(id, data, core_.now());
                },
            .on_end = [this](attempt_id id, http_call_result end) { on_run_ended(id, end); }});
    peers_->own_load = [this] { return decisions_->load_report(); };
    peers_->received.connect([this](const std::string& route, const wire::envelope& message) {
        on_message(route, message);
    });
    directory_->changed.connect([this] { learn_from_directory(); });
    tick_ = core_.every(tick_interval, [this] { decisions_->on_tick(core_.now()); });
    crash_timer_ = core_.every(options_.crash_exchange, [this] { repeat_crash_report(); });
    probe_backend();
}

void agent_gate::on_message(const std::string& route, const wire::envelope& message)
{
    const millis now = core_.now();
    switch (message.body_case()) {
    case wire::envelope::kHello:
        decisions_->on_hello(route, message.hello(), now);
        return;
    case wire::envelope::kDispatch:
        decisions_->on_dispatch(route, message.dispatch(), now);
        return;
    case wire::envelope::kAnswerAck:
        decisions_->on_ack(route, message.answer_ack(), now);
        return;
    case wire::envelope::kCancelFence:
        decisions_->on_fence(route, message.cancel_fence(), now);
        return;
    case wire::envelope::kResume:
        decisions_->on_resume(route, message.resume(), now);
        return;
    case wire::envelope::kHeartbeat: {
        decisions_->on_route_heard(route, now);
        wire::envelope answer;
        answer.mutable_heartbeat()->set_reply(true);
        answer.mutable_heartbeat()->set_incarnation(core_.incarnation());
        answer.mutable_heartbeat()->set_configuration_offset(configuration_->state().offset());
        peers_->reply(route, std::move(answer));
        return;
    }
    case wire::envelope::kLoadQuery: {
        wire::envelope answer;
        *answer.mutable_load_report() = decisions_->load_report();
        peers_->reply(route, std::move(answer));
        return;
    }
    case wire::envelope::kLoadReport:
        decisions_->on_load_report(message.load_report(), now);
        return;
    case wire::envelope::kCrashReport:
        decisions_->on_crash_report(message.crash_report(), now);
        return;
    default:
        ++core_.metrics().named("peer_messages_unexpected");
        return;
    }
}

void agent_gate::on_run_ended(attempt_id id, http_call_result end)
{
    switch (end) {
    case http_call_result::complete:
        decisions_->on_run_end(id, run_end::complete, core_.now());
        return;
    case http_call_result::not_sent:
        backend_up_ = false;
        decisions_->on_backend_state(false, true);
        decisions_->on_run_end(id, run_end::refused_connection, core_.now());
        return;
    case http_call_result::lost:
        decisions_->on_backend_cold(core_.now()); // before the probe, which takes time
        tell_crash(id);
        return;
    }
}

// Probes the health of the backend server.  Without a complete response it counts as down.
void agent_gate::ask_health(std::function<void(backend_health)> on_health)
{
    fetch(core_.loop(),
          {.server = options_.backend.backend,
           .method = "GET",
           .target = options_.health_path,
           .content_type = {},
           .body = {},
           .headers = {},
           .timeout = probe_timeout},
          [on_health = std::move(on_health)](const http_response& answer) {
              backend_health health;
              health.up = answer.end == http_call_result::complete && answer.status == http_ok;
              const auto body = nlohmann::json::parse(answer.body, nullptr, false);
              health.cold =
                  health.up && body.is_object() && body.contains("cold") && body["cold"] == true;
              on_health(health);
          });
}

// Ends a run whose connection was lost.  The run counts as a crash if the backend server is
// down as well.
void agent_gate::tell_crash(attempt_id id)
{
    ask_health([this, id](backend_health health) {
        if (!health.up) {
            log_event(event_id::backend_crashed, "backend={}", options_.backend.backend.text());
        }
        learn_health(health);
        decisions_->on_run_end(id, health.up ? run_end::lost : run_end::crashed, core_.now());
    });
}

void agent_gate::probe_backend()
{
    ask_health([this](backend_health health) {
        learn_health(health);
        health_timer_ =
            core_.after(core_.jittered(options_.health_interval), [this] { probe_backend(); });
    });
}

void agent_gate::learn_health(backend_health health)
{
    // A server that was down has restarted, and so starts cold.
    const bool cold = health.cold || (health.up && !backend_up_);
    if (cold && !backend_cold_) {
        log_event(event_id::backend_cold, "backend={}", options_.backend.backend.text());
        decisions_->on_backend_cold(core_.now());
    }
    if (backend_cold_ && !cold) {
        log_event(event_id::backend_warm, "backend={}", options_.backend.backend.text());
    }
    backend_cold_ = cold;
    backend_up_ = health.up;
    decisions_->on_backend_state(health.up, health.cold || !health.up);
}

void agent_gate::learn_from_directory()
{
    const listed_instance* self = directory_->find(core_.instance());
    decisions_->set_leaving(self != nullptr && self->leaving);
    decisions_->set_pool_size(static_cast<unsigned>(directory_->pool_size(options_.core.service)));
}

void agent_gate::begin_stop()
{
    decisions_->begin_stop();
}

bool agent_gate::idle() const
{
    return decisions_->open_jobs() == 0;
}

nlohmann::json agent_gate::describe() const
{
    return decisions_->describe(core_.now());
}

} // namespace cyclamen
