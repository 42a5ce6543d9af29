#pragma once

#include "kernel.h"
#include "message_socket.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>
#include <wire.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamen {

class configuration_feed;
class instance_directory;

struct peer_exchange_options {
    std::string endpoint;               // address that the socket binds to; empty in an entry
    millis load_report_interval = 25ms; // time between load reports; each goes to one peer
    millis link_idle_timeout = 30000ms; // time after which an unused link is closed
    std::size_t max_links = 512;        // when reached, the least recently used link is closed
};

/// The bound socket of an agent, and the links of this process to other agents, which carry
/// load reports, crash reports and configuration.  The amount of traffic depends on the
/// intervals, not on the number of peers.  Owned by the kernel as "peers".
class peer_exchange : public service {
public:
    peer_exchange(kernel& core, peer_exchange_options options);

    std::string_view name() const override { return "peers"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Replies on the link on which the bound socket received a message.  Returns false if the
    /// reply was not sent.
    bool reply(const std::string& route, wire::envelope message);
    /// Sends to the peer with this name in the directory, if it is listed.
    void send_to(const std::string& instance, wire::envelope message);
    /// Sends to up to `count` random agents of any service.
    void send_to_random(unsigned count, const wire::envelope& message);

    /// Creates this agent's load report; no reports are sent while it is not set.
    std::function<wire::load_report()> make_load_report;

    /// Emitted for messages that this service does not handle itself.  `route` is for `reply`; it
    /// is empty if the message arrived on a link that this process opened.
    sigc::signal<void(const std::string& route, const wire::envelope& message)> received;

private:
    struct link {
        std::unique_ptr<message_socket> socket;
        millis last_used{0};
    };

    void on_message(const std::string& route, const wire::envelope& message, bool inbound);
    void report_load();
    void refresh_peers();
    void close_idle();
    void evict_link_if_full();

    kernel& core_;
    peer_exchange_options options_;
    instance_directory* directory_ = nullptr;
    configuration_feed* configuration_ = nullptr;
    std::unique_ptr<message_socket> bound_;
    std::map<std::string, link> links_; // keyed by address
    // Sockets of closed links, whose callbacks may still be running; freed at the next idle check.
    std::vector<std::unique_ptr<message_socket>> retired_;
    std::vector<std::string> pool_;   // other agents of the same service, shuffled
    std::vector<std::string> agents_; // other agents of any service
    std::size_t next_in_pool_ = 0;
    kernel::timer load_timer_;
    kernel::timer idle_timer_;
    std::uint64_t next_link_ = 1;
};

} // namespace cyclamen
