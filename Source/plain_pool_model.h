#pragma once

#include "backend_chooser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

struct plain_pool_options {
    unsigned entries = 20;
    unsigned servers = 3;
    unsigned slots = 6; // requests that a server runs at once
    double seconds = 20;
    double mean_work_ms = 300;        // exponentially distributed
    double utilization = 0.6;         // share of all slots that is in use on average
    double report_interval_ms = 1000; // of the entries' counts of requests in flight
    bool equal_clocks = false;        // all entries exchange counts at the same moments
    double burst_factor = 1;          // multiplies the rate for half a second in every three
    unsigned islands = 1;             // groups of entries that don't hear each other
    unsigned silent_entries = 0;      // entries whose counts the others don't get
    bool stuck_report = false;        // server 0 repeats its first load report
    bool false_report = false;        // server 0 reports that it is idle
    double slow_factor = 1;           // multiplies the duration of work at server 0
    bool reports_pace = false;        // servers send the fourth figure
    bool servers_change = false;      // server 0 leaves after a third of the time, one joins later
    std::uint64_t seed = 1;
    backend_chooser_options chooser;
};

/// Result of a run; times in ms.
struct plain_pool_result {
    unsigned requests = 0;
    unsigned calls = 0;      // requests sent to servers
    double variance = 0;     // of the servers' loads around their mean, averaged over time
    double over_slots = 0;   // share of the servers' time with more requests than slots
    double met_full = 0;     // share of requests that found all slots of their server in use
    double mean_wait_ms = 0; // time until a slot was free
    double first_share = 0;  // share of requests at server 0
};

/// Simulation of entries and of one service without prompts.  The entries choose servers with the
/// production code (`backend_table`, `backend_chooser`) and know of each other's requests only by
/// counts that they get at intervals, and by the servers' load reports in responses.
/// Deterministic: simulated time, fixed seeds.
class plain_pool_model {
public:
    explicit plain_pool_model(plain_pool_options options);
    plain_pool_result run();

private:
    struct waiting_request {
        std::size_t entry = 0;
        double arrived_at = 0;
    };
    struct server {
        std::string id;
        std::queue<waiting_request> waiting;
        unsigned running = 0;
        backend_load first_report{.counted = false};

        unsigned held() const { return running + static_cast<unsigned>(waiting.size()); }
    };
    struct entry {
        backend_table table;
        std::unique_ptr<backend_chooser> chooser;
        std::vector<unsigned> in_flight; // by server
    };
    struct event {
        double time = 0;
        std::uint64_t order = 0; // creation order; decides between events at the same time
        std::function<void()> action;
        // Reversed, because `std::priority_queue` returns the greatest element first.
        bool operator<(const event& other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    void schedule(double delay, std::function<void()> action);
    void add_server();
    void announce(std::size_t index, bool draining);
    void arrive();
    void start(std::size_t index, const waiting_request& request);
    void finish(std::size_t index, const waiting_request& request);
    backend_load report_of(std::size_t index);
    void take_counts(std::size_t to);
    void sample();
    bool burst() const;
    millis clock() const { return millis(static_cast<std::int64_t>(now_)); }
    double exponential(double mean) { return std::exponential_distribution<>(1 / mean)(random_); }

    plain_pool_options options_;
    std::mt19937_64 random_;
    relay_service service_{.name = "plain"};
    double now_ = 100000;
    double end_ = 0;
    std::uint64_t next_order_ = 0;
    std::priority_queue<event> events_;
    std::vector<server> servers_;
    std::vector<entry> entries_;
    unsigned samples_ = 0;
    plain_pool_result result_;
};

} // namespace cyclamen
