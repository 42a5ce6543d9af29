#pragma once

#include <cstdint>

namespace cyclamen {

struct rollout_share_options {
    double exposure_share = 0.1;    // of all requests, that a bad version may get
    double exposure_tolerance = 50; // requests beyond the share
    // Parts of both that are used: the rest is for requests that other entries count otherwise, and
    // for processes that restart with an empty count.
    double used_share = 0.7;
    double used_tolerance = 0.5;
};

/// Bounds the requests that this entry sends to the ordered version while it is watched.  Each
/// entry keeps the bound for its own requests, so that the sum over any entries keeps it without
/// their agreement.
class rollout_share {
public:
    explicit rollout_share(rollout_share_options options) : options_(options) {}

    /// Counts a request to the service, to whichever version.
    void count_request() { requests_ += 1; }
    /// Requests that may go to the ordered version now, among so many entries; below 1, none may.
    double allowance(unsigned entries) const
    {
        return requests_ * options_.exposure_share * options_.used_share +
               options_.exposure_tolerance * options_.used_tolerance / entries - sent_;
    }
    void count_sent() { sent_ += 1; }
    double sent() const { return sent_; }
    double requests() const { return requests_; }

private:
    rollout_share_options options_;
    double requests_ = 0;
    double sent_ = 0;
};

} // namespace cyclamen
