#include "agent_limits.h"

#include <cmath>

namespace cyclamen {

void agent_limits::acquire_slot(const std::string& account)
{
    ++in_flight_;
    ++account_in_flight_[account];
}

void agent_limits::release_slot(const std::string& account)
{
    --in_flight_;
    const auto found = account_in_flight_.find(account);
    if (--found->second == 0) {
        account_in_flight_.erase(found);
    }
}

unsigned agent_limits::slots_held_by(const std::string& account) const
{
    const auto found = account_in_flight_.find(account);
    return found == account_in_flight_.end() ? 0 : found->second;
}

bool agent_limits::at_account_share(const std::string& account, std::size_t accounts_waiting) const
{
    const unsigned held = slots_held_by(account);
    const std::size_t others = account_in_flight_.size() - (held > 0 ? 1 : 0);
    const auto max_slots =
        static_cast<unsigned>(std::ceil(options_.capacity * options_.max_account_share));
    return (others > 0 || accounts_waiting > 0) && held >= max_slots;
}

wire::refusal agent_limits::limit_reached(const std::string& account, std::size_t accounts_waiting,
                                          millis now) const
{
    if (in_flight_ >= options_.capacity) {
        return wire::over_capacity;
    }
    if (in_flight_ >= ramp_.limit()) {
        return wire::over_ramp;
    }
    if (in_flight_ + 1 > load_.cap(in_flight_, now)) {
        return wire::over_load_bound;
    }
    if (at_account_share(account, accounts_waiting)) {
        return wire::over_account_share;
    }
    return wire::refusal_none;
}

} // namespace cyclamen
