#include "stream_origins.h"

#include <algorithm>
#include <utility>

namespace cyclamen {

bool stream_origins::put(const stream_origin& origin, millis now)
{
    const auto [known, added] = streams_.try_emplace(origin.stream);
    const bool changed = added || known->second.origin.version != origin.version ||
                         known->second.origin.service != origin.service;
    known->second = {.origin = origin, .used_at = now};
    if (added) {
        order_.push_back(origin.stream);
    }
    while (order_.size() > options_.max_streams) {
        streams_.erase(order_.front());
        order_.pop_front();
    }
    if (changed) {
        unarchived_.push_back(origin.stream);
    }
    return changed;
}

void stream_origins::record(const stream_origin& origin, millis now)
{
    if (put(origin, now)) {
        unshared_.push_back(origin.stream);
    }
}

void stream_origins::merge(const stream_origin& origin, millis now)
{
    put(origin, now);
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

void stream_origins::note_version(const std::string& service, const std::string& version,
                                  millis now)
{
    millis& last = versions_[service].try_emplace(version, now).first->second;
    last = std::max(last, now);
}

bool stream_origins::several_versions(const std::string& service, millis now) const
{
    const auto found = versions_.find(service);
    return found != versions_.end() &&
           std::count_if(found->second.begin(), found->second.end(), [&](const auto& item) {
               return now - item.second < options_.retention;
           }) > 1;
}

std::optional<std::string> stream_origins::only_version(const std::string& service,
                                                        millis now) const
{
    const auto found = versions_.find(service);
    if (!past_known_ || found == versions_.end() || several_versions(service, now)) {
        return std::nullopt;
    }
    for (const auto& [version, seen_at] : found->second) {
        if (now - seen_at < options_.retention) {
            return version;
        }
    }
    return std::nullopt;
}

// Removes the streams at services with several versions from `pending`, and returns them.
std::vector<stream_origin> stream_origins::take(std::vector<std::uint64_t>& pending, millis now)
{
    std::vector<stream_origin> taken;
    std::vector<std::uint64_t> left;
    for (const std::uint64_t id : pending) {
        const auto found = streams_.find(id);
        if (found == streams_.end()) {
            continue;
        }
        if (!several_versions(found->second.origin.service, now)) {
            left.push_back(id);
            continue;
        }
        taken.push_back(found->second.origin);
    }
    pending = std::move(left);
    return taken;
}

std::vector<stream_origin> stream_origins::take_unshared(millis now)
{
    return take(unshared_, now);
}

std::vector<stream_origin> stream_origins::take_unarchived(millis now)
{
    return take(unarchived_, now);
}

void stream_origins::archive_lost()
{
    unarchived_.assign(order_.begin(), order_.end());
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
    for (auto& [service, versions] : versions_) {
        std::erase_if(versions,
                      [&](const auto& item) { return now - item.second >= options_.retention; });
    }
}

} // namespace cyclamen
