#include "crash_detector.h"

#include <algorithm>

namespace cyclamen {

void crash_detector::forget_old(millis now)
{
    std::erase_if(losses_,
                  [&](const loss& lost) { return now - lost.at > options_.detection_window; });
    std::erase_if(down_,
                  [&](const auto& row) { return now - row.second > options_.detection_window; });
}

std::vector<std::uint64_t> crash_detector::record_loss(const std::vector<suspect>& suspects,
                                                       std::uint64_t server, millis now)
{
    forget_old(now);
    if (down_.contains(server)) {
        return evidence_.record_crash(suspects, server, now, now);
    }
    if (losses_.size() >= options_.max_losses) {
        losses_.erase(losses_.begin());
    }
    losses_.push_back({.suspects = suspects, .server = server, .at = now});
    return {};
}

std::vector<std::uint64_t> crash_detector::on_server_down(std::uint64_t server, millis now)
{
    forget_old(now);
    down_.emplace(server, now);
    std::vector<std::uint64_t> counted;
    for (const loss& lost : losses_) {
        if (lost.server == server) {
            const auto changed = evidence_.record_crash(lost.suspects, server, lost.at, now);
            counted.insert(counted.end(), changed.begin(), changed.end());
        }
    }
    std::erase_if(losses_, [&](const loss& lost) { return lost.server == server; });
    return counted;
}

} // namespace cyclamen
