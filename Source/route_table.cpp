#include "route_table.h"

#include <algorithm>
#include <cctype>

namespace cyclamen {

namespace {

constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int unavailable = 503;

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

} // namespace

route_table::route_table(relay_configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const relay_route& route : configuration_.routes) {
        by_host_[lower(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const relay_route* left, const relay_route* right) {
                             return left->prefix.size() > right->prefix.size();
                         });
    }
    for (const client_account& account : configuration_.accounts) {
        for (const std::string& key : account.keys) {
            by_key_.emplace(key, &account);
        }
    }
}

const relay_route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto routes = by_host_.find(lower(host.substr(0, host.find(':'))));
    if (routes == by_host_.end()) {
        return nullptr;
    }
    for (const relay_route* route : routes->second) {
        if (path.starts_with(route->prefix)) {
            return route;
        }
    }
    return nullptr;
}

const client_account* route_table::account_of_key(std::string_view key) const
{
    const auto found = by_key_.find(std::string(key));
    return found == by_key_.end() ? nullptr : found->second;
}

const relay_service* route_table::service(const std::string& name) const
{
    const auto found = configuration_.services.find(name);
    return found == configuration_.services.end() ? nullptr : &found->second;
}

admission admit(const route_table* table, bool fresh, std::string_view host, std::string_view path,
                std::string_view key)
{
    if (table == nullptr) {
        return {.refusal_status = unavailable, .reason = "no_configuration"};
    }
    admission result;
    result.route = table->find(host, path);
    if (result.route == nullptr) {
        result.refusal_status = fresh ? not_found : unavailable;
        result.reason = fresh ? "no_route" : "no_route_in_stale_configuration";
        return result;
    }
    result.account = key.empty() ? nullptr : table->account_of_key(key);
    if (result.account == nullptr && table->keys_required() && !result.route->open) {
        result.refusal_status = fresh ? unauthorized : unavailable;
        result.reason = fresh ? "unknown_key" : "unknown_key_in_stale_configuration";
    }
    return result;
}

} // namespace cyclamen
