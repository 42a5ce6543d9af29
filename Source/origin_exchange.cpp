#include "origin_exchange.h"

#include "event_log.h"
#include "relay_state.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cyclamen {

namespace {

constexpr std::size_t max_streams_per_message = 4096;

std::uint32_t index_of(const std::string& name, wire::stream_origins& in)
{
    for (int index = 0; index < in.names_size(); ++index) {
        if (in.names(index) == name) {
            return static_cast<std::uint32_t>(index);
        }
    }
    in.add_names(name);
    return static_cast<std::uint32_t>(in.names_size() - 1);
}

void add_origin(const stream_origin& origin, wire::stream_origins& to)
{
    wire::stream_origin& row = *to.add_origins();
    row.set_stream(origin.stream);
    row.set_service(index_of(origin.service, to));
    row.set_version(index_of(origin.version, to));
}

std::optional<stream_origin> origin_of(const wire::stream_origin& row,
                                       const wire::stream_origins& in)
{
    const auto names = static_cast<std::uint32_t>(in.names_size());
    if (row.service() >= names || row.version() >= names) {
        return std::nullopt;
    }
    return stream_origin{.stream = row.stream(),
                         .service = in.names(static_cast<int>(row.service())),
                         .version = in.names(static_cast<int>(row.version()))};
}

} // namespace

origin_exchange::origin_exchange(kernel& core, origin_exchange_options options, hooks collaborators)
    : core_(core), options_(options), hooks_(std::move(collaborators))
{
}

void origin_exchange::start()
{
    state_ = &core_.find<relay_state>("knowledge");
    state_->origins().set_past_known(false);
    state_->search_origin = [this](std::uint64_t stream, const std::string& service,
                                   on_version on_end) {
        search_for(stream, service, std::move(on_end));
    };
    share_timer_ = core_.every(options_.share_interval, [this] { share(); });
    archive_timer_ = core_.every(options_.archive_interval, [this] { archive(); });
}

void origin_exchange::share()
{
    const std::vector<stream_origin> streams = state_->origins().take_unshared(core_.now());
    wire::stream_origins message;
    for (const stream_origin& origin : streams) {
        add_origin(origin, message);
        if (static_cast<std::size_t>(message.origins_size()) >= max_streams_per_message) {
            hooks_.send(std::exchange(message, {}));
        }
    }
    if (message.origins_size() > 0) {
        hooks_.send(message);
    }
}

void origin_exchange::archive()
{
    if (archive_busy_ || !hooks_.is_archiver()) {
        return;
    }
    const std::vector<stream_origin> streams = state_->origins().take_unarchived(core_.now());
    if (streams.empty()) {
        return;
    }
    const millis wall = core_.wall_clock();
    const auto slot = static_cast<std::uint64_t>(wall / options_.archive_slot);
    if (slot != slot_) {
        slot_ = slot;
        batch_.Clear();
    }
    batch_.set_at_ms(static_cast<std::uint64_t>(wall.count()));
    for (const stream_origin& origin : streams) {
        add_origin(origin, batch_);
    }
    archive_busy_ = true;
    hooks_.archive(slot, batch_, [this, streams, restores = restores_](bool confirmed) {
        archive_busy_ = false;
        if (!confirmed || restores != restores_) {
            state_->origins().archive_failed(streams);
        }
        if (read_wanted_) {
            read_archive();
        }
    });
}

void origin_exchange::store_restored()
{
    ++restores_;
    state_->origins().archive_lost();
}

void origin_exchange::search_for(std::uint64_t stream, const std::string& service,
                                 on_version on_end)
{
    const bool under_way = searches_.contains(stream);
    search& wanted = searches_[stream];
    wanted.waiting.push_back(std::move(on_end));
    if (under_way) {
        return;
    }
    wanted.service = service;
    wire::stream_origins message;
    wire::stream_origin& row = *message.add_wanted();
    row.set_stream(stream);
    row.set_service(index_of(service, message));
    wanted.replies_due = hooks_.send(message);
    if (wanted.replies_due == 0) {
        search_archive(stream);
        return;
    }
    wanted.timeout = core_.after(options_.peer_timeout, [this, stream] { search_archive(stream); });
}

void origin_exchange::search_archive(std::uint64_t stream)
{
    const millis now = core_.now();
    search& wanted = searches_.at(stream);
    wanted.in_archive = true;
    if (state_->origins().past_known()) {
        search_servers(stream);
        return;
    }
    if (now - archive_failed_at_ < options_.archive_retry) {
        end_search(stream, std::nullopt);
        return;
    }
    wanted.timeout =
        core_.after(options_.archive_timeout, [this, stream] { end_search(stream, std::nullopt); });
    read_archive();
}

// A stream of which nobody has a record began at the only version that has served, if there is one.
// An entry that is out of step, as one that was cut off or stood still, may not have heard of
// others: it first reads the list of servers to its present end.
void origin_exchange::search_servers(std::uint64_t stream)
{
    search& wanted = searches_.at(stream);
    wanted.in_servers = true;
    if (!state_->only_version(wanted.service)) {
        end_search(stream, std::nullopt);
        return;
    }
    wanted.timeout =
        core_.after(options_.archive_timeout, [this, stream] { end_search(stream, std::nullopt); });
    servers_wanted_.push_back(stream);
    read_servers();
}

void origin_exchange::read_servers()
{
    if (servers_busy_ || servers_wanted_.empty()) {
        return;
    }
    servers_busy_ = true;
    hooks_.read_servers([this, streams = std::exchange(servers_wanted_, {})](bool done) {
        servers_busy_ = false;
        for (const std::uint64_t stream : streams) {
            const auto found = searches_.find(stream);
            if (found == searches_.end()) {
                continue;
            }
            const std::string service = found->second.service;
            end_search(stream, done ? state_->only_version(service) : std::nullopt);
        }
        read_servers();
    });
}

void origin_exchange::read_archive()
{
    read_wanted_ = archive_busy_;
    if (archive_busy_) {
        return; // when the open call ends
    }
    archive_busy_ = true;
    hooks_.read_archive([this](const std::optional<std::vector<wire::stream_origins>>& batches) {
        archive_busy_ = false;
        read_wanted_ = false;
        on_archive_read(batches);
    });
}

void origin_exchange::on_archive_read(
    const std::optional<std::vector<wire::stream_origins>>& batches)
{
    const auto now = static_cast<std::uint64_t>(core_.wall_clock().count());
    const auto retention = static_cast<std::uint64_t>(stream_origins_options{}.retention.count());
    std::size_t recent = 0;
    if (batches) {
        for (const wire::stream_origins& batch : *batches) {
            if (batch.at_ms() + retention >= now) {
                merge(batch);
                ++recent;
            }
        }
        state_->origins().set_past_known(true);
    }
    else {
        archive_failed_at_ = core_.now();
    }
    log_event(event_id::origins_read, "answered={} batches={} recent={} streams={}",
              batches.has_value(), batches ? batches->size() : 0, recent, state_->origins().size());
    std::vector<std::pair<std::uint64_t, std::string>> ended;
    for (const auto& [stream, wanted] : searches_) {
        if (wanted.in_archive && !wanted.in_servers) {
            ended.emplace_back(stream, wanted.service);
        }
    }
    for (const auto& [stream, service] : ended) {
        const std::optional<std::string> version = state_->known_origin(stream, service);
        if (version || !batches) {
            end_search(stream, version);
        }
        else {
            search_servers(stream);
        }
    }
}

void origin_exchange::end_search(std::uint64_t stream, const std::optional<std::string>& version)
{
    const auto found = searches_.find(stream);
    if (found == searches_.end()) {
        return;
    }
    const std::vector<on_version> waiting = std::move(found->second.waiting);
    searches_.erase(found);
    for (const on_version& on_end : waiting) {
        on_end(version);
    }
}

void origin_exchange::merge(const wire::stream_origins& batch)
{
    for (const wire::stream_origin& row : batch.origins()) {
        if (const auto origin = origin_of(row, batch)) {
            state_->origins().merge(*origin, core_.now());
        }
    }
}

std::optional<wire::stream_origins> origin_exchange::handle(const wire::stream_origins& message)
{
    merge(message);
    for (const wire::stream_origin& row : message.origins()) {
        const auto wanted = searches_.find(row.stream());
        if (wanted != searches_.end()) {
            const std::string service = wanted->second.service;
            end_search(row.stream(), state_->known_origin(row.stream(), service));
        }
    }
    for (const std::uint64_t stream : message.unknown()) {
        const auto found = searches_.find(stream);
        if (found != searches_.end() && !found->second.in_archive &&
            --found->second.replies_due == 0) {
            search_archive(stream);
        }
    }
    wire::stream_origins reply;
    for (const wire::stream_origin& row : message.wanted()) {
        if (row.service() >= static_cast<std::uint32_t>(message.names_size())) {
            continue;
        }
        const std::string& service = message.names(static_cast<int>(row.service()));
        if (const auto version = state_->known_origin(row.stream(), service)) {
            add_origin({.stream = row.stream(), .service = service, .version = *version}, reply);
        }
        else {
            reply.add_unknown(row.stream());
        }
    }
    if (reply.origins_size() + reply.unknown_size() == 0) {
        return std::nullopt;
    }
    return reply;
}

nlohmann::json origin_exchange::describe() const
{
    return {{"streams", state_->origins().size()},
            {"searches", searches_.size()},
            {"past_known", state_->origins().past_known()}};
}

} // namespace cyclamen
