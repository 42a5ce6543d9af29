#include "relay_server.h"

#include "contained_errors.h"
#include "event_log.h"
#include "relay_state.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <cerrno>
#include <iterator>
#include <set>
#include <stdexcept>

namespace cyclamen {

namespace {

constexpr millis sweep_interval = 250ms;
// Unfinished bodies that hold less are no use to others.
constexpr std::size_t least_freed_bytes = 16384;
// Mean Retry-After of requests that are given up or refused for others.
constexpr millis crowded_retry_after = 500ms;
constexpr int unavailable = 503;
// Connections waiting to be accepted.  If the backlog is full, a caller's first packet is dropped
// and retransmitted only after a second or more.
constexpr int listen_backlog = 1024;
// Time to write the last responses after open requests were aborted, before the process exits.
constexpr millis flush_time = 150ms;
// Time, and share of the grace period, in which requests are accepted whatever their deadlines:
// most end long before these, and a refusal uses up one of the caller's few attempts.  Later ones
// are refused if they may still run when the process exits.
constexpr double unconditional_share = 0.35;
constexpr millis max_unconditional_time = 2800ms;

} // namespace

relay_server::relay_server(kernel& core, relay_server_options options, header_codec codec)
    : core_(core), options_(std::move(options)), codec_(std::move(codec)),
      chooser_(options_.chooser), connections_(core, options_.connections),
      retries_(options_.limits.retries)
{
}

relay_server::~relay_server()
{
    stop_listening();
}

void relay_server::stop_listening()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
        listener_ = nullptr;
    }
}

void relay_server::start()
{
    state_ = &core_.find<relay_state>("knowledge");
    context_ = std::make_unique<relay_context>(relay_context{
        .core = core_,
        .state = *state_,
        .chooser = chooser_,
        .connections = connections_,
        .retries = retries_,
        .codec = codec_,
        .can_finish = [this](millis deadline) { return can_finish(deadline); },
        .options = options_.exchange,
        .rollouts = rollouts_,
    });
    sockaddr_storage address{};
    int length = sizeof address;
    if (evutil_parse_sockaddr_port(options_.listen.text().c_str(),
                                   reinterpret_cast<sockaddr*>(&address), &length) == 0) {
        listener_ = evconnlistener_new_bind(
            core_.loop(),
            [](evconnlistener* /*listener*/, evutil_socket_t socket, sockaddr* /*from*/,
               int /*length*/, void* user) {
                contain_errors("connection",
                               [&] { static_cast<relay_server*>(user)->accept(socket); });
            },
            this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, listen_backlog,
            reinterpret_cast<sockaddr*>(&address), length);
    }
    if (listener_ == nullptr) {
        throw std::runtime_error("cannot listen for callers at " + options_.listen.text() +
                                 ": check whether another process uses the port");
    }
    set_limits(options_.limits);
    sweep_timer_ = core_.every(sweep_interval, [this] { sweep(); });
}

bool relay_server::ready() const
{
    return !stopping_since_ && state_ != nullptr && state_->is_complete();
}

void relay_server::set_limits(const relay_limits& limits)
{
    options_.limits = limits;
    chooser_.set_load_multiple(limits.load_multiple);
    chooser_.set_even_load(limits.even_load);
    retries_.set_options(limits.retries);
}

void relay_server::set_entries(unsigned entries)
{
    entries_ = entries;
    chooser_.set_entries(entries);
    retries_.set_entries(entries);
}

void relay_server::accept(int socket)
{
    if (callers_.size() >= options_.max_callers || !make_connection_room()) {
        ++core_.metrics().named("callers_turned_away");
        evutil_closesocket(socket);
        return;
    }
    ++core_.metrics().named("caller_connections");
    auto connection = std::make_unique<caller_connection>(
        core_, socket,
        caller_connection::hooks{
            .limits =
                [this] {
                    const auto routes = state_->routes();
                    return routes == nullptr ? caller_limits{} : routes->limits();
                },
            .on_request = [this](caller_connection& from) { on_request(from); },
            .on_refused =
                [this](caller_connection& /*from*/, const relay_refusal& why) {
                    ++core_.metrics().named("requests_unreadable");
                    log_event(event_id::request_unreadable, "status={} reason={}", why.status,
                              why.reason);
                },
            .make_room = [this](std::size_t bytes) { make_memory_room(bytes); },
            .on_closed =
                [this](caller_connection& from) {
                    const auto found = callers_.find(&from);
                    if (found->second.exchange != nullptr) {
                        return; // the exchange is notified by `on_disconnected` and ends
                    }
                    closed_connections_.push_back(std::move(found->second.connection));
                    callers_.erase(found);
                    schedule_cleanup();
                }});
    if (stopping_since_) {
        connection->close_after_response();
    }
    caller_connection* key = connection.get();
    callers_[key].connection = std::move(connection);
}

std::vector<client_candidate> relay_server::candidates() const
{
    std::vector<client_candidate> result;
    result.reserve(callers_.size());
    for (const auto& [key, caller_state] : callers_) {
        result.push_back(key->candidate());
    }
    return result;
}

// Gives up the caller with this index in `clients`.
void relay_server::give_up(const std::vector<client_candidate>& clients, std::size_t index,
                           const std::string& reason)
{
    log_event(event_id::caller_given_up, "reason={} quiet_ms={}", reason,
              (core_.now() - clients[index].progress_at).count());
    std::next(callers_.begin(), static_cast<std::ptrdiff_t>(index))
        ->first->give_up({.status = unavailable,
                          .reason = reason,
                          .retry_after = core_.jittered(crowded_retry_after)});
}

void relay_server::make_memory_room(std::size_t bytes)
{
    memory_budget& memory = core_.memory();
    while (memory.used() + bytes > memory.limit()) {
        const std::vector<client_candidate> clients = candidates();
        const auto found = longest_stalled(clients, core_.now(), least_freed_bytes);
        if (!found) {
            return;
        }
        ++core_.metrics().named("requests_given_up_for_memory");
        give_up(clients, *found, "out_of_memory");
    }
}

// Connections to callers and backend servers; an upper bound while that is below the limit.
std::size_t relay_server::open_connections() const
{
    const std::size_t most = 2 * callers_.size() + connections_.idle();
    if (most < options_.max_connections) {
        return most; // the usual case: exact only where it matters, as callers may be thousands
    }
    std::size_t exchanges = 0;
    for (const auto& [key, caller_state] : callers_) {
        exchanges += caller_state.exchange != nullptr ? 1 : 0;
    }
    return callers_.size() + exchanges + connections_.idle();
}

// Closes connections that others need more until one more fits.  Returns whether it does.
bool relay_server::make_connection_room()
{
    if (options_.max_connections == 0 || open_connections() < options_.max_connections) {
        return true;
    }
    connections_.evict_expired({});
    if (open_connections() < options_.max_connections) {
        return true;
    }
    const std::vector<client_candidate> clients = candidates();
    auto found = longest_idle(clients);
    if (!found) {
        found = longest_stalled(clients, core_.now(), 0);
    }
    if (!found) {
        return false;
    }
    ++core_.metrics().named("callers_given_up_for_others");
    give_up(clients, *found, "out_of_connections");
    return open_connections() < options_.max_connections;
}

// Closing the listener would reset the connections that wait to be accepted.
void relay_server::accept_pending()
{
    const evutil_socket_t listening = evconnlistener_get_fd(listener_);
    while (true) {
        const int socket = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            accept(socket);
            continue;
        }
        if (errno != EINTR && errno != ECONNABORTED) {
            return;
        }
    }
}

void relay_server::on_request(caller_connection& from)
{
    ++core_.metrics().named("requests_taken");
    if (!make_connection_room()) {
        ++core_.metrics().named("requests_refused_for_connections");
        from.close_after_response();
        from.refuse({.status = unavailable,
                     .reason = "out_of_connections",
                     .retry_after = core_.jittered(crowded_retry_after)});
        return;
    }
    auto exchange = std::make_unique<relay_exchange>(
        *context_, from, [this, key = &from](relay_exchange& ended) {
            const auto found = callers_.find(key);
            if (found == callers_.end() || found->second.exchange.get() != &ended) {
                return;
            }
            ended_exchanges_.push_back(std::move(found->second.exchange));
            if (found->second.connection->closed()) {
                closed_connections_.push_back(std::move(found->second.connection));
                callers_.erase(found);
            }
            schedule_cleanup();
        });
    relay_exchange& started = *exchange;
    callers_[&from].exchange = std::move(exchange);
    if (!contain_errors("request", [&] { started.begin(); })) {
        started.end_after_error();
    }
}

void relay_server::schedule_cleanup()
{
    cleanup_timer_ = core_.after(0ms, [this] {
        ended_exchanges_.clear();
        closed_connections_.clear();
    });
}

void relay_server::sweep()
{
    std::set<std::uint64_t> listed;
    for (const auto& [id, server] : state_->backends().all()) {
        listed.insert(server->incarnation());
    }
    connections_.evict_expired(listed);
}

void relay_server::abort_open_exchanges()
{
    std::vector<relay_exchange*> open;
    for (const auto& [key, caller_state] : callers_) {
        if (caller_state.exchange != nullptr) {
            open.push_back(caller_state.exchange.get());
        }
    }
    for (relay_exchange* exchange : open) {
        exchange->abort("stopped");
    }
    state_->publish_losses(); // only this process knows them
    aborted_at_ = core_.now();
}

void relay_server::begin_stop()
{
    stopping_since_ = core_.now();
    grace_ends_at_ = *stopping_since_ + options_.limits.stop_grace;
    for (const auto& [key, caller_state] : callers_) {
        caller_state.connection->close_after_response();
    }
    lame_duck_timer_ = core_.after(options_.lame_duck_time, [this] {
        accept_pending();
        stop_listening();
        close_callers_when_idle();
    });
    grace_timer_ = core_.after(options_.limits.stop_grace, [this] { abort_open_exchanges(); });
}

void relay_server::close_callers_when_idle()
{
    for (const auto& [key, caller_state] : callers_) {
        caller_state.connection->close_when_idle(options_.lame_duck_idle_time);
    }
    log_event(event_id::callers_closing, "open={} idle_ms={}", callers_.size(),
              options_.lame_duck_idle_time.count());
}

bool relay_server::can_finish(millis deadline) const
{
    if (!stopping_since_) {
        return true;
    }
    if (aborted_at_) {
        return false;
    }
    const millis grace = *grace_ends_at_ - *stopping_since_;
    const auto unconditional = std::min(
        std::chrono::duration_cast<millis>(grace * unconditional_share), max_unconditional_time);
    return core_.now() < *stopping_since_ + unconditional || deadline <= *grace_ends_at_;
}

bool relay_server::idle() const
{
    if (!stopping_since_) {
        return true;
    }
    if (aborted_at_ && core_.now() >= *aborted_at_ + flush_time) {
        return true;
    }
    return listener_ == nullptr && callers_.empty();
}

nlohmann::json relay_server::describe() const
{
    std::size_t exchanges = 0;
    for (const auto& [key, caller_state] : callers_) {
        exchanges += caller_state.exchange != nullptr ? 1 : 0;
    }
    return {{"listen", options_.listen.text()},
            {"ready", ready()},
            {"callers", callers_.size()},
            {"requests_open", exchanges},
            {"idle_backend_connections", connections_.idle()},
            {"entries", entries_},
            {"even_load", options_.limits.even_load},
            {"even_load_choices", chooser_.even_load_choices().choices},
            {"even_load_differing", chooser_.even_load_choices().differing}};
}

} // namespace cyclamen
