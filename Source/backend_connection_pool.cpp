#include "backend_connection_pool.h"

#include <algorithm>

namespace cyclamen {

millis backend_connection_pool::max_idle_time(const idle_connection& pooled) const
{
    const std::optional<millis> advertised = pooled.connection->keep_alive_timeout();
    return advertised ? std::max(0ms, *advertised - options_.keep_alive_margin) : options_.max_idle;
}

std::unique_ptr<client_connection> backend_connection_pool::acquire(std::uint64_t incarnation,
                                                                    const net_address& address,
                                                                    bool at_most_once)
{
    const millis now = core_.now();
    std::deque<idle_connection>& idle = by_server_[incarnation];
    while (!idle.empty()) {
        idle_connection pooled = std::move(idle.back());
        idle.pop_back();
        const millis age = now - pooled.since;
        if (pooled.connection->reusable() && age < max_idle_time(pooled) &&
            (!at_most_once || age < options_.max_idle_at_most_once)) {
            ++core_.metrics().named("backend_connections_reused");
            return std::move(pooled.connection);
        }
    }
    return open(address);
}

std::unique_ptr<client_connection> backend_connection_pool::open(const net_address& address)
{
    ++core_.metrics().named("backend_connections_opened");
    client_connection_options options = options_.connection;
    options.memory = &core_.memory();
    return std::make_unique<client_connection>(core_.loop(), address, options);
}

void backend_connection_pool::release(std::uint64_t incarnation,
                                      std::unique_ptr<client_connection> connection)
{
    if (connection->reusable()) {
        by_server_[incarnation].push_back({std::move(connection), core_.now()});
    }
}

void backend_connection_pool::evict_expired(const std::set<std::uint64_t>& listed)
{
    const millis now = core_.now();
    for (auto& [incarnation, idle] : by_server_) {
        const bool is_listed = listed.contains(incarnation);
        std::erase_if(idle, [&](const idle_connection& pooled) {
            return !is_listed || !pooled.connection->reusable() ||
                   now - pooled.since >= max_idle_time(pooled);
        });
    }
    std::erase_if(by_server_, [](const auto& pooled) { return pooled.second.empty(); });
}

std::size_t backend_connection_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& [incarnation, idle] : by_server_) {
        count += idle.size();
    }
    return count;
}

} // namespace cyclamen
