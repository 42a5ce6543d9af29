#pragma once

#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamen {

struct prompt_places_options {
    millis remembered = 60000ms; // after the last use
    // From the first sending to a server until it has read the part: engines read some ten
    // tokens in a microsecond, in turns with the tokens of other requests.
    millis read_within = 700ms;
    std::size_t most_parts = 8192; // the rest go by the placement's order alone
};

/// Where parts of prompts were sent lately, by any entry: the servers that keep them.  A
/// server that joins or returns does not draw prompts away from these.  Hashes are cut to
/// 32 bits; a clash costs one prompt read again.
class prompt_places {
public:
    using place = std::pair<std::uint32_t, std::uint32_t>; // part, backend server

    explicit prompt_places(prompt_places_options options = {}) : options_(options) {}

    /// Notes a use; true if the place was not known.
    bool note(place used, millis now);
    bool holds(std::uint32_t part, std::uint32_t server, millis now) const;
    /// Servers that the part was sent to.
    std::vector<std::uint32_t> holders(std::uint32_t part, millis now) const;
    /// Those that have read it by now.
    std::vector<std::uint32_t> keepers(std::uint32_t part, millis now) const;
    /// A server began anew, or has gone: it keeps nothing.
    void forget_server(std::uint32_t server);
    void sweep(millis now);
    std::size_t size() const { return parts_.size(); }

private:
    struct use {
        std::uint32_t server = 0;
        millis since{0};
        millis at{0};
    };

    std::vector<std::uint32_t> sent_before(std::uint32_t part, millis latest, millis now) const;

    prompt_places_options options_;
    std::unordered_map<std::uint32_t, std::vector<use>> parts_;
};

} // namespace cyclamen
