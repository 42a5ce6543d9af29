#include "crash_counter.h"

#include <algorithm>
#include <iterator>

namespace cyclamen {

wire::crash_report crash_counter::record(std::uint64_t fingerprint, const std::string& instance,
                                         millis now)
{
    entry& counts = entries_[fingerprint];
    counts.last_crash = now;
    wire::crash_report report;
    report.set_fingerprint(fingerprint);
    report.set_instance(instance);
    report.set_crashes(++counts.by_instance[instance]);
    evict_oldest();
    return report;
}

bool crash_counter::merge(const wire::crash_report& report, millis now)
{
    entry& counts = entries_[report.fingerprint()];
    unsigned& known = counts.by_instance[report.instance()];
    if (known >= report.crashes()) {
        return false;
    }
    known = report.crashes();
    counts.last_crash = now;
    evict_oldest();
    return true;
}

unsigned crash_counter::crashes(std::uint64_t fingerprint, millis now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || now - found->second.last_crash > options_.retention) {
        return 0;
    }
    unsigned sum = 0;
    for (const auto& [instance, count] : found->second.by_instance) {
        sum += count;
    }
    return sum;
}

std::optional<wire::crash_report> crash_counter::report(std::uint64_t choice) const
{
    if (entries_.empty()) {
        return std::nullopt;
    }
    const auto& [fingerprint, counts] =
        *std::next(entries_.begin(), static_cast<std::ptrdiff_t>(choice % entries_.size()));
    const auto& [instance, count] =
        *std::next(counts.by_instance.begin(),
                   static_cast<std::ptrdiff_t>(choice % counts.by_instance.size()));
    wire::crash_report report;
    report.set_fingerprint(fingerprint);
    report.set_instance(instance);
    report.set_crashes(count);
    return report;
}

void crash_counter::evict_oldest()
{
    while (entries_.size() > options_.max_entries) {
        entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.last_crash < right.second.last_crash;
                                        }));
    }
}

} // namespace cyclamen
