#pragma once

#include "claim_ledger.h"

#include <wire.pb.h>

#include <functional>
#include <optional>
#include <string>

namespace cyclamen {

/// What the claim stream says before and after a claim.
enum class claim_readiness { ready, not_read, log_down };

/// Decides what the claims of idempotency keys let a request do.  Owned by the agent's core.
class key_gate {
public:
    struct hooks {
        std::function<claim_readiness()> claims_ready;
        std::function<key_status(const std::string& key)> lookup;
        std::function<std::optional<bool>(const std::string& key)> expired;
    };

    explicit key_gate(hooks collaborators) : hooks_(std::move(collaborators)) {}

    /// Why a keyed request may not claim its key; none for others.
    wire::refusal refusal(const wire::dispatch& message) const;
    /// The recorded answer of an earlier run of the same request.
    std::optional<key_status> known_answer(const wire::dispatch& message) const;
    /// Why a claim that another one went before was lost.
    wire::refusal lost_claim(const wire::dispatch& message) const;

private:
    hooks hooks_;
};

} // namespace cyclamen
