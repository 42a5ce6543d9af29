#pragma once

#include "deployment.h"

namespace review {

inline constexpr const char* chat_key = "n2ctnfzs989anu6wsjnb";

/// A configuration with the resumable stream `/chat/`, the stream `/letter/`, the safe request
/// `/look/` and the unsafe request `/pay/`, all to the service `llm`.
std::string configuration(std::uint64_t version);

/// Writes the answer of a model worker: an event stream that goes on after `Last-Event-Id`, each of
/// whose events names the software version that made it.
struct chat_server {
    recorder& record;
    unsigned events = 60;
    millis pause{100};

    bool operator()(const run_request& run, stream_socket& caller) const;
};

/// One try of a caller to get a stream.
struct chat {
    std::string attempt;
    unsigned last_event = 0;              // of the events that came
    std::map<std::string, unsigned> made; // events by software version, over all tries
    std::vector<unsigned> events;         // their numbers, as they came
    int status = 0;
    bool whole = false;
    millis retry_after{0}; // that the last answer named

    /// Sends the request to the entry and reads the answer to its end.  `resumes` is the attempt
    /// that brought the first event; empty for a new stream.
    void run(recorder& record, const endpoint& entry, const std::string& path,
             const std::string& prefix, const std::string& resumes = "");

private:
    void take(const std::string& text);
    std::string partial_;
};

/// Number of callers that have events of this software version.
std::size_t callers_with_events_of(const std::string& version);

/// A request id as callers send it.
std::string new_attempt_id();

} // namespace review
