#include "rollout_service.h"

#include "event_log.h"
#include "relay_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cyclamen {

namespace {

constexpr std::size_t max_orders = 64;      // services with an order at a time
constexpr std::size_t max_news_routes = 65; // the routes that a peer tells apart
constexpr double draw_range = 4294967296.0;

rollout_status status_of(rollout_step step)
{
    switch (step) {
    case rollout_step::rolled_back:
        return rollout_status::rolled_back;
    case rollout_step::completed:
        return rollout_status::completed;
    default:
        return rollout_status::running;
    }
}

void encode(const rollout_outcomes& outcomes, wire::rollout_side& to)
{
    to.set_ended(outcomes.ended);
    to.set_failed(outcomes.failed);
    for (const std::uint32_t count : outcomes.times) {
        to.add_times(count);
    }
}

rollout_outcomes decode(const wire::rollout_side& from)
{
    rollout_outcomes outcomes{.ended = from.ended(), .failed = from.failed()};
    const auto buckets =
        std::min<std::size_t>(outcomes.times.size(), static_cast<std::size_t>(from.times_size()));
    std::copy_n(from.times().begin(), buckets, outcomes.times.begin());
    return outcomes;
}

millis time_of(std::uint32_t ms)
{
    return millis(static_cast<millis::rep>(ms));
}

std::uint32_t ms_of(millis time)
{
    return static_cast<std::uint32_t>(std::clamp<millis::rep>(time.count(), 0, UINT32_MAX));
}

} // namespace

rollout_service::rollout_service(kernel& core, const rollout_service_options& options,
                                 hooks collaborators)
    : core_(core), options_(options), hooks_(std::move(collaborators))
{
}

void rollout_service::start()
{
    state_ = &core_.find<relay_state>("knowledge");
    check_timer_ = core_.every(options_.check_interval, [this] { check(); });
}

rollout_service::running_order* rollout_service::find_order(const std::string& service)
{
    const auto found = orders_.find(service);
    return found == orders_.end() ? nullptr : &found->second;
}

const rollout* rollout_service::find(const std::string& service) const
{
    const auto found = orders_.find(service);
    return found == orders_.end() ? nullptr : &found->second.state;
}

bool rollout_service::is_completed(const std::string& service) const
{
    const rollout* order = find(service);
    return order != nullptr && order->step() == rollout_step::completed;
}

void rollout_service::set_order(rollout_order order, bool found_at_start)
{
    running_order* known = find_order(order.service);
    if (known != nullptr) {
        const rollout_order& before = known->state.order();
        if (order.at <= before.at) {
            return;
        }
        // After a restore of the log, operators write again what it has lost.
        if (order.at.era > before.at.era && order.target == before.target &&
            order.duration == before.duration) {
            known->state.move_to(order.at);
            return;
        }
    }
    begin(std::move(order), found_at_start);
}

void rollout_service::begin(rollout_order order, bool found_at_start)
{
    if (orders_.size() >= max_orders && !orders_.contains(order.service)) {
        log_event(event_id::rollout_refused, "service={} target={} reason=too_many_orders",
                  order.service, order.target);
        return;
    }
    log_event(event_id::rollout_ordered, "service={} target={} duration_ms={} era={} offset={}",
              order.service, order.target, order.duration.count(), order.at.era, order.at.offset);
    const std::string service = order.service;
    rollout_options options = options_.rollout;
    options.news_age = hooks_.digest_interval();
    orders_.erase(service);
    running_order& added =
        orders_.emplace(service, running_order(rollout(std::move(order), options, core_.now())))
            .first->second;
    added.may_be_recorded = found_at_start;
}

void rollout_service::withdraw_order(const std::string& service)
{
    const running_order* known = find_order(service);
    if (known != nullptr && !known->state.ended()) {
        log_event(event_id::rollout_withdrawn, "service={} target={}", service,
                  known->state.order().target);
        orders_.erase(service);
    }
}

std::optional<version_filter> rollout_service::filter(const std::string& service,
                                                      const std::string& route)
{
    running_order* order = find_order(service);
    if (order == nullptr) {
        return std::nullopt;
    }
    const millis now = core_.now();
    if (order->state.step() == rollout_step::completed && order->ended_at &&
        now - *order->ended_at >= options_.avoided_for) {
        return std::nullopt;
    }
    const double draw = static_cast<double>(core_.random() % (1ULL << 32U)) / draw_range;
    return version_filter{.version = order->state.order().target,
                          .only = order->state.sends_to_target(route, hooks_.entries(), draw, now)};
}

std::optional<version_filter> rollout_service::stream_filter(const std::string& service,
                                                             const std::string& version) const
{
    const rollout* order = find(service);
    const bool stopped =
        order != nullptr && (order->step() == rollout_step::rolled_back || order->halted());
    if (!stopped || order->order().target != version) {
        return std::nullopt;
    }
    return version_filter{.version = version, .only = false};
}

void rollout_service::count_sent(const std::string& service, const std::string& version)
{
    if (running_order* order = find_order(service)) {
        const bool to_target = version == order->state.order().target;
        order->state.count_sent(to_target);
        ++core_.metrics().named(to_target ? "rollout_requests_to_target"
                                          : "rollout_requests_to_others");
    }
}

void rollout_service::record_end(const std::string& service, const std::string& route,
                                 const std::string& version, bool failed, millis took)
{
    running_order* order = find_order(service);
    if (order == nullptr || order->state.ended()) {
        return;
    }
    const bool at_target = version == order->state.order().target;
    order->state.evidence().record(route, at_target, failed, took);
    if (at_target && order->state.halt_if_bad()) {
        const rollout_verdict verdict = judge(order->state.evidence().total());
        log_event(event_id::rollout_halted, "service={} target={} route={} ended={} bad={}",
                  service, version, verdict.route.empty() ? "-" : verdict.route, verdict.ended,
                  verdict.bad);
        hooks_.send_digests();
    }
}

void rollout_service::check()
{
    std::erase_if(peers_, [this](const auto& row) {
        return core_.now() - row.second.heard_at > options_.peer_silence;
    });
    for (auto& [service, order] : orders_) {
        check_order(order);
    }
}

void rollout_service::check_order(running_order& order)
{
    if (!hooks_.decides()) {
        return;
    }
    const rollout_step next = order.state.next_step(
        {.target_listed = target_listed(order.state), .others_idle = others_idle(order.state)},
        core_.now());
    // At `completed` the other servers stop, so that the record comes first.
    order.completion_due = next == rollout_step::completed;
    if (next != order.state.step() && next != rollout_step::completed) {
        move(order, next);
    }
    write_due_status(order, order.completion_due ? rollout_status::completed
                                                 : status_of(order.state.step()));
}

void rollout_service::move(running_order& order, rollout_step step)
{
    const rollout_step before = order.state.step();
    order.state.set_step(step, core_.now());
    if (order.state.step() == before) {
        return;
    }
    if (order.state.ended()) {
        order.ended_at = core_.now();
    }
    const rollout_verdict verdict = judge(order.state.evidence().total());
    log_event(event_id::rollout_moved,
              "service={} target={} step={} age_ms={} verdict={} route={} ended={} bad={} sent={} "
              "of={}",
              order.state.order().service, order.state.order().target,
              name_of(rollout_step_names, order.state.step()), order.state.age(core_.now()).count(),
              name_of(rollout_finding_names, verdict.finding),
              verdict.route.empty() ? "-" : verdict.route, verdict.ended, verdict.bad,
              order.state.share().sent(), order.state.share().requests());
    hooks_.send_digests();
}

// Reads the record before it is written: another entry, or an earlier call of this one, may have
// written a final status.
void rollout_service::write_due_status(running_order& order, rollout_status due)
{
    const millis now = core_.now();
    const bool wait = order.called_at && now - *order.called_at < options_.write_interval;
    if (order.recorded == due || order.call_open || wait) {
        return;
    }
    order.call_open = true;
    order.called_at = now;
    const std::string service = order.state.order().service;
    hooks_.read_status(service, [this, service, due](const auto& reading) {
        on_status_read(service, due, reading);
    });
}

void rollout_service::on_status_read(const std::string& service, rollout_status due,
                                     const std::optional<status_reading>& reading)
{
    running_order* order = find_order(service);
    if (order == nullptr) {
        return;
    }
    if (!reading) {
        order->call_open = false;
        return;
    }
    const std::string& target = order->state.order().target;
    const bool own_record =
        reading->record && reading->record->target == target &&
        (order->may_be_recorded || order->recorded || due != rollout_status::running);
    if (own_record &&
        (reading->record->status == due || reading->record->status != rollout_status::running)) {
        const rollout_status status = reading->record->status;
        on_status_written(service, status, true);
        return;
    }
    hooks_.write_status(
        service, {.target = target, .status = due}, reading->log_end,
        [this, service, due](bool confirmed) { on_status_written(service, due, confirmed); });
}

void rollout_service::on_status_written(const std::string& service, rollout_status written,
                                        bool confirmed)
{
    running_order* order = find_order(service);
    if (order == nullptr) {
        return;
    }
    order->call_open = false;
    if (!confirmed) {
        return;
    }
    order->recorded = written;
    log_event(event_id::rollout_recorded, "service={} target={} status={}", service,
              order->state.order().target, name_of(rollout_status_names, written));
    if (written == rollout_status::completed) {
        move(*order, rollout_step::completed);
    }
    else if (written == rollout_status::rolled_back) {
        move(*order, rollout_step::rolled_back);
    }
}

bool rollout_service::target_listed(const rollout& state) const
{
    const auto servers = state_->backends().usable(state.order().service);
    return std::any_of(servers.begin(), servers.end(), [&](const backend* server) {
        return server->entry.software_version == state.order().target;
    });
}

// Whether no entry that is heard sends requests to other versions or has one open there.
bool rollout_service::others_idle(const rollout& state) const
{
    const bool all_switched = std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
        const auto found = peer.second.switched.find(state.order().service);
        return found != peer.second.switched.end() && found->second;
    });
    if (!all_switched) {
        return false;
    }
    const auto& servers = state_->backends().all();
    return std::none_of(servers.begin(), servers.end(), [&](const auto& row) {
        const backend& server = *row.second;
        return server.entry.service == state.order().service &&
               server.entry.software_version != state.order().target &&
               server.in_flight + server.peer_in_flight > 0;
    });
}

void rollout_service::add_to_digest(wire::relay_digest& digest) const
{
    const millis now = core_.now();
    for (const auto& [service, order] : orders_) {
        if (order.ended_at && now - *order.ended_at > options_.told_for) {
            continue;
        }
        wire::rollout_news& news = *digest.add_rollouts();
        news.set_service(service);
        news.set_target(order.state.order().target);
        news.set_duration_ms(ms_of(order.state.order().duration));
        news.set_era(order.state.order().at.era);
        news.set_offset(order.state.order().at.offset);
        news.set_age_ms(ms_of(order.state.age(now)));
        news.set_step(static_cast<std::uint32_t>(order.state.step()));
        news.set_step_age_ms(ms_of(order.state.step_age(now)));
        if (order.state.ended()) {
            continue;
        }
        for (const auto& [route, outcomes] : order.state.evidence().own()) {
            wire::rollout_route& row = *news.add_routes();
            row.set_route(route);
            encode(outcomes.target, *row.mutable_target());
            encode(outcomes.others, *row.mutable_others());
        }
    }
}

void rollout_service::on_digest(const wire::relay_digest& digest)
{
    if (orders_.empty() && digest.rollouts_size() == 0) {
        return;
    }
    peer_state& peer = peers_[digest.address()];
    peer.heard_at = core_.now();
    peer.switched.clear();
    for (const wire::rollout_news& news : digest.rollouts()) {
        const bool readable = news.step() < rollout_step_names.size() && !news.service().empty() &&
                              !news.target().empty() &&
                              static_cast<std::size_t>(news.routes_size()) <= max_news_routes;
        if (!readable) {
            log_event(event_id::malformed_message, "rollout_service={} step={} routes={}",
                      news.service(), news.step(), news.routes_size());
            continue;
        }
        merge_news(digest.address(), digest.incarnation(), news);
    }
}

void rollout_service::merge_news(const std::string& peer, std::uint64_t incarnation,
                                 const wire::rollout_news& news)
{
    // A peer may have read the order first.
    set_order({.service = news.service(),
               .target = news.target(),
               .duration = time_of(news.duration_ms()),
               .at = {.era = news.era(), .offset = news.offset()}},
              false);
    running_order* order = find_order(news.service());
    if (order == nullptr) {
        return;
    }
    const rollout_order& known = order->state.order();
    if (known.target != news.target() || known.duration != time_of(news.duration_ms()) ||
        (known.at.era == news.era() && known.at.offset != news.offset())) {
        return; // the peer has not heard of a later order yet
    }
    rollout_counts counts;
    for (const wire::rollout_route& row : news.routes()) {
        counts[row.route()] = {.target = decode(row.target()), .others = decode(row.others())};
    }
    order->state.evidence().set_peer(peer, incarnation, std::move(counts));
    const auto step = static_cast<rollout_step>(news.step());
    const rollout_step before = order->state.step();
    order->state.merge(time_of(news.age_ms()), step, time_of(news.step_age_ms()), core_.now());
    if (order->state.step() != before) {
        order->ended_at = order->state.ended() ? std::optional(core_.now()) : std::nullopt;
        log_event(event_id::rollout_moved, "service={} target={} step={} age_ms={} peer={}",
                  news.service(), news.target(), name_of(rollout_step_names, order->state.step()),
                  order->state.age(core_.now()).count(), peer);
    }
    rollout theirs(known, options_.rollout, core_.now());
    theirs.merge(time_of(news.age_ms()), step, time_of(news.step_age_ms()), core_.now());
    peers_[peer].switched[news.service()] = theirs.switched(core_.now());
}

nlohmann::json rollout_service::describe() const
{
    nlohmann::json rows = nlohmann::json::object();
    for (const auto& [service, order] : orders_) {
        const rollout_verdict verdict = judge(order.state.evidence().total());
        rows[service] = {{"target", order.state.order().target},
                         {"step", name_of(rollout_step_names, order.state.step())},
                         {"halted", order.state.halted()},
                         {"age_ms", order.state.age(core_.now()).count()},
                         {"verdict", name_of(rollout_finding_names, verdict.finding)},
                         {"ended_at_target", verdict.ended},
                         {"bad_at_target", verdict.bad},
                         {"sent", order.state.share().sent()},
                         {"requests", order.state.share().requests()}};
        rows[service]["recorded"] =
            order.recorded ? name_of(rollout_status_names, *order.recorded) : "no";
    }
    return rows;
}

} // namespace cyclamen
