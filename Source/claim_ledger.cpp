#include "claim_ledger.h"

#include <algorithm>

namespace cyclamen {

namespace {

// Few attempts share a key, so a linear scan is cheaper than a hash table.
bool contains(const std::vector<std::string>& tokens, const std::string& token)
{
    return std::find(tokens.begin(), tokens.end(), token) != tokens.end();
}

} // namespace

claim_ledger::key_history& claim_ledger::touch(const std::string& key, millis at)
{
    key_history& history = keys_[key];
    history.at = at;
    by_age_.emplace_back(at, key);
    return history;
}

void claim_ledger::apply(std::uint64_t offset, millis at, const claim_record& record)
{
    if (offset < next_offset_) {
        return;
    }
    next_offset_ = offset + 1;
    for (const key_release& release : record.releases) {
        key_history& history = touch(release.key, at);
        if (!contains(history.released_tokens, release.token)) {
            history.released_tokens.push_back(release.token);
        }
        if (history.status.state == key_state::held && history.status.token == release.token) {
            history.status = key_status{};
        }
    }
    for (const key_claim& claim : record.claims) {
        key_history& history = touch(claim.key, at);
        if (contains(history.replayed_tokens, claim.token)) {
            continue; // duplicate of an append whose response was lost
        }
        history.replayed_tokens.push_back(claim.token);
        if (contains(history.released_tokens, claim.token) ||
            history.status.state != key_state::free) {
            continue;
        }
        history.status = key_status{.state = key_state::held,
                                    .token = claim.token,
                                    .fingerprint = claim.fingerprint,
                                    .answer = {}};
    }
    for (const key_answer& answer : record.answers) {
        key_history& history = touch(answer.key, at);
        if (history.status.state == key_state::held && history.status.token == answer.token) {
            history.status.state = key_state::answered;
            history.status.answer = answer;
        }
    }
}

key_status claim_ledger::status(const std::string& key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? key_status{} : found->second.status;
}

bool claim_ledger::holds(const std::string& key, const std::string& token) const
{
    const auto found = keys_.find(key);
    return found != keys_.end() && found->second.status.state == key_state::held &&
           found->second.status.token == token;
}

bool claim_ledger::decided(const std::string& key, const std::string& token) const
{
    const auto found = keys_.find(key);
    return found != keys_.end() && (contains(found->second.replayed_tokens, token) ||
                                    contains(found->second.released_tokens, token));
}

void claim_ledger::evict_before(millis cutoff)
{
    while (!by_age_.empty() && by_age_.front().first < cutoff) {
        const auto found = keys_.find(by_age_.front().second);
        if (found != keys_.end() && found->second.at < cutoff) {
            keys_.erase(found);
        }
        by_age_.pop_front();
    }
}

} // namespace cyclamen
