#include "server_words.h"

#include <algorithm>

namespace cyclamen {

namespace {

// More than a fleet has servers; the word that was heard first is dropped beyond that.
constexpr std::size_t max_words = 4096;
constexpr unsigned trials_after_rest = 8;

} // namespace

server_words::word& server_words::word_of(std::uint64_t incarnation, millis now)
{
    word& found = words_[incarnation];
    found.heard = std::max(found.heard, now);
    if (words_.size() > max_words) {
        const auto heard_before = [](const auto& left, const auto& right) {
            return left.second.heard < right.second.heard;
        };
        const auto oldest = std::min_element(words_.begin(), words_.end(), heard_before);
        if (oldest->first != incarnation) {
            words_.erase(oldest);
        }
    }
    return found;
}

bool server_words::record_leaving(std::uint64_t incarnation, millis at)
{
    word& found = word_of(incarnation, at);
    if (found.leaving_since) {
        return false;
    }
    found.leaving_since = at;
    return true;
}

bool server_words::record_rest(std::uint64_t incarnation, millis end, millis now)
{
    word& found = word_of(incarnation, now);
    if (end <= found.rest_end) {
        return false;
    }
    found.rest_end = end;
    found.trying = true;
    found.accepted_trials = 0;
    return true;
}

bool server_words::leaving(std::uint64_t incarnation) const
{
    const auto found = words_.find(incarnation);
    return found != words_.end() && found->second.leaving_since;
}

std::optional<millis> server_words::rest_end(std::uint64_t incarnation, millis now) const
{
    const auto found = words_.find(incarnation);
    if (found == words_.end() || found->second.rest_end <= now) {
        return std::nullopt;
    }
    return found->second.rest_end;
}

bool server_words::admits_trial(std::uint64_t incarnation) const
{
    const auto found = words_.find(incarnation);
    return found == words_.end() || !found->second.trying ||
           found->second.open_trials <= found->second.accepted_trials;
}

bool server_words::begin_trial(std::uint64_t incarnation)
{
    const auto found = words_.find(incarnation);
    if (found == words_.end() || !found->second.trying) {
        return false;
    }
    ++found->second.open_trials;
    return true;
}

void server_words::end_trial(std::uint64_t incarnation, bool accepted)
{
    const auto found = words_.find(incarnation);
    if (found == words_.end()) {
        return;
    }
    word& tried = found->second;
    tried.open_trials -= tried.open_trials > 0 ? 1 : 0;
    tried.accepted_trials += accepted ? 1 : 0;
    tried.trying = tried.trying && tried.accepted_trials < trials_after_rest;
}

std::vector<server_words::leaving_report> server_words::leaving_to_report(millis now) const
{
    std::vector<leaving_report> result;
    for (const auto& [incarnation, word] : words_) {
        if (word.leaving_since && now - *word.leaving_since < leaving_report_time) {
            result.push_back({.incarnation = incarnation, .at = *word.leaving_since});
        }
    }
    return result;
}

} // namespace cyclamen
