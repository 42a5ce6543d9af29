#pragma once

#include "counters.h"
#include "latency_histograms.h"
#include "service.h"
#include "time_types.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

struct event;
struct event_base;

namespace cyclamen {

struct kernel_options {
    std::string program;           // for logs
    std::string instance;          // name of this process
    std::uint64_t random_seed = 0; // 0 takes one from the system
};

/// The small core of a process: one event loop, its services by name, timers, random
/// numbers and the graceful stop.  Owned by the program's main.
class kernel {
public:
    /// A pending timer; cancelled when destroyed.
    class timer {
    public:
        timer() = default;
        timer(event_base* loop, millis interval, bool repeat, std::function<void()> action);

    private:
        struct state;
        std::shared_ptr<state> state_;
    };

    explicit kernel(kernel_options options);
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    ~kernel();

    /// Registers a service and returns it.
    template <typename Service>
    Service& add(std::unique_ptr<Service> part)
    {
        Service& reference = *part;
        services_.push_back(std::move(part));
        return reference;
    }

    /// The service called `name`; it has to be registered and of this type.
    template <typename Service>
    Service& find(std::string_view name)
    {
        return dynamic_cast<Service&>(lookup(name));
    }

    /// Starts all services and runs until stopped; returns the exit status.
    int run();
    /// Begins a graceful stop; a second call ends the process at once.
    void stop();
    bool stopping() const { return stopping_; }

    event_base* loop() const { return loop_; }
    /// Time since the system started.  It goes on while the system is suspended, so that
    /// knowledge and deadlines have their true age after that.
    millis now() const;
    /// Wall-clock time since 1970.
    millis wall_clock() const;
    [[nodiscard]] timer every(millis interval, std::function<void()> action);
    [[nodiscard]] timer after(millis delay, std::function<void()> action);
    std::uint64_t random() { return random_(); }
    /// Evenly spread between half and one and a half times `interval`.
    millis jittered(millis interval);

    counters& metrics() { return metrics_; }
    latency_histogram& latency(const std::string& name) { return latencies_.named(name); }
    /// Counters and histograms in the Prometheus text format.
    std::string metrics_text() const;
    const std::string& instance() const { return options_.instance; }
    /// Identifies this process among all that ever had this name.
    std::uint64_t incarnation() const { return incarnation_; }
    nlohmann::json describe() const;

    /// Called on SIGHUP.
    std::function<void()> on_reload;

private:
    service& lookup(std::string_view name);
    void check_idle();

    kernel_options options_;
    event_base* loop_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_;
    counters metrics_;
    latency_histograms latencies_;
    timer log_flush_;
    std::vector<std::unique_ptr<service>> services_;
    std::vector<event*> signals_;
    timer idle_check_;
    bool stopping_ = false;
    int status_ = 0;
};

} // namespace cyclamen
