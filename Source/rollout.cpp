#include "rollout.h"

#include <algorithm>

namespace cyclamen {

bool rollout::switched(millis now) const
{
    return step_ == rollout_step::completed ||
           (step_ == rollout_step::switching &&
            step_age(now) >= options_.switch_interval *
                                 static_cast<millis::rep>(options_.switch_shares.size() - 1));
}

void rollout::merge(millis age, rollout_step step, millis step_age, millis now)
{
    began_at_ = std::min(began_at_, now - age);
    if (step > step_) {
        step_ = step;
        step_began_at_ = now - step_age;
    }
    else if (step == step_) {
        step_began_at_ = std::min(step_began_at_, now - step_age);
    }
}

void rollout::set_step(rollout_step step, millis now)
{
    if (step > step_) {
        step_ = step;
        step_began_at_ = now;
    }
}

bool rollout::sends_to_target(const std::string& route, unsigned entries, double draw,
                              millis now) const
{
    if (step_ == rollout_step::completed) {
        return true;
    }
    if (step_ == rollout_step::rolled_back || halted_) {
        return false;
    }
    if (step_ == rollout_step::switching) {
        const auto stage = static_cast<std::size_t>(step_age(now) / options_.switch_interval);
        return draw < options_.switch_shares[std::min(stage, options_.switch_shares.size() - 1)];
    }
    // Routes with fewer outcomes at the target come first: the others leave them one request.
    const rollout_counts& own = evidence_.own();
    const auto here = own.find(route);
    const std::uint32_t ended = here == own.end() ? 0 : here->second.target.ended;
    const bool first = std::all_of(own.begin(), own.end(), [&](const auto& other) {
        return ended <= other.second.target.ended;
    });
    return share_.allowance(entries) >= (first ? 1 : 2);
}

void rollout::count_sent(bool to_target)
{
    share_.count_request();
    if (to_target) {
        share_.count_sent();
    }
}

rollout_step rollout::next_step(const situation& facts, millis now) const
{
    if (ended()) {
        return step_;
    }
    const double part = elapsed(now);
    const rollout_verdict verdict = judge(evidence_.total());
    if (verdict.finding == rollout_finding::bad) {
        return rollout_step::rolled_back;
    }
    if (part >= options_.end_at) {
        return facts.target_listed && switched(now) ? rollout_step::completed
                                                    : rollout_step::rolled_back;
    }
    if (step_ == rollout_step::switching) {
        return facts.target_listed && facts.others_idle && switched(now) ? rollout_step::completed
                                                                         : step_;
    }
    const bool long_enough =
        part >=
        (verdict.finding == rollout_finding::good ? options_.watch_until : options_.decide_until);
    return long_enough && facts.target_listed ? rollout_step::switching : step_;
}

bool rollout::halt_if_bad()
{
    if (halted_ || ended() || judge(evidence_.total()).finding != rollout_finding::bad) {
        return false;
    }
    halted_ = true;
    return true;
}

} // namespace cyclamen
