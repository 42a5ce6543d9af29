#include "prompt_places.h"

#include <algorithm>

namespace cyclamen {

bool prompt_places::note(place used, millis now)
{
    const auto [part, server] = used;
    if (!parts_.contains(part) && parts_.size() >= options_.most_parts) {
        return false;
    }
    std::vector<use>& uses = parts_[part];
    const auto known = std::find_if(uses.begin(), uses.end(), [server = server](const use& row) {
        return row.server == server;
    });
    if (known == uses.end()) {
        uses.push_back({.server = server, .since = now, .at = now});
        return true;
    }
    known->at = now;
    return false;
}

bool prompt_places::holds(std::uint32_t part, std::uint32_t server, millis now) const
{
    const auto found = parts_.find(part);
    if (found == parts_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const use& row) {
        return row.server == server && now - row.at < options_.remembered;
    });
}

std::vector<std::uint32_t> prompt_places::sent_before(std::uint32_t part, millis latest,
                                                      millis now) const
{
    std::vector<std::uint32_t> result;
    const auto found = parts_.find(part);
    if (found == parts_.end()) {
        return result;
    }
    for (const use& row : found->second) {
        if (now - row.at < options_.remembered && row.since <= latest) {
            result.push_back(row.server);
        }
    }
    return result;
}

std::vector<std::uint32_t> prompt_places::holders(std::uint32_t part, millis now) const
{
    return sent_before(part, now, now);
}

std::vector<std::uint32_t> prompt_places::keepers(std::uint32_t part, millis now) const
{
    return sent_before(part, now - options_.read_within, now);
}

void prompt_places::forget_server(std::uint32_t server)
{
    for (auto& [part, uses] : parts_) {
        std::erase_if(uses, [&](const use& row) { return row.server == server; });
    }
    std::erase_if(parts_, [](const auto& row) { return row.second.empty(); });
}

void prompt_places::sweep(millis now)
{
    for (auto& [part, uses] : parts_) {
        std::erase_if(uses, [&](const use& row) { return now - row.at >= options_.remembered; });
    }
    std::erase_if(parts_, [](const auto& row) { return row.second.empty(); });
}

} // namespace cyclamen
