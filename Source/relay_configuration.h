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

/// Whether the requests of a route may be retried.
enum class route_kind {
    safe,   // idempotent: may run more than once
    unsafe, // runs at most once
    stream, // runs at most once, unless streams of the route are resumable
};

inline constexpr std::array route_kind_names{
    enum_name<route_kind>{route_kind::safe, "safe"},
    enum_name<route_kind>{route_kind::unsafe, "unsafe"},
    enum_name<route_kind>{route_kind::stream, "stream"},
};

/// One of the services among which the requests of a route are distributed.
struct weighted_service {
    std::string service;
    unsigned weight = 1;
};

struct relay_route {
    std::string name;
    std::string host;
    std::string prefix; // path prefix, begins and ends with a slash
    route_kind kind = route_kind::unsafe;
    millis timeout{0};     // maximum time that a caller waits; 0 means no limit
    millis target{0};      // target latency of the response, or of the first event of a stream
    unsigned priority = 0; // lower values are served first
    std::vector<weighted_service> services;
    unsigned max_backends = 1;    // maximum number of servers at which one request may run
    bool open = false;            // accepts requests without a key
    bool prompt_affinity = false; // places requests by their shared prompt prefix
    bool resumable = false;       // a stream may continue at another backend server
};

struct relay_service {
    std::string name;
    // Request starts per second that a cold backend server can handle; 0 means no limit.
    double cold_starts_per_second = 0;
};

struct client_account {
    std::string name;
    std::vector<std::string> keys;    // API keys that callers present
    std::optional<unsigned> priority; // overrides the priority of the route
};

/// One version of the complete configuration set by operators.
struct relay_configuration {
    std::uint64_t version = 0;
    std::vector<relay_route> routes;
    std::map<std::string, relay_service> services;
    caller_limits limits;
    std::vector<client_account> accounts;
    bool keys_required = false; // requests on routes that are not `open` need a key
};

/// Entry that a backend server publishes about itself; unrelated to the processes called entries,
/// which read it.
struct backend_entry {
    std::string id;
    std::string service;
    net_address address;
    std::string zone;
    unsigned slots = 0;           // number of requests that it runs concurrently
    bool draining = false;        // accepts no new requests, as it is about to stop
    millis cold_for{0};           // remaining time of its cold start
    std::uint64_t started_at = 0; // start time, identifies its incarnation
    std::uint64_t sequence = 0;   // sequence number of this entry within the incarnation
    std::string software_version; // what it writes does not fit to what other versions write
};

} // namespace cyclamen
