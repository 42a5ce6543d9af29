#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen {

/// Claims a key for one attempt.  `token` identifies the attempt and is never reused.
struct key_claim {
    std::string key;
    std::string token;
    std::uint64_t fingerprint = 0; // request hash; detects a key reused for another request
};

/// Releases a key: the attempt `token` has not run and never will.
struct key_release {
    std::string key;
    std::string token;
};

/// Records the answer of the run that held the key.
struct key_answer {
    std::string key;
    std::string token;
    unsigned status = 0;
    std::string content_type;
    std::string body;  // empty if `kept` is false
    bool kept = false; // the record includes the body
};

/// One record of a claim stream: the claims, releases and answers of one append.
struct claim_record {
    std::vector<key_claim> claims;
    std::vector<key_release> releases;
    std::vector<key_answer> answers;

    bool empty() const { return claims.empty() && releases.empty() && answers.empty(); }

    /// Returns the JSON text to append to the log.
    std::string encode() const;
    /// Parses a claim record.  On failure returns nothing and sets `reason`.
    static std::optional<claim_record> decode(std::string_view text, std::string& reason);
};

} // namespace cyclamen
