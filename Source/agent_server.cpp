#include "agent_server.h"

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
constexpr std::size_t suspects_per_repetition = 4;
constexpr unsigned crash_gossip_fanout = 4; // number of random agents that a new report is sent to
constexpr int http_ok = 200;

} // namespace

agent_server::agent_server(kernel& core, agent_server_options options)
    : core_(core), fetcher_(core.loop()), options_(std::move(options))
{
}

agent_server::~agent_server() = default;

agent_core::hooks agent_server::make_hooks()
{
    return {.send = [this](const std::string& route,
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
            .claim = [this](attempt_id id, key_claim item) { claims_->claim(id, std::move(item)); },
            .release = [this](key_release item) { claims_->release(std::move(item)); },
            .record_answer = [this](key_answer item) { claims_->record(std::move(item)); },
            .gossip_crash_evidence =
                [this](const wire::crash_evidence& evidence) { gossip_crash_evidence(evidence); }};
}

// Sends what is new about crashes to random agents, which forward what is new to them.
void agent_server::gossip_crash_evidence(const wire::crash_evidence& evidence)
{
    for (const wire::suspect_record& record : evidence.suspects()) {
        if (agent_core_->crashes().quarantined(record.suspect(), core_.now())) {
            log_event(event_id::request_quarantined, "suspect={:016x} position={} crashes={}",
                      record.suspect(), record.position(),
                      agent_core_->crashes().crashes(record.suspect(), core_.now()));
        }
    }
    wire::envelope message;
    *message.mutable_crash_evidence() = evidence;
    peers_->send_to_random(crash_gossip_fanout, message);
}

// Resends a part of what is known periodically, so that agents that missed it converge.
void agent_server::gossip_past_crash()
{
    wire::envelope message;
    for (wire::suspect_record& record :
         agent_core_->crashes().records(core_.random(), suspects_per_repetition, core_.now())) {
        *message.mutable_crash_evidence()->add_suspects() = std::move(record);
    }
    if (message.has_crash_evidence()) {
        peers_->send_to_random(1, message);
    }
}

void agent_server::start()
{
    configuration_ = &core_.find<configuration_feed>("configuration");
    directory_ = &core_.find<instance_directory>("directory");
    peers_ = &core_.find<peer_exchange>("peers");
    if (options_.keyed) {
        claims_ = &core_.find<claim_service>("claims");
        claims_->on_decided = [this](attempt_id id, bool won) {
            agent_core_->on_claim_decided(id, won, core_.now());
        };
        claims_->on_failed = [this](attempt_id id) {
            agent_core_->on_claim_failed(id, core_.now());
        };
    }
    options_.core.incarnation = core_.incarnation();
    agent_core_ = std::make_unique<agent_core>(options_.core, configuration_->state(),
                                               core_.metrics(), make_hooks());
    farewells_ = std::make_unique<entry_farewells>(
        options_.farewells, [this](const std::string& route) { return send_farewell(route); });
    runner_ = std::make_unique<backend_runner>(
        core_, options_.backend,
        backend_runner::handlers{
            .on_head =
                [this](attempt_id id, int status, const std::string& content_type) {
                    agent_core_->on_answer_head(id, static_cast<unsigned>(status), content_type,
                                                core_.now());
                },
            .on_data =
                [this](attempt_id id, std::string_view data) {
                    agent_core_->on_answer_data(id, data, core_.now());
                },
            .on_end = [this](attempt_id id, http_call_result end) { on_run_ended(id, end); }});
    peers_->make_load_report = [this] { return agent_core_->load_report(); };
    peers_->received.connect([this](const std::string& route, const wire::envelope& message) {
        on_message(route, message);
    });
    directory_->changed.connect([this] { update_from_directory(); });
    tick_ = core_.every(tick_interval, [this] { tick(); });
    crash_timer_ = core_.every(options_.crash_gossip_interval, [this] { gossip_past_crash(); });
    probe_backend();
}

bool agent_server::send_farewell(const std::string& route)
{
    wire::envelope message;
    message.mutable_farewell()->set_agent_incarnation(core_.incarnation());
    return peers_->reply(route, std::move(message));
}

void agent_server::tick()
{
    agent_core_->on_tick(core_.now());
    farewells_->on_tick(agent_core_->open_jobs() > 0);
}

void agent_server::on_message(const std::string& route, const wire::envelope& message)
{
    const millis now = core_.now();
    switch (message.body_case()) {
    case wire::envelope::kHello:
        agent_core_->on_hello(route, message.hello(), now);
        farewells_->on_hello(message.hello().instance(), route);
        return;
    case wire::envelope::kFarewell:
        farewells_->on_reply(route);
        return;
    case wire::envelope::kDispatch:
        agent_core_->on_dispatch(route, message.dispatch(), now);
        return;
    case wire::envelope::kAnswerAck:
        agent_core_->on_ack(route, message.answer_ack(), now);
        return;
    case wire::envelope::kCancelFence:
        agent_core_->on_fence(route, message.cancel_fence(), now);
        return;
    case wire::envelope::kResume:
        agent_core_->on_resume(route, message.resume(), now);
        return;
    case wire::envelope::kHeartbeat: {
        agent_core_->on_route_activity(route, now);
        wire::envelope response;
        response.mutable_heartbeat()->set_reply(true);
        response.mutable_heartbeat()->set_incarnation(core_.incarnation());
        response.mutable_heartbeat()->set_configuration_offset(configuration_->state().offset());
        peers_->reply(route, std::move(response));
        return;
    }
    case wire::envelope::kLoadQuery: {
        wire::envelope response;
        *response.mutable_load_report() = agent_core_->load_report();
        peers_->reply(route, std::move(response));
        return;
    }
    case wire::envelope::kLoadReport:
        agent_core_->on_load_report(message.load_report(), now);
        return;
    case wire::envelope::kCrashEvidence:
        agent_core_->on_crash_evidence(message.crash_evidence(), now);
        return;
    default:
        ++core_.metrics().named("peer_messages_unexpected");
        return;
    }
}

void agent_server::on_run_ended(attempt_id id, http_call_result end)
{
    switch (end) {
    case http_call_result::complete:
        agent_core_->on_run_end(id, run_outcome::complete, core_.now());
        return;
    case http_call_result::not_sent:
        backend_up_ = false;
        agent_core_->on_backend_ended(core_.now());
        agent_core_->on_backend_state(false, true);
        agent_core_->on_run_end(id, run_outcome::refused_connection, core_.now());
        return;
    case http_call_result::closed: // whether the response is whole is not known
    case http_call_result::lost:
        agent_core_->on_backend_cold(core_.now()); // at once, since the probe takes time
        classify_lost_run(id);
        return;
    }
}

// Probes the health of the backend server.  It counts as down unless its response has a whole head.
void agent_server::query_health(std::function<void(backend_health)> on_health)
{
    fetcher_.fetch({.server = options_.backend.backend,
                    .method = "GET",
                    .target = options_.health_path,
                    .content_type = {},
                    .body = {},
                    .headers = {},
                    .timeout = probe_timeout},
                   [on_health = std::move(on_health)](const http_response& response) {
                       backend_health health;
                       const bool whole_head = response.end == http_call_result::complete ||
                                               response.end == http_call_result::closed;
                       health.up = whole_head && response.status == http_ok;
                       const auto body = nlohmann::json::parse(response.body, nullptr, false);
                       health.cold = health.up && body.is_object() && body.contains("cold") &&
                                     body["cold"] == true;
                       on_health(health);
                   });
}

// Ends a run whose connection was lost.  The run counts as a crash if the backend server
// then fails a health probe.
void agent_server::classify_lost_run(attempt_id id)
{
    query_health([this, id](backend_health health) {
        // A server that has become cold meanwhile has started again.
        const bool restarted = health.up && health.cold && !backend_cold_ && backend_up_;
        const bool crashed = !health.up || restarted;
        if (crashed) {
            log_event(event_id::backend_crashed, "backend={} restarted={}",
                      options_.backend.backend.text(), restarted);
        }
        if (restarted) {
            update_health({.up = false});
        }
        agent_core_->on_run_end(id, crashed ? run_outcome::crashed : run_outcome::lost,
                                core_.now());
        update_health(health);
    });
}

void agent_server::probe_backend()
{
    query_health([this](backend_health health) {
        update_health(health);
        health_timer_ =
            core_.after(core_.jittered(options_.health_interval), [this] { probe_backend(); });
    });
}

void agent_server::update_health(backend_health health)
{
    if (!health.up) {
        agent_core_->on_backend_ended(core_.now());
    }
    // A server that was down has restarted, and so starts cold.
    const bool cold = health.cold || (health.up && !backend_up_);
    if (cold && !backend_cold_) {
        log_event(event_id::backend_cold, "backend={}", options_.backend.backend.text());
        agent_core_->on_backend_cold(core_.now());
    }
    if (backend_cold_ && !cold) {
        log_event(event_id::backend_warm, "backend={}", options_.backend.backend.text());
    }
    backend_cold_ = cold;
    backend_up_ = health.up;
    agent_core_->on_backend_state(health.up, health.cold || !health.up);
}

void agent_server::update_from_directory()
{
    const listed_instance* self = directory_->find(core_.instance());
    agent_core_->set_leaving(self != nullptr && self->leaving);
    agent_core_->set_pool_size(static_cast<unsigned>(directory_->pool_size(options_.core.service)));
}

void agent_server::begin_stop()
{
    agent_core_->begin_stop();
    farewells_->begin_stop();
}

bool agent_server::idle() const
{
    return agent_core_->open_jobs() == 0 && farewells_->done();
}

nlohmann::json agent_server::describe() const
{
    nlohmann::json section = agent_core_->describe(core_.now());
    section["farewells_awaited"] = farewells_->awaited();
    return section;
}

} // namespace cyclamen
