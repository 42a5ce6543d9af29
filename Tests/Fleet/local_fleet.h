#pragma once

#include "child_process.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace httplib {
class Client;
}

namespace cyclamen::test {

struct local_fleet_options {
    unsigned entries = 2; // instances entry-1, entry-2, ...
    /// Backend servers of the model service `chat-small`, each with an agent. Their instance names
    /// are engine-1, engine-2, ...
    unsigned engines = 3;
    /// Backend servers of the plain service `orders`, each with an agent. Their instance names
    /// are desk-1, desk-2, ...
    unsigned plain_servers = 2;
    /// Availability zones zone-a, zone-b, ... Entries, engines and plain servers are each assigned
    /// to them in turn.
    unsigned zones = 3;
    unsigned token_ms = 5; // time between two tokens of a chat
    unsigned slots = 16;   // capacity of each backend server in concurrent requests
    /// Whether entries reach agents through TCP relays (`stand_in_relay`), which can simulate a
    /// silent network failure.
    bool relays = false;
    /// Additional lines of the settings files of entries and agents, by section.
    std::map<std::string, std::string> entry_settings;
    std::map<std::string, std::string> agent_settings;
};

/// Response to one HTTP call; status 0 if none was received.
struct call_result {
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
    bool complete = false; // the response was received to its end
};

/// One execution of a request by a plain backend server, as the server recorded it.
struct execution {
    std::string instance;
    std::string key; // idempotency key without its quotes
    std::string body;
    std::int64_t executed_at_ms = 0; // wall-clock time of the execution
};

/// Runs entries, agents, stand-in backend servers and the stand-in platform as processes on
/// loopback. The destructor kills every process. Used by tests, measurements and the demonstration
/// program local-fleet.
class local_fleet {
public:
    /// Starts the fleet, commits its first configuration and waits until it is ready. Throws
    /// std::runtime_error if a step does not succeed within 10 s.
    explicit local_fleet(local_fleet_options options);
    local_fleet(const local_fleet&) = delete;
    local_fleet& operator=(const local_fleet&) = delete;
    ~local_fleet();

    /// An entry, or an agent with its backend server and its optional relay.
    struct fleet_member {
        std::string name;
        std::string zone;
        std::string service;        // service of the backend server; empty for an entry
        unsigned port = 0;          // an entry listens here for callers, an agent for peers
        unsigned operator_port = 0; // the entry or agent listens here for operators
        unsigned backend_port = 0;  // the backend server of an agent listens here
        /// Port of the relay through which entries reach the agent; 0 if there is none. The relay
        /// takes control requests, such as POST /silence, on the next port.
        unsigned relay_port = 0;
        std::string settings_path;
        std::unique_ptr<child_process> process; // the entry or agent
        std::unique_ptr<child_process> backend; // null for an entry
        std::unique_ptr<child_process> relay;   // null if there is none
    };

    // Numbers, also `entry_number` below, count from 0: entry(0) is the instance entry-1.
    fleet_member& entry(unsigned number) { return entries_.at(number); }
    fleet_member& engine(unsigned number) { return engines_.at(number); }
    fleet_member& plain_server(unsigned number) { return plain_servers_.at(number); }
    std::vector<fleet_member>& engines() { return engines_; }
    std::vector<fleet_member>& plain_servers() { return plain_servers_; }
    const std::string& folder() const { return folder_; }
    unsigned log_port() const { return log_port_; }
    unsigned list_port() const { return list_port_; }

    /// Starts the entry or agent with the same settings file, after killing it if it still runs.
    void restart(fleet_member& member);
    /// Starts the backend server again at the same address, after killing it if it still runs.
    void restart_backend(fleet_member& member);
    /// Publishes the instance list. Members named in `excluded` are absent from it; those named in
    /// `leaving` have the state "leaving".
    void publish_list(const std::vector<std::string>& excluded = {},
                      const std::vector<std::string>& leaving = {});

    /// Polls until `condition` returns true. Returns false on timeout.
    static bool wait_for(const std::function<bool()>& condition,
                         std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));

    /// Sends a chat to an entry. `on_data` is called after each received part with the whole body
    /// received so far.
    call_result chat(unsigned entry_number, const std::string& content, bool stream = false,
                     unsigned max_tokens = 5, unsigned deadline_ms = 20000,
                     const std::function<void(const std::string&)>& on_data = {});
    /// Sends a payment, a request to the service `orders`, to an entry. `key` is the idempotency
    /// key without its quotes; if it is empty, the request has none.
    call_result pay(unsigned entry_number, const std::string& key, const std::string& body,
                    unsigned deadline_ms = 10000);
    /// Sends a GET request to any process of the fleet. `key` is the bearer token, if not empty.
    call_result get(unsigned port, const std::string& path, const std::string& key = "");
    /// Sends a POST request without credentials to any process of the fleet.
    call_result post(unsigned port, const std::string& path, const nlohmann::json& body);

    /// Sends an operator command to an entry. `body` is the configuration file if the command puts
    /// one into force; `id` is the idempotency id of the command.
    call_result command(unsigned entry_number, const std::string& text,
                        const std::string& body = "", const std::string& id = "");
    /// The state dump of an entry or agent (GET /state).
    nlohmann::json state(const fleet_member& member);
    /// Executions on all plain backend servers, ordered by time.
    std::vector<execution> executions() const;
    /// Number of executions with this key on all plain backend servers.
    std::size_t execution_count(const std::string& key) const;

    /// The last 3000 bytes of the log of every process, for the report of a failed test.
    std::string logs() const;

    static constexpr const char* account_key = "key-of-villager";
    static constexpr const char* operator_key = "key-of-operator";

private:
    unsigned allocate_port();
    void start_platform();
    void start_member(fleet_member& member, bool is_entry);
    std::string write_settings(const fleet_member& member, bool is_entry, const std::string& kind);
    void start_backend(fleet_member& member);
    void start_relay(fleet_member& member);
    void put_configuration();
    void wait_until_ready();

    /// Temporary directory that the destructor removes with its contents.
    struct temporary_folder {
        temporary_folder();
        temporary_folder(const temporary_folder&) = delete;
        temporary_folder& operator=(const temporary_folder&) = delete;
        ~temporary_folder();
        std::string path;
    };

    local_fleet_options options_;
    temporary_folder temporary_folder_;
    std::string folder_;
    unsigned next_port_;
    unsigned log_port_ = 0;
    unsigned list_port_ = 0;
    unsigned weights_port_ = 0;
    std::vector<std::unique_ptr<child_process>> platform_;
    std::vector<fleet_member> entries_;
    std::vector<fleet_member> engines_;
    std::vector<fleet_member> plain_servers_;
};

} // namespace cyclamen::test
