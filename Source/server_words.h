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

    /// Whether the server, if it has rested, may get one more request: at first it gets one, and
    /// twice as many after each answer, until it has answered a few.
    bool admits_trial(std::uint64_t incarnation) const;
    /// Records that the server gets a request.  Returns false if it has not rested recently, so
    /// that `end_trial` need not be called.
    bool begin_trial(std::uint64_t incarnation);
    /// Records the end of a trial; `accepted` is false if the server did not take the request.
    void end_trial(std::uint64_t incarnation, bool accepted);

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
        bool trying = false;          // has rested, and not answered enough trials since
        unsigned open_trials = 0;     // without an answer
        unsigned accepted_trials = 0; // since the last rest
    };

    word& word_of(std::uint64_t incarnation, millis now);

    std::unordered_map<std::uint64_t, word> words_;
};

} // namespace cyclamen
