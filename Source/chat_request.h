#pragma once

#include "placement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen {

/// The fields of a chat-completions request that the fleet uses; the body is forwarded
/// unchanged.
struct chat_request {
    std::string model;
    bool stream = false;
    placement_key placement;
    // Hashes of the messages but the last, of which up to 64 are examined when servers crash.
    std::vector<std::uint64_t> parts;

    /// Parses a JSON body.  Returns nullopt and sets `reason` if it is malformed.  The prefix is
    /// a hash of the account, the model and the first message; the chat is identified by
    /// `prompt_cache_key`, or else by the first message that is not a system message.
    static std::optional<chat_request> parse(std::string_view body, const std::string& account,
                                             std::string& reason);
};

} // namespace cyclamen
