#pragma once

#include "caller_connection.h"
#include "enum_names.h"
#include "net_address.h"
#include "time_types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

/// What may be done twice with the requests of a route.
enum class route_kind {
    safe,   // may run more than once
    unsafe, // runs once at most
    stream, // runs once at most, unless the route lets a stream be resumed
};

inline constexpr std::array route_kind_names{
    enum_name<route_kind>{route_kind::safe, "safe"},
    enum_name<route_kind>{route_kind::unsafe, "unsafe"},
    enum_name<route_kind>{route_kind::stream, "stream"},
};

/// One of the services that a route's requests are split over.
struct weighted_service {
    std::string service;
    unsigned weight = 1;
};

struct relay_route {
    std::string name;
    std::string host;
    std::string prefix; // of the path, with a slash at both ends
    route_kind kind = route_kind::unsafe;
    millis timeout{0};     // longest time that a caller is kept waiting; 0 is none
    millis target{0};      // to the answer, or to the first event of a stream
    unsigned priority = 0; // 0 first
    std::vector<weighted_service> services;
    unsigned most_backends = 1;   // that one request may be sent to
    bool open = false;            // needs no key
    bool prompt_affinity = false; // requests share parts of their prompts
    bool resumable = false;       // a stream may go on at another backend server
};

struct relay_service {
    std::string name;
    double cold_starts_per_second = 0; // that a cold backend server bears; 0 is any
};

struct client_account {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; // goes before the route's
};

/// Everything that operators have set, as one version.
struct relay_configuration {
    std::uint64_t version = 0;
    std::vector<relay_route> routes;
    std::map<std::string, relay_service> services;
    caller_limits limits;
    std::vector<client_account> accounts;
    bool keys_required = false; // of requests on routes that are not open
};

/// What a backend server says of itself.
struct backend_entry {
    std::string id;
    std::string service;
    net_address address;
    std::string zone;
    unsigned slots = 0;           // requests that it runs at once
    bool draining = false;        // it is about to leave
    millis cold_for{0};           // how much longer it is in cold start
    std::uint64_t started_at = 0; // names its incarnation
    std::uint64_t sequence = 0;   // of this entry within the incarnation
};

} // namespace cyclamen
