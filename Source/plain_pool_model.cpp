#include "plain_pool_model.h"

#include "hashing.h"

#include <algorithm>
#include <map>

namespace cyclamen {

plain_pool_model::plain_pool_model(plain_pool_options options)
    : options_(std::move(options)), random_(options_.seed), end_(now_ + options_.seconds * 1000),
      entries_(options_.entries)
{
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        backend_chooser_options chooser = options_.chooser;
        chooser.seed = hash_of(std::to_string(options_.seed) + "/" + std::to_string(index));
        entries_[index].chooser = std::make_unique<backend_chooser>(chooser);
        entries_[index].chooser->set_entries(options_.entries);
    }
    for (unsigned index = 0; index < options_.servers; ++index) {
        add_server();
    }
}

void plain_pool_model::schedule(double delay, std::function<void()> action)
{
    events_.push({.time = now_ + delay, .order = next_order_++, .action = std::move(action)});
}

void plain_pool_model::add_server()
{
    servers_.push_back({.id = "s" + std::to_string(servers_.size())});
    announce(servers_.size() - 1, false);
}

void plain_pool_model::announce(std::size_t index, bool draining)
{
    for (entry& each : entries_) {
        each.table.put({.id = servers_[index].id,
                        .service = service_.name,
                        .slots = options_.slots,
                        .draining = draining,
                        .started_at = 1,
                        .sequence = draining ? 2U : 1U},
                       clock());
        each.in_flight.resize(servers_.size());
    }
}

bool plain_pool_model::burst() const
{
    constexpr std::int64_t period_ms = 3000;
    constexpr std::int64_t burst_ms = 500;
    return options_.burst_factor > 1 && clock().count() % period_ms < burst_ms;
}

void plain_pool_model::arrive()
{
    const double rate = options_.utilization * options_.servers * options_.slots /
                        options_.mean_work_ms * (burst() ? options_.burst_factor : 1);
    schedule(exponential(1 / rate), [this] { arrive(); });
    const std::size_t from = random_() % entries_.size();
    entry& sender = entries_[from];
    ++result_.requests;
    const backend_choice choice =
        sender.chooser->choose(sender.table, service_, {.service = service_.name}, clock());
    if (choice.server == nullptr) {
        return;
    }
    ++result_.calls;
    const std::size_t index = std::stoul(choice.server->entry.id.substr(1));
    ++choice.server->in_flight;
    ++sender.in_flight[index];
    result_.met_full += servers_[index].held() >= options_.slots ? 1 : 0;
    result_.first_share += index == 0 ? 1 : 0;
    const waiting_request request{.entry = from, .arrived_at = now_};
    if (servers_[index].running < options_.slots) {
        start(index, request);
        return;
    }
    servers_[index].waiting.push(request);
}

void plain_pool_model::start(std::size_t index, const waiting_request& request)
{
    ++servers_[index].running;
    result_.mean_wait_ms += now_ - request.arrived_at;
    const double factor = index == 0 ? options_.slow_factor : 1;
    schedule(exponential(options_.mean_work_ms * factor),
             [this, index, request] { finish(index, request); });
}

backend_load plain_pool_model::report_of(std::size_t index)
{
    constexpr unsigned usual_percent = 100;
    server& from = servers_[index];
    backend_load load{.running = from.running,
                      .waiting = static_cast<unsigned>(from.waiting.size()),
                      .slots = options_.slots};
    if (index == 0 && options_.false_report) {
        load = {.slots = options_.slots};
    }
    if (index == 0 && options_.stuck_report) {
        from.first_report = from.first_report.counted ? from.first_report : load;
        load = from.first_report;
    }
    if (options_.reports_pace) {
        load.work_percent =
            static_cast<unsigned>(usual_percent * (index == 0 ? options_.slow_factor : 1));
    }
    return load;
}

void plain_pool_model::finish(std::size_t index, const waiting_request& request)
{
    entry& sender = entries_[request.entry];
    backend* known = sender.table.find(servers_[index].id);
    sender.table.record_load(*known, report_of(index), clock());
    --known->in_flight;
    --sender.in_flight[index];
    --servers_[index].running;
    if (!servers_[index].waiting.empty()) {
        const waiting_request next = servers_[index].waiting.front();
        servers_[index].waiting.pop();
        start(index, next);
    }
}

// Gives the entry the sum of all counts that it can hear, under the name of one peer: the table
// keeps only the sum as well.
void plain_pool_model::take_counts(std::size_t to)
{
    schedule(options_.report_interval_ms, [this, to] { take_counts(to); });
    std::map<std::uint32_t, unsigned> counts;
    for (std::size_t from = options_.silent_entries; from < entries_.size(); ++from) {
        if (from == to || from % options_.islands != to % options_.islands) {
            continue;
        }
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            if (entries_[from].in_flight[index] > 0) {
                counts[static_cast<std::uint32_t>(hash_of(servers_[index].id))] +=
                    entries_[from].in_flight[index];
            }
        }
    }
    entries_[to].table.set_peer_in_flight("peers", std::move(counts), clock());
}

void plain_pool_model::sample()
{
    constexpr double interval_ms = 10;
    schedule(interval_ms, [this] { sample(); });
    double sum = 0;
    double squares = 0;
    double over = 0;
    for (const server& each : servers_) {
        const double held = each.held();
        sum += held;
        squares += held * held;
        over += held > options_.slots ? 1 : 0;
    }
    const auto count = static_cast<double>(servers_.size());
    result_.variance += squares / count - (sum / count) * (sum / count);
    result_.over_slots += over / count;
    ++samples_;
}

plain_pool_result plain_pool_model::run()
{
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        const double phase = static_cast<double>(index) / static_cast<double>(entries_.size());
        schedule(options_.equal_clocks ? 0 : phase * options_.report_interval_ms,
                 [this, index] { take_counts(index); });
    }
    if (options_.servers_change) {
        schedule(options_.seconds * 1000 / 3, [this] { announce(0, true); });
        schedule(options_.seconds * 1000 / 2, [this] { add_server(); });
    }
    schedule(0, [this] { arrive(); });
    schedule(0, [this] { sample(); });
    while (!events_.empty() && events_.top().time < end_) {
        const event next = events_.top();
        events_.pop();
        now_ = next.time;
        next.action();
    }
    const double calls = std::max(1U, result_.calls);
    result_.variance /= std::max(1U, samples_);
    result_.over_slots /= std::max(1U, samples_);
    result_.met_full /= calls;
    result_.mean_wait_ms /= calls;
    result_.first_share /= calls;
    return result_;
}

} // namespace cyclamen
