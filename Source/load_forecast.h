#pragma once

#include "time_types.h"

#include <cstdint>
#include <optional>

namespace cyclamen {

struct backend;

/// Mean duration of one service's requests at this entry, by Little's law: mean number of requests
/// in flight divided by the rate of starts.  Reads no clock.
class work_duration {
public:
    /// Records the start of a request while `in_flight` others of this entry were running.
    void record_start(unsigned in_flight, millis now);
    /// The mean duration; a usual one until enough requests have started.
    millis mean() const;

private:
    void decay(millis now);

    double starts_ = 0;    // decayed number of starts
    double in_flight_ = 0; // decayed sum of the requests in flight at the starts
    double window_ms_ = 0; // decayed time over which they were counted
    std::optional<millis> updated_at_;
};

/// What an entry knows of a service, common to the forecasts of its servers.
struct forecast_basis {
    double mean_others = 0; // requests of other entries at a server, mean of the service
    millis work{300};       // mean duration of a request
    millis count_age{1000}; // mean age of the peers' counts
    double spread = 0;      // part of the variance that the choice draws from, 0 to 1
};

/// Expected load of a backend server at this moment.
struct load_forecast {
    double load = 0;     // requests running or waiting, of all entries
    double variance = 0; // of `load`, due to the age of what is known
    double pace = 1;     // duration of work, relative to the usual one

    /// Expected time of one more request, in units of its usual duration; lower is better.
    /// `deviation` is added to the load, and `slots` is how many requests the server runs at once.
    double cost(double deviation, double slots) const;
};

/// Requests of other entries at `server` by the latest information, and the age of that.
struct others_known {
    double count = 0;
    millis age{0};
};

/// `count_age` is the mean age of the peers' counts.
others_known known_others(const backend& server, millis count_age, millis now);

/// Computes the expected load from the latest information and its age.  It approaches the mean of
/// the service as the information ages; this entry's own requests are known exactly.
load_forecast forecast_load(const backend& server, const forecast_basis& basis, millis now);

/// Duration of work that the server reported, relative to the usual one; 1 if it is unknown or old.
double reported_pace(const backend& server, millis now);

} // namespace cyclamen
