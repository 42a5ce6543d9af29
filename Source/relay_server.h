#pragma once

#include "backend_chooser.h"
#include "backend_connection_pool.h"
#include "caller_connection.h"
#include "header_codec.h"
#include "kernel.h"
#include "net_address.h"
#include "relay_exchange.h"
#include "retry_budgets.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <vector>

struct evconnlistener;

namespace cyclamen {

class relay_state;

/// Limits that operators may change while the process runs.
struct relay_limits {
    // Time from the start of a graceful shutdown until requests still open are aborted.
    millis stop_grace = 7500ms;
    double load_multiple = 2.0; // load bound of a backend server, relative to its pool's mean
    bool even_load = false;     // see `backend_chooser_options::even_load`
    retry_budgets_options retries;
};

struct relay_server_options {
    net_address listen;
    std::size_t max_callers = 2500; // open connections; further ones are closed on accept
    // Open connections to callers and backend servers together; 0: not bounded.  Idle ones are
    // closed for further ones.
    std::size_t max_connections = 0;
    // Time from reporting "not ready" until the listening socket closes: the load balancer needs
    // it to notice and to stop sending new connections.  Later connections are refused, so that
    // their callers use another entry at once.
    millis lame_duck_time = 2500ms;
    // After that, connections close once they are idle for this long.
    millis lame_duck_idle_time = 200ms;
    relay_limits limits;
    relay_exchange_options exchange;
    backend_connection_pool_options connections;
    backend_chooser_options chooser;
};

/// Accepts callers' requests with any method, path and body and relays them directly to backend
/// servers.  Owned by the kernel as "relay".
class relay_server : public service {
public:
    relay_server(kernel& core, relay_server_options options, header_codec codec);
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;
    ~relay_server() override;

    std::string_view name() const override { return "relay"; }
    void start() override;
    void begin_stop() override;
    bool idle() const override;
    nlohmann::json describe() const override;

    /// Whether load balancers should send new connections to this process.
    bool ready() const;
    /// Sets the number of entries, which divide the fleet-wide limits among themselves.
    void set_entries(unsigned entries);
    /// Sets the position of this entry among all, see `backend_chooser::entry_rank`.
    void set_entry_rank(std::function<unsigned(std::uint64_t hash)> rank)
    {
        chooser_.entry_rank = std::move(rank);
    }
    /// Lets roll-outs decide which software versions get requests.  Call before `start`.
    void set_rollouts(rollout_service& rollouts) { rollouts_ = &rollouts; }
    /// Applies changed limits to later requests and shutdowns.
    void set_limits(const relay_limits& limits);

private:
    struct caller {
        std::unique_ptr<caller_connection> connection;
        std::unique_ptr<relay_exchange> exchange;
    };

    void accept(int socket);
    void accept_pending();
    std::vector<client_candidate> candidates() const;
    void make_memory_room(std::size_t bytes);
    bool make_connection_room();
    void give_up(const std::vector<client_candidate>& clients, std::size_t index,
                 const std::string& reason);
    std::size_t open_connections() const;
    void on_request(caller_connection& from);
    void schedule_cleanup();
    void sweep();
    void close_callers_when_idle();
    bool can_finish(millis deadline) const;
    void abort_open_exchanges();
    void stop_listening();

    kernel& core_;
    relay_server_options options_;
    header_codec codec_;
    relay_state* state_ = nullptr;
    backend_chooser chooser_;
    backend_connection_pool connections_;
    retry_budgets retries_;
    std::unique_ptr<relay_context> context_;
    evconnlistener* listener_ = nullptr;
    std::map<caller_connection*, caller> callers_;
    // Destroyed later from the event loop, because they end inside their own member functions.
    std::vector<std::unique_ptr<relay_exchange>> ended_exchanges_;
    std::vector<std::unique_ptr<caller_connection>> closed_connections_;
    kernel::timer cleanup_timer_;
    kernel::timer sweep_timer_;
    kernel::timer lame_duck_timer_;
    kernel::timer grace_timer_;
    std::optional<millis> stopping_since_;
    std::optional<millis> grace_ends_at_; // as of the begin of the stop
    std::optional<millis> aborted_at_; // end of the grace period, when open requests were aborted
    unsigned entries_ = 1;
    rollout_service* rollouts_ = nullptr;
};

} // namespace cyclamen
