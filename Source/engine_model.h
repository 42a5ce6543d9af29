#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// Speed and capacity of a modelled engine; the defaults are from the users' data sheets.
struct engine_profile {
    double step_ms = 3.88; // base time of a step, which generates a token per running request
    double step_ms_per_request = 0.028;   // added to a step by each running request
    double prefill_tokens_per_ms = 66.2;  // prefill speed
    unsigned prefill_chunk_tokens = 4096; // maximum prompt tokens prefilled in one step
    double copy_tokens_per_ms = 137;      // from another engine: 180 Gbit/s at 164 kB per token
    double copy_setup_ms = 4;             // fixed time of a copy
    unsigned slots = 64;                  // maximum number of concurrently running requests
    std::uint64_t cache_capacity_tokens = 528867; // capacity of the prefix cache
};

/// Prompt prefix segment that several requests share.
struct prefix_segment {
    std::uint64_t hash = 0;
    unsigned tokens = 0;
};

/// Request as the engine model sees it: token counts and shared prefix segments.
struct simulated_request {
    std::uint64_t id = 0;
    std::vector<prefix_segment> prefix_segments; // shared segments in prompt order
    unsigned unique_tokens = 0;                  // prompt tokens that no other request shares
    unsigned output_tokens = 1;
};

/// Model of an inference engine in simulated time: continuous batching, chunked prefill, an
/// LRU prefix cache, and copies of cached segments from another engine.  All times are in
/// simulated ms.  Deterministic; uses no clock and no network.
class engine_model {
public:
    struct hooks {
        std::function<void(std::uint64_t id, double now)> on_first_token;
        std::function<void(std::uint64_t id, double now)> on_end;
        /// A shared segment was prefilled, that is, neither cached nor copied.
        std::function<void(const prefix_segment& segment, double now)> on_prefilled;
        std::function<void(unsigned tokens)> on_copied;
    };

    engine_model(engine_profile profile, hooks callbacks)
        : profile_(profile), hooks_(std::move(callbacks))
    {
    }

    /// Queues a request.  From its first uncached segment on, segments are copied from
    /// `copy_source`, which may be null, up to the first one that is not cached there either.
    /// The remaining segments are prefilled.
    void start(const simulated_request& request, const engine_model* copy_source, double now);
    /// Runs all steps that start at or before `now`.
    void advance(double now);
    /// Drops all requests and clears the cache.  Returns the ids of the dropped requests.
    std::vector<std::uint64_t> crash();
    /// Multiplies the duration of all further steps by `factor`.
    void set_slowdown(double factor) { slowdown_ = factor; }

    bool has_cached(std::uint64_t segment) const { return cache_.contains(segment); }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct engine_job {
        simulated_request request;
        std::vector<prefix_segment> segments_to_prefill; // neither cached nor copied
        double tokens_to_prefill = 0;  // unique tokens and those of `segments_to_prefill`
        double copies_ready_at = 0;    // time at which the copied segments have arrived
        unsigned generated_tokens = 0; // output tokens so far
    };
    struct cached_segment {
        unsigned tokens = 0;
        std::list<std::uint64_t>::iterator lru_position;
    };

    void admit(double now);
    double step(double now);
    void cache_segment(const prefix_segment& segment);

    engine_profile profile_;
    hooks hooks_;
    double slowdown_ = 1;
    double next_step_at_ = 0;
    std::list<engine_job> waiting_;
    std::list<engine_job> running_;
    std::unordered_map<std::uint64_t, cached_segment> cache_;
    std::list<std::uint64_t> lru_order_; // segment hashes, most recently used first
    std::uint64_t cached_tokens_ = 0;
};

} // namespace cyclamen
