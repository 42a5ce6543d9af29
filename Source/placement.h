#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cyclamen {

/// Hashes of the prompt prefixes that a request shares with others, as seen by a prefix cache.
struct placement_key {
    std::uint64_t prefix = 0; // hash of the shared system prompt, salted by client account
    std::uint64_t chat = 0;   // hash of the chat or of the idempotency key
};

/// An engine (a backend server that runs a language model) that can be selected.
struct placement_candidate {
    std::uint64_t hash = 0;  // hash of the instance name
    std::uint32_t index = 0; // position in the caller's table
};

/// Maximum number of engines over which the chats of one prefix are spread.
inline constexpr std::size_t max_placement_width = 64;

/// Ranks engines by two-level rendezvous hashing.  For each prefix the engines are divided into
/// `width` groups (rounded up to a power of two), and the chats into the same groups; the engine
/// with the highest score in a group serves its chats.  The result begins with the best engine of
/// the chat's group, followed by those of the other groups, then by the engines with the next
/// highest scores for the prefix; it has `count` elements, or fewer if there are fewer engines.
/// Stateless: processes with the same candidates agree.  Removing an engine moves only the chats
/// placed on it, and doubling `width` moves half of the chats of a prefix.
std::vector<std::uint32_t> rank_engines(placement_key key,
                                        std::span<const placement_candidate> candidates,
                                        std::size_t width, std::size_t count);

} // namespace cyclamen
