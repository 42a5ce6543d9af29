#pragma once

#include "time_types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cyclamen {

/// What a client's connection does, as far as it matters for giving it up.
enum class client_activity {
    idle,    // between two requests, with nothing unread or unsent
    reading, // part of a request has arrived
    busy     // a request is being executed or its response is being sent
};

/// A client's connection that may be given up for others.
struct client_candidate {
    client_activity activity = client_activity::busy;
    millis progress_at{0};      // when bytes of it last arrived, or its last response ended
    std::size_t held_bytes = 0; // memory that its unfinished body takes up
};

/// Time without progress after which an unfinished request may be given up for others.  Longer than
/// a retransmission on a link with losses.
inline constexpr millis stalled_after = 1000ms;

/// Returns the index of the unfinished request that has made no progress for the longest time, at
/// least for `stalled_after`, and holds at least `least_bytes`.
std::optional<std::size_t> longest_stalled(const std::vector<client_candidate>& clients, millis now,
                                           std::size_t least_bytes);

/// Returns the index of the connection that has been idle for the longest time.
std::optional<std::size_t> longest_idle(const std::vector<client_candidate>& clients);

/// Returns how many connections to clients and servers together may be open, if the process may
/// have `max_fds` descriptors.
std::size_t max_connections_of(std::size_t max_fds);

} // namespace cyclamen
