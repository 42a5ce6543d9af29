#include "stream_origins.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamen {

// Returns whether the stream is new or its origin has changed.
bool stream_origins::put(const stream_origin& origin, news told, millis now)
{
    const auto [known, added] = streams_.try_emplace(origin.stream);
    const bool changed = added || known->second.origin.version != origin.version ||
                         known->second.origin.service != origin.service;
    if (!changed) {
        known->second.used_at = now;
        return false;
    }
    known->second = {.origin = origin, .used_at = now, .told = told};
    known->second.origin.unarchived = false;
    unarchived_told_.erase(origin.stream);
    if (added) {
        order_.push_back(origin.stream);
    }
    while (order_.size() > options_.max_streams) {
        streams_.erase(order_.front());
        order_.pop_front();
    }
    return true;
}

origin_duty stream_origins::record(const stream_origin& origin, millis now, bool archive_doubtful)
{
    const auto known = streams_.find(origin.stream);
    const bool unknown_to_others = known == streams_.end() || known->second.told == news::needless;
    const bool in_archive = known != streams_.end() && known->second.archived;
    // Without the archive, a stream at the default version has the record that a reader assumes.
    const bool assumed = archive_doubtful && !in_archive &&
                         last_default_version(origin.service, origin.stream, now) == origin.version;
    const bool needless = unknown_to_others && begins_unrecorded(origin, now);
    const news told = needless ? news::needless : assumed ? news::told : news::due;
    const bool changed = put(origin, told, now);
    if (changed && !needless) {
        unshared_.push_back(origin.stream);
        unarchived_.push_back(origin.stream);
    }
    if (awaits_archive(origin.stream)) {
        return origin_duty::archive;
    }
    if (!changed || needless) {
        return origin_duty::none;
    }
    return unknown_to_others ? origin_duty::tell : origin_duty::correct;
}

bool stream_origins::awaits_archive(std::uint64_t stream) const
{
    const auto found = streams_.find(stream);
    return found != streams_.end() && found->second.told == news::due;
}

void stream_origins::mark_told(std::uint64_t stream, bool archived)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.told != news::due) {
        return;
    }
    found->second.told = news::told;
    if (archived) {
        mark_archived(stream);
        return;
    }
    unarchived_told_.insert(stream);
}

void stream_origins::mark_archived(std::uint64_t stream)
{
    unarchived_told_.erase(stream);
    const auto found = streams_.find(stream);
    if (found != streams_.end()) {
        found->second.archived = true;
    }
}

bool stream_origins::is_archived(std::uint64_t stream) const
{
    const auto found = streams_.find(stream);
    return found != streams_.end() && found->second.archived;
}

std::optional<stream_origin> stream_origins::find_unarchived(std::uint64_t stream) const
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || !unarchived_told_.contains(stream)) {
        return std::nullopt;
    }
    stream_origin origin = found->second.origin;
    origin.unarchived = true;
    return origin;
}

std::vector<stream_origin> stream_origins::unarchived_streams() const
{
    std::vector<stream_origin> result;
    for (const std::uint64_t id : unarchived_told_) {
        if (auto origin = find_unarchived(id)) {
            result.push_back(*std::move(origin));
        }
    }
    return result;
}

void stream_origins::merge(const stream_origin& origin, millis now)
{
    if (put(origin, news::told, now)) {
        unarchived_.push_back(origin.stream);
    }
    if (origin.unarchived && !streams_.at(origin.stream).archived) {
        unarchived_told_.insert(origin.stream);
    }
    note_version(origin.service, origin.version, now);
}

void stream_origins::merge_archived(const stream_origin& origin, millis now)
{
    put(origin, news::told, now);
    mark_archived(origin.stream);
    note_version(origin.service, origin.version, now);
}

std::optional<std::string> stream_origins::find(std::uint64_t stream, const std::string& service,
                                                millis now) const
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.origin.service != service ||
        now - found->second.used_at >= options_.retention) {
        return std::nullopt;
    }
    return found->second.origin.version;
}

std::optional<stream_origin> stream_origins::record_of(std::uint64_t stream) const
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? std::nullopt : std::optional(found->second.origin);
}

void stream_origins::note_version(const std::string& service, const std::string& version,
                                  millis now)
{
    millis& last = versions_[service].try_emplace(version, now).first->second;
    const auto found = defaults_.find(service);
    // An entry that has not seen the version for so long may be about to replace it as default.
    if (now - last >= options_.retention / 2 && found != defaults_.end() &&
        found->second.shares.contains(version)) {
        found->second.read_at.reset();
    }
    last = std::max(last, now);
}

bool stream_origins::others_served(const std::string& service, const std::string& version,
                                   millis now) const
{
    const auto found = versions_.find(service);
    return found != versions_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const auto& item) {
               return item.first != version && now - item.second < options_.retention;
           });
}

void stream_origins::note_gap(millis now)
{
    ++gaps_;
    // Servers of the default version may have begun streams without a record meanwhile.
    for (const auto& [service, entry] : defaults_) {
        for (const version_share& row : entry.shares.rows()) {
            versions_[service][row.version] = now;
        }
    }
}

void stream_origins::set_defaults(const std::string& service, const version_shares& shares,
                                  millis read_at)
{
    const auto [known, added] =
        defaults_.try_emplace(service, default_entry{.shares = shares, .read_at = read_at});
    default_entry& entry = known->second;
    if (!added && entry.read_at.value_or(read_at) > read_at) {
        return;
    }
    if (added || entry.shares != shares) {
        entry.shares = shares;
        // Its servers may have left at any time before.
        for (const version_share& row : shares.rows()) {
            versions_[service].try_emplace(row.version, read_at);
        }
    }
    entry.read_at = read_at;
    entry.archived = true;
    std::erase_if(proposed_, [&](const proposed_shares& row) {
        return row.service == service && row.shares == shares && row.at <= read_at;
    });
}

void stream_origins::defaults_lost()
{
    proposed_.clear();
    for (auto& [service, entry] : defaults_) {
        entry.archived = false;
        entry.read_at.reset();
    }
}

std::map<std::string, version_shares> stream_origins::default_versions() const
{
    std::map<std::string, version_shares> result;
    for (const auto& [service, entry] : defaults_) {
        result.emplace(service, entry.shares);
    }
    return result;
}

bool stream_origins::has_share(const std::string& service, const std::string& version) const
{
    const auto found = defaults_.find(service);
    return found != defaults_.end() && found->second.shares.contains(version);
}

// Whether the stream stays at the version whichever of the proposed shares are archived.
bool stream_origins::proposals_assign(const std::string& service, std::uint64_t stream,
                                      const std::string& version, millis now) const
{
    return std::all_of(proposed_.begin(), proposed_.end(), [&](const proposed_shares& row) {
        return row.service != service || now - row.at >= options_.default_lifetime ||
               row.shares.version_of(stream) == version;
    });
}

std::optional<std::string> stream_origins::last_default_version(const std::string& service,
                                                                std::uint64_t stream,
                                                                millis now) const
{
    const auto found = defaults_.find(service);
    if (found == defaults_.end()) {
        return std::nullopt;
    }
    const std::string& version = found->second.shares.version_of(stream);
    return proposals_assign(service, stream, version, now) ? version : std::string();
}

std::optional<std::string> stream_origins::default_version(const std::string& service,
                                                           std::uint64_t stream, millis now) const
{
    const auto found = defaults_.find(service);
    if (found == defaults_.end() || !found->second.read_at ||
        now - *found->second.read_at >= options_.default_lifetime) {
        return std::nullopt;
    }
    return found->second.shares.version_of(stream);
}

std::optional<std::string> stream_origins::only_default_version(const std::string& service,
                                                                millis now) const
{
    const auto found = defaults_.find(service);
    return found != defaults_.end() && found->second.shares.single()
               ? default_version(service, 0, now)
               : std::nullopt;
}

bool stream_origins::begins_unrecorded(const stream_origin& origin, millis now) const
{
    return default_version(origin.service, origin.stream, now) == origin.version &&
           proposals_assign(origin.service, origin.stream, origin.version, now);
}

std::map<std::string, version_shares> stream_origins::defaults_due(millis now) const
{
    std::map<std::string, version_shares> due;
    for (const auto& [service, entry] : defaults_) {
        if (!entry.archived) {
            due.emplace(service, entry.shares);
        }
    }
    for (const auto& [service, versions] : versions_) {
        std::vector<std::string> recent;
        for (const auto& [version, seen_at] : versions) {
            if (now - seen_at < options_.retention) {
                recent.push_back(version);
            }
        }
        const auto found = defaults_.find(service);
        if (recent.size() == 1 &&
            (found == defaults_.end() || found->second.shares.single() != recent.front())) {
            due.insert_or_assign(service, version_shares({{.version = recent.front()}}));
        }
    }
    return due;
}

std::optional<version_shares>
stream_origins::shares_due(const std::string& service,
                           const std::map<std::string, std::uint32_t>& slots) const
{
    const auto found = defaults_.find(service);
    if (found == defaults_.end() || slots.empty()) {
        return std::nullopt;
    }
    std::vector<version_share> rows;
    rows.reserve(slots.size());
    for (const auto& [version, count] : slots) {
        rows.push_back({.version = version, .weight = std::max(1U, count)});
    }
    const version_shares& present = found->second.shares;
    const version_shares wanted(std::move(rows));
    const auto differs = [&](const version_share& row) {
        return !present.contains(row.version) || !wanted.contains(row.version) ||
               std::abs(present.part_of(row.version) - wanted.part_of(row.version)) >
                   options_.shares_tolerance;
    };
    const bool due = std::any_of(wanted.rows().begin(), wanted.rows().end(), differs) ||
                     std::any_of(present.rows().begin(), present.rows().end(), differs);
    return due ? std::optional(wanted) : std::nullopt;
}

std::vector<stream_origin> stream_origins::propose(std::uint64_t proposal,
                                                   const std::string& service,
                                                   const version_shares& shares, millis now)
{
    std::erase_if(proposed_, [&](const proposed_shares& row) {
        return now - row.at >= options_.default_lifetime;
    });
    proposed_.push_back({.proposal = proposal, .service = service, .shares = shares, .at = now});
    std::vector<stream_origin> moved;
    for (auto& [id, known] : streams_) {
        if (known.origin.service != service || known.told != news::needless ||
            now - known.used_at >= options_.retention ||
            shares.version_of(id) == known.origin.version) {
            continue;
        }
        known.told = news::told;
        unarchived_.push_back(id);
        moved.push_back(known.origin);
    }
    return moved;
}

void stream_origins::withdraw_proposal(std::uint64_t proposal)
{
    std::erase_if(proposed_, [&](const proposed_shares& row) { return row.proposal == proposal; });
}

std::vector<stream_origin> stream_origins::take(std::vector<std::uint64_t>& pending) const
{
    std::vector<stream_origin> taken;
    for (const std::uint64_t id : std::exchange(pending, {})) {
        const auto found = streams_.find(id);
        if (found != streams_.end()) {
            taken.push_back(found->second.origin);
        }
    }
    return taken;
}

std::vector<stream_origin> stream_origins::take_unshared()
{
    return take(unshared_);
}

std::vector<stream_origin> stream_origins::take_unarchived()
{
    return take(unarchived_);
}

void stream_origins::archive_lost()
{
    unarchived_.clear();
    for (const std::uint64_t id : order_) {
        const auto found = streams_.find(id);
        if (found != streams_.end() && found->second.told != news::needless) {
            found->second.archived = false;
            unarchived_.push_back(id);
        }
    }
}

void stream_origins::archive_failed(const std::vector<stream_origin>& origins)
{
    for (const stream_origin& origin : origins) {
        unarchived_.push_back(origin.stream);
    }
}

void stream_origins::sweep(millis now)
{
    // A stream that was used again later keeps its place, and those behind it wait.
    while (!order_.empty()) {
        const auto first = streams_.find(order_.front());
        if (first != streams_.end() && now - first->second.used_at < options_.retention) {
            break;
        }
        if (first != streams_.end()) {
            streams_.erase(first);
        }
        order_.pop_front();
    }
    const auto forgotten = [this](std::uint64_t id) { return !streams_.contains(id); };
    std::erase_if(unshared_, forgotten);
    std::erase_if(unarchived_, forgotten);
    std::erase_if(unarchived_told_, forgotten);
    for (auto& [service, versions] : versions_) {
        std::erase_if(versions,
                      [&](const auto& item) { return now - item.second >= options_.retention; });
    }
}

} // namespace cyclamen
