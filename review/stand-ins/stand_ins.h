// Stand-ins of the review: the platform's store, backend servers and callers, which speak what the
// users' pages say, and the start of the project's entry as a separate process.  Uses sockets and
// threads of the system only.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using milliseconds = std::chrono::milliseconds;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// The record of a case: lines with the time since its start.
class record_file {
public:
    explicit record_file(const std::string& path);
    void line(const std::string& text);
    milliseconds now() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point start_;
};

/// Waits until the condition holds; returns false after the time limit.
bool wait_until(milliseconds limit, const std::function<bool()>& condition);

/// A loopback address that no other process uses, one for each `host` from 1 to 7.
std::string loopback_address(unsigned host);
/// A free port at the address.
unsigned free_port(const std::string& ip);

struct http_head {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;

    std::string header(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// How a read from a channel ended.
enum class read_end { data, closed, reset, timeout };

/// One TCP connection.
class channel {
public:
    explicit channel(int socket);
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel();

    /// Connects; returns null if that fails.
    static std::unique_ptr<channel> connect(const std::string& ip, unsigned port);

    bool send(std::string_view data) const;
    /// Reads what arrives next into `buffer`.
    read_end fill(milliseconds limit);
    /// Reads a message head; returns nothing if the connection ends before.
    std::optional<http_head> read_head(milliseconds limit);
    /// Ends the connection while another thread may use it.
    void shut_down() const;
    /// Closes the connection with a reset.
    void reset();

    std::string buffer; // bytes that have arrived and are not used yet

private:
    std::atomic<int> socket_;
};

/// A request with its body, as a server has read it.
struct http_request {
    http_head head;
    std::string body;
};

/// Accepts connections and hands over the requests that arrive on them, in a thread for each.
class http_listener {
public:
    /// Returns whether the connection stays open.
    using handler = std::function<bool(channel& caller, const http_request& request)>;

    http_listener(std::string ip, unsigned port, handler on_request);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    ~http_listener();

    void start();
    /// Closes the listener and all connections.
    void stop();
    /// Closes the listener only; open requests go on.
    void stop_listening();

    const std::string& ip() const { return ip_; }
    unsigned port() const { return port_; }

private:
    void accept_all(int listening);
    void serve(const std::shared_ptr<channel>& caller);

    std::string ip_;
    unsigned port_;
    handler on_request_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::shared_ptr<channel>> open_;
    std::atomic<int> listening_ = -1;
    std::thread acceptor_;
};

/// The platform's metadata store: keyed logs of one partition.
class store {
public:
    explicit store(const std::string& ip);

    /// Appends a record; returns false while the store is down.
    bool put(const std::string& topic, const std::string& key, const std::string& value);
    void remove(const std::string& topic, const std::string& key);
    /// While it is down, the store answers 503 to every call (`busy`).
    void set_down(bool down);
    std::string address() const;

private:
    struct row {
        std::string key;
        std::optional<std::string> value;
    };

    bool handle(channel& caller, const http_request& request);
    bool list_newest(channel& caller, const http_request& request);
    bool read(channel& caller, const http_request& request);
    bool append(channel& caller, const http_request& request);
    void add(const std::string& topic, row added);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<row>> logs_;
    bool down_ = false;
    http_listener listener_;
};

struct backend_options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::string version = "v1"; // of its software
    unsigned slots = 64;
};

/// A backend server.  Runs the requests that name its id, and answers 421 to others.
class backend {
public:
    using handler = std::function<bool(channel& caller, const http_request& request)>;

    backend(store& platform, const std::string& ip, backend_options options, handler on_run);

    /// Starts a new incarnation, which registers itself as soon as the store takes its entry.
    void start();
    /// Ends the process: closes its listener and all its connections.
    void crash();
    void report_draining();
    /// Ends the process in order: removes its entry first.
    void leave();
    /// Writes the entry of this incarnation; returns false while the store is down.
    bool register_again();
    /// Software version of the incarnations that start from now on.
    void set_version(const std::string& version);
    std::string version() const;
    const std::string& id() const { return options_.id; }
    std::string address() const;

private:
    bool write_entry(const std::string& state);

    store& store_;
    mutable std::mutex mutex_;
    backend_options options_;
    unsigned sequence_ = 0;
    std::uint64_t born_ = 0;
    http_listener listener_;
};

struct route_options {
    std::string name;
    std::string prefix;
    std::string type; // safe, unsafe or streaming
    std::string service;
    unsigned max_attempts = 1;
    bool resumable = false;
    bool affinity = false;
    unsigned timeout_ms = 15000;
    unsigned target_ms = 800;
};

/// The operator's configuration of these routes.
std::string configuration(unsigned version, const std::vector<route_options>& routes,
                          const std::vector<std::string>& services);
extern const char* const host_name; // of all routes
extern const char* const api_key;   // of the only client account

struct entry_options {
    std::string program;
    std::string folder; // for its settings and its output
    std::string name;
    std::string ip;
    unsigned callers_port = 0;
    unsigned readiness_port = 0;
    unsigned peer_port = 0;
    std::vector<std::string> seeds;
    std::string store;
};

/// The project's entry as a separate process.
class entry_process {
public:
    explicit entry_process(entry_options options);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    ~entry_process();

    /// Call on the main thread: the process is killed when the thread that started it ends.
    void start();
    void signal(int number) const;
    /// Waits for the end of the process; returns its status as of waitpid, or nothing.
    std::optional<int> wait_for_exit(milliseconds limit);
    /// Whether its readiness check answers 200.
    bool ready() const;
    const entry_options& options() const { return options_; }

private:
    void write_settings() const;

    entry_options options_;
    pid_t pid_ = -1;
};

/// Options of `count` entries at loopback addresses of their own.
std::vector<entry_options> plan_entries(unsigned count, const std::string& program,
                                        const std::string& folder, const std::string& store);

/// How an answer ended, as its caller can tell.
enum class answer_end {
    whole,      // by its length or its last chunk
    closed,     // without a length or chunks, by an orderly end of the connection
    broken_off, // the connection ended in order before the answer was whole
    reset,
    timeout,
    none // no connection, or no answer began
};
const char* name_of(answer_end end);

struct answer {
    http_head head;
    std::string body;
    answer_end end = answer_end::none;

    bool success() const { return head.status() >= 200 && head.status() < 300; }
    /// Whether the caller has to take the answer for complete.
    bool looks_complete() const { return end == answer_end::whole || end == answer_end::closed; }
};

struct caller_request {
    std::string method = "POST";
    std::string path;
    std::string attempt_id;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    milliseconds budget{15000};
};

/// Sends a request on a new connection and reads its answer.  `on_body` is told the body so far.
answer call(const std::string& ip, unsigned port, const caller_request& request,
            const std::function<void(const answer&)>& on_body = nullptr);

/// Answers with the events of a stream from the one after `Last-Event-Id` on, in chunks; the data
/// of each is `text`.  Returns whether all were sent.
bool send_events(const channel& caller, const http_request& request, const std::string& text,
                 unsigned last, milliseconds interval);
/// An event of a stream, as its caller has got it.
struct stream_event {
    unsigned id = 0;
    std::string data;
};
/// The complete events in the body of an event stream.
std::vector<stream_event> events_of(const std::string& body);
std::string hexadecimal(std::uint64_t value);
std::uint64_t random_number();

/// What `run.sh` passes to a case.
struct case_arguments {
    std::string program; // the entry's command
    std::string folder;  // temporary
    std::string record;
    bool trouble = true;
};
case_arguments read_arguments(int count, char** values);

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

} // namespace review
