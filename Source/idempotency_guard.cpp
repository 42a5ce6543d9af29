#include "idempotency_guard.h"

namespace cyclamen {

wire::refusal idempotency_guard::refusal(const wire::dispatch& message) const
{
    if (message.repeat() != wire::keyed) {
        return wire::refusal_none;
    }
    switch (hooks_.claims_ready()) {
    case claim_readiness::not_read:
        return wire::claims_not_read;
    case claim_readiness::log_down:
        return wire::log_unavailable;
    case claim_readiness::ready:
        break;
    }
    if (hooks_.expired(message.idempotency_key()).value_or(false)) {
        return wire::key_expired;
    }
    if (hooks_.lookup(message.idempotency_key()).state == key_state::free) {
        return wire::refusal_none;
    }
    return lost_claim_refusal(message);
}

std::optional<key_status> idempotency_guard::recorded_answer(const wire::dispatch& message) const
{
    if (hooks_.claims_ready() != claim_readiness::ready) {
        return std::nullopt;
    }
    key_status status = hooks_.lookup(message.idempotency_key());
    if (status.state != key_state::answered || !status.answer.kept ||
        status.fingerprint != message.fingerprint()) {
        return std::nullopt;
    }
    return status;
}

wire::refusal idempotency_guard::lost_claim_refusal(const wire::dispatch& message) const
{
    const key_status status = hooks_.lookup(message.idempotency_key());
    return status.fingerprint == message.fingerprint() ? wire::key_in_progress : wire::key_reused;
}

} // namespace cyclamen
