#pragma once

#include "claim_record.h"
#include "time_types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamen {

/// State of an idempotency key.
enum class key_state {
    free,     // no attempt holds the key
    held,     // an attempt claimed the key and may have run
    answered, // the holder ran and its answer is recorded
};

struct key_status {
    key_state state = key_state::free;
    std::string token;             // claim token of the holder
    std::uint64_t fingerprint = 0; // fingerprint of the holder's request
    key_answer answer;             // set if the state is `answered`
};

/// Replays one claim stream.  All processes that replay the same records have the same
/// ledger: the claim on a key with the lowest offset wins and holds the key until the holder
/// itself releases it.  Owned by the agent's claim service.
class claim_ledger {
public:
    /// Applies the record at `offset`, appended at wall-clock time `at`.  Ignores offsets below
    /// `next_offset`, so that reading a record twice is harmless.
    void apply(std::uint64_t offset, millis at, const claim_record& record);

    key_status status(const std::string& key) const;

    /// True if `token` holds `key` and no answer is recorded yet.
    bool holds(const std::string& key, const std::string& token) const;

    /// True if the claim by `token`, or a release of it, has been replayed.
    bool decided(const std::string& key, const std::string& token) const;

    std::uint64_t next_offset() const { return next_offset_; }
    /// Skips records that the log has dropped.
    void skip_to(std::uint64_t offset) { next_offset_ = offset; }

    /// Evicts keys whose last record was appended before wall-clock time `cutoff`.
    void evict_before(millis cutoff);

    std::size_t size() const { return keys_.size(); }

private:
    struct key_history {
        key_status status;
        std::vector<std::string> replayed_tokens; // tokens of the claims replayed
        std::vector<std::string> released_tokens; // tokens of attempts that never run
        millis at{0};                             // time of the key's last record
    };

    key_history& touch(const std::string& key, millis at);

    std::unordered_map<std::string, key_history> keys_;
    // Time and key of each item replayed, in replay order.
    std::deque<std::pair<millis, std::string>> by_age_;
    std::uint64_t next_offset_ = 0;
};

} // namespace cyclamen
