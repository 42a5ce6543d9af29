#include "load_forecast.h"

#include "backend_table.h"

#include <algorithm>
#include <cmath>

namespace cyclamen {

namespace {

// Differences between servers vanish faster than requests end, because the other entries choose
// the less loaded servers as well.
constexpr double memory_in_works = 0.4;
constexpr double usual_work_ms = 300; // assumed until requests have been counted
constexpr double min_work_ms = 20;
constexpr double max_work_ms = 20000;

double ms(millis time)
{
    return static_cast<double>(time.count());
}

} // namespace

void work_duration::decay(millis now)
{
    constexpr double memory_ms = 20000; // the durations of a service change slowly
    const double passed = updated_at_ ? std::max(0.0, ms(now - *updated_at_)) : 0;
    const double kept = std::exp(-passed / memory_ms);
    starts_ *= kept;
    in_flight_ *= kept;
    window_ms_ = memory_ms - (memory_ms - window_ms_) * kept;
    updated_at_ = now;
}

void work_duration::record_start(unsigned in_flight, millis now)
{
    decay(now);
    starts_ += 1;
    in_flight_ += in_flight;
}

millis work_duration::mean() const
{
    // Weight of the usual duration, as if so many starts had shown it.
    constexpr double usual_starts = 4;
    if (starts_ <= 0 || window_ms_ <= 0) {
        return millis(static_cast<std::int64_t>(usual_work_ms));
    }
    const double counted = in_flight_ / starts_ * window_ms_ / starts_;
    const double mean =
        (counted * starts_ + usual_work_ms * usual_starts) / (starts_ + usual_starts);
    return millis(static_cast<std::int64_t>(std::clamp(mean, min_work_ms, max_work_ms)));
}

double load_forecast::cost(double deviation, double slots) const
{
    const double held = std::max(0.0, load + deviation);
    return pace * (held + 1) / std::max(1.0, slots);
}

others_known known_others(const backend& server, millis count_age, millis now)
{
    others_known known{.count = static_cast<double>(server.peer_in_flight), .age = count_age};
    const millis report_age = now - server.reported_at;
    if (report_age < known.age) {
        const unsigned held = server.reported_load.running + server.reported_load.waiting;
        const unsigned own = server.in_flight_at_report;
        known = {.count = static_cast<double>(held > own ? held - own : 0),
                 .age = std::max(millis(0), report_age)};
    }
    const millis peer_report_age = now - server.peer_reported_at;
    if (peer_report_age < known.age) {
        const unsigned held = server.peer_reported_load;
        known = {.count =
                     static_cast<double>(held > server.in_flight ? held - server.in_flight : 0),
                 .age = std::max(millis(0), peer_report_age)};
    }
    return known;
}

double reported_pace(const backend& server, millis now)
{
    // Servers share their machines, so their speed changes many times a second.
    constexpr double pace_memory_ms = 500;
    constexpr double usual_percent = 100;
    constexpr double min_pace = 0.2;
    constexpr double max_pace = 20;
    if (!server.reported_load.work_percent) {
        return 1;
    }
    const double reported = *server.reported_load.work_percent / usual_percent;
    const double age = std::max(0.0, ms(now - server.work_reported_at));
    return std::clamp(1 + (reported - 1) * std::exp(-age / pace_memory_ms), min_pace, max_pace);
}

load_forecast forecast_load(const backend& server, const forecast_basis& basis, millis now)
{
    const others_known known = known_others(server, basis.count_age, now);
    const double kept =
        std::exp(-ms(known.age) / std::max(min_work_ms, memory_in_works * ms(basis.work)));
    const double others = basis.mean_others + (known.count - basis.mean_others) * kept;
    return {.load = server.in_flight + others,
            .variance = basis.spread * basis.mean_others * (1 - kept * kept),
            .pace = reported_pace(server, now)};
}

} // namespace cyclamen
