#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamen::test {

using test_clock = std::chrono::steady_clock;

/// One execution of a request at a backend server.
struct execution {
    std::string attempt; // the caller's `Attempt-Id`
    std::string key;     // the caller's `Request-Key`, the same in each of its attempts
    test_clock::time_point response_began;
};

/// Backend server that records what it runs and answers after the time in the request's `Serve-Ms`:
/// plainly, or as an event stream if the path begins with `/stream/`.  The last line of each
/// complete body is `end`.
class recording_backend : public service {
public:
    recording_backend(kernel& core, net_address listen, std::string id,
                      std::vector<execution>& executions);

    std::string_view name() const override { return id_; }
    void start() override;
    nlohmann::json describe() const override;

    const net_address& address() const { return listen_; }
    const std::string& id() const { return id_; }

private:
    using exchange = std::shared_ptr<http_exchange>;

    void on_request(const exchange& caller);
    void stream_events(const exchange& caller, test_clock::time_point end);
    void defer(millis delay, std::function<void()> action);

    kernel& core_;
    net_address listen_;
    std::string id_;
    std::vector<execution>& executions_;
    std::unique_ptr<http_server> server_;
    std::map<std::uint64_t, kernel::timer> timers_;
    std::uint64_t next_timer_ = 0;
};

} // namespace cyclamen::test
