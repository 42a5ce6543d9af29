#include "crash_detector.h"

#include <algorithm>

namespace cyclamen {

void crash_detector::record_loss(std::uint64_t fingerprint, const std::string& server, millis now)
{
    std::erase_if(losses_,
                  [&](const loss& lost) { return now - lost.at > options_.detection_window; });
    if (losses_.size() >= options_.max_losses) {
        losses_.erase(losses_.begin());
    }
    losses_.push_back({.fingerprint = fingerprint, .server = server, .at = now});
}

std::vector<wire::crash_report> crash_detector::on_server_down(const std::string& server,
                                                               millis now)
{
    std::vector<wire::crash_report> reports;
    for (const loss& lost : losses_) {
        if (lost.server == server && now - lost.at <= options_.detection_window) {
            reports.push_back(counts_.record(lost.fingerprint, observer_, now));
        }
    }
    std::erase_if(losses_, [&](const loss& lost) { return lost.server == server; });
    return reports;
}

void crash_detector::record_success(std::uint64_t fingerprint)
{
    counts_.forget(fingerprint);
    std::erase_if(losses_, [&](const loss& lost) { return lost.fingerprint == fingerprint; });
}

} // namespace cyclamen
