#pragma once

#include "client_connection.h"
#include "net_address.h"
#include "time_types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace cyclamen {

/// Request to another server.
struct http_client_request {
    net_address server;
    std::string method = "GET";
    std::string target = "/"; // path and query string
    std::string content_type;
    std::string body;
    std::vector<http_header> headers;
    // Maximum time to connect, and maximum time without receiving any part of the response.
    millis timeout = 5000ms;
    millis max_time{0}; // maximum time of the whole call; 0 for no limit
    // A call whose response has a longer body ends as `lost`.
    std::size_t max_body_bytes = client_connection_options{}.max_body_bytes;
};

/// Response that was received completely, or the partial response of a call that failed.
struct http_response {
    http_call_result end = http_call_result::lost;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// HTTP call in progress. Destroying it closes the connection without calling the handlers.
class http_call {
public:
    struct handlers {
        std::function<void(int status, const std::string& content_type)> on_head;
        std::function<void(std::string_view data)> on_data;
        std::function<void(http_call_result end)> on_end; // called once, after all other callbacks
    };

    http_call(event_base* loop, const http_client_request& request, handlers receivers);
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    ~http_call();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Makes calls and collects their responses. Sets its own limits of the total time and of the size
/// of the body. Destroying it closes the connections of its calls in progress without calling
/// `on_response`; that function may destroy it.
class http_fetcher {
public:
    explicit http_fetcher(event_base* loop) : loop_(loop) {}
    http_fetcher(const http_fetcher&) = delete;
    http_fetcher& operator=(const http_fetcher&) = delete;
    ~http_fetcher() = default;

    void fetch(http_client_request request, std::function<void(const http_response&)> on_response);

private:
    struct pending_call {
        http_response response;
        std::unique_ptr<http_call> call;
    };

    event_base* loop_;
    std::uint64_t next_call_ = 1;
    std::map<std::uint64_t, pending_call> calls_; // in progress
};

} // namespace cyclamen
