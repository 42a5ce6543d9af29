#pragma once

#include "http_server.h"
#include "kernel.h"
#include "prefix_cache.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cyclamen::test {

struct engine_options {
    std::string instance;
    unsigned slots = 16;              // size of the continuous batch
    unsigned token_ms = 5;            // time between two tokens of a request
    unsigned tokens = 20;             // length of a response, unless `max_tokens` is lower
    double prefill_us_per_token = 20; // per prompt token that is not in the prefix cache
    std::size_t cache_tokens = 20000; // capacity of the prefix cache
    unsigned max_cold_concurrency =
        4; // concurrent requests that a cold engine can run without crashing
    unsigned warm_up_requests = 20;   // completed requests until the engine is warm
    unsigned restart_delay_ms = 1500; // time between a crash and the restart
    bool checks_fencing = true;       // rejects orders with an outdated fencing token
};

/// Simulates a model engine: continuous batch, prefix cache of limited size, crash under full load
/// during a cold start, a prompt that crashes it, delayed load reports, cache events with gaps,
/// orders with fencing tokens, and streams that can be resumed (GET /streams/ID?from=N) and
/// cancelled (DELETE /streams/ID).
class stand_in_engine : public service {
public:
    stand_in_engine(kernel& core, net_address listen, engine_options options);
    stand_in_engine(const stand_in_engine&) = delete;
    stand_in_engine& operator=(const stand_in_engine&) = delete;
    ~stand_in_engine() override;

    std::string_view name() const override { return "engine"; }
    void start() override;
    nlohmann::json describe() const override;

private:
    using exchange = std::shared_ptr<http_exchange>;
    struct run;

    void listen();
    void on_request(const exchange& caller);
    void on_chat(const exchange& caller);
    void start_queued_runs();
    void next_token(std::uint64_t id);
    void finish(std::uint64_t id);
    void crash();
    void on_order(const exchange& caller);
    void set_faults(const exchange& caller);
    void report_load(const exchange& caller);
    void report_cache_events(const exchange& caller);
    void serve_stream(const exchange& caller);

    kernel& core_;
    net_address listen_;
    engine_options options_;
    std::unique_ptr<http_server> server_;
    prefix_cache cache_;
    std::map<std::uint64_t, std::unique_ptr<run>> runs_;
    std::deque<std::uint64_t> waiting_;
    std::map<std::string, std::string> stream_texts_; // generated text of recent streams, by ID
    std::uint64_t next_run_ = 1;
    unsigned running_ = 0;
    unsigned peak_running_ = 0;
    bool cold_ = false;
    bool overloaded_while_cold_ = false;
    unsigned warm_up_completed_ = 0;
    std::uint64_t crashes_ = 0;
    std::uint64_t completed_ = 0;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t hit_tokens_ = 0;
    std::uint64_t fencing_ = 0; // fencing token of the last accepted order
    std::uint64_t events_ =
        0; // number of cache events: one for each prompt block after the cached prefix
    std::uint64_t published_events_ = 0; // lags behind `events_` by up to `report_lag`
    unsigned reported_load_ = 0;
    kernel::timer report_;
    kernel::timer restart_; // pending crash, then the restart after it
};

} // namespace cyclamen::test
