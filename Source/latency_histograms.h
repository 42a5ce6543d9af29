#pragma once

#include "time_types.h"

#include <memory>
#include <string>

namespace cyclamen {

/// Histogram of durations.
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    ~latency_histogram();

    void observe(millis duration);

private:
    friend class latency_histograms;
    struct state;
    std::unique_ptr<state> state_;
};

/// Named histograms of one process, backed by the Prometheus client library.  Owned by the
/// kernel; returned references stay valid.
class latency_histograms {
public:
    latency_histograms();
    latency_histograms(const latency_histograms&) = delete;
    latency_histograms& operator=(const latency_histograms&) = delete;
    ~latency_histograms();

    latency_histogram& named(const std::string& name);
    /// All histograms in the Prometheus text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cyclamen
