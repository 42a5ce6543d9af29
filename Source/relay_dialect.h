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

/// A part of a prompt that requests may share.
struct prompt_part {
    std::uint64_t hash = 0;
    unsigned tokens = 0;
};

/// What a caller says of its request in headers.
struct request_facts {
    std::string id;                  // of this try of the caller; may be empty
    std::optional<millis> deadline;  // that the caller still waits
    std::string key;                 // of its account; may be empty
    std::vector<prompt_part> prompt; // in order; the last belongs to this request alone
    std::string last_event_id;       // where a stream goes on
};

/// What the relay tells a backend server beside the request.
struct backend_call_facts {
    millis time_left{0};
    std::string backend_id;
    std::string account; // empty on an open route without a key
    bool hide_key = true;
    std::optional<unsigned> priority; // 0 first
    std::string last_event_id;        // where a stream goes on; empty at its begin
    // A server that keeps parts of the prompt which this one lacks.
    std::optional<net_address> prompt_source;
};

/// What a backend server says beside an answer.
struct answer_facts {
    std::string id;       // of the request that it answers; may be empty
    bool not_run = false; // the request did not run there and will not
    std::optional<backend_load> load;
};

/// How headers are read and written where the relay runs.  The relay itself names none.
struct relay_dialect {
    std::function<request_facts(const http_head& request)> read_request;
    /// Makes the request that goes to the backend server out of the caller's.
    std::function<http_head(const http_head& request, const backend_call_facts& facts)>
        write_request;
    std::function<answer_facts(const http_head& answer)> read_answer;
};

} // namespace cyclamen
