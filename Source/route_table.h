#pragma once

#include "relay_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// One version of the configuration, indexed for lookups by requests.  Immutable; an exchange
/// keeps the table with which it was admitted.
class route_table {
public:
    explicit route_table(relay_configuration configuration);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    ~route_table() = default;

    /// The route of `host` with the longest matching prefix of `path`; null if none matches.
    const relay_route* find(std::string_view host, std::string_view path) const;
    /// The client account with the key `key`; null if there is none.
    const client_account* account_of_key(std::string_view key) const;
    /// The service with the name `name`; null if there is none.
    const relay_service* service(const std::string& name) const;

    std::uint64_t version() const { return configuration_.version; }
    const caller_limits& limits() const { return configuration_.limits; }
    bool keys_required() const { return configuration_.keys_required; }
    const relay_configuration& configuration() const { return configuration_; }

private:
    relay_configuration configuration_;
    // By lower-case host; ordered by descending prefix length.
    std::unordered_map<std::string, std::vector<const relay_route*>> by_host_;
    std::unordered_map<std::string, const client_account*> by_key_;
};

/// Result of the checks of a request before a backend server is chosen.
struct admission {
    int refusal_status = 0; // HTTP status of the refusal; 0 if the request is admitted
    std::string reason;
    const relay_route* route = nullptr;
    const client_account* account = nullptr; // null on an open route without a key
};

/// Checks the route and the key of a request against `table`, which may be null.  An unknown route
/// or key gets a permanent refusal (404 or 401) only if `fresh`, that is, if the table is known to
/// be up to date; otherwise the status is 503, since a newer configuration may contain it.
admission admit(const route_table* table, bool fresh, std::string_view host, std::string_view path,
                std::string_view key);

} // namespace cyclamen
