#include "kernel.h"

#include "contained_errors.h"
#include "event_log.h"
#include "event_time.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <csignal>
#include <ctime>
#include <optional>
#include <stdexcept>

namespace cyclamen {

namespace {

constexpr millis idle_check_interval = 20ms;
// An iteration each to accept a waiting connection and to read its request, which is processed
// after the timers of that iteration; the check of the next iteration sees it.
constexpr int idle_checks_before_exit = 3;
constexpr millis log_flush_interval = 100ms;
// Delays of the event loop above this are logged; callers notice them.
constexpr millis logged_loop_delay = 100ms;
constexpr int forced_stop_status = 3;

std::size_t descriptor_limit()
{
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : 1024;
}

void on_stop_signal(evutil_socket_t /*signal*/, short /*what*/, void* user)
{
    static_cast<kernel*>(user)->stop();
}

void on_reload_signal(evutil_socket_t /*signal*/, short /*what*/, void* user)
{
    const auto* core = static_cast<kernel*>(user);
    if (core->on_reload) {
        contain_errors("reload", core->on_reload);
    }
}

millis time_since_boot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<millis>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

struct kernel::timer::state {
    event* handle = nullptr;
    std::optional<millis> due; // of a timer that does not repeat
    std::function<void()> action;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state()
    {
        if (handle != nullptr) {
            event_free(handle);
        }
    }

    static void fire(evutil_socket_t /*socket*/, short /*what*/, void* user)
    {
        const auto* self = static_cast<state*>(user);
        // libevent reads a clock that advances by the kernel's tick, which may be several ms.
        const millis early = self->due ? *self->due - time_since_boot() : 0ms;
        if (early > 0ms) {
            const timeval rest = to_timeval(early);
            event_add(self->handle, &rest);
            return;
        }
        // The action may destroy the timer and with it the stored function, so a copy is called.
        const std::function<void()> action = self->action;
        contain_errors("timer", action);
    }
};

kernel::timer::timer(event_base* loop, millis interval, bool repeat, std::function<void()> action)
    : state_(std::make_shared<state>())
{
    state_->action = std::move(action);
    const auto flags = static_cast<short>(repeat ? EV_PERSIST : 0);
    state_->handle = event_new(loop, -1, flags, &state::fire, state_.get());
    if (!repeat) {
        state_->due = time_since_boot() + interval;
    }
    const timeval delay = to_timeval(interval);
    // libevent counts a timer from the start of the loop's iteration, which may be long ago.
    event_base_update_cache_time(loop);
    event_add(state_->handle, &delay);
}

kernel::kernel(kernel_options options)
    : options_(std::move(options)), loop_(event_base_new()),
      random_(options_.random_seed != 0
                  ? options_.random_seed
                  : (std::uint64_t{std::random_device{}()} << 32U) ^ std::random_device{}()),
      incarnation_(random_() | 1U), memory_(options_.connection_bytes),
      clients_(memory_, {.max_connections =
                             connections_within(descriptor_limit(), options_.client_connections)})
{
    clients_.on_closing = [this](client_closing reason, std::size_t bytes) {
        on_client_closing(reason, bytes);
    };
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    for (const int number : {SIGTERM, SIGINT}) {
        event* handle = evsignal_new(loop_, number, on_stop_signal, this);
        event_add(handle, nullptr);
        signals_.push_back(handle);
    }
    event* reload = evsignal_new(loop_, SIGHUP, on_reload_signal, this);
    event_add(reload, nullptr);
    signals_.push_back(reload);
    set_event_buffering(true);
    log_flush_ = every(log_flush_interval, [this] { on_log_flush(); });
}

void kernel::on_client_closing(client_closing reason, std::size_t bytes)
{
    ++metrics_.named(fmt::format("clients_closed_for_{}", name_of(reason)));
    log_event(event_id::client_closed, "reason={} bytes={} connections={} held_bytes={}",
              name_of(reason), bytes, clients_.connections(), memory_.used());
}

kernel::~kernel()
{
    idle_check_ = timer();
    log_flush_ = timer();
    set_event_buffering(false);
    flush_events();
    while (!services_.empty()) {
        services_.pop_back();
    }
    for (event* handle : signals_) {
        event_free(handle);
    }
    event_base_free(loop_);
}

void kernel::on_log_flush()
{
    const millis late = now() - log_flushed_at_ - log_flush_interval;
    if (log_flushed_at_ > 0ms && late > logged_loop_delay) {
        ++metrics_.named("loop_delays");
        log_event(event_id::loop_delayed, "ms={}", late.count());
    }
    log_flushed_at_ = now();
    flush_events();
}

service& kernel::lookup(std::string_view name)
{
    for (const auto& registered : services_) {
        if (registered->name() == name) {
            return *registered;
        }
    }
    throw std::logic_error("no service registered with the name " + std::string(name));
}

int kernel::run()
{
    log_event(event_id::process_started, "program={} instance={} incarnation={:016x}",
              options_.program, options_.instance, incarnation_);
    for (const auto& registered : services_) {
        registered->start();
    }
    event_base_dispatch(loop_);
    log_event(event_id::process_stopped, "program={} instance={} status={}", options_.program,
              options_.instance, exit_status_);
    return exit_status_;
}

void kernel::stop()
{
    if (stopping_) {
        exit_status_ = forced_stop_status;
        event_base_loopbreak(loop_);
        return;
    }
    stopping_ = true;
    log_event(event_id::process_stopping, "program={} instance={}", options_.program,
              options_.instance);
    for (const auto& registered : services_) {
        registered->begin_stop();
    }
    idle_check_ = every(idle_check_interval, [this] { check_idle(); });
}

void kernel::check_idle()
{
    for (const auto& registered : services_) {
        if (!registered->idle()) {
            idle_checks_ = 0;
            return;
        }
    }
    if (++idle_checks_ < idle_checks_before_exit) {
        return;
    }
    event_base_loopbreak(loop_);
}

millis kernel::now() const
{
    return time_since_boot();
}

std::string kernel::metrics_text() const
{
    return metrics_.text() + latencies_.text();
}

millis kernel::wall_clock() const
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch());
}

kernel::timer kernel::every(millis interval, std::function<void()> action)
{
    return {loop_, interval, true, std::move(action)};
}

kernel::timer kernel::after(millis delay, std::function<void()> action)
{
    return {loop_, delay, false, std::move(action)};
}

millis kernel::jittered(millis interval)
{
    const auto span = static_cast<std::uint64_t>(interval.count()) + 1;
    return millis(interval.count() / 2 + static_cast<std::int64_t>(random_() % span));
}

nlohmann::json kernel::describe() const
{
    nlohmann::json dump{{"program", options_.program},
                        {"instance", options_.instance},
                        {"incarnation", incarnation_},
                        {"stopping", stopping_},
                        {"client_connections", clients_.connections()},
                        {"held_bytes", memory_.used()}};
    for (const auto& registered : services_) {
        dump["services"][std::string(registered->name())] = registered->describe();
    }
    return dump;
}

} // namespace cyclamen
