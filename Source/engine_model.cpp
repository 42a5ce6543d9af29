#include "engine_model.h"

#include <algorithm>

namespace cyclamen {

void engine_model::start(const model_request& request, const engine_model* source, double now)
{
    run work{.request = request};
    bool kept = true; // true while all segments so far are cached
    unsigned copied = 0;
    for (const model_part& part : request.shared) {
        kept = kept && keeps(part.hash);
        if (kept) {
            continue;
        }
        const bool copy = work.unread.empty() && source != nullptr && source->keeps(part.hash);
        if (copy) {
            copied += part.tokens;
            continue;
        }
        work.unread.push_back(part);
        work.tokens_to_read += part.tokens;
    }
    work.tokens_to_read += request.own_tokens;
    if (copied > 0) {
        work.ready_at = now + speed_.copy_setup_ms + copied / speed_.tokens_copied_per_ms;
        hooks_.on_copied(copied);
    }
    if (running_.empty() && waiting_.empty()) {
        next_step_ = std::max(next_step_, now);
    }
    waiting_.push_back(std::move(work));
}

void engine_model::keep(const model_part& part)
{
    const auto known = kept_.find(part.hash);
    if (known != kept_.end()) {
        uses_.splice(uses_.begin(), uses_, known->second.place);
        return;
    }
    uses_.push_front(part.hash);
    kept_[part.hash] = {.tokens = part.tokens, .place = uses_.begin()};
    kept_tokens_ += part.tokens;
    while (kept_tokens_ > speed_.kept_tokens) {
        const auto oldest = kept_.find(uses_.back());
        kept_tokens_ -= oldest->second.tokens;
        kept_.erase(oldest);
        uses_.pop_back();
    }
}

void engine_model::admit(double now)
{
    for (auto next = waiting_.begin(); next != waiting_.end() && running_.size() < speed_.slots;) {
        const auto work = next++;
        if (work->ready_at <= now) {
            running_.splice(running_.end(), waiting_, work);
        }
    }
}

// Runs one step: prefills up to one chunk of prompt tokens, and generates one token for each
// request whose prompt is prefilled.  Returns the time at which the step ends.
double engine_model::step(double now)
{
    double length =
        speed_.step_ms + speed_.step_ms_per_request * static_cast<double>(running_.size());
    double chunk = speed_.chunk_tokens;
    std::vector<std::list<run>::iterator> made;
    for (auto work = running_.begin(); work != running_.end(); ++work) {
        if (work->tokens_to_read > 0) {
            const double read = std::min(chunk, work->tokens_to_read);
            work->tokens_to_read -= read;
            chunk -= read;
            length += read / speed_.tokens_read_per_ms;
        }
        if (work->tokens_to_read <= 0) {
            made.push_back(work);
        }
    }
    const double end = now + length * factor_;
    for (const auto work : made) {
        if (++work->made == 1) {
            for (const model_part& part : work->unread) {
                hooks_.on_read(part, end);
            }
            for (const model_part& part : work->request.shared) {
                keep(part);
            }
            hooks_.on_first_token(work->request.id, end);
        }
        if (work->made >= work->request.output_tokens) {
            const std::uint64_t id = work->request.id;
            running_.erase(work);
            hooks_.on_end(id, end);
        }
    }
    return end;
}

void engine_model::advance(double now)
{
    while (next_step_ <= now) {
        admit(next_step_);
        if (running_.empty()) {
            if (waiting_.empty()) {
                return;
            }
            next_step_ += speed_.step_ms; // all requests still wait for copies
            continue;
        }
        next_step_ = step(next_step_);
    }
}

std::vector<std::uint64_t> engine_model::crash()
{
    std::vector<std::uint64_t> lost;
    for (const std::list<run>* group : {&running_, &waiting_}) {
        for (const run& work : *group) {
            lost.push_back(work.request.id);
        }
    }
    running_.clear();
    waiting_.clear();
    kept_.clear();
    uses_.clear();
    kept_tokens_ = 0;
    return lost;
}

} // namespace cyclamen
