#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// How fast a modelled engine works; the defaults are those of the users' sheets.
struct engine_speed {
    double step_ms = 3.88;              // of one step: a token for each running request
    double step_ms_per_request = 0.028; // added to a step by each of them
    double tokens_read_per_ms = 66.2;   // of prompts
    unsigned chunk_tokens = 4096;       // of prompts, read in one step at most
    double tokens_copied_per_ms = 137;  // from another engine: 180 Gbit/s, 164 kB a token
    double copy_setup_ms = 4;
    unsigned slots = 64;                // requests that run at once
    std::uint64_t kept_tokens = 528867; // of prompts
};

/// A part of a prompt that requests share.
struct model_part {
    std::uint64_t hash = 0;
    unsigned tokens = 0;
};

/// A request as an engine sees it.
struct model_request {
    std::uint64_t id = 0;
    std::vector<model_part> shared; // in order
    unsigned own_tokens = 0;        // of the prompt
    unsigned output_tokens = 1;
};

/// A model engine in simulated time: continuous batch, prompts read in chunks between the
/// tokens of others, a cache of prompt parts that drops the least recently used, copies of
/// parts from another engine.  Deterministic, without clock or network.
class engine_model {
public:
    struct hooks {
        std::function<void(std::uint64_t id, double now)> on_first_token;
        std::function<void(std::uint64_t id, double now)> on_end;
        /// A shared part was read from its text.
        std::function<void(const model_part& part, double now)> on_read;
        std::function<void(unsigned tokens)> on_copied;
    };

    engine_model(engine_speed speed, hooks collaborators)
        : speed_(speed), hooks_(std::move(collaborators))
    {
    }

    /// Takes a request; `source` keeps parts that it may copy, or is null.
    void start(const model_request& request, const engine_model* source, double now);
    /// Works until `now`, in ms.
    void advance(double now);
    /// Loses all requests, and all that it keeps.  Returns the requests' ids.
    std::vector<std::uint64_t> crash();
    /// Multiplies the time of each step from here on.
    void slow_down(double factor) { factor_ = factor; }

    bool keeps(std::uint64_t part) const { return kept_.contains(part); }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct run {
        model_request request;
        std::vector<model_part> unread; // shared parts that it has to read
        double tokens_to_read = 0;      // of its own and of `unread`
        double ready_at = 0;            // when what it copies is there
        unsigned made = 0;              // tokens
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
    std::list<std::uint64_t> uses_; // parts, the latest used first
    std::uint64_t kept_tokens_ = 0;
};

} // namespace cyclamen
