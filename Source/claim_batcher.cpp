#include "claim_batcher.h"

namespace cyclamen {

void claim_batcher::release(key_release item)
{
    const bool unsent = claims_.erase(item.token) > 0 && !possibly_appended_.contains(item.token);
    if (unsent) {
        return;
    }
    const std::string token = item.token;
    releases_.insert_or_assign(token, std::move(item));
}

std::optional<claim_record> claim_batcher::next(millis now)
{
    if (in_flight_ || waiting() == 0 || now < not_before_) {
        return std::nullopt;
    }
    claim_record record;
    const auto full = [&] {
        return record.claims.size() + record.releases.size() + record.answers.size() >=
               options_.max_items_per_record;
    };
    for (const auto& [token, item] : releases_) {
        if (full()) {
            break;
        }
        record.releases.push_back(item);
    }
    for (const auto& [token, item] : claims_) {
        if (full()) {
            break;
        }
        record.claims.push_back(item);
        possibly_appended_.insert(token);
    }
    for (const auto& [token, item] : answers_) {
        if (full()) {
            break;
        }
        record.answers.push_back(item);
    }
    in_flight_ = record;
    return record;
}

void claim_batcher::on_append_succeeded()
{
    if (!in_flight_) {
        return;
    }
    for (const key_claim& item : in_flight_->claims) {
        claims_.erase(item.token);
    }
    for (const key_release& item : in_flight_->releases) {
        releases_.erase(item.token);
        possibly_appended_.erase(item.token);
    }
    for (const key_answer& item : in_flight_->answers) {
        answers_.erase(item.token);
        possibly_appended_.erase(item.token);
    }
    in_flight_.reset();
}

void claim_batcher::on_append_failed(millis now)
{
    in_flight_.reset();
    not_before_ = now + options_.retry_delay;
}

} // namespace cyclamen
