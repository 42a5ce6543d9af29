#include "claim_batcher.h"

namespace cyclamen {

void claim_batcher::release(key_release entry)
{
    const bool unsent = claims_.erase(entry.token) > 0 && !possibly_appended_.contains(entry.token);
    if (unsent) {
        return;
    }
    const std::string token = entry.token;
    releases_.insert_or_assign(token, std::move(entry));
}

std::optional<claim_record> claim_batcher::next(millis now)
{
    if (in_flight_ || waiting() == 0 || now < not_before_) {
        return std::nullopt;
    }
    claim_record record;
    const auto full = [&] {
        return record.claims.size() + record.releases.size() + record.answers.size() >=
               options_.max_entries_per_record;
    };
    for (const auto& [token, entry] : releases_) {
        if (full()) {
            break;
        }
        record.releases.push_back(entry);
    }
    for (const auto& [token, entry] : claims_) {
        if (full()) {
            break;
        }
        record.claims.push_back(entry);
        possibly_appended_.insert(token);
    }
    for (const auto& [token, entry] : answers_) {
        if (full()) {
            break;
        }
        record.answers.push_back(entry);
    }
    in_flight_ = record;
    return record;
}

void claim_batcher::on_append_succeeded()
{
    if (!in_flight_) {
        return;
    }
    for (const key_claim& entry : in_flight_->claims) {
        claims_.erase(entry.token);
    }
    for (const key_release& entry : in_flight_->releases) {
        releases_.erase(entry.token);
        possibly_appended_.erase(entry.token);
    }
    for (const key_answer& entry : in_flight_->answers) {
        answers_.erase(entry.token);
        possibly_appended_.erase(entry.token);
    }
    in_flight_.reset();
}

void claim_batcher::on_append_failed(millis now)
{
    in_flight_.reset();
    not_before_ = now + options_.retry_delay;
}

} // namespace cyclamen
