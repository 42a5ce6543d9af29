#include "engine_model.h"

#include <algorithm>

namespace cyclamen {

void engine_model::start(const simulated_request& request, const engine_model* copy_source,
                         double now)
{
    engine_job job{.request = request};
    bool prefix_cached = true; // true while all segments so far are cached
    unsigned copied = 0;
    for (const prefix_segment& segment : request.prefix_segments) {
        prefix_cached = prefix_cached && has_cached(segment.hash);
        if (prefix_cached) {
            continue;
        }
        const bool copy = job.segments_to_prefill.empty() && copy_source != nullptr &&
                          copy_source->has_cached(segment.hash);
        if (copy) {
            copied += segment.tokens;
            continue;
        }
        job.segments_to_prefill.push_back(segment);
        job.tokens_to_prefill += segment.tokens;
    }
    job.tokens_to_prefill += request.unique_tokens;
    if (copied > 0) {
        job.copies_ready_at = now + profile_.copy_setup_ms + copied / profile_.copy_tokens_per_ms;
        hooks_.on_copied(copied);
    }
    if (running_.empty() && waiting_.empty()) {
        next_step_at_ = std::max(next_step_at_, now);
    }
    waiting_.push_back(std::move(job));
}

void engine_model::cache_segment(const prefix_segment& segment)
{
    const auto found = cache_.find(segment.hash);
    if (found != cache_.end()) {
        lru_order_.splice(lru_order_.begin(), lru_order_, found->second.lru_position);
        return;
    }
    lru_order_.push_front(segment.hash);
    cache_[segment.hash] = {.tokens = segment.tokens, .lru_position = lru_order_.begin()};
    cached_tokens_ += segment.tokens;
    while (cached_tokens_ > profile_.cache_capacity_tokens) {
        const auto oldest = cache_.find(lru_order_.back());
        cached_tokens_ -= oldest->second.tokens;
        cache_.erase(oldest);
        lru_order_.pop_back();
    }
}

void engine_model::admit(double now)
{
    for (auto next = waiting_.begin();
         next != waiting_.end() && running_.size() < profile_.slots;) {
        const auto job = next++;
        if (job->copies_ready_at <= now) {
            running_.splice(running_.end(), waiting_, job);
        }
    }
}

// Runs one step: prefills up to one chunk of prompt tokens, and generates one token for each
// request whose prompt is prefilled.  Returns the time at which the step ends.
double engine_model::step(double now)
{
    double length =
        profile_.step_ms + profile_.step_ms_per_request * static_cast<double>(running_.size());
    double chunk = profile_.prefill_chunk_tokens;
    std::vector<std::list<engine_job>::iterator> generating;
    for (auto job = running_.begin(); job != running_.end(); ++job) {
        if (job->tokens_to_prefill > 0) {
            const double prefilled = std::min(chunk, job->tokens_to_prefill);
            job->tokens_to_prefill -= prefilled;
            chunk -= prefilled;
            length += prefilled / profile_.prefill_tokens_per_ms;
        }
        if (job->tokens_to_prefill <= 0) {
            generating.push_back(job);
        }
    }
    const double end = now + length * slowdown_;
    for (const auto job : generating) {
        if (++job->generated_tokens == 1) {
            for (const prefix_segment& segment : job->segments_to_prefill) {
                hooks_.on_prefilled(segment, end);
            }
            for (const prefix_segment& segment : job->request.prefix_segments) {
                cache_segment(segment);
            }
            hooks_.on_first_token(job->request.id, end);
        }
        if (job->generated_tokens >= job->request.output_tokens) {
            const std::uint64_t id = job->request.id;
            running_.erase(job);
            hooks_.on_end(id, end);
        }
    }
    return end;
}

void engine_model::advance(double now)
{
    while (next_step_at_ <= now) {
        admit(next_step_at_);
        if (running_.empty()) {
            if (waiting_.empty()) {
                return;
            }
            next_step_at_ += profile_.step_ms; // all requests still wait for copies
            continue;
        }
        next_step_at_ = step(next_step_at_);
    }
}

std::vector<std::uint64_t> engine_model::crash()
{
    std::vector<std::uint64_t> lost;
    for (const std::list<engine_job>* group : {&running_, &waiting_}) {
        for (const engine_job& job : *group) {
            lost.push_back(job.request.id);
        }
    }
    running_.clear();
    waiting_.clear();
    cache_.clear();
    lru_order_.clear();
    cached_tokens_ = 0;
    return lost;
}

} // namespace cyclamen
