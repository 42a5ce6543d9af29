#include "recording_backend.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace cyclamen::test {

namespace {

constexpr millis event_interval = 40ms;

} // namespace

recording_backend::recording_backend(kernel& core, net_address listen, std::string id,
                                     std::vector<execution>& executions)
    : core_(core), listen_(std::move(listen)), id_(std::move(id)), executions_(executions)
{
}

void recording_backend::start()
{
    server_ = std::make_unique<http_server>(core_.loop(), listen_, http_server_options{},
                                            [this](const exchange& caller) { on_request(caller); });
}

void recording_backend::defer(millis delay, std::function<void()> action)
{
    const std::uint64_t number = next_timer_++;
    timers_[number] = core_.after(delay, [this, number, action = std::move(action)] {
        const kernel::timer expired = std::move(timers_[number]);
        timers_.erase(number);
        action();
    });
}

void recording_backend::on_request(const exchange& caller)
{
    const std::string attempt = caller->header("Attempt-Id");
    const std::vector<http_header> echo{{"Attempt-Id", attempt}};
    if (caller->header("Expect-Instance") != id_) {
        caller->reply(421, "text/plain", "another server was expected\n", echo);
        return;
    }
    const std::size_t index = executions_.size();
    const auto now = test_clock::now();
    executions_.push_back({attempt, caller->header("Request-Key"), now});
    const millis duration(std::strtol(caller->header("Serve-Ms").c_str(), nullptr, 10));
    if (caller->path().starts_with("/stream/")) {
        caller->begin_stream(200, "text/event-stream", echo);
        stream_events(caller, now + duration);
        return;
    }
    defer(duration, [this, caller, echo, index] {
        executions_[index].response_began = test_clock::now();
        caller->reply(200, "text/plain", caller->body() + "\nend\n", echo);
    });
}

void recording_backend::stream_events(const exchange& caller, test_clock::time_point end)
{
    if (caller->closed()) {
        return;
    }
    const auto left = std::chrono::duration_cast<millis>(end - test_clock::now());
    if (left <= 0ms) {
        caller->write("id: 2\ndata: last\n\n:\nend\n\n");
        caller->end_stream();
        return;
    }
    caller->write("id: 1\ndata: more\n\n");
    defer(std::min(left, event_interval), [this, caller, end] { stream_events(caller, end); });
}

nlohmann::json recording_backend::describe() const
{
    return {{"running", timers_.size()}};
}

} // namespace cyclamen::test
