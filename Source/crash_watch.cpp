#include "crash_watch.h"

#include <algorithm>

namespace cyclamen {

void crash_watch::lost(std::uint64_t fingerprint, const std::string& server, millis now)
{
    std::erase_if(losses_, [&](const loss& row) { return now - row.at > options_.told_within; });
    if (losses_.size() >= options_.most_lost) {
        losses_.erase(losses_.begin());
    }
    losses_.push_back({.fingerprint = fingerprint, .server = server, .at = now});
}

std::vector<wire::crash_report> crash_watch::server_down(const std::string& server, millis now)
{
    std::vector<wire::crash_report> reports;
    for (const loss& row : losses_) {
        if (row.server == server && now - row.at <= options_.told_within) {
            reports.push_back(counts_.record(row.fingerprint, observer_, now));
        }
    }
    std::erase_if(losses_, [&](const loss& row) { return row.server == server; });
    return reports;
}

void crash_watch::ended_well(std::uint64_t fingerprint)
{
    counts_.forget(fingerprint);
    std::erase_if(losses_, [&](const loss& row) { return row.fingerprint == fingerprint; });
}

} // namespace cyclamen
