#include "crash_register.h"

#include <algorithm>
#include <tuple>

namespace cyclamen {

namespace {

// The quarantine changes without new evidence only when retention times pass.
constexpr millis evaluation_interval = 1000ms;
constexpr millis eviction_interval = 1000ms;

std::uint32_t age_of(millis at, millis now)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>((now - at).count(), 0, UINT32_MAX));
}

} // namespace

// Of suspects with equally many crashes, prefers the one that fewer requests have in common: the
// request itself, then the later part of prompts.
bool crash_register::candidate::operator>(const candidate& other) const
{
    return std::tuple(!proven, crashes, position == 0, position, hash) >
           std::tuple(!other.proven, other.crashes, other.position == 0, other.position,
                      other.hash);
}

bool crash_register::add_crash(std::uint64_t hash, unsigned position, std::uint64_t server,
                               millis at)
{
    entry& row = entries_[hash];
    row.position = std::max(row.position, position);
    const auto success = last_successes_.find(hash);
    if (success != last_successes_.end()) {
        row.last_success = std::max(row.last_success.value_or(success->second), success->second);
    }
    const auto [known, is_new] = row.crashes.emplace(server, at);
    // Peers see the same crash at different times; the earliest is closest to it.
    known->second = std::min(known->second, at);
    return is_new;
}

std::vector<std::uint64_t> crash_register::record_crash(const std::vector<suspect>& suspects,
                                                        std::uint64_t server, millis at, millis now)
{
    std::vector<std::uint64_t> changed;
    for (const suspect& each : suspects) {
        if (add_crash(each.hash, each.position, server, at)) {
            changed.push_back(each.hash);
        }
    }
    quarantine_.reset();
    evict_when_due(now);
    return changed;
}

std::vector<std::uint64_t> crash_register::record_success(const std::vector<suspect>& suspects,
                                                          millis at, millis now)
{
    std::vector<std::uint64_t> cleared;
    for (millis oldest = options_.success_retention;
         last_successes_.size() >= options_.max_successes; oldest /= 2) {
        std::erase_if(last_successes_, [&](const auto& row) { return now - row.second >= oldest; });
    }
    for (const suspect& each : suspects) {
        millis& last = last_successes_.try_emplace(each.hash, at).first->second;
        last = std::max(last, at);
        const auto found = entries_.find(each.hash);
        if (found == entries_.end()) {
            continue;
        }
        entry& row = found->second;
        const std::size_t before = uncleared_crashes(row, {}, now).size();
        row.last_success = std::max(row.last_success.value_or(at), at);
        if (uncleared_crashes(row, {}, now).size() < before) {
            cleared.push_back(each.hash);
        }
    }
    if (!cleared.empty()) {
        quarantine_.reset();
    }
    return cleared;
}

bool crash_register::merge(const wire::suspect_record& record, millis now)
{
    bool changed = false;
    for (const wire::crash_sighting& crash : record.crashes()) {
        const millis at = now - millis(crash.age_ms());
        if (now - at <= options_.retention) {
            changed |= add_crash(record.suspect(), record.position(), crash.server(), at);
        }
    }
    const auto found = entries_.find(record.suspect());
    if (found != entries_.end() && record.has_success_age_ms()) {
        // Successes are seldom reported, so that times within a second of each other are alike.
        constexpr millis tolerance = 1000ms;
        const millis at = now - millis(record.success_age_ms());
        entry& row = found->second;
        if (!row.last_success || at > *row.last_success) {
            const bool clears =
                std::any_of(row.crashes.begin(), row.crashes.end(), [&](const auto& crash) {
                    return crash.second <= at &&
                           (!row.last_success || crash.second > *row.last_success);
                });
            changed |= clears || !row.last_success || at - *row.last_success > tolerance;
            row.last_success = at;
        }
    }
    if (changed) {
        quarantine_.reset();
        evict_when_due(now);
    }
    return changed;
}

bool crash_register::proven(const entry& row, millis now) const
{
    return row.last_success && now - *row.last_success <= options_.success_retention;
}

unsigned crash_register::threshold(const entry& row, bool is_proven) const
{
    if (is_proven) {
        return options_.proven_threshold;
    }
    return row.position == 0 ? options_.request_threshold : options_.part_threshold;
}

// The times of the suspect's crashes since the last success that no other suspect explains.
std::vector<millis> crash_register::uncleared_crashes(const entry& row,
                                                      const std::set<std::uint64_t>& explained,
                                                      millis now) const
{
    std::vector<millis> times;
    for (const auto& [server, at] : row.crashes) {
        if (now - at > options_.retention || explained.contains(server) ||
            (row.last_success && at <= *row.last_success)) {
            continue;
        }
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::optional<crash_register::candidate>
crash_register::best_explanation(const std::vector<entry_table::const_iterator>& rows,
                                 const std::set<std::uint64_t>& chosen,
                                 const std::set<std::uint64_t>& explained, millis now) const
{
    std::optional<candidate> best;
    for (const auto& each : rows) {
        const auto& [hash, row] = *each;
        if (chosen.contains(hash)) {
            continue;
        }
        const std::vector<millis> times = uncleared_crashes(row, explained, now);
        candidate one{.hash = hash,
                      .crashes = static_cast<unsigned>(times.size()),
                      .proven = proven(row, now),
                      .position = row.position};
        if (one.proven) {
            one.crashes = 0;
            std::optional<millis> last;
            for (const millis at : times) {
                if (!last || at - *last >= options_.proven_interval) {
                    ++one.crashes;
                    last = at;
                }
            }
        }
        if (one.crashes >= threshold(row, one.proven) && (!best || one > *best)) {
            best = one;
        }
    }
    return best;
}

const std::set<std::uint64_t>& crash_register::quarantine(millis now) const
{
    if (quarantine_ && now - evaluated_at_ < evaluation_interval) {
        return *quarantine_;
    }
    std::set<std::uint64_t> chosen;
    std::set<std::uint64_t> explained; // crashed servers
    // Most suspects have been lost in one crash.
    std::vector<entry_table::const_iterator> rows;
    for (auto row = entries_.begin(); row != entries_.end(); ++row) {
        if (row->second.crashes.size() >= threshold(row->second, false)) {
            rows.push_back(row);
        }
    }
    while (const auto best = best_explanation(rows, chosen, explained, now)) {
        chosen.insert(best->hash);
        for (const auto& [server, at] : entries_.at(best->hash).crashes) {
            explained.insert(server);
        }
    }
    evaluated_at_ = now;
    quarantine_ = std::move(chosen);
    return *quarantine_;
}

bool crash_register::quarantined(std::uint64_t hash, millis now) const
{
    return !entries_.empty() && quarantine(now).contains(hash);
}

std::optional<std::uint64_t> crash_register::quarantined(const std::vector<suspect>& suspects,
                                                         millis now) const
{
    for (const suspect& each : suspects) {
        if (quarantined(each.hash, now)) {
            return each.hash;
        }
    }
    return std::nullopt;
}

unsigned crash_register::crashes(std::uint64_t hash, millis now) const
{
    const auto found = entries_.find(hash);
    return found == entries_.end()
               ? 0
               : static_cast<unsigned>(uncleared_crashes(found->second, {}, now).size());
}

std::set<std::uint64_t> crash_register::near_quarantine(millis now) const
{
    std::set<std::uint64_t> result = quarantine(now);
    for (const auto& [hash, row] : entries_) {
        if (row.crashes.size() + 1 < threshold(row, false) || proven(row, now)) {
            continue;
        }
        const std::size_t crashes = uncleared_crashes(row, {}, now).size();
        if (crashes > 0 && crashes + 1 >= threshold(row, false)) {
            result.insert(hash);
        }
    }
    return result;
}

wire::suspect_record crash_register::record(std::uint64_t hash, millis now) const
{
    wire::suspect_record result;
    result.set_suspect(hash);
    const auto found = entries_.find(hash);
    if (found == entries_.end()) {
        return result;
    }
    result.set_position(found->second.position);
    for (const auto& [server, at] : found->second.crashes) {
        wire::crash_sighting& crash = *result.add_crashes();
        crash.set_server(server);
        crash.set_age_ms(age_of(at, now));
    }
    if (found->second.last_success) {
        result.set_success_age_ms(age_of(*found->second.last_success, now));
    }
    return result;
}

std::vector<wire::suspect_record> crash_register::records(std::size_t start, std::size_t count,
                                                          millis now) const
{
    std::vector<wire::suspect_record> result;
    if (entries_.empty()) {
        return result;
    }
    const std::set<std::uint64_t>& first = quarantine(now);
    const std::size_t first_count = std::min(first.size(), (count + 1) / 2);
    for (std::size_t number = 0; number < first_count; ++number) {
        const auto index = static_cast<std::ptrdiff_t>((start + number) % first.size());
        result.push_back(record(*std::next(first.begin(), index), now));
    }
    auto at = std::next(entries_.begin(), static_cast<std::ptrdiff_t>(start % entries_.size()));
    for (std::size_t seen = 0; seen < entries_.size() && result.size() < count; ++seen) {
        if (!first.contains(at->first)) {
            result.push_back(record(at->first, now));
        }
        if (++at == entries_.end()) {
            at = entries_.begin();
        }
    }
    return result;
}

// Looks at all suspects, so that it is not done for each crash.
void crash_register::evict_when_due(millis now)
{
    if (entries_.size() > options_.max_suspects || now - evicted_at_ >= eviction_interval) {
        evicted_at_ = now;
        evict(now);
    }
}

void crash_register::evict(millis now)
{
    const auto last_crash = [](const entry& row) {
        millis last{0};
        for (const auto& [server, at] : row.crashes) {
            last = std::max(last, at);
        }
        return last;
    };
    std::erase_if(entries_, [&](const auto& row) {
        return now - last_crash(row.second) > options_.retention;
    });
    while (entries_.size() > options_.max_suspects) {
        entries_.erase(std::min_element(
            entries_.begin(), entries_.end(), [&](const auto& left, const auto& right) {
                return last_crash(left.second) < last_crash(right.second);
            }));
    }
}

} // namespace cyclamen
