#pragma once

#include "backend_chooser.h"
#include "kernel.h"
#include "rollout.h"
#include "service.h"

#include <wire.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cyclamen {

class relay_state;

/// State of an order as operators read it in the store.
enum class rollout_status { running, completed, rolled_back };

inline constexpr std::array rollout_status_names{
    enum_name<rollout_status>{rollout_status::running, "running"},
    enum_name<rollout_status>{rollout_status::completed, "completed"},
    enum_name<rollout_status>{rollout_status::rolled_back, "rolled_back"},
};

/// The status record of a service.
struct rollout_record {
    std::string target;
    rollout_status status = rollout_status::running;
};

struct rollout_service_options {
    rollout_options rollout;
    millis check_interval = 100ms;
    // Time after which a record is read and written again that was not confirmed.
    millis write_interval = 400ms;
    // Time for which an ended order is told to peers.
    millis told_for = 60000ms;
    // Time for which servers of other versions are avoided after `completed`, until their entries
    // have vanished.  Later, servers of any version serve side by side again.
    millis avoided_for = 10000ms;
    millis peer_silence = 3000ms; // after which a peer's requests are not waited for
};

/// Carries out operators' orders to move services to a software version, see
/// docs/design/rollouts.md.  Owned by the kernel as "rollouts".
class rollout_service : public service {
public:
    /// The status record as read, with the condition to write another.
    struct status_reading {
        std::optional<rollout_record> record; // empty if there is none
        std::uint64_t log_end = 0;            // of the log of status records
    };
    struct hooks {
        /// Whether this entry decides on the steps of orders.
        std::function<bool()> decides;
        /// Number of entries, including this one.
        std::function<unsigned()> entries;
        /// Interval between two digests of a peer.
        std::function<millis()> digest_interval;
        /// Sends a digest to all peers at once.
        std::function<void()> send_digests;
        /// Reads the status record of a service; passes on nothing if the store does not answer.
        std::function<void(const std::string& service,
                           std::function<void(std::optional<status_reading>)> on_end)>
            read_status;
        /// Writes it if the log of status records still ends at `log_end`.  Passes on whether that
        /// is confirmed; without that it may have been written nonetheless.
        std::function<void(const std::string& service, const rollout_record& record,
                           std::uint64_t log_end, std::function<void(bool)> on_end)>
            write_status;
    };

    rollout_service(kernel& core, const rollout_service_options& options, hooks collaborators);

    std::string_view name() const override { return "rollouts"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Takes an operator's order.  `found_at_start` tells that it may be older than this process,
    /// so that a final status in the store may be its own.
    void set_order(rollout_order order, bool found_at_start);
    /// Ends what the operator has withdrawn.
    void withdraw_order(const std::string& service);

    /// The servers to which the next request may go.  Without a value, any.
    std::optional<version_filter> filter(const std::string& service, const std::string& route);
    /// The same of a stream that only this software version can continue.
    std::optional<version_filter> stream_filter(const std::string& service,
                                                const std::string& version) const;
    /// Counts a request that is sent to a server of this version.
    void count_sent(const std::string& service, const std::string& version);
    /// Records the end of a request that a server has begun; see `rollout_evidence::record`.
    void record_end(const std::string& service, const std::string& route,
                    const std::string& version, bool failed, millis took);

    void add_to_digest(wire::relay_digest& digest) const;
    void on_digest(const wire::relay_digest& digest);

    /// Whether the order of the service is completed, so that its other servers have stopped.
    bool is_completed(const std::string& service) const;
    /// The order of a service; null if there is none.
    const rollout* find(const std::string& service) const;

private:
    struct running_order {
        explicit running_order(rollout state) : state(std::move(state)) {}

        rollout state;
        bool may_be_recorded = false;           // a final status in the store may be of this order
        std::optional<rollout_status> recorded; // confirmed by the store
        bool call_open = false;
        std::optional<millis> called_at;
        std::optional<millis> ended_at;
        bool completion_due = false;
    };
    struct peer_state {
        millis heard_at{0};
        std::map<std::string, bool> switched; // by service
    };

    running_order* find_order(const std::string& service);
    void begin(rollout_order order, bool found_at_start);
    void check();
    void check_order(running_order& order);
    void move(running_order& order, rollout_step step);
    void write_due_status(running_order& order, rollout_status due);
    void on_status_read(const std::string& service, rollout_status due,
                        const std::optional<status_reading>& reading);
    void on_status_written(const std::string& service, rollout_status written, bool confirmed);
    bool target_listed(const rollout& state) const;
    bool others_idle(const rollout& state) const;
    void merge_news(const std::string& peer, std::uint64_t incarnation,
                    const wire::rollout_news& news);

    kernel& core_;
    rollout_service_options options_;
    hooks hooks_;
    relay_state* state_ = nullptr;
    std::map<std::string, running_order> orders_; // by service
    std::map<std::string, peer_state> peers_;     // by address
    kernel::timer check_timer_;
};

} // namespace cyclamen
