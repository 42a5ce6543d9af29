#pragma once

#include "client_connection.h"
#include "net_address.h"
#include "time_types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace cyclamen {

/// A request to another server.
struct http_client_request {
    net_address server;
    std::string method = "GET";
    std::string target = "/"; // path and query
    std::string content_type;
    std::string body;
    std::vector<http_header> headers;
    millis timeout = 5000ms; // without any byte sent or received
};

/// An answer that was collected whole.
struct http_answer {
    http_end end = http_end::lost;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// A call on its way; destroying it closes the connection and reports nothing.
class http_call {
public:
    struct handlers {
        std::function<void(int status, const std::string& content_type)> on_head;
        std::function<void(std::string_view data)> on_data;
        std::function<void(http_end end)> on_end; // called once, last
    };

    http_call(event_base* loop, const http_client_request& request, handlers receivers);
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    ~http_call();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Makes a call and hands over its whole answer; the call ends by itself.
void fetch(event_base* loop, const http_client_request& request,
           std::function<void(const http_answer&)> on_answer);

} // namespace cyclamen
