#include "backend_connections.h"

#include <algorithm>

namespace cyclamen {

millis backend_connections::lifetime(const kept& row) const
{
    const std::optional<millis> said = row.connection->kept_for();
    return said ? std::max(0ms, *said - options_.keep_margin) : options_.most_idle;
}

std::unique_ptr<client_connection> backend_connections::take(const std::string& id,
                                                             const net_address& address, bool once)
{
    const millis now = core_.now();
    std::deque<kept>& idle = by_server_[id];
    while (!idle.empty()) {
        kept row = std::move(idle.back());
        idle.pop_back();
        const millis age = now - row.since;
        if (row.connection->reusable() && age < lifetime(row) &&
            (!once || age < options_.most_idle_once)) {
            ++core_.metrics().named("backend_connections_reused");
            return std::move(row.connection);
        }
    }
    ++core_.metrics().named("backend_connections_opened");
    return std::make_unique<client_connection>(core_.loop(), address, options_.connection);
}

void backend_connections::give_back(const std::string& id,
                                    std::unique_ptr<client_connection> connection)
{
    if (connection->reusable()) {
        by_server_[id].push_back({std::move(connection), core_.now()});
    }
}

void backend_connections::sweep(const std::function<bool(const std::string&)>& known)
{
    const millis now = core_.now();
    for (auto& [id, idle] : by_server_) {
        const bool stays = known(id);
        std::erase_if(idle, [&](const kept& row) {
            return !stays || !row.connection->reusable() || now - row.since >= lifetime(row);
        });
    }
    std::erase_if(by_server_, [](const auto& row) { return row.second.empty(); });
}

std::size_t backend_connections::idle() const
{
    std::size_t count = 0;
    for (const auto& [id, idle] : by_server_) {
        count += idle.size();
    }
    return count;
}

} // namespace cyclamen
