#include "pool_model.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {

constexpr const char* service_name = "engine";
constexpr double ms_per_second = 1000;
constexpr double thousand = 1000;
constexpr double first_listing = 1000; // time of the first requests; engines are listed before
// Delays of the users' platform: until an engine's entry is in the store, and until the entry
// expires after three missed updates.
constexpr double listing_delay_ms = 300;
constexpr double lapse_ms = 3600;
constexpr millis cold_time = 3000ms;
constexpr double drain_ms = 2000;
constexpr double release_gap_ms = 1000;
// Same values as in `relay_exchange` and `peer_gossip`.
constexpr double wait_step_ms = 20;
constexpr double wait_share = 0.125;
constexpr std::size_t most_unsent = 6;
constexpr double refused_connection_ms = 2;
constexpr double news_step_ms = 50;
constexpr double news_interval_ms = 250;
constexpr std::size_t news_interval_peers = 5;
constexpr double news_way_ms = 2;
constexpr double skew_step_ms = 100;
// A prefill counts as read again if the last prefill of the segment is less than this ago.
constexpr double reuse_window_ms = 10000;
// Exponent of the popularity distribution of subjects.
constexpr double subject_skew = 0.3;
// For `grey`, an engine fails `strength` of so many requests.
constexpr double grey_parts = 10;

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
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
        added.told.resize(options_.entries);
        for (double& told : added.told) {
            told = static_cast<double>(random_() % static_cast<unsigned>(news_interval_ms));
        }
        entries_.push_back(std::move(added));
    }
    for (unsigned number = 0; number < options_.engines; ++number) {
        announce(add_engine(number, "engine-" + std::to_string(number)));
    }
}

void pool_model::at(double when, std::function<void()> act)
{
    events_.push({.at = when, .order = ++next_order_, .act = std::move(act)});
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
        options_.speed,
        engine_model::hooks{
            .on_first_token = [this](std::uint64_t request,
                                     double when) { first_token(request, when); },
            .on_end = [this](std::uint64_t request, double /*when*/) { end(request, true); },
            .on_read =
                [this](const model_part& part, double when) {
                    const auto known = read_at_.find(part.hash);
                    if (known != read_at_.end() && when - known->second < reuse_window_ms) {
                        result_.read_again_ktokens += part.tokens / thousand;
                    }
                    read_at_[part.hash] = when;
                },
            .on_copied = [this](unsigned tokens) { result_.copied_ktokens += tokens / thousand; }});
    engines_.push_back(std::move(added));
    return engines_.back();
}

void pool_model::announce(const engine& subject, millis cold_for)
{
    const backend_entry listed{.id = subject.id,
                               .service = service_name,
                               .address = {.host = "127.0.0.1", .port = 1},
                               .zone = subject.zone,
                               .slots = options_.speed.slots,
                               .draining = subject.draining,
                               .cold_for = cold_for,
                               .started_at = subject.started_at,
                               .sequence = next_order_};
    for (entry& known : entries_) {
        if (known.table.put(listed, clock()) == backend_table::put_result::new_incarnation) {
            known.places.remove_server(static_cast<std::uint32_t>(hash_of(listed.id)));
        }
    }
}

void pool_model::withdraw(const std::string& id)
{
    for (entry& known : entries_) {
        known.table.drop(id, clock());
    }
}

bool pool_model::pattern_on() const
{
    const double from = first_listing + options_.from_s * ms_per_second;
    return now_ >= from && now_ < from + options_.for_s * ms_per_second;
}

std::size_t pool_model::affected(std::size_t count) const
{
    const auto share = std::lround(options_.share * static_cast<double>(count));
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, count);
}

void pool_model::take_down(std::size_t index, double for_ms)
{
    engine& down = engines_[index];
    down.up = false;
    for (const std::uint64_t id : down.model->crash()) {
        end(id, false);
    }
    const std::string id = down.id;
    at(now_ + lapse_ms, [this, index, id] {
        if (!engines_[index].up) {
            withdraw(id);
        }
    });
    at(now_ + for_ms, [this, index] {
        engine& back = engines_[index];
        back.up = true;
        ++back.started_at;
        at(now_ + listing_delay_ms, [this, index] { announce(engines_[index], cold_time); });
    });
}

// Starts the new engine first; the old one drains afterwards and is then withdrawn.
void pool_model::replace(std::size_t index)
{
    const unsigned number = engines_[index].number;
    const std::string id = engines_[index].id + "-next";
    add_engine(number, id);
    const std::size_t added = engines_.size() - 1;
    at(now_ + listing_delay_ms, [this, added] { announce(engines_[added], cold_time); });
    at(now_ + release_gap_ms, [this, index] {
        engines_[index].draining = true;
        announce(engines_[index]);
        at(now_ + drain_ms, [this, index] { withdraw(engines_[index].id); });
    });
}

void pool_model::plan_pattern()
{
    const double from = first_listing + options_.from_s * ms_per_second;
    const double length = options_.for_s * ms_per_second;
    const std::size_t count = affected(engines_.size());
    switch (options_.pattern) {
    case load_pattern::calm:
    case load_pattern::hot_key:
    case load_pattern::burst:
        return; // these patterns change the requests, not the engines
    case load_pattern::release:
        for (std::size_t index = 0; index < count; ++index) {
            at(from + static_cast<double>(index) * release_gap_ms,
               [this, index] { replace(index); });
        }
        return;
    case load_pattern::scale_out:
        at(from, [this, count] {
            for (std::size_t added = 0; added < count; ++added) {
                const auto number = static_cast<unsigned>(engines_.size());
                announce(add_engine(number, "engine-" + std::to_string(number)), cold_time);
            }
        });
        return;
    case load_pattern::crash:
        for (std::size_t index = 0; index < count; ++index) {
            at(from, [this, index, length] { take_down(index, length); });
        }
        return;
    case load_pattern::cold_return:
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            if (engines_[index].zone == zone_name(0)) {
                at(from, [this, index, length] { take_down(index, length); });
            }
        }
        return;
    case load_pattern::grey:
    case load_pattern::slow:
        for (std::size_t index = 0; index < count; ++index) {
            const bool grey = options_.pattern == load_pattern::grey;
            at(from, [this, index, grey] {
                engines_[index].fails = grey ? options_.strength / grey_parts : 0;
                engines_[index].model->slow_down(grey ? 1 : options_.strength);
            });
            at(from + length, [this, index] {
                engines_[index].fails = 0;
                engines_[index].model->slow_down(1);
            });
        }
        return;
    }
}

model_request pool_model::make_request(std::size_t kind)
{
    const load_class& source = options_.classes[kind];
    const bool hot = options_.pattern == load_pattern::hot_key && kind == 0 && pattern_on() &&
                     std::uniform_real_distribution<double>(0, 1)(random_) < options_.share;
    // The popularity of a subject is proportional to its rank to the power of -`subject_skew`.
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto subject = static_cast<std::uint64_t>(
        hot ? 0 : std::pow(draw, 1 / (1 - subject_skew)) * source.subjects);
    const std::uint64_t outer = hash_of(source.name);
    return {
        .id = next_request_++,
        .shared = {{.hash = outer, .tokens = source.outer_tokens},
                   {.hash = combine_hashes(outer, subject + 1), .tokens = source.subject_tokens}},
        .own_tokens = source.own_tokens,
        .output_tokens = source.output_tokens};
}

void pool_model::arrive(std::size_t kind)
{
    const bool burst = options_.pattern == load_pattern::burst && pattern_on();
    const double rate = options_.classes[kind].per_second * (burst ? options_.strength : 1);
    at(now_ + std::exponential_distribution<double>(rate)(random_) * ms_per_second,
       [this, kind] { arrive(kind); });
    open_request work{.request = make_request(kind),
                      .entry = random_() % entries_.size(),
                      .kind = kind,
                      .arrived = now_};
    ++result_.requests;
    const std::uint64_t id = work.request.id;
    open_[id] = std::move(work);
    place(id);
}

void pool_model::place(std::uint64_t id)
{
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    open_request& work = found->second;
    entry& from = entries_[work.entry];
    unsigned tokens = 0;
    backend_criteria criteria{.service = service_name,
                              .request_hash = combine_hashes(id, options_.seed),
                              .locations = &from.places,
                              .tried = &work.tried};
    for (const model_part& part : work.request.shared) {
        criteria.segment_hashes.push_back(part.hash);
        tokens += part.tokens;
    }
    criteria.shared_tokens = tokens;
    const backend_choice choice = from.chooser->choose(from.table, service_, criteria, clock());
    if (choice.server != nullptr) {
        send(id, work, choice);
        return;
    }
    if (now_ - work.arrived < options_.classes[work.kind].target_ms * wait_share &&
        work.tried.size() < most_unsent) {
        at(now_ + wait_step_ms, [this, id] { place(id); });
        return;
    }
    ++result_.refused;
    open_.erase(found);
}

void pool_model::send(std::uint64_t id, open_request& work, const backend_choice& choice)
{
    entry& from = entries_[work.entry];
    const auto to = std::find_if(engines_.begin(), engines_.end(), [&](const engine& row) {
        return row.id == choice.server->entry.id;
    });
    work.tried.insert(to->id);
    if (!to->up) {
        from.table.record_connect_failure(*choice.server, clock());
        at(now_ + refused_connection_ms, [this, id] { place(id); });
        return;
    }
    work.engine = to->id;
    ++choice.server->in_flight;
    std::size_t held = 0;
    std::size_t up = 0;
    for (const engine& row : engines_) {
        held += row.model->running() + row.model->waiting();
        up += row.up ? 1 : 0;
    }
    constexpr double promised_multiple = 2;
    constexpr double promised_margin = 3;
    const double mean =
        static_cast<double>(held) / static_cast<double>(std::max<std::size_t>(1, up));
    const auto here = static_cast<double>(to->model->running() + to->model->waiting());
    result_.over_bound += here > promised_multiple * mean + promised_margin ? 1 : 0;
    for (const model_part& part : work.request.shared) {
        const prefix_locations::location used{static_cast<std::uint32_t>(part.hash),
                                              static_cast<std::uint32_t>(hash_of(to->id))};
        if (from.places.record_use(used, clock())) {
            from.news.push_back(used);
        }
    }
    if (std::uniform_real_distribution<double>(0, 1)(random_) < to->fails) {
        end(id, false);
        return;
    }
    const engine_model* source = nullptr;
    for (const engine& row : engines_) {
        if (choice.copy_source != nullptr && row.id == choice.copy_source->entry.id && row.up) {
            source = row.model.get();
        }
    }
    to->model->start(work.request, source, now_);
}

void pool_model::first_token(std::uint64_t id, double now)
{
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    open_request& work = found->second;
    const double took = now - work.arrived;
    first_tokens_.push_back(took);
    const bool in_target = took <= options_.classes[work.kind].target_ms;
    work.counted = in_target ? &result_.in_target : &result_.late;
    ++*work.counted;
    entry& from = entries_[work.entry];
    backend* server = from.table.find(work.engine);
    for (const engine& row : engines_) {
        if (server != nullptr && row.id == work.engine) {
            from.table.record_load(*server,
                                   {.running = static_cast<unsigned>(row.model->running()),
                                    .waiting = static_cast<unsigned>(row.model->waiting()),
                                    .slots = options_.speed.slots},
                                   clock());
        }
    }
}

void pool_model::end(std::uint64_t id, bool well)
{
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    const open_request& work = found->second;
    entry& from = entries_[work.entry];
    backend* server = from.table.find(work.engine);
    if (server != nullptr) {
        from.table.record_outcome(
            *server, well ? backend_outcome::success : backend_outcome::failure, clock());
        server->in_flight -= std::min(1U, server->in_flight);
    }
    if (!well) {
        ++result_.lost;
        if (work.counted != nullptr) {
            --*work.counted;
        }
    }
    open_.erase(found);
}

void pool_model::tell(std::size_t from, std::size_t to)
{
    std::map<std::uint32_t, unsigned> counts;
    for (const auto& [id, server] : entries_[from].table.all()) {
        if (server->in_flight > 0) {
            counts[static_cast<std::uint32_t>(server->hash)] = server->in_flight;
        }
    }
    auto ends = entries_[from].table.outcomes_to_report(clock());
    at(now_ + news_way_ms,
       [this, from, to, counts = std::move(counts), ends = std::move(ends)]() mutable {
           const std::string name = std::to_string(from);
           entries_[to].table.set_peer_in_flight(name, std::move(counts));
           entries_[to].table.set_peer_outcomes(name, ends, clock());
       });
}

void pool_model::exchange_news()
{
    at(now_ + news_step_ms, [this] { exchange_news(); });
    const auto peers = entries_.size() - 1;
    const double interval = news_interval_ms *
                            static_cast<double>(std::max(peers, news_interval_peers)) /
                            static_cast<double>(news_interval_peers);
    for (std::size_t from = 0; from < entries_.size(); ++from) {
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (from == to || now_ - entries_[from].told[to] < interval) {
                continue;
            }
            entries_[from].told[to] = now_;
            tell(from, to);
        }
        // New locations reach every peer with its next digest, after half an interval on average.
        if (!entries_[from].news.empty()) {
            auto news = std::exchange(entries_[from].news, {});
            at(now_ + interval / 2, [this, news = std::move(news)] {
                for (entry& known : entries_) {
                    for (const prefix_locations::location& place : news) {
                        known.places.record_use(place, clock());
                    }
                }
            });
        }
    }
}

void pool_model::note_skew()
{
    at(now_ + skew_step_ms, [this] { note_skew(); });
    double sum = 0;
    double most = 0;
    double up = 0;
    for (const engine& row : engines_) {
        const auto held = static_cast<double>(row.model->running() + row.model->waiting());
        sum += held;
        most = std::max(most, held);
        up += row.up && !row.draining ? 1 : 0;
    }
    if (sum > 0) {
        skew_sum_ += most * up / sum;
        ++skew_samples_;
    }
}

pool_result pool_model::run()
{
    now_ = first_listing;
    for (std::size_t kind = 0; kind < options_.classes.size(); ++kind) {
        const double first =
            std::exponential_distribution<double>(options_.classes[kind].per_second)(random_);
        at(now_ + first * ms_per_second, [this, kind] { arrive(kind); });
    }
    plan_pattern();
    exchange_news();
    note_skew();
    const double last = first_listing + options_.seconds * ms_per_second;
    while (!events_.empty() && events_.top().at <= last) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        for (const engine& row : engines_) {
            row.model->advance(now_);
        }
        next.act();
    }
    result_.first_token_p50_ms = percentile(first_tokens_, 0.5);
    result_.first_token_p99_ms = percentile(first_tokens_, 0.99);
    result_.skew = skew_samples_ == 0 ? 0 : skew_sum_ / skew_samples_;
    return result_;
}

} // namespace cyclamen
