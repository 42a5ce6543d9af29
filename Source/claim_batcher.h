#pragma once

#include "claim_record.h"
#include "time_types.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cyclamen {

struct claim_batcher_options {
    std::size_t max_items_per_record = 256; // claims, releases and answers of one append
    millis retry_delay = 200ms;             // delay after a failed append
};

/// Batches items (claims, releases and answers) into appends.  One append is in flight at a
/// time; items that arrive meanwhile go into the next.  An item is kept until an append of it
/// is confirmed, so an append whose response was lost is retried.  Retrying is safe because
/// the ledger ignores tokens that it has already replayed.  Owned by the agent's claim
/// service, one per stream.
class claim_batcher {
public:
    explicit claim_batcher(claim_batcher_options options) : options_(options) {}

    void claim(key_claim item) { claims_.insert_or_assign(item.token, std::move(item)); }
    /// Drops a pending claim of the token.  Queues the release unless that claim was never sent.
    void release(key_release item);
    void answer(key_answer item) { answers_.insert_or_assign(item.token, std::move(item)); }

    /// Returns the record to append now, if any.
    std::optional<claim_record> next(millis now);
    void on_append_succeeded();
    /// The append failed, or its response was lost.
    void on_append_failed(millis now);

    /// Drops the state of a claim that lost to an earlier one.
    void forget(const std::string& token) { possibly_appended_.erase(token); }

    /// Number of items without a confirmed append.
    std::size_t waiting() const { return claims_.size() + releases_.size() + answers_.size(); }
    bool idle() const { return waiting() == 0 && !in_flight_; }

private:
    claim_batcher_options options_;
    std::map<std::string, key_claim> claims_; // by token
    std::map<std::string, key_release> releases_;
    std::map<std::string, key_answer> answers_;
    std::optional<claim_record> in_flight_;
    std::set<std::string> possibly_appended_; // tokens whose claim may be in the log
    millis not_before_{0};                    // earliest time of the next append
};

} // namespace cyclamen
