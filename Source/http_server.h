#pragma once

#include "connection_limiter.h"
#include "http_message.h"
#include "net_address.h"
#include "time_types.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace cyclamen {

class http_server;

/// Request received by a server, with the means to respond to it. Ownership is shared between the
/// code that responds and, until the response ends, the object itself. `on_closed` reports that the
/// caller has disconnected.
class http_exchange {
public:
    explicit http_exchange(evhttp_request* request);
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    ~http_exchange();

    const std::string& method() const { return method_; }
    const std::string& path() const { return path_; }   // without the query string
    const std::string& query() const { return query_; } // without the `?`
    const std::string& body() const { return body_; }
    /// Returns the value of a request header. Returns an empty string if the header is missing or
    /// the exchange is closed.
    std::string header(const char* name) const;

    /// Sends a complete response.
    void reply(int status, const std::string& content_type, std::string_view body,
               const std::vector<http_header>& headers = {});
    /// Starts a response with chunked encoding.
    void begin_stream(int status, const std::string& content_type,
                      const std::vector<http_header>& headers = {});
    /// Sends a chunk of a response begun with `begin_stream()`.
    void write(std::string_view data);
    void end_stream();
    /// Closes the connection in the middle of a response, after the chunks written so far have been
    /// sent, so that the caller can detect that the response is incomplete.
    void abort();

    /// True if the response has ended or was aborted, or the caller has disconnected.
    bool closed() const { return request_ == nullptr || aborting_; }

    /// Called once if the caller disconnects before the response is complete.
    std::function<void()> on_closed;
    /// Called when all written bytes have been passed to the socket.
    std::function<void()> on_drained;

private:
    friend class http_server;
    struct exchange_tracker;
    void add_headers(const std::string& content_type, const std::vector<http_header>& headers);
    void on_caller_disconnected();
    static void on_written(evhttp_connection* connection, void* user);
    void close_connection();
    /// Ends the response if the request could not be handled.
    void end_after_error();
    void detach();

    evhttp_request* request_;
    std::string method_;
    std::string path_;
    std::string query_;
    std::string body_;
    http_server* server_ = nullptr; // outlives `request_`
    bool chunk_pending_ = false;    // a written chunk has not been passed to the socket
    bool aborting_ = false;
    std::shared_ptr<http_exchange> self_; // keeps the object alive while the connection may call it
};

struct http_server_options {
    std::size_t max_body_bytes = 4194304;
    std::size_t max_header_bytes = 16384;
    millis idle_timeout = 120000ms; // rounded down to whole seconds
    /// Limits that hold for all servers of the process; null: no limits. Outlives the server.
    connection_limiter* clients = nullptr;
};

/// HTTP/1.1 server that runs on a libevent loop. Owned by a service.
class http_server {
public:
    using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

    /// Listens at `address`; throws std::runtime_error if binding fails.
    http_server(event_base* loop, const net_address& address, http_server_options options,
                handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// From now on, responses carry `Connection: close`, so that callers open a new connection for
    /// their next request.
    void begin_stop() { stopping_ = true; }

    /// Closes the listener if no connection waits to be accepted.  Returns false otherwise; the
    /// event loop then accepts the connections, and the function is to be called again.
    bool try_close_listener();
    bool listening() const { return listener_ != nullptr; }

    /// Time since a connection was accepted or bytes of any connection were read or written.
    millis quiet_time() const;

    /// Number of requests whose response has not been sent completely.
    std::size_t open_requests() const { return open_; }

private:
    friend class http_exchange;
    struct client;
    void on_accepted();
    void close(client& closed, client_closing reason);
    static void on_deferred(int socket, short what, void* user);
    static void on_client_closed(evhttp_connection* connection, void* user);
    static void on_evhttp_request(evhttp_request* request, void* user);
    static bufferevent* on_accept(event_base* loop, void* user);
    static void on_input(evbuffer* buffer, const evbuffer_cb_info* change, void* user);
    static void on_output(evbuffer* buffer, const evbuffer_cb_info* change, void* user);

    memory_budget unlimited_memory_;
    connection_limiter unlimited_;
    connection_limiter& limiter_;
    std::size_t max_request_bytes_;
    std::map<bufferevent*, std::unique_ptr<client>> clients_;
    std::vector<client*> accepted_; // whose evhttp connection is not known yet
    event* deferred_;               // ends connections outside of the callbacks of libevent
    evhttp* http_;
    evhttp_bound_socket* listener_ = nullptr;
    std::chrono::steady_clock::time_point last_transfer_ = std::chrono::steady_clock::now();
    handler on_request_;
    std::size_t open_ = 0;
    std::set<evhttp_request*> delimited_; // whose begun responses end with their connections
    bool stopping_ = false;
};

} // namespace cyclamen
