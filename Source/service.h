#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace cyclamen {

/// Component of a process that the kernel finds by name.  A service owns its sockets and its
/// state; other services use it through its public functions and signals only.
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    virtual ~service() = default;

    virtual std::string_view name() const = 0;
    /// Opens sockets and looks up other services; called after all services are registered.
    virtual void start() = 0;
    /// Begins the graceful shutdown: the service accepts no new work from now on.
    virtual void begin_stop() {}
    /// True when all accepted work is finished.
    virtual bool idle() const { return true; }
    /// Returns this service's section of the state dump.
    virtual nlohmann::json describe() const = 0;
};

} // namespace cyclamen
