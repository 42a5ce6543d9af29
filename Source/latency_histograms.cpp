#include "latency_histograms.h"

#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <vector>

namespace cyclamen {

namespace {

// Upper bounds of the buckets, in ms: from the latency of a local response to the longest
// deadlines of callers.
const prometheus::Histogram::BucketBoundaries boundaries{
    1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 500, 800, 1200, 2000, 3000, 5000, 10000, 20000};

} // namespace

struct latency_histogram::state {
    prometheus::Histogram histogram{boundaries};
};

latency_histogram::latency_histogram() : state_(std::make_unique<state>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::observe(millis duration)
{
    state_->histogram.Observe(static_cast<double>(duration.count()));
}

struct latency_histograms::state {
    std::map<std::string, latency_histogram> by_name;
};

latency_histograms::latency_histograms() : state_(std::make_unique<state>()) {}
latency_histograms::~latency_histograms() = default;

latency_histogram& latency_histograms::named(const std::string& name)
{
    return state_->by_name[name];
}

std::string latency_histograms::text() const
{
    std::vector<prometheus::MetricFamily> families;
    for (const auto& [name, histogram] : state_->by_name) {
        prometheus::MetricFamily family;
        family.name = name;
        family.type = prometheus::MetricType::Histogram;
        family.metric.push_back(histogram.state_->histogram.Collect());
        families.push_back(std::move(family));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace cyclamen
