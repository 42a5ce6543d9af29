#pragma once

#include "connection_limiter.h"
#include "counters.h"
#include "latency_histograms.h"
#include "memory_budget.h"
#include "service.h"
#include "time_types.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
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
    std::string program;           // program name, for logs and the state dump
    std::string instance;          // instance name of this process
    std::uint64_t random_seed = 0; // 0: seeded from the system
    std::size_t connection_bytes =
        67108864; // that all connections hold together, see memory_budget
    /// Most connections of clients; lowered to what the limit of file descriptors leaves.
    std::size_t client_connections = connection_limiter_options{}.max_connections;
};

/// Core of a process: the event loop, the registry of services, timers, random numbers,
/// metrics and the graceful shutdown.  Owned by the program's main function.
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

    /// Registers a service, takes ownership and returns a reference to it.
    template <typename Service>
    Service& add(std::unique_ptr<Service> registered)
    {
        Service& reference = *registered;
        services_.push_back(std::move(registered));
        return reference;
    }

    /// Returns the service called `name`.  Throws `std::logic_error` if it is not registered and
    /// `std::bad_cast` if it has another type.
    template <typename Service>
    Service& find(std::string_view name)
    {
        return dynamic_cast<Service&>(lookup(name));
    }

    /// Starts all services and runs the event loop until stopped; returns the exit status.
    int run();
    /// Begins the graceful shutdown; a second call ends the event loop immediately.
    void stop();
    bool stopping() const { return stopping_; }

    event_base* loop() const { return loop_; }
    /// Time since boot.  It includes time in suspend, so that the age of state and the
    /// remaining time of deadlines are correct after a resume.
    millis now() const;
    /// Wall-clock time since the Unix epoch.
    millis wall_clock() const;
    /// Calls `action` once per `interval` until the returned timer is destroyed.
    [[nodiscard]] timer every(millis interval, std::function<void()> action);
    /// Calls `action` once after `delay`, unless the returned timer is destroyed before.
    [[nodiscard]] timer after(millis delay, std::function<void()> action);
    std::uint64_t random() { return random_(); }
    /// Uniformly distributed between 0.5 and 1.5 times `interval`.
    millis jittered(millis interval);

    /// The bytes that all connections hold together.
    memory_budget& memory() { return memory_; }
    /// The connections of clients of all HTTP servers.
    connection_limiter& clients() { return clients_; }
    counters& metrics() { return metrics_; }
    latency_histogram& latency(const std::string& name) { return latencies_.named(name); }
    /// Counters and histograms in the Prometheus text format.
    std::string metrics_text() const;
    const std::string& instance() const { return options_.instance; }
    /// Random number, never 0, that distinguishes this process from earlier ones with the same
    /// instance name.
    std::uint64_t incarnation() const { return incarnation_; }
    nlohmann::json describe() const;

    /// Called on SIGHUP.
    std::function<void()> on_reload;

private:
    service& lookup(std::string_view name);
    void check_idle();
    void on_log_flush();
    void on_client_closing(client_closing reason, std::size_t bytes);

    kernel_options options_;
    event_base* loop_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_;
    memory_budget memory_;
    connection_limiter clients_;
    counters metrics_;
    latency_histograms latencies_;
    timer log_flush_;
    millis log_flushed_at_{0};
    std::vector<std::unique_ptr<service>> services_;
    std::vector<event*> signals_;
    timer idle_check_;
    int idle_checks_ = 0; // consecutive checks that found every service idle
    bool stopping_ = false;
    int exit_status_ = 0;
};

} // namespace cyclamen
