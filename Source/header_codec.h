#pragma once

#include "backend_table.h"
#include "http_message.h"
#include "time_types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

/// A segment of a prompt that several requests may have in common.
struct prompt_segment {
    std::uint64_t hash = 0;
    unsigned tokens = 0;
};

/// What the headers of a caller's request say about it.
struct request_metadata {
    std::string id;                     // id of this attempt of the caller; may be empty
    std::optional<millis> deadline;     // how long the caller waits, from the request's start
    std::string key;                    // API key of the client account; may be empty
    std::vector<prompt_segment> prompt; // in order; the last segment is unique to this request
    std::string last_event_id;          // event after which to resume a stream; may be empty
    std::string resumed_id;             // attempt that began the stream to resume; may be empty
};

/// Data that the relay adds to the headers of a request to a backend server.
struct backend_call_metadata {
    millis time_left{0};
    std::string backend_id;
    std::string account; // name of the client account; empty if the key is unknown or missing
    bool strip_credentials = true;    // removes the caller's API key from the request
    std::optional<unsigned> priority; // 0 is the highest
    std::string last_event_id;        // event after which to resume the stream; empty at its start
    // Address of a server that caches prompt segments which the called server lacks, to copy them
    // from.
    std::optional<net_address> prompt_source;
};

/// What the headers of a backend server's response say about it.
struct response_metadata {
    std::string id; // id of the request that it responds to; may be empty
    // The server guarantees that it has not run the request and will not run it.
    bool not_run = false;
    std::optional<backend_load> load;
    // Requests per second that the server takes from all entries together; empty for no limit.
    std::optional<double> request_limit;
    // The server finishes what it runs and then ends.
    bool leaving = false;
    // How long the server, which turned the request away, wants no requests of this entry.
    std::optional<millis> rest;
};

/// Reads and writes the headers of the platform on which the relay runs.  The relay's own code
/// contains no platform header names.
struct header_codec {
    std::function<request_metadata(const http_head& request)> read_request;
    /// Builds the request to the backend server from the caller's request.
    std::function<http_head(const http_head& request, const backend_call_metadata& metadata)>
        write_request;
    std::function<response_metadata(const http_head& response)> read_response;
};

} // namespace cyclamen
