#pragma once

#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cyclamen {

/// Time for which peers are told that a backend server has said that it leaves.
inline constexpr millis leaving_report_time = 60000ms;

/// What backend servers have said of themselves in their responses: that they leave, or that they
/// want no requests of this entry for some time.  A word holds for one incarnation of a server,
/// named by its hash, whatever entries of the server come and go meanwhile.
class server_words {
public:
    /// Records that the server has said at the time `at` that it leaves.  Returns false if it has
    /// said so before.
    bool record_leaving(std::uint64_t incarnation, millis at);
    /// Records that the server wants no requests before `end`.  Returns false if it has asked for
    /// that before.
    bool record_rest(std::uint64_t incarnation, millis end, millis now);

    bool empty() const { return words_.empty(); }
    bool leaving(std::uint64_t incarnation) const;
    /// Until when the server wants no requests; empty if it takes them at `now`.
    std::optional<millis> rest_end(std::uint64_t incarnation, millis now) const;

    /// A server that leaves.
    struct leaving_report {
        std::uint64_t incarnation = 0;
        millis at{0}; // when the server said so
    };

    /// The servers that have said recently that they leave.
    std::vector<leaving_report> leaving_to_report(millis now) const;

private:
    struct word {
        millis heard{0}; // time of the latest
        std::optional<millis> leaving_since;
        millis rest_end{0};
    };

    word& word_of(std::uint64_t incarnation, millis now);

    std::unordered_map<std::uint64_t, word> words_;
};

} // namespace cyclamen
