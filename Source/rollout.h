#pragma once

#include "enum_names.h"
#include "restore_history.h"
#include "rollout_evidence.h"
#include "rollout_share.h"
#include "time_types.h"

#include <algorithm>
#include <array>
#include <functional>
#include <string>

namespace cyclamen {

/// An operator's order to move the traffic of a service to one software version.
struct rollout_order {
    std::string service;
    std::string target; // software version
    millis duration{0}; // within which the order is to be completed or rolled back
    log_position at;    // of its record
};

/// Steps of an order; a later one wins when entries differ.
enum class rollout_step {
    watching,    // a bounded share of the requests goes to the target
    switching,   // a growing share does, then all
    rolled_back, // none does
    completed,   // all do; the other servers have stopped
};

inline constexpr std::array rollout_step_names{
    enum_name<rollout_step>{rollout_step::watching, "watching"},
    enum_name<rollout_step>{rollout_step::switching, "switching"},
    enum_name<rollout_step>{rollout_step::rolled_back, "rolled_back"},
    enum_name<rollout_step>{rollout_step::completed, "completed"},
};

struct rollout_options {
    rollout_share_options share;
    double watch_until = 0.5;  // of the order's time, with a good verdict
    double decide_until = 0.6; // the same without a verdict, if nothing speaks against the version
    double end_at = 0.9;       // the rest is for writing the status
    // Shares of the requests that go to the target while switching.  Each holds for at least this
    // time, and for as long as it takes to hear of its outcomes.
    std::array<double, 3> switch_shares{0.25, 0.5, 1.0};
    millis switch_interval = 700ms;
    int switch_interval_share = 12; // and for this part of the order's time
    millis news_age{0};             // of what peers tell about outcomes
};

/// One order: its step, what was sent where, and the decision on the next step.  Reads no clock:
/// the caller passes the current time.
class rollout {
public:
    rollout(rollout_order order, const rollout_options& options, millis now)
        : order_(std::move(order)), options_(options), share_(options.share), began_at_(now)
    {
        options_.switch_interval =
            std::max({options.switch_interval, order_.duration / options.switch_interval_share,
                      options.news_age * 4 / 3});
    }

    const rollout_order& order() const { return order_; }
    rollout_step step() const { return step_; }
    bool ended() const { return step_ >= rollout_step::rolled_back; }
    rollout_evidence& evidence() { return evidence_; }
    const rollout_evidence& evidence() const { return evidence_; }
    const rollout_share& share() const { return share_; }
    /// Time since the order was given, as far as known.
    millis age(millis now) const { return now - began_at_; }
    /// Time since the present step began here.
    millis step_age(millis now) const { return now - step_began_at_; }
    /// Whether all requests are to go to the target.
    bool switched(millis now) const;

    /// Takes the record's position after the log was restored: the same order was written again.
    void move_to(log_position at) { order_.at = at; }
    /// Takes over what a peer knows: the order is at least this old, and has reached this step.
    void merge(millis age, rollout_step step, millis step_age, millis now);
    /// Sets the step that the store's record tells.
    void set_step(rollout_step step, millis now);

    /// Whether the next request on this route is to go to the target; `draw` is uniform in [0, 1).
    bool sends_to_target(const std::string& route, unsigned entries, double draw, millis now) const;
    /// Counts a request that was sent.
    void count_sent(bool to_target);

    /// Facts from outside that decide about the next step.
    struct situation {
        bool target_listed = false; // the target has a server that accepts requests
        bool others_idle = false;   // no entry has a request at another version
    };
    /// The step to which the deciding entry moves now: the present one if nothing is due.
    /// `completed` is to be adopted once it is recorded.
    rollout_step next_step(const situation& facts, millis now) const;
    /// Stops this entry's requests to the target if the outcomes known here show that it is bad.
    /// Returns whether it stopped them just now.
    bool halt_if_bad();
    bool halted() const { return halted_; }

private:
    double elapsed(millis now) const
    {
        return static_cast<double>(age(now).count()) /
               static_cast<double>(std::max<millis::rep>(1, order_.duration.count()));
    }

    rollout_order order_;
    rollout_options options_;
    rollout_share share_;
    rollout_evidence evidence_;
    rollout_step step_ = rollout_step::watching;
    bool halted_ = false;
    millis began_at_;
    millis step_began_at_ = began_at_;
};

} // namespace cyclamen
