#pragma once

#include "claim_ledger.h"

#include <wire.pb.h>

#include <functional>
#include <optional>
#include <string>

namespace cyclamen {

/// Whether keys can be claimed.  `not_read`: a claim stream has not been replayed to its end
/// since the start; `log_down`: the log does not respond.
enum class claim_readiness { ready, not_read, log_down };

/// Decides from the claims on an idempotency key whether a request may run.  Owned by the agent
/// core.
class idempotency_guard {
public:
    struct hooks {
        std::function<claim_readiness()> claims_ready;
        std::function<key_status(const std::string& key)> lookup;
        /// True if the key is older than the key window; nothing if the key has no timestamp.
        std::function<std::optional<bool>(const std::string& key)> expired;
    };

    explicit idempotency_guard(hooks collaborators) : hooks_(std::move(collaborators)) {}

    /// Returns why a keyed request may not claim its key; `refusal_none` if it may, or if the
    /// request is not keyed.
    wire::refusal refusal(const wire::dispatch& message) const;
    /// Returns the recorded answer of an earlier run of the same request, or nothing if there is
    /// none, it has no body, or the claims cannot be read.
    std::optional<key_status> recorded_answer(const wire::dispatch& message) const;
    /// Returns the refusal for a request whose key another attempt claimed first:
    /// `key_in_progress` for the same request, `key_reused` for a different one.
    wire::refusal lost_claim_refusal(const wire::dispatch& message) const;

private:
    hooks hooks_;
};

} // namespace cyclamen
