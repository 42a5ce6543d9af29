#pragma once

#include "relay_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// One version of the configuration, made ready to be asked by each request.  Immutable;
/// an exchange holds the table that it was admitted with.
class route_table {
public:
    explicit route_table(relay_configuration configuration);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    ~route_table() = default;

    /// The route of `host` with the longest prefix of `path`; nothing if there is none.
    const relay_route* find(std::string_view host, std::string_view path) const;
    /// The account that holds `key`; nothing if none does.
    const client_account* holder(std::string_view key) const;
    const relay_service* service(const std::string& name) const;

    std::uint64_t version() const { return configuration_.version; }
    const caller_limits& limits() const { return configuration_.limits; }
    bool keys_required() const { return configuration_.keys_required; }
    const relay_configuration& configuration() const { return configuration_; }

private:
    relay_configuration configuration_;
    // By host in lower case; longest prefix first.
    std::unordered_map<std::string, std::vector<const relay_route*>> by_host_;
    std::unordered_map<std::string, const client_account*> by_key_;
};

/// What becomes of a request before a backend server is chosen.
struct admission {
    int refused_with = 0; // status; 0 admits
    std::string reason;
    const relay_route* route = nullptr;
    const client_account* account = nullptr; // none on an open route without a key
};

/// Decides by `table`, which may be absent.  A route or key that is not there is refused
/// for good only where the table is `fresh`: a newer one may hold it.
admission admit(const route_table* table, bool fresh, std::string_view host, std::string_view path,
                std::string_view key);

} // namespace cyclamen
