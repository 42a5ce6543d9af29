#include "backend_connection_pool.h"

#include <algorithm>

namespace cyclamen {

millis backend_connection_pool::max_idle_time(const idle_connection& row) const
{
    const std::optional<millis> advertised = row.connection->keep_alive_timeout();
    return advertised ? std::max(0ms, *advertised - options_.keep_alive_margin) : options_.max_idle;
}

std::unique_ptr<client_connection>
backend_connection_pool::acquire(const std::string& id, const net_address& address, bool once)
{
    const millis now = core_.now();
    std::deque<idle_connection>& idle = by_server_[id];
    while (!idle.empty()) {
        idle_connection row = std::move(idle.back());
        idle.pop_back();
        const millis age = now - row.since;
        if (row.connection->reusable() && age < max_idle_time(row) &&
            (!once || age < options_.max_idle_at_most_once)) {
            ++core_.metrics().named("backend_connections_reused");
            return std::move(row.connection);
        }
    }
    ++core_.metrics().named("backend_connections_opened");
    return std::make_unique<client_connection>(core_.loop(), address, options_.connection);
}

void backend_connection_pool::release(const std::string& id,
                                      std::unique_ptr<client_connection> connection)
{
    if (connection->reusable()) {
        by_server_[id].push_back({std::move(connection), core_.now()});
    }
}

void backend_connection_pool::evict_expired(
    const std::function<bool(const std::string&)>& is_listed)
{
    const millis now = core_.now();
    for (auto& [id, idle] : by_server_) {
        const bool stays = is_listed(id);
        std::erase_if(idle, [&](const idle_connection& row) {
            return !stays || !row.connection->reusable() || now - row.since >= max_idle_time(row);
        });
    }
    std::erase_if(by_server_, [](const auto& row) { return row.second.empty(); });
}

std::size_t backend_connection_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& [id, idle] : by_server_) {
        count += idle.size();
    }
    return count;
}

} // namespace cyclamen
