#include "prefix_locations.h"

#include <algorithm>

namespace cyclamen {

bool prefix_locations::record_use(location used, millis now)
{
    const auto [segment, server] = used;
    if (!segments_.contains(segment) && segments_.size() >= options_.max_segments) {
        return false;
    }
    std::vector<use>& uses = segments_[segment];
    const auto known = std::find_if(uses.begin(), uses.end(), [server = server](const use& entry) {
        return entry.server == server;
    });
    if (known == uses.end()) {
        uses.push_back({.server = server, .first_sent = now, .last_sent = now});
        return true;
    }
    known->last_sent = now;
    return false;
}

bool prefix_locations::contains(std::uint32_t segment, std::uint32_t server, millis now) const
{
    const auto found = segments_.find(segment);
    if (found == segments_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const use& entry) {
        return entry.server == server && now - entry.last_sent < options_.retention;
    });
}

std::vector<std::uint32_t> prefix_locations::sent_before(std::uint32_t segment, millis latest,
                                                         millis now) const
{
    std::vector<std::uint32_t> result;
    const auto found = segments_.find(segment);
    if (found == segments_.end()) {
        return result;
    }
    for (const use& entry : found->second) {
        if (now - entry.last_sent < options_.retention && entry.first_sent <= latest) {
            result.push_back(entry.server);
        }
    }
    return result;
}

std::vector<std::uint32_t> prefix_locations::servers_sent(std::uint32_t segment, millis now) const
{
    return sent_before(segment, now, now);
}

std::vector<std::uint32_t> prefix_locations::servers_cached(std::uint32_t segment, millis now) const
{
    return sent_before(segment, now - options_.prefill_delay, now);
}

void prefix_locations::remove_server(std::uint32_t server)
{
    for (auto& [segment, uses] : segments_) {
        std::erase_if(uses, [&](const use& entry) { return entry.server == server; });
    }
    std::erase_if(segments_, [](const auto& entry) { return entry.second.empty(); });
}

void prefix_locations::sweep(millis now)
{
    for (auto& [segment, uses] : segments_) {
        std::erase_if(
            uses, [&](const use& entry) { return now - entry.last_sent >= options_.retention; });
    }
    std::erase_if(segments_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace cyclamen
