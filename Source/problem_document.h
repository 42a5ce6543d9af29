#pragma once

#include "refusal_names.h"

#include <wire.pb.h>

#include <string>

namespace cyclamen {

/// Error response sent to callers as `application/problem+json` (RFC 9457).
struct problem_document {
    int status = 500;
    std::string title;
    std::string reason;          // machine-readable reason
    std::string detail;          // human-readable explanation
    std::string outcome;         // name of an `enum outcome` value: `not_run` or `unknown`
    int retry_after_seconds = 0; // 0 omits the Retry-After header

    /// Serializes the document as JSON.
    std::string text() const;

    /// Creates the document for a request that an entry or agent refused, or that failed
    /// after it was accepted.
    static problem_document of(enum outcome result, wire::refusal reason);
    /// Creates the document for a request that was refused on arrival and therefore did not run.
    static problem_document refused(int status, std::string title, std::string reason,
                                    std::string detail);
};

inline constexpr const char* problem_content_type = "application/problem+json";

} // namespace cyclamen
