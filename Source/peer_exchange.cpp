#include "peer_exchange.h"

#include "configuration_feed.h"
#include "instance_directory.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {
constexpr millis idle_check_interval = 5000ms;
} // namespace

peer_exchange::peer_exchange(kernel& core, peer_exchange_options options)
    : core_(core), options_(std::move(options))
{
}

void peer_exchange::start()
{
    directory_ = &core_.find<instance_directory>("directory");
    configuration_ = &core_.find<configuration_feed>("configuration");
    if (!options_.endpoint.empty()) {
        bound_ =
            message_socket::bind(core_.loop(), core_.metrics(), options_.endpoint,
                                 [this](const std::string& route, const wire::envelope& message) {
                                     on_message(route, message, true);
                                 });
    }
    configuration_->send_to_random_peers = [this](unsigned count,
                                                  const wire::configuration_update& update) {
        wire::envelope message;
        *message.mutable_configuration_update() = update;
        send_to_random(count, message);
    };
    configuration_->process_count = [this] { return directory_->instances().size(); };
    directory_->changed.connect([this] { refresh_peers(); });
    refresh_peers();
    load_timer_ = core_.every(options_.load_report_interval, [this] { report_load(); });
    idle_timer_ = core_.every(idle_check_interval, [this] { close_idle(); });
}

void peer_exchange::refresh_peers()
{
    const listed_instance* self = directory_->find(core_.instance());
    pool_.clear();
    agents_.clear();
    for (const auto& [name, listed] : directory_->instances()) {
        if (listed.role != instance_role::agent || name == core_.instance()) {
            continue;
        }
        agents_.push_back(name);
        if (self != nullptr && listed.service == self->service) {
            pool_.push_back(name);
        }
    }
    std::shuffle(pool_.begin(), pool_.end(), std::mt19937_64(core_.random()));
    next_in_pool_ = 0;
}

// Sends a load report to the next peer.  Each peer of the pool gets one before any gets a second.
void peer_exchange::report_load()
{
    if (!make_load_report || pool_.empty()) {
        return;
    }
    if (next_in_pool_ >= pool_.size()) {
        std::shuffle(pool_.begin(), pool_.end(), std::mt19937_64(core_.random()));
        next_in_pool_ = 0;
    }
    wire::envelope message;
    *message.mutable_load_report() = make_load_report();
    send_to(pool_[next_in_pool_++], message);
}

void peer_exchange::send_to(const std::string& instance, wire::envelope message)
{
    const listed_instance* listed = directory_->find(instance);
    if (listed == nullptr) {
        return;
    }
    if (!links_.contains(listed->address)) {
        evict_link_if_full();
    }
    link& peer = links_[listed->address];
    if (!peer.socket) {
        const std::string route =
            fmt::format("{}/{:016x}/{}", core_.instance(), core_.incarnation(), next_link_++);
        peer.socket = message_socket::connect(
            core_.loop(), core_.metrics(), "tcp://" + listed->address, route,
            [this](const std::string& from, const wire::envelope& received_message) {
                on_message(from, received_message, false);
            },
            {.high_water_mark = 64});
    }
    peer.last_used = core_.now();
    peer.socket->send({}, std::move(message));
}

void peer_exchange::send_to_random(unsigned count, const wire::envelope& message)
{
    std::vector<std::string> chosen;
    std::mt19937_64 random(core_.random());
    std::sample(agents_.begin(), agents_.end(), std::back_inserter(chosen), count, random);
    for (const std::string& agent : chosen) {
        send_to(agent, message);
    }
}

bool peer_exchange::reply(const std::string& route, wire::envelope message)
{
    return bound_ && bound_->send(route, std::move(message));
}

void peer_exchange::on_message(const std::string& route, const wire::envelope& message,
                               bool inbound)
{
    if (!message.has_configuration_update()) {
        received.emit(route, message);
        return;
    }
    const auto reply_update = configuration_->on_update(message.configuration_update());
    if (!reply_update) {
        return;
    }
    wire::envelope reply_message;
    *reply_message.mutable_configuration_update() = *reply_update;
    if (inbound) {
        reply(route, std::move(reply_message));
    }
    else {
        // The route of a link that this process opened is empty and does not identify the peer.
        send_to_random(1, reply_message);
    }
}

void peer_exchange::evict_link_if_full()
{
    if (links_.size() < options_.max_links) {
        return;
    }
    const auto oldest =
        std::min_element(links_.begin(), links_.end(), [](const auto& left, const auto& right) {
            return left.second.last_used < right.second.last_used;
        });
    retired_.push_back(std::move(oldest->second.socket));
    links_.erase(oldest);
}

void peer_exchange::close_idle()
{
    retired_.clear();
    const millis now = core_.now();
    for (auto peer = links_.begin(); peer != links_.end();) {
        if (now - peer->second.last_used <= options_.link_idle_timeout) {
            ++peer;
            continue;
        }
        retired_.push_back(std::move(peer->second.socket));
        peer = links_.erase(peer);
    }
}

nlohmann::json peer_exchange::describe() const
{
    return {{"links", links_.size()}, {"pool", pool_.size()}, {"agents", agents_.size()}};
}

} // namespace cyclamen
