// Stand-ins for the users' platform, workers and clients, and ways to start the project's entry as
// a process.  They follow the users' pages; all addresses are loopback addresses.
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
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Names of headers and query fields are in lower case.
using fields = std::map<std::string, std::string>;

struct http_request {
    std::string method;
    std::string path;
    fields query;
    fields headers;
    std::string body;

    std::string header(const std::string& name) const;
    std::string field(const std::string& name) const;
};

/// One connection that a server has accepted.
class server_connection {
public:
    explicit server_connection(int socket) : socket_(socket) {}

    bool read(http_request& request);
    bool write(std::string_view bytes);
    bool reply(int status, const std::string& headers, std::string_view body);
    /// Whether the caller has closed the connection.
    bool closed() const;
    int socket() const { return socket_; }

private:
    int socket_;
    std::string input_;
};

/// A server with a thread for each connection.
class http_server {
public:
    using handler = std::function<void(server_connection&, const http_request&)>;

    http_server(std::string ip, std::uint16_t port, handler on_request);
    ~http_server() { stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const { return port_; }
    /// Ends as a process that is killed: the port refuses connections and the open ones are reset.
    void stop();
    bool stopped() const { return stopped_; }

private:
    void accept_connections();
    void serve(int socket);

    std::string ip_;
    std::uint16_t port_ = 0;
    handler on_request_;
    int listening_ = -1;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Writes what happened, with the time since the start, to `record.txt` and keeps count.
class record {
public:
    explicit record(const std::string& path);
    void note(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point start_ = steady::now();
};

enum class store_mode { normal, busy, silent };

/// The platform's metadata store: keyed topics with one partition.
class store {
public:
    explicit store(const std::string& ip);

    std::string address() const;
    void set_mode(store_mode mode);
    bool down() const { return mode_ != store_mode::normal; }
    /// Each answer takes this long.
    void set_delay(milliseconds delay) { delay_ = delay; }
    /// Appends a record as the operator or a worker does; an empty value drops the key.  Returns
    /// false while the store is down.
    bool put(const std::string& topic, const std::string& key, const std::string& value);
    /// The number of records of each topic, as a copy of the store holds them.
    std::map<std::string, std::size_t> copy();
    /// Comes back from a copy, after a moment in which the store was away.
    void restore(const std::map<std::string, std::size_t>& from);
    /// Deletes all records of the topic; the newest of each key stays in listings.
    void compact(const std::string& topic);
    /// Number of records that the topic has held.
    std::size_t appended(const std::string& topic);

private:
    struct entry {
        std::string key;
        std::string value;
    };

    void on_request(server_connection& caller, const http_request& request);
    std::string head() const;
    void list_newest(server_connection& caller, const std::string& topic, const std::string& after);
    void read(server_connection& caller, const http_request& request, const std::string& topic);
    void append(server_connection& caller, const http_request& request, const std::string& topic);

    std::string ip_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
    std::map<std::string, std::size_t> first_; // offsets of the first records that are retained
    std::atomic<store_mode> mode_ = store_mode::normal;
    std::atomic<unsigned> era_ = 1;
    std::atomic<milliseconds> delay_{0ms};
    http_server server_;
};

struct worker_options {
    std::string id;
    std::string ip;
    std::string version = "v1"; // of its software
    std::string zone = "zone-a";
    std::string service = "model";
    unsigned capacity = 64;
    milliseconds heartbeat = 1200ms;
};

/// A worker that registers in the store and serves event streams and plain requests.  The path's
/// last part of a stream is `EVENTS-GAP`: their number and the ms between two of them.
class worker {
public:
    worker(store& platform, record& log, worker_options options);
    ~worker() { end(); }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Starts at the address that it had before, if any.
    void start(const std::string& version);
    /// Ends without a word.  Its entry is removed after three check-in intervals.
    void crash();
    /// Leaves without reporting `draining`: its entry is removed, and it serves on.
    void leave_unsaid();
    unsigned runs() const { return runs_; }
    unsigned streaming() const { return streaming_; }
    const std::string& id() const { return options_.id; }
    std::function<void(const std::string& attempt, const std::string& version)> on_run;

private:
    void end();
    void beat();
    bool write_entry();
    void on_request(server_connection& caller, const http_request& request);
    void stream(server_connection& caller, const http_request& request, const std::string& head);

    store& platform_;
    record& log_;
    worker_options options_;
    std::uint16_t port_ = 0;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::atomic<unsigned> runs_ = 0;
    std::atomic<unsigned> streaming_ = 0;
    std::atomic<bool> up_ = false;
    std::atomic<bool> ended_ = false;
    std::atomic<bool> leaving_ = false;
    bool listed_ = false;
    steady::time_point last_beat_{};
    std::mutex mutex_;
    std::condition_variable wake_;
    std::unique_ptr<http_server> server_;
    std::thread beats_;
};

/// What a client saw of one attempt.
struct client_result {
    int status = 0; // 0: no answer
    bool complete = false;
    std::string body; // without the chunks' frames
    fields headers;
    bool refused = false; // the connection was not established
};

struct client_request {
    std::string ip;
    std::uint16_t port = 0;
    std::string method = "POST";
    std::string path;
    std::vector<std::string> headers; // lines
    std::string body;
    milliseconds limit = 20000ms;
    std::function<void(const client_result& so_far)> on_data;
};

/// Sends one request on a new connection and reads its answer.
client_result send_request(const client_request& request);

struct event {
    std::string id;
    std::string data;
};

/// The complete events of a stream.
std::vector<event> events_of(const std::string& body);

struct entry_options {
    std::string name;
    std::string ip;
    std::string zone = "zone-a";
    std::string store;
    std::vector<std::string> seeds; // IP:PORT
    int heartbeat_ms = 1200;
};

inline constexpr std::uint16_t frontend_port = 8227;
inline constexpr std::uint16_t readiness_port = 8220;
inline constexpr std::uint16_t control_port = 8229;
inline constexpr std::uint16_t first_peer_port = 7340;

/// The project's entry, started by the command of the deploy file.
class entry_process {
public:
    entry_process(std::string folder, entry_options options);
    ~entry_process() { end(); }
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    void start();
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void end();
    bool ready() const;
    bool running();
    const std::string& ip() const { return options_.ip; }
    const std::string& name() const { return options_.name; }

private:
    std::string folder_;
    entry_options options_;
    pid_t process_ = -1;
};

/// An unused part of the loopback network for this run: `address(n)` for n from 1 to 250.
class loopback_net {
public:
    loopback_net();
    std::string address(unsigned number) const;

private:
    std::string prefix_;
};

/// A temporary folder that goes with the object.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// Waits until the condition holds; returns false at the end of the time limit.
bool wait_for(milliseconds limit, const std::function<bool()>& condition);
/// Whether the run is to have the disruption: `TROUBLE` is not 0.
bool with_trouble();
/// Ends the process with status 2 after this time.
void limit_run(unsigned seconds);
std::string random_id();

/// Prints the reason and ends a run that could not take place.
class cannot_run : public std::exception {
public:
    explicit cannot_run(std::string why) : why_(std::move(why)) {}
    const char* what() const noexcept override { return why_.c_str(); }

private:
    std::string why_;
};

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int run_case(const std::function<bool()>& rule_held);

} // namespace review
