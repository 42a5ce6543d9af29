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
struct engine_speed {
    double step_ms = 3.88; // base time of a step, which makes one token per running request
    double step_ms_per_request = 0.028; // added to a step by each running request
    double tokens_read_per_ms = 66.2;   // prefill speed
    unsigned chunk_tokens = 4096;       // maximum prompt tokens prefilled in one step
    double tokens_copied_per_ms = 137;  // from another engine: 180 Gbit/s, 164 kB per token
    double copy_setup_ms = 4;           // fixed time of a copy
    unsigned slots = 64;                // maximum number of concurrently running requests
    std::uint64_t kept_tokens = 528867; // capacity of the prefix cache
};

/// Prompt prefix segment that several requests share.
struct model_part {
    std::uint64_t hash = 0;
    unsigned tokens = 0;
};

/// Request as the engine model sees it: token counts and shared prefix segments.
struct model_request {
    std::uint64_t id = 0;
    std::vector<model_part> shared; // shared segments in prompt order
    unsigned own_tokens = 0;        // prompt tokens that no other request shares
    unsigned output_tokens = 1;
};

/// Model of an inference engine in simulated time: continuous batching, chunked prefill, an
/// LRU prefix cache, and copies of cached segments from another engine.  Deterministic; uses
/// no clock and no network.
class engine_model {
public:
    struct hooks {
        std::function<void(std::uint64_t id, double now)> on_first_token;
        std::function<void(std::uint64_t id, double now)> on_end;
        /// A shared segment was prefilled, that is, neither cached nor copied.
        std::function<void(const model_part& part, double now)> on_read;
        std::function<void(unsigned tokens)> on_copied;
    };

    engine_model(engine_speed speed, hooks collaborators)
        : speed_(speed), hooks_(std::move(collaborators))
    {
    }

    /// Queues a request.  Segments that `source` has cached may be copied from it; null if
    /// there is no such engine.
    void start(const model_request& request, const engine_model* source, double now);
    /// Runs steps until `now`, in ms.
    void advance(double now);
    /// Drops all requests and clears the cache.  Returns the ids of the dropped requests.
    std::vector<std::uint64_t> crash();
    /// Multiplies the duration of all further steps by `factor`.
    void slow_down(double factor) { factor_ = factor; }

    bool keeps(std::uint64_t part) const { return kept_.contains(part); }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct run {
        model_request request;
        std::vector<model_part> unread; // neither cached nor copied
        double tokens_to_read = 0;      // unique tokens and those of `unread`
        double ready_at = 0;            // time at which the copied segments have arrived
        unsigned made = 0;              // output tokens so far
    };
    struct kept_part {
        unsigned tokens = 0;
        std::list<std::uint64_t>::iterator place;
    };

    void admit(double now);
    double step(double now);
    void keep(const model_part& part);

    engine_speed speed_;
    hooks hooks_;
    double factor_ = 1;
    double next_step_ = 0;
    std::list<run> waiting_;
    std::list<run> running_;
    std::unordered_map<std::uint64_t, kept_part> kept_;
    std::list<std::uint64_t> uses_; // segment hashes, most recently used first
    std::uint64_t kept_tokens_ = 0;
};

} // namespace cyclamen
