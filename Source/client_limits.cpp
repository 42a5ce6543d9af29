#include "client_limits.h"

#include <algorithm>

namespace cyclamen {

namespace {

constexpr std::size_t fds_for_files = 200;
// For the store, peers, operators and listeners; a quarter where the limit is low.
constexpr std::size_t max_fds_for_control = 170;
constexpr std::size_t least_control_share = 4;
constexpr std::size_t least_connections = 16;

template <typename Condition>
std::optional<std::size_t> oldest(const std::vector<client_candidate>& clients,
                                  const Condition& condition)
{
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        if (!condition(clients[index])) {
            continue;
        }
        if (!found || clients[index].progress_at < clients[*found].progress_at) {
            found = index;
        }
    }
    return found;
}

} // namespace

std::optional<std::size_t> longest_stalled(const std::vector<client_candidate>& clients, millis now,
                                           std::size_t least_bytes)
{
    return oldest(clients, [&](const client_candidate& each) {
        return each.activity == client_activity::reading && each.held_bytes >= least_bytes &&
               now - each.progress_at >= stalled_after;
    });
}

std::optional<std::size_t> longest_idle(const std::vector<client_candidate>& clients)
{
    return oldest(clients, [](const client_candidate& each) {
        return each.activity == client_activity::idle;
    });
}

std::size_t max_connections_of(std::size_t max_fds)
{
    const std::size_t sockets = max_fds - std::min(max_fds, fds_for_files);
    const std::size_t control = std::min(max_fds_for_control, sockets / least_control_share);
    return std::max(sockets - control, least_connections);
}

} // namespace cyclamen
