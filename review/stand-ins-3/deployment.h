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
#include <thread>
#include <vector>

// Stand-ins for the users' platform, and what a script needs to start the entry as a process.
// Everything listens on loopback addresses of one random network 127.A.B.0.
namespace review {

using clock = std::chrono::steady_clock;
using millis = std::chrono::milliseconds;

struct endpoint {
    std::string host;
    unsigned port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

// Exit statuses of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Whether the script includes the disruption (`TROUBLE` is not 0).
bool with_trouble();
/// An address of this run's loopback network.
std::string loopback(unsigned last);
/// Waits until the condition holds; false after `limit`.
bool wait_until(const std::function<bool()>& condition, millis limit);
/// Milliseconds since the Unix epoch.
std::uint64_t unix_ms();

/// Lines of record.txt, with the time since the start.
class recorder {
public:
    explicit recorder(const std::string& path);
    void line(const std::string& text);
    millis now() const;

private:
    std::mutex lock_;
    std::ofstream file_;
    clock::time_point began_ = clock::now();
};

/// Head and body of an HTTP/1.1 message.  Names of headers are in lower case.
struct message {
    std::string start; // request line or status line
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false;
    std::string header(const std::string& name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

/// A blocking TCP socket.
class stream_socket {
public:
    explicit stream_socket(int handle = -1) : handle_(handle) {}
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;
    ~stream_socket();

    bool connect(const endpoint& to);
    bool send(const std::string& text) const;
    /// Reads more bytes into `buffer`; false at the end, an error or after `limit`.
    bool read(std::string& buffer, millis limit) const;
    /// Reads a head and, by its length or chunks, a body.  `on_body` gets the body as it comes.
    std::optional<message> receive(millis limit,
                                   const std::function<void(const std::string&)>& on_body = {});
    /// Ends the connection with a reset; safe from another thread.
    void reset() const;
    void close();

private:
    int handle_;
    std::string unread_;
};

/// Accepts connections, each of which is handled in a thread of its own.
class listener {
public:
    listener(endpoint at, std::function<void(stream_socket&)> handle);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

private:
    void accept_all();

    std::function<void(stream_socket&)> handle_;
    int socket_ = -1;
    std::mutex lock_;
    std::set<std::shared_ptr<stream_socket>> open_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> running_ = 0;
    std::thread acceptor_;
};

/// The metadata store, as PROTOCOL.md describes it: logs of one partition.
class store {
public:
    store(recorder& record, endpoint at);
    ~store();

    endpoint address() const { return address_; }
    /// Appends a record; false while the store is down.
    bool put(const std::string& topic, const std::string& key, const std::string& value);
    /// Whether the topic has a record of this key.
    bool holds(const std::string& topic, const std::string& key);
    /// Number of callers that wait at the end of the topic: they have read all of it.
    unsigned entries_read(const std::string& topic);
    /// Deletes the topic's records from the log; the newest of each key is retained.
    void compact(const std::string& topic);
    /// While it is down, it answers each call with 503.
    void set_down(bool down);
    bool down() const { return down_; }

private:
    struct entry {
        std::string key;
        std::string value;
    };
    void serve(stream_socket& caller);
    std::string answer(const message& request);
    std::string newest(const std::string& topic);
    std::string read(const std::string& topic, std::size_t from, millis wait);
    std::string append(const std::string& topic, const std::string& at, const std::string& body);

    recorder& record_;
    endpoint address_;
    std::mutex lock_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> logs_;
    std::map<std::string, std::size_t> first_;                  // retained offset, by topic
    std::map<std::string, std::multiset<std::size_t>> waiting_; // offsets of open reads, by topic
    std::atomic<bool> down_ = false;
    std::atomic<bool> stopping_ = false;
    std::unique_ptr<listener> listener_;
};

/// What a worker was asked to run.
struct run_request {
    message request;
    std::string worker;
    std::string version;
};

/// A worker.  `serve` writes the answer to a request that it runs and returns whether the
/// connection may be kept.
class worker {
public:
    using handler = std::function<bool(const run_request&, stream_socket&)>;
    struct options {
        std::string id;
        std::string service;
        std::string version;
        std::string zone = "zone-a";
        endpoint address;
        unsigned capacity = 64;
        millis check_in{1200};
    };

    worker(recorder& record, store& platform, options given, handler serve);
    ~worker();

    /// Starts an incarnation.  It registers itself at once, or as soon as the store answers.
    void start(const std::string& version);
    /// Removes its entry without a word; it goes on serving until it ends.
    void leave();
    /// Ends it: all of its connections are reset, and nothing listens any more.
    void crash();
    const options& given() const { return given_; }
    std::string version() const;
    unsigned running() const { return running_; }
    /// Whether the store has an entry of the present incarnation.
    bool registered() const { return registered_; }

private:
    void serve(stream_socket& caller);
    void check_in();
    std::string entry();

    recorder& record_;
    store& platform_;
    options given_;
    handler handle_;
    mutable std::mutex lock_;
    std::condition_variable stopped_;
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    bool alive_ = false;
    bool left_ = false;
    std::atomic<unsigned> running_ = 0;
    std::atomic<bool> registered_ = false;
    std::unique_ptr<listener> listener_;
    std::thread registrar_;
};

/// The project's entry as a process, with the command of the deploy file.
class entry_process {
public:
    entry_process(recorder& record, std::string name, std::string ip, std::string zone,
                  endpoint platform, std::vector<std::string> seeds, const std::string& folder);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    ~entry_process();

    void start();
    void signal(int number) const;
    /// Kills it by its id, and waits for its end.
    void kill();
    bool ready() const;
    bool running();
    endpoint callers() const { return {ip_, 8227}; }

private:
    recorder& record_;
    std::string name_;
    std::string ip_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

/// A temporary folder, removed at the end.
class scratch_folder {
public:
    scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder();
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

} // namespace review
