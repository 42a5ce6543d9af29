#include "pool_model.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {

constexpr const char* service_name = "engine";
constexpr double ms_per_second = 1000;
constexpr double tokens_per_ktoken = 1000;
constexpr double load_start_ms = 1000; // time of the first requests; engines are listed before
// Delays of the users' platform: until an engine's record is in the store, and until the record
// expires after three missed updates.
constexpr double listing_delay_ms = 300;
constexpr double listing_expiry_ms = 3600;
constexpr millis cold_duration = 3000ms;
constexpr double drain_ms = 2000;
constexpr double release_interval_ms = 1000;
// Same values as in `relay_exchange`, `direct_attempts` and `peer_gossip`, except for
// `refused_connection_ms` and `gossip_latency_ms`, which are network delays of the model.
constexpr double choice_retry_ms = 20;
constexpr double wait_share = 0.125;
constexpr std::size_t max_connect_failures = 6;
constexpr double refused_connection_ms = 2;
constexpr double gossip_check_ms = 50;
constexpr double gossip_interval_ms = 250;
constexpr std::size_t gossip_interval_peers = 5;
constexpr double gossip_latency_ms = 2;
constexpr double skew_sample_ms = 100;
// A prefill of a segment counts in `read_again_ktokens` if the previous one on any engine was
// less than this time ago.
constexpr double reuse_window_ms = 10000;
// Exponent of the popularity distribution of subjects.
constexpr double popularity_exponent = 0.3;
// For `grey`, an engine fails `pattern_strength` of so many requests.
constexpr double grey_strength_scale = 10;

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

std::string zone_name(unsigned number)
{
    return "zone-" + std::to_string(number);
}

} // namespace

pool_model::pool_model(pool_options options)
    : options_(std::move(options)),
      random_(options_.seed), service_{.name = service_name,
                                       .cold_starts_per_second = options_.cold_starts_per_second}
{
    for (unsigned number = 0; number < options_.entries; ++number) {
        entry added;
        added.zone = zone_name(number % options_.zones);
        backend_chooser_options chooser = options_.chooser;
        chooser.zone = added.zone;
        added.chooser = std::make_unique<backend_chooser>(chooser);
        added.chooser->set_entries(options_.entries);
        added.last_digest_sent.resize(options_.entries);
        for (double& last_digest_sent : added.last_digest_sent) {
            last_digest_sent =
                static_cast<double>(random_() % static_cast<unsigned>(gossip_interval_ms));
        }
        entries_.push_back(std::move(added));
    }
    for (unsigned number = 0; number < options_.engines; ++number) {
        announce(add_engine(number, "engine-" + std::to_string(number)));
    }
}

void pool_model::schedule(double when, std::function<void()> action)
{
    events_.push({.time = when, .order = ++next_order_, .action = std::move(action)});
}

millis pool_model::clock() const
{
    return millis(static_cast<std::int64_t>(now_));
}

pool_model::engine& pool_model::add_engine(unsigned number, const std::string& id)
{
    engine added;
    added.id = id;
    added.number = number;
    added.zone = zone_name(number % options_.zones);
    added.model = std::make_unique<engine_model>(
        options_.profile,
        engine_model::hooks{
            .on_first_token = [this](std::uint64_t request,
                                     double when) { record_first_token(request, when); },
            .on_end = [this](std::uint64_t request,
                             double /*when*/) { finish_request(request, true); },
            .on_prefilled =
                [this](const prefix_segment& segment, double when) {
                    const auto known = prefilled_at_.find(segment.hash);
                    if (known != prefilled_at_.end() && when - known->second < reuse_window_ms) {
                        result_.read_again_ktokens += segment.tokens / tokens_per_ktoken;
                    }
                    prefilled_at_[segment.hash] = when;
                },
            .on_copied =
                [this](unsigned tokens) { result_.copied_ktokens += tokens / tokens_per_ktoken; }});
    engines_.push_back(std::move(added));
    return engines_.back();
}

void pool_model::announce(const engine& subject, millis cold_for)
{
    const backend_entry listed{.id = subject.id,
                               .service = service_name,
                               .address = {.host = "127.0.0.1", .port = 1},
                               .zone = subject.zone,
                               .slots = options_.profile.slots,
                               .draining = subject.draining,
                               .cold_for = cold_for,
                               .started_at = subject.started_at,
                               .sequence = next_order_};
    for (entry& known : entries_) {
        if (known.table.put(listed, clock()) == backend_table::put_result::new_incarnation) {
            known.locations.remove_server(static_cast<std::uint32_t>(hash_of(listed.id)));
        }
    }
}

void pool_model::withdraw(const std::string& id)
{
    for (entry& known : entries_) {
        known.table.drop(id, clock());
    }
}

bool pool_model::pattern_active() const
{
    const double from = load_start_ms + options_.pattern_start_s * ms_per_second;
    return now_ >= from && now_ < from + options_.pattern_duration_s * ms_per_second;
}

std::size_t pool_model::affected_count(std::size_t count) const
{
    const auto rounded_count = std::lround(options_.pattern_share * static_cast<double>(count));
    return std::clamp<std::size_t>(static_cast<std::size_t>(rounded_count), 1, count);
}

void pool_model::crash_engine(std::size_t index, double downtime_ms)
{
    engine& down = engines_[index];
    down.up = false;
    for (const std::uint64_t id : down.model->crash()) {
        finish_request(id, false);
    }
    const std::string id = down.id;
    schedule(now_ + listing_expiry_ms, [this, index, id] {
        if (!engines_[index].up) {
            withdraw(id);
        }
    });
    schedule(now_ + downtime_ms, [this, index] {
        engine& back = engines_[index];
        back.up = true;
        ++back.started_at;
        schedule(now_ + listing_delay_ms,
                 [this, index] { announce(engines_[index], cold_duration); });
    });
}

// Starts the new engine first; the old one drains afterwards and is then withdrawn.
void pool_model::replace(std::size_t index)
{
    const unsigned number = engines_[index].number;
    const std::string id = engines_[index].id + "-next";
    add_engine(number, id);
    const std::size_t added = engines_.size() - 1;
    schedule(now_ + listing_delay_ms, [this, added] { announce(engines_[added], cold_duration); });
    schedule(now_ + release_interval_ms, [this, index] {
        engines_[index].draining = true;
        announce(engines_[index]);
        schedule(now_ + drain_ms, [this, index] { withdraw(engines_[index].id); });
    });
}

void pool_model::plan_pattern()
{
    const double from = load_start_ms + options_.pattern_start_s * ms_per_second;
    const double length = options_.pattern_duration_s * ms_per_second;
    const std::size_t count = affected_count(engines_.size());
    switch (options_.pattern) {
    case load_pattern::calm:
    case load_pattern::hot_key:
    case load_pattern::burst:
        return; // these patterns change the requests, not the engines
    case load_pattern::release:
        for (std::size_t index = 0; index < count; ++index) {
            schedule(from + static_cast<double>(index) * release_interval_ms,
                     [this, index] { replace(index); });
        }
        return;
    case load_pattern::scale_out:
        schedule(from, [this, count] {
            for (std::size_t added = 0; added < count; ++added) {
                const auto number = static_cast<unsigned>(engines_.size());
                announce(add_engine(number, "engine-" + std::to_string(number)), cold_duration);
            }
        });
        return;
    case load_pattern::crash:
        for (std::size_t index = 0; index < count; ++index) {
            schedule(from, [this, index, length] { crash_engine(index, length); });
        }
        return;
    case load_pattern::cold_return:
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            if (engines_[index].zone == zone_name(0)) {
                schedule(from, [this, index, length] { crash_engine(index, length); });
            }
        }
        return;
    case load_pattern::grey:
    case load_pattern::slow:
        for (std::size_t index = 0; index < count; ++index) {
            const bool grey = options_.pattern == load_pattern::grey;
            schedule(from, [this, index, grey] {
                engines_[index].failure_rate =
                    grey ? options_.pattern_strength / grey_strength_scale : 0;
                engines_[index].model->set_slowdown(grey ? 1 : options_.pattern_strength);
            });
            schedule(from + length, [this, index] {
                engines_[index].failure_rate = 0;
                engines_[index].model->set_slowdown(1);
            });
        }
        return;
    }
}

simulated_request pool_model::make_request(std::size_t class_index)
{
    const load_class& request_type = options_.classes[class_index];
    const bool hot = options_.pattern == load_pattern::hot_key && class_index == 0 &&
                     pattern_active() &&
                     std::uniform_real_distribution<double>(0, 1)(random_) < options_.pattern_share;
    // The popularity of a subject is proportional to its rank to the power of
    // -`popularity_exponent`.
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto subject = static_cast<std::uint64_t>(
        hot ? 0 : std::pow(draw, 1 / (1 - popularity_exponent)) * request_type.subjects);
    const std::uint64_t class_prefix = hash_of(request_type.name);
    return {.id = next_request_++,
            .prefix_segments = {{.hash = class_prefix, .tokens = request_type.class_prefix_tokens},
                                {.hash = combine_hashes(class_prefix, subject + 1),
                                 .tokens = request_type.subject_prefix_tokens}},
            .unique_tokens = request_type.unique_tokens,
            .output_tokens = request_type.output_tokens};
}

void pool_model::arrive(std::size_t class_index)
{
    const bool burst = options_.pattern == load_pattern::burst && pattern_active();
    const double rate =
        options_.classes[class_index].per_second * (burst ? options_.pattern_strength : 1);
    schedule(now_ + std::exponential_distribution<double>(rate)(random_) * ms_per_second,
             [this, class_index] { arrive(class_index); });
    open_request request_state{.request = make_request(class_index),
                               .entry = random_() % entries_.size(),
                               .class_index = class_index,
                               .arrived_at = now_};
    ++result_.requests;
    const std::uint64_t id = request_state.request.id;
    open_requests_[id] = std::move(request_state);
    place_request(id);
}

void pool_model::place_request(std::uint64_t id)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end()) {
        return;
    }
    open_request& request_state = found->second;
    entry& from = entries_[request_state.entry];
    unsigned tokens = 0;
    backend_criteria criteria{.service = service_name,
                              .request_hash = combine_hashes(id, options_.seed),
                              .locations = &from.locations,
                              .tried = &request_state.tried};
    for (const prefix_segment& segment : request_state.request.prefix_segments) {
        criteria.segment_hashes.push_back(segment.hash);
        tokens += segment.tokens;
    }
    criteria.shared_tokens = tokens;
    const backend_choice choice = from.chooser->choose(from.table, service_, criteria, clock());
    if (choice.server != nullptr) {
        send(id, request_state, choice);
        return;
    }
    if (now_ - request_state.arrived_at <
            options_.classes[request_state.class_index].target_ms * wait_share &&
        request_state.tried.size() < max_connect_failures) {
        schedule(now_ + choice_retry_ms, [this, id] { place_request(id); });
        return;
    }
    ++result_.refused;
    open_requests_.erase(found);
}

void pool_model::send(std::uint64_t id, open_request& request_state, const backend_choice& choice)
{
    entry& from = entries_[request_state.entry];
    const auto to = std::find_if(engines_.begin(), engines_.end(), [&](const engine& pool_engine) {
        return pool_engine.id == choice.server->entry.id;
    });
    request_state.tried.insert(to->id);
    if (!to->up) {
        from.table.record_connect_failure(*choice.server, clock());
        schedule(now_ + refused_connection_ms, [this, id] { place_request(id); });
        return;
    }
    request_state.engine = to->id;
    ++choice.server->in_flight;
    std::size_t in_flight_requests = 0;
    std::size_t up = 0;
    for (const engine& pool_engine : engines_) {
        in_flight_requests += pool_engine.model->running() + pool_engine.model->waiting();
        up += pool_engine.up ? 1 : 0;
    }
    constexpr double max_load_ratio = 2;
    constexpr double load_margin = 3;
    const double mean =
        static_cast<double>(in_flight_requests) / static_cast<double>(std::max<std::size_t>(1, up));
    const auto engine_load = static_cast<double>(to->model->running() + to->model->waiting());
    result_.over_bound += engine_load > max_load_ratio * mean + load_margin ? 1 : 0;
    for (const prefix_segment& segment : request_state.request.prefix_segments) {
        const prefix_locations::location used{static_cast<std::uint32_t>(segment.hash),
                                              static_cast<std::uint32_t>(hash_of(to->id))};
        if (from.locations.record_use(used, clock())) {
            from.new_locations.push_back(used);
        }
    }
    if (std::uniform_real_distribution<double>(0, 1)(random_) < to->failure_rate) {
        finish_request(id, false);
        return;
    }
    const engine_model* copy_source = nullptr;
    for (const engine& pool_engine : engines_) {
        if (choice.copy_source != nullptr && pool_engine.id == choice.copy_source->entry.id &&
            pool_engine.up) {
            copy_source = pool_engine.model.get();
        }
    }
    to->model->start(request_state.request, copy_source, now_);
}

void pool_model::record_first_token(std::uint64_t id, double now)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end()) {
        return;
    }
    open_request& request_state = found->second;
    const double took = now - request_state.arrived_at;
    first_tokens_.push_back(took);
    const bool in_target = took <= options_.classes[request_state.class_index].target_ms;
    request_state.result_counter = in_target ? &result_.in_target : &result_.late;
    ++*request_state.result_counter;
    entry& from = entries_[request_state.entry];
    backend* server = from.table.find(request_state.engine);
    for (const engine& pool_engine : engines_) {
        if (server != nullptr && pool_engine.id == request_state.engine) {
            from.table.record_load(*server,
                                   {.running = static_cast<unsigned>(pool_engine.model->running()),
                                    .waiting = static_cast<unsigned>(pool_engine.model->waiting()),
                                    .slots = options_.profile.slots},
                                   clock());
        }
    }
}

void pool_model::finish_request(std::uint64_t id, bool success)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end()) {
        return;
    }
    const open_request& request_state = found->second;
    entry& from = entries_[request_state.entry];
    backend* server = from.table.find(request_state.engine);
    if (server != nullptr) {
        from.table.record_outcome(
            *server, success ? backend_outcome::success : backend_outcome::failure, clock());
        server->in_flight -= std::min(1U, server->in_flight);
    }
    if (!success) {
        ++result_.lost;
        if (request_state.result_counter != nullptr) {
            --*request_state.result_counter;
        }
    }
    open_requests_.erase(found);
}

void pool_model::send_digest(std::size_t from, std::size_t to)
{
    std::map<std::uint32_t, unsigned> counts;
    for (const auto& [id, server] : entries_[from].table.all()) {
        if (server->in_flight > 0) {
            counts[static_cast<std::uint32_t>(server->hash)] = server->in_flight;
        }
    }
    auto outcomes = entries_[from].table.outcomes_to_report(clock());
    schedule(now_ + gossip_latency_ms, [this, from, to, counts = std::move(counts),
                                        outcomes = std::move(outcomes)]() mutable {
        const std::string name = std::to_string(from);
        entries_[to].table.set_peer_in_flight(name, std::move(counts));
        entries_[to].table.set_peer_outcomes(name, outcomes, clock());
    });
}

void pool_model::exchange_digests()
{
    schedule(now_ + gossip_check_ms, [this] { exchange_digests(); });
    const auto peers = entries_.size() - 1;
    const double interval = gossip_interval_ms *
                            static_cast<double>(std::max(peers, gossip_interval_peers)) /
                            static_cast<double>(gossip_interval_peers);
    for (std::size_t from = 0; from < entries_.size(); ++from) {
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (from == to || now_ - entries_[from].last_digest_sent[to] < interval) {
                continue;
            }
            entries_[from].last_digest_sent[to] = now_;
            send_digest(from, to);
        }
        // New locations reach every peer with its next digest, after half an interval on average.
        if (!entries_[from].new_locations.empty()) {
            auto new_locations = std::exchange(entries_[from].new_locations, {});
            schedule(now_ + interval / 2, [this, new_locations = std::move(new_locations)] {
                for (entry& known : entries_) {
                    for (const prefix_locations::location& used : new_locations) {
                        known.locations.record_use(used, clock());
                    }
                }
            });
        }
    }
}

void pool_model::sample_skew()
{
    schedule(now_ + skew_sample_ms, [this] { sample_skew(); });
    double sum = 0;
    double max_in_flight = 0;
    double up = 0;
    for (const engine& pool_engine : engines_) {
        const auto in_flight_requests =
            static_cast<double>(pool_engine.model->running() + pool_engine.model->waiting());
        sum += in_flight_requests;
        max_in_flight = std::max(max_in_flight, in_flight_requests);
        up += pool_engine.up && !pool_engine.draining ? 1 : 0;
    }
    if (sum > 0) {
        skew_sum_ += max_in_flight * up / sum;
        ++skew_samples_;
    }
}

pool_result pool_model::run()
{
    now_ = load_start_ms;
    for (std::size_t class_index = 0; class_index < options_.classes.size(); ++class_index) {
        const double first = std::exponential_distribution<double>(
            options_.classes[class_index].per_second)(random_);
        schedule(now_ + first * ms_per_second, [this, class_index] { arrive(class_index); });
    }
    plan_pattern();
    exchange_digests();
    sample_skew();
    const double last = load_start_ms + options_.seconds * ms_per_second;
    while (!events_.empty() && events_.top().time <= last) {
        const event next = events_.top();
        events_.pop();
        now_ = next.time;
        for (const engine& pool_engine : engines_) {
            pool_engine.model->advance(now_);
        }
        next.action();
    }
    result_.first_token_p50_ms = percentile(first_tokens_, 0.5);
    result_.first_token_p99_ms = percentile(first_tokens_, 0.99);
    result_.skew = skew_samples_ == 0 ? 0 : skew_sum_ / skew_samples_;
    return result_;
}

} // namespace cyclamen
