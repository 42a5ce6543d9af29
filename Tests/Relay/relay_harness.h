#pragma once

#include "kernel.h"
#include "platform_dialect.h"
#include "relay_knowledge.h"
#include "relay_port.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A backend server whose every answer is written by the test.  Listens on loopback.
class scripted_backend {
public:
    scripted_backend();
    scripted_backend(const scripted_backend&) = delete;
    scripted_backend& operator=(const scripted_backend&) = delete;
    ~scripted_backend();

    /// Accepts and reads what has come; the harness calls it while it waits.
    void poll();
    std::uint16_t port() const { return port_; }
    /// Requests that have arrived whole on all connections.
    std::size_t requests() const { return texts_.size(); }
    const std::string& request(std::size_t index) const { return texts_.at(index); }
    /// The value of a header of a request, or empty.
    std::string header(std::size_t index, const std::string& name) const;
    std::string body(std::size_t index) const;

    /// Writes on the connection that request `index` came on.
    void answer(std::size_t index, const std::string& text);
    void close(std::size_t index);
    void reset(std::size_t index);
    /// The relay has ended the connection that request `index` came on.
    bool left(std::size_t index);
    /// Takes no further connections; they are refused.
    void stop_listening();
    /// Accepts, but reads nothing until `resume_reading`.
    void stop_reading() { reading_ = false; }
    void resume_reading() { reading_ = true; }
    /// Writes on a connection whose request has not been read.
    void answer_on_connection(std::size_t connection, const std::string& text);
    bool connection_ended(std::size_t connection) const { return channels_.at(connection).ended; }
    std::size_t connections() const { return channels_.size(); }

private:
    struct channel {
        int socket = -1;
        std::string unread; // bytes of a request that is not whole
        bool ended = false;
    };

    void take_requests(std::size_t index);

    std::uint16_t port_ = 0;
    int listener_ = -1;
    bool reading_ = true;
    std::vector<channel> channels_;
    std::vector<std::string> texts_;
    std::vector<std::size_t> came_on_; // index of the connection of each request
};

/// A caller with one connection.
class scripted_caller {
public:
    explicit scripted_caller(std::uint16_t port);
    scripted_caller(const scripted_caller&) = delete;
    scripted_caller& operator=(const scripted_caller&) = delete;
    ~scripted_caller();

    /// Sends what the socket takes now, and the rest while the harness waits.
    void send(const std::string& text);
    void close();
    void poll();
    /// Everything that was received.
    const std::string& received() const { return received_; }
    bool ended() const { return ended_; }
    /// The status of the last answer that has begun; 0 if none has.
    int status() const;

private:
    void flush();

    int socket_ = -1;
    bool ended_ = false;
    std::string unsent_;
    std::string received_;
};

/// A relay on loopback with callers and backend servers that the test plays, all on one
/// thread: nothing happens but while the test waits for a condition.
class relay_harness {
public:
    explicit relay_harness(cyclamen::relay_port_options options = {},
                           cyclamen::relay_knowledge_options knowledge = {});

    /// Runs the relay until `condition` holds; false if it does not within five seconds.
    bool wait_for(const std::function<bool()>& condition);
    /// Runs the relay for a while in which something must not happen.
    void run_for(cyclamen::millis time);

    scripted_backend& add_backend(const std::string& id, const std::string& service = "shop",
                                  const std::string& zone = "a");
    scripted_caller& add_caller();

    /// A configuration with one route of each kind, see the source.
    static cyclamen::relay_configuration configuration(std::uint64_t version = 1);
    /// Puts the configuration in force, as if it had been read just now.
    void configure(cyclamen::relay_configuration configuration);
    cyclamen::relay_knowledge& knowledge() { return *knowledge_; }
    cyclamen::relay_port& relay() { return *relay_; }
    cyclamen::kernel& core() { return core_; }

private:
    std::uint16_t port_ = 0;
    cyclamen::kernel core_;
    cyclamen::relay_knowledge* knowledge_ = nullptr;
    cyclamen::relay_port* relay_ = nullptr;
    std::vector<std::unique_ptr<scripted_backend>> backends_;
    std::vector<std::unique_ptr<scripted_caller>> callers_;
};

/// A request of the kinds that `relay_harness::configuration` routes.
std::string get(const std::string& path, const std::string& headers = "");
std::string post(const std::string& path, const std::string& body, const std::string& headers = "");
/// A whole answer with a length, that echoes the request's id.
std::string answer_of(const std::string& id, const std::string& body, int status = 200,
                      const std::string& headers = "");
