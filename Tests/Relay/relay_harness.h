#pragma once

#include "kernel.h"
#include "platform_headers.h"
#include "relay_server.h"
#include "relay_state.h"

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

/// A backend server on loopback whose responses are written by the test.
class scripted_backend {
public:
    scripted_backend();
    scripted_backend(const scripted_backend&) = delete;
    scripted_backend& operator=(const scripted_backend&) = delete;
    ~scripted_backend();

    /// Accepts connections and reads available bytes.  The harness calls this while it waits.
    void poll();
    std::uint16_t port() const { return port_; }
    /// Number of complete requests received on all connections.
    std::size_t requests() const { return requests_.size(); }
    const std::string& request(std::size_t index) const { return requests_.at(index); }
    /// The value of a header of request `index`; empty if the header is missing.
    std::string header(std::size_t index, const std::string& name) const;
    std::string body(std::size_t index) const;

    /// Writes `text` to the connection on which request `index` arrived.
    void respond(std::size_t index, const std::string& text);
    /// Writes `text` again and again to the connection on which request `index` arrived, as fast
    /// as the relay reads it, until the relay closes the connection or `max_bytes` are written.
    void repeat_response(std::size_t index, const std::string& text,
                         std::size_t max_bytes = std::numeric_limits<std::size_t>::max());
    /// Number of bytes that `repeat_response` has written for request `index`.
    std::size_t bytes_repeated(std::size_t index) const;
    /// Closes the connection on which request `index` arrived.
    void close(std::size_t index);
    /// The same with a TCP reset.
    void reset(std::size_t index);
    /// Whether the relay has closed the connection on which request `index` arrived.
    bool closed_by_relay(std::size_t index);
    /// Whether it did so with a reset, which discards what is not yet delivered.
    bool reset_by_relay(std::size_t index);
    /// Closes the listening socket, so that further connections are refused.
    void stop_listening();
    /// Accepts connections but reads nothing until `resume_reading` is called.
    void stop_reading() { reading_ = false; }
    void resume_reading() { reading_ = true; }
    /// Writes to a connection given by its index, also before its request was read.
    void respond_on_connection(std::size_t connection, const std::string& text);
    /// Closes a connection given by its index; unread bytes cause a TCP reset.
    void close_connection(std::size_t connection);
    /// Ends what is written to a connection; it can still be read.
    void half_close_connection(std::size_t connection);
    bool connection_ended(std::size_t connection) const
    {
        return connections_.at(connection).ended;
    }
    std::size_t connections() const { return connections_.size(); }

private:
    struct connection_state {
        int socket = -1;
        std::string unread; // received bytes of an incomplete request
        bool ended = false;
        bool reset = false;   // it ended with a reset
        std::string repeated; // written again and again while `bytes_left` is not 0
        std::size_t bytes_left = 0;
        std::size_t bytes_repeated = 0;
    };

    void parse_requests(std::size_t index);
    static void write_repeated(connection_state& row);

    std::uint16_t port_ = 0;
    int listener_ = -1;
    bool reading_ = true;
    std::vector<connection_state> connections_;
    std::vector<std::string> requests_;
    std::vector<std::size_t> request_connections_; // index of the connection of each request
};

/// A caller with one connection to the relay.
class scripted_caller {
public:
    explicit scripted_caller(std::uint16_t port);
    scripted_caller(const scripted_caller&) = delete;
    scripted_caller& operator=(const scripted_caller&) = delete;
    ~scripted_caller();

    /// Sends as many bytes as the socket accepts now, and the rest while the harness waits.
    void send(const std::string& text);
    void close();
    void poll();
    /// Reads nothing until `resume_reading` is called.
    void stop_reading() { reading_ = false; }
    void resume_reading() { reading_ = true; }
    /// All bytes received so far.
    const std::string& received() const { return received_; }
    /// Whether the relay has closed the connection.
    bool ended() const { return ended_; }
    /// Whether it did so with a TCP reset.
    bool was_reset() const { return was_reset_; }
    /// The status of the last response whose status line has arrived; 0 if there is none.
    int status() const;

private:
    void flush();

    int socket_ = -1;
    bool reading_ = true;
    bool ended_ = false;
    bool was_reset_ = false;
    std::string unsent_;
    std::string received_;
};

/// A relay on loopback with callers and backend servers that the test controls.  All run on one
/// thread, so events are processed only while the test waits for a condition.
class relay_harness {
public:
    explicit relay_harness(cyclamen::relay_server_options options = {},
                           cyclamen::relay_state_options state = {},
                           cyclamen::header_codec codec = cyclamen::platform::make_header_codec());

    /// Runs the relay until `condition` holds; returns false if it does not within 5 s.
    bool wait_for(const std::function<bool()>& condition);
    /// Runs the relay for `time`, for tests that check that something does not happen.
    void run_for(cyclamen::millis time);

    scripted_backend& add_backend(const std::string& id, const std::string& service = "shop",
                                  const std::string& zone = "a");
    scripted_caller& add_caller();

    /// A configuration with routes of each kind, as listed in the definition.
    static cyclamen::relay_configuration configuration(std::uint64_t version = 1);
    /// Puts the configuration in force, as if a source had just delivered it.
    void configure(cyclamen::relay_configuration configuration);
    cyclamen::relay_state& state() { return *state_; }
    cyclamen::relay_server& relay() { return *relay_; }
    cyclamen::kernel& core() { return core_; }

private:
    std::uint16_t port_ = 0;
    cyclamen::kernel core_;
    cyclamen::relay_state* state_ = nullptr;
    cyclamen::relay_server* relay_ = nullptr;
    std::vector<std::unique_ptr<scripted_backend>> backends_;
    std::vector<std::unique_ptr<scripted_caller>> callers_;
};

/// Builds a request with the host and an API key of `relay_harness::configuration`.
std::string get(const std::string& path, const std::string& headers = "");
std::string post(const std::string& path, const std::string& body, const std::string& headers = "");
/// Builds a complete response with a Content-Length and the given request id.
std::string response_of(const std::string& id, const std::string& body, int status = 200,
                        const std::string& headers = "");
