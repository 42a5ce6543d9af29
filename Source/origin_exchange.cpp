#include "origin_exchange.h"

#include "event_log.h"
#include "hashing.h"
#include "relay_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cyclamen {

namespace {

constexpr std::size_t max_streams_per_message = 4096;
constexpr millis defaults_check_interval = 250ms;

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
    row.set_unarchived(origin.unarchived);
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
                         .version = in.names(static_cast<int>(row.version())),
                         .unarchived = row.unarchived()};
}

using wire_defaults = google::protobuf::RepeatedPtrField<wire::default_version>;
using shares_by_service = std::map<std::string, version_shares>;

shares_by_service shares_of(const wire_defaults& rows)
{
    std::map<std::string, std::vector<version_share>> shares;
    for (const wire::default_version& row : rows) {
        shares[row.service()].push_back(
            {.version = row.version(), .weight = std::max(1U, row.weight())});
    }
    shares_by_service result;
    for (auto& [service, versions] : shares) {
        result.emplace(service, version_shares(std::move(versions)));
    }
    return result;
}

void add_shares(const shares_by_service& shares, millis age, wire_defaults& to)
{
    for (const auto& [service, versions] : shares) {
        for (const version_share& share : versions.rows()) {
            wire::default_version& row = *to.Add();
            row.set_service(service);
            row.set_version(share.version);
            row.set_age_ms(static_cast<std::uint32_t>(age.count()));
            row.set_weight(share.weight);
        }
    }
}

// Whether `part` is contained in `shares`.
bool contains(const shares_by_service& shares, const shares_by_service& part)
{
    return std::all_of(part.begin(), part.end(), [&](const auto& row) {
        const auto found = shares.find(row.first);
        return found != shares.end() && found->second == row.second;
    });
}

} // namespace

origin_exchange::origin_exchange(kernel& core, origin_exchange_options options, hooks collaborators)
    : core_(core), options_(options), hooks_(std::move(collaborators))
{
}

void origin_exchange::start()
{
    state_ = &core_.find<relay_state>("knowledge");
    state_->search_origin = [this](std::uint64_t stream, const std::string& service,
                                   on_version on_end) {
        search_for(stream, service, std::move(on_end));
    };
    state_->announce_origin = [this](std::uint64_t stream, origin_duty duty, on_announced on_told) {
        announce(stream, duty, std::move(on_told));
    };
    state_->on_version_without_share = [this] {
        version_timer_ = core_.after(0ms, [this] { maintain_defaults(); });
    };
    started_at_ = core_.now();
    archive_timer_ = core_.every(options_.archive_interval, [this] { archive(); });
    defaults_timer_ = core_.every(defaults_check_interval, [this] { maintain_defaults(); });
    maintain_defaults();
}

// Tells others where a stream of this entry begins; `on_told` is called once they can tell it.
void origin_exchange::announce(std::uint64_t stream, origin_duty duty, on_announced on_told)
{
    if (duty != origin_duty::archive) {
        announcements_.erase(stream); // of an attempt that was given up
        share();
        if (duty == origin_duty::correct) {
            correct(stream);
        }
        on_told(true);
        return;
    }
    const auto [known, added] = announcements_.try_emplace(stream);
    announcement& open = known->second;
    open.waiting.push_back(std::move(on_told));
    if (added) {
        open.since = core_.now();
        open.timeout = core_.after(options_.announce_timeout,
                                   [this, stream] { end_announcement(stream, false); });
    }
    if (!std::exchange(share_due_, true)) {
        share_timer_ = core_.after(options_.share_delay, [this] { share(); });
    }
}

void origin_exchange::end_announcement(std::uint64_t stream, bool archived)
{
    const auto found = announcements_.find(stream);
    if (found == announcements_.end()) {
        return;
    }
    const std::vector<on_announced> waiting = std::move(found->second.waiting);
    core_.latency("origin_told_ms").observe(core_.now() - found->second.since);
    ++core_.metrics().named(archived ? "origins_archived" : "origins_told_to_peers_only");
    announcements_.erase(found);
    state_->origins().mark_told(stream, archived);
    if (!archived) {
        state_->archive_failed();
    }
    for (const on_announced& on_told : waiting) {
        on_told(archived);
    }
    if (!archived) {
        broadcast_unarchived(stream);
    }
}

// The entries that were told of an earlier attempt need not be those that would be told now.
void origin_exchange::correct(std::uint64_t stream)
{
    const auto origin = state_->origins().record_of(stream);
    if (!origin) {
        return;
    }
    wire::stream_origins message;
    add_origin(*origin, message);
    hooks_.broadcast(message);
}

// The stream may have begun elsewhere by now, or be archived.
void origin_exchange::broadcast_unarchived(std::uint64_t stream)
{
    const auto origin = state_->origins().find_unarchived(stream);
    if (!origin) {
        return;
    }
    wire::stream_origins message;
    add_origin(*origin, message);
    hooks_.broadcast(message);
}

void origin_exchange::peer_joined(const std::string& peer)
{
    wire::stream_origins message;
    for (const stream_origin& origin : state_->origins().unarchived_streams()) {
        add_origin(origin, message);
        if (static_cast<std::size_t>(message.origins_size()) >= max_streams_per_message) {
            hooks_.send_to(peer, std::exchange(message, {}));
        }
    }
    add_defaults(message);
    if (message.origins_size() + message.defaults_size() > 0) {
        hooks_.send_to(peer, message);
    }
}

void origin_exchange::share()
{
    share_due_ = false;
    wire::stream_origins message;
    for (const stream_origin& origin : state_->origins().take_unshared()) {
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
    if (archive_busy_ || core_.now() < archive_due_at_ || !hooks_.is_archiver()) {
        return;
    }
    std::vector<stream_origin> streams = state_->origins().take_unarchived();
    if (streams.empty()) {
        return;
    }
    if (streams.size() > max_streams_per_message) {
        const auto rest = streams.begin() + max_streams_per_message;
        state_->origins().archive_failed({rest, streams.end()}); // for the next write
        streams.erase(rest, streams.end());
    }
    const bool full = static_cast<std::size_t>(batch_.origins_size()) >= max_streams_per_message;
    if (full || core_.now() - record_began_at_ >= options_.archive_slot) {
        ++record_;
        record_began_at_ = core_.now();
        batch_.Clear();
    }
    batch_.set_at_ms(static_cast<std::uint64_t>(core_.wall_clock().count()));
    for (const stream_origin& origin : streams) {
        add_origin(origin, batch_);
    }
    archive_busy_ = true;
    records_[record_] = core_.now();
    const archive_write write{.record = record_, .batch = batch_, .expired = expired_records()};
    hooks_.archive(write,
                   [this, streams, expired = write.expired, restores = restores_](bool confirmed) {
                       archive_busy_ = false;
                       if (confirmed && restores == restores_) {
                           forget_records(expired);
                           on_archived(streams);
                       }
                       else {
                           on_archive_refused(streams);
                       }
                       if (read_wanted_) {
                           read_archive();
                       }
                   });
}

// Records of this process whose streams nobody takes up any more.
std::vector<std::uint64_t> origin_exchange::expired_records() const
{
    constexpr std::size_t most = 64;
    std::vector<std::uint64_t> expired;
    for (const auto& [number, written_at] : records_) {
        if (core_.now() - written_at >= stream_origins_options{}.retention &&
            expired.size() < most) {
            expired.push_back(number);
        }
    }
    return expired;
}

void origin_exchange::forget_records(const std::vector<std::uint64_t>& numbers)
{
    for (const std::uint64_t number : numbers) {
        records_.erase(number);
    }
    if (!numbers.empty() && !std::exchange(leftovers_removed_, true)) {
        read_wanted_ = true; // finds the records of processes that have ended
    }
}

void origin_exchange::on_archived(const std::vector<stream_origin>& streams)
{
    archive_pause_ = 0ms;
    std::map<std::string, wire::stream_origins> messages; // by peer
    wire::stream_origins for_all;
    for (const stream_origin& origin : streams) {
        const auto told_by = told_by_.extract(origin.stream);
        if (!told_by.empty()) {
            messages[told_by.mapped()].add_archived(origin.stream);
        }
        // A later attempt may have begun the stream at another version.
        if (state_->known_origin(origin.stream, origin.service) == origin.version) {
            if (state_->origins().find_unarchived(origin.stream)) {
                for_all.add_archived(origin.stream);
            }
            end_announcement(origin.stream, true);
            state_->origins().mark_archived(origin.stream);
        }
    }
    for (const auto& [peer, message] : messages) {
        hooks_.send_to(peer, message);
    }
    if (for_all.archived_size() > 0) {
        hooks_.broadcast(for_all);
    }
    check_proposal();
}

// While the store is away, all entries take themselves for the archiver: their calls must not use
// up its rate when it is back.
void origin_exchange::on_archive_refused(const std::vector<stream_origin>& streams)
{
    state_->origins().archive_failed(streams);
    // The store may still carry the write out, after later ones.
    record_began_at_ = core_.now() - options_.archive_slot;
    archive_pause_ =
        std::clamp(2 * archive_pause_, options_.archive_interval, options_.archive_retry);
    archive_due_at_ = core_.now() + core_.jittered(archive_pause_);
    if (proposal_ && !proposal_->written) {
        withdraw_proposal();
    }
}

void origin_exchange::store_restored()
{
    ++restores_;
    state_->origins().archive_lost();
    state_->origins().defaults_lost();
    defaults_read_at_.reset();
    defaults_log_end_.reset();
    proposal_.reset();
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
        search_servers(stream);
        return;
    }
    wanted.timeout = core_.after(options_.peer_timeout, [this, stream] { search_servers(stream); });
}

// An entry that is out of step, as one that was cut off or stood still, may not have heard of all
// versions: it first reads the list of servers to its present end.
void origin_exchange::search_servers(std::uint64_t stream)
{
    search& wanted = searches_.at(stream);
    wanted.stage = search_stage::servers;
    wanted.timeout =
        core_.after(options_.store_timeout, [this, stream] { end_search(stream, std::nullopt); });
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
            on_servers_read(stream, done);
        }
        read_servers();
    });
}

// While servers of the default version alone have served, no stream can have begun elsewhere.  What
// served before this process started, or in a gap of the list of servers, only the archive tells.
void origin_exchange::on_servers_read(std::uint64_t stream, bool done)
{
    const auto found = searches_.find(stream);
    if (found == searches_.end()) {
        return;
    }
    if (!done) {
        end_search(stream, std::nullopt);
        return;
    }
    const std::string service = found->second.service;
    const std::optional<std::string> version = state_->default_version(service, stream);
    if (state_->origins().versions_known() && version &&
        !state_->others_served(service, *version)) {
        end_search(stream, version);
        return;
    }
    search_archive(stream);
}

void origin_exchange::search_archive(std::uint64_t stream)
{
    if (core_.now() - archive_failed_at_ < options_.archive_retry) {
        end_search(stream, std::nullopt);
        return;
    }
    search& wanted = searches_.at(stream);
    wanted.stage = search_stage::archive;
    wanted.timeout =
        core_.after(options_.store_timeout, [this, stream] { end_search(stream, std::nullopt); });
    read_archive();
}

void origin_exchange::read_archive()
{
    read_wanted_ = archive_busy_;
    if (archive_busy_) {
        return; // when the open call ends
    }
    archive_busy_ = true;
    std::vector<std::uint64_t> streams;
    for (const auto& [stream, wanted] : searches_) {
        if (wanted.stage == search_stage::archive) {
            streams.push_back(stream);
        }
    }
    // A default version may have changed since it was read.
    read_defaults([this, streams, gap = state_->origins().gaps()](bool done) {
        if (!done) {
            on_archive_read(streams, gap, std::nullopt);
            return;
        }
        hooks_.read_archive(
            [this, streams, gap](const auto& records) { on_archive_read(streams, gap, records); });
    });
}

void origin_exchange::on_archive_read(const std::vector<std::uint64_t>& streams, unsigned gap,
                                      const std::optional<std::vector<archived_record>>& records)
{
    archive_busy_ = false;
    const auto now = static_cast<std::uint64_t>(core_.wall_clock().count());
    const auto retention = static_cast<std::uint64_t>(stream_origins_options{}.retention.count());
    std::vector<wire::stream_origins> recent;
    if (records) {
        for (const archived_record& record : *records) {
            if (record.batch.at_ms() + retention >= now) {
                recent.push_back(record.batch);
            }
        }
        remove_leftovers(*records);
    }
    std::sort(recent.begin(), recent.end(),
              [](const auto& left, const auto& right) { return left.at_ms() < right.at_ms(); });
    for (const wire::stream_origins& batch : recent) {
        merge(batch, true);
    }
    if (records) {
        state_->origins().note_archive_read(gap);
    }
    else {
        archive_failed_at_ = core_.now();
    }
    log_event(event_id::origins_read, "answered={} batches={} recent={} streams={} wanted={}",
              records.has_value(), records ? records->size() : 0, recent.size(),
              state_->origins().size(), streams.size());
    for (const std::uint64_t stream : streams) {
        const auto found = searches_.find(stream);
        if (found == searches_.end()) {
            continue;
        }
        const std::string service = found->second.service;
        const std::optional<std::string> recorded = state_->known_origin(stream, service);
        // All streams that began elsewhere are recorded.
        end_search(stream,
                   recorded || !records ? recorded : state_->default_version(service, stream));
    }
    if (read_wanted_) {
        read_archive();
    }
}

// The clocks of entries differ by seconds, and records of living processes are younger than that.
void origin_exchange::remove_leftovers(const std::vector<archived_record>& records)
{
    constexpr std::size_t most = 256;
    const millis now = core_.wall_clock();
    std::vector<std::string> keys;
    for (const archived_record& record : records) {
        const millis age = now - millis(record.batch.at_ms());
        if (age >= 2 * stream_origins_options{}.retention && keys.size() < most) {
            keys.push_back(record.key);
        }
    }
    if (!keys.empty() && hooks_.is_archiver()) {
        hooks_.remove_archived(keys);
    }
}

void origin_exchange::end_search(std::uint64_t stream, const std::optional<std::string>& version)
{
    const auto found = searches_.find(stream);
    if (found == searches_.end()) {
        return;
    }
    const std::vector<on_version> waiting = std::move(found->second.waiting);
    log_event(event_id::origin_searched, "stream={:016x} service={} stage={} version={}", stream,
              found->second.service, name_of(search_stage_names, found->second.stage),
              version.value_or("?"));
    searches_.erase(found);
    for (const on_version& on_end : waiting) {
        on_end(version);
    }
}

void origin_exchange::merge(const wire::stream_origins& batch, bool archived)
{
    for (const wire::stream_origin& row : batch.origins()) {
        const auto origin = origin_of(row, batch);
        if (!origin) {
            continue;
        }
        if (archived) {
            state_->origins().merge_archived(*origin, core_.now());
        }
        else {
            state_->origins().merge(*origin, core_.now());
        }
    }
}

std::optional<wire::stream_origins> origin_exchange::handle(const std::string& peer,
                                                            const wire::stream_origins& message)
{
    merge(message, false);
    take_defaults(message);
    for (const std::uint64_t stream : message.archived()) {
        end_announcement(stream, true);
        state_->origins().mark_archived(stream);
    }
    for (const wire::stream_origin& row : message.origins()) {
        const auto wanted = searches_.find(row.stream());
        if (wanted != searches_.end()) {
            const std::string service = wanted->second.service;
            end_search(row.stream(), state_->known_origin(row.stream(), service));
        }
        else if (hooks_.is_archiver()) {
            told_by_[row.stream()] = peer;
        }
    }
    for (const std::uint64_t stream : message.unknown()) {
        const auto found = searches_.find(stream);
        if (found != searches_.end() && found->second.stage == search_stage::peers &&
            --found->second.replies_due == 0) {
            search_servers(stream);
        }
    }
    note_acceptance(message);
    wire::stream_origins reply;
    accept_proposal(message, reply);
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
    if (reply.origins_size() + reply.unknown_size() == 0 && reply.accepted() == 0) {
        return std::nullopt;
    }
    return reply;
}

// Reads the default versions at the start and when they are old, and archives those that are due.
void origin_exchange::maintain_defaults()
{
    const millis now = core_.now();
    std::erase_if(told_by_,
                  [this](const auto& row) { return !state_->origins().contains(row.first); });
    end_old_proposal();
    if (defaults_busy_ || now - defaults_failed_at_ < options_.archive_retry) {
        return;
    }
    const bool archives = hooks_.is_archiver();
    const millis limit = archives ? options_.defaults_interval : options_.defaults_overdue;
    if (!defaults_read_at_ || now - *defaults_read_at_ >= limit) {
        read_defaults([this](bool done) {
            if (done && hooks_.is_archiver()) {
                broadcast_defaults();
            }
        });
        return;
    }
    if (!archives || now - started_at_ < options_.settle_time) {
        return;
    }
    if (!proposal_ && now - proposed_at_ >= options_.archive_retry) {
        propose_shares(shares_due());
    }
    if (defaults_busy_ || (state_->origins().defaults_due(now).empty() && !proposal_is_ready())) {
        return;
    }
    if (!defaults_log_end_) { // this entry has only heard of them
        read_defaults([](bool /*done*/) {});
        return;
    }
    archive_due_defaults();
}

// Default versions in proportion to the slots of the listed servers, of services where the present
// ones differ too much.
shares_by_service origin_exchange::shares_due() const
{
    shares_by_service due;
    for (const auto& [service, slots] : state_->slots_by_version()) {
        const auto shares = state_->origins().shares_due(service, slots);
        if (shares && streams_are_known(service)) {
            due.emplace(service, *shares);
        }
    }
    return due;
}

// Whether the entries that are heard know all streams of the service that began without a record
// and may still be taken up.
bool origin_exchange::streams_are_known(const std::string& service) const
{
    const auto calm_since = [&](millis since) { return core_.now() - since >= options_.calm_time; };
    const auto lost_at = hooks_.membership().lost_at;
    const bool first = first_reading_ && !first_reading_->contains(service);
    return (!lost_at || calm_since(*lost_at)) && (first || calm_since(started_at_));
}

// Lets all entries record from now on what needs a record under other default versions, and tell
// which of their present streams do.
void origin_exchange::propose_shares(shares_by_service shares)
{
    if (shares.empty() || state_->archive_doubtful() || state_->source_lost()) {
        return;
    }
    proposed_at_ = core_.now();
    proposal_ = proposal{.number = combine_hashes(core_.incarnation(), ++proposals_),
                         .shares = std::move(shares),
                         .membership = hooks_.membership().changes,
                         .since = core_.now()};
    wire::stream_origins message;
    message.set_proposal(proposal_->number);
    add_shares(proposal_->shares, 0ms, *message.mutable_proposed());
    for (const auto& [service, versions] : proposal_->shares) {
        for (const stream_origin& origin :
             state_->origins().propose(proposal_->number, service, versions, core_.now())) {
            proposal_->streams.insert(origin.stream);
        }
        log_event(event_id::default_versions_proposed, "service={} software={} streams={}", service,
                  versions.text(), proposal_->streams.size());
    }
    proposal_->asked = hooks_.broadcast(message);
    archive();
}

void origin_exchange::accept_proposal(const wire::stream_origins& message,
                                      wire::stream_origins& reply)
{
    if (message.proposal() == 0) {
        return;
    }
    if (message.proposed().empty()) {
        state_->origins().withdraw_proposal(message.proposal());
        return;
    }
    for (const auto& [service, versions] : shares_of(message.proposed())) {
        for (const stream_origin& origin :
             state_->origins().propose(message.proposal(), service, versions, core_.now())) {
            add_origin(origin, reply);
        }
    }
    reply.set_accepted(message.proposal());
    reply.set_acceptor(core_.incarnation());
}

void origin_exchange::note_acceptance(const wire::stream_origins& message)
{
    if (!proposal_ || message.accepted() != proposal_->number) {
        return;
    }
    proposal_->accepted.insert(message.acceptor());
    for (const wire::stream_origin& row : message.origins()) {
        proposal_->streams.insert(row.stream());
    }
    archive();
    check_proposal();
}

// Whether no stream is left that would be taken for one of another version.
bool origin_exchange::proposal_is_ready() const
{
    const auto archived = [this](std::uint64_t stream) {
        return state_->origins().is_archived(stream);
    };
    return proposal_ && !proposal_is_old() && proposal_->accepted.size() >= proposal_->asked &&
           hooks_.membership().changes == proposal_->membership &&
           std::all_of(proposal_->streams.begin(), proposal_->streams.end(), archived);
}

void origin_exchange::check_proposal()
{
    if (proposal_is_ready()) {
        maintain_defaults();
    }
}

// A write that was not confirmed may be carried out for as long as the entries expect it.
bool origin_exchange::proposal_is_old() const
{
    const millis lifetime =
        proposal_->written ? stream_origins_options{}.default_lifetime : options_.proposal_timeout;
    return core_.now() - proposal_->since >= lifetime;
}

void origin_exchange::end_old_proposal()
{
    if (proposal_ && proposal_is_old()) {
        withdraw_proposal();
    }
}

// Another record of the log may have come first: the list of entries is in the same log.
void origin_exchange::archive_proposal_again()
{
    constexpr unsigned max_writes = 3;
    proposal_->written = false;
    if (proposal_->writes >= max_writes) {
        withdraw_proposal();
        end_defaults_write(false);
        return;
    }
    defaults_busy_ = false;
    defaults_log_end_.reset();
    read_defaults([this](bool done) {
        if (proposal_ && !done) {
            withdraw_proposal();
        }
        if (proposal_) {
            maintain_defaults();
        }
    });
}

void origin_exchange::withdraw_proposal()
{
    log_event(event_id::default_versions_withdrawn, "accepted={} peers={} written={}",
              proposal_->accepted.size(), proposal_->asked, proposal_->written);
    wire::stream_origins message;
    message.set_proposal(proposal_->number);
    hooks_.broadcast(message);
    state_->origins().withdraw_proposal(proposal_->number);
    proposal_.reset();
}

void origin_exchange::read_defaults(on_done on_end)
{
    defaults_wanted_.push_back(std::move(on_end));
    if (defaults_busy_) {
        return; // when the open call ends
    }
    defaults_busy_ = true;
    hooks_.read_defaults([this, asked_at = core_.now()](const auto& reading) {
        defaults_busy_ = false;
        on_defaults_read(asked_at, reading);
    });
}

void origin_exchange::on_defaults_read(millis asked_at,
                                       const std::optional<defaults_reading>& reading)
{
    if (reading) {
        defaults_read_at_ = asked_at;
        defaults_log_end_ = reading->log_end;
        const shares_by_service shares = shares_of(reading->versions.defaults());
        std::set<std::string> services;
        for (const auto& [service, versions] : shares) {
            services.insert(service);
            state_->set_default_versions(service, versions, asked_at);
        }
        first_reading_ = first_reading_.value_or(services);
        if (proposal_ && contains(shares, proposal_->shares)) {
            proposal_.reset(); // its write was carried out
        }
    }
    else {
        defaults_failed_at_ = core_.now();
    }
    for (const on_done& on_end : std::exchange(defaults_wanted_, {})) {
        on_end(reading.has_value());
    }
}

// Reads the list of servers to its end before, because the version that it replaces may be back.
void origin_exchange::archive_due_defaults()
{
    defaults_busy_ = true;
    hooks_.read_servers([this, restores = restores_](bool done) {
        state_->note_versions();
        shares_by_service due = state_->origins().defaults_due(core_.now());
        if (done && proposal_is_ready()) {
            due.insert(proposal_->shares.begin(), proposal_->shares.end());
            proposal_->written = true;
            ++proposal_->writes;
        }
        if (!done || due.empty() || restores != restores_) {
            end_defaults_write(done);
            return;
        }
        archive_defaults(due);
    });
}

void origin_exchange::archive_defaults(const shares_by_service& due)
{
    shares_by_service versions = state_->origins().default_versions();
    for (const auto& [service, shares] : due) {
        versions.insert_or_assign(service, shares);
    }
    wire::stream_origins message;
    add_shares(versions, 0ms, *message.mutable_defaults());
    const std::uint64_t at = *defaults_log_end_;
    const auto on_end = [this, message, at, restores = restores_](log_append_status status) {
        const bool confirmed = status == log_append_status::confirmed;
        if (confirmed && restores == restores_) {
            defaults_log_end_ = at + 1;
            on_defaults_archived(message);
        }
        if (proposal_ && status == log_append_status::refused) {
            archive_proposal_again();
            return;
        }
        end_defaults_write(confirmed);
    };
    hooks_.archive_defaults(message, at, on_end);
}

void origin_exchange::end_defaults_write(bool done)
{
    defaults_busy_ = false;
    if (!done) {
        defaults_failed_at_ = core_.now();
        defaults_log_end_.reset(); // another entry may have written
    }
    if (!defaults_wanted_.empty()) {
        read_defaults([](bool /*done*/) {});
    }
}

void origin_exchange::on_defaults_archived(const wire::stream_origins& defaults)
{
    const millis now = core_.now();
    defaults_read_at_ = now;
    const shares_by_service shares = shares_of(defaults.defaults());
    for (const auto& [service, versions] : shares) {
        state_->set_default_versions(service, versions, now);
    }
    if (proposal_ && contains(shares, proposal_->shares)) {
        proposal_.reset();
    }
    broadcast_defaults();
}

void origin_exchange::broadcast_defaults()
{
    wire::stream_origins message;
    add_defaults(message);
    if (message.defaults_size() > 0) {
        hooks_.broadcast(message);
    }
}

// The default versions as this entry has read them, or heard of them.
void origin_exchange::add_defaults(wire::stream_origins& message) const
{
    if (!defaults_read_at_) {
        return;
    }
    const millis age = core_.now() - *defaults_read_at_;
    add_shares(state_->origins().default_versions(), age, *message.mutable_defaults());
}

void origin_exchange::take_defaults(const wire::stream_origins& from)
{
    if (from.defaults().empty()) {
        return;
    }
    const millis read_at = core_.now() - millis(from.defaults(0).age_ms());
    for (const auto& [service, shares] : shares_of(from.defaults())) {
        state_->set_default_versions(service, shares, read_at);
    }
    defaults_read_at_ = std::max(defaults_read_at_.value_or(read_at), read_at);
}

nlohmann::json origin_exchange::describe() const
{
    nlohmann::json versions = nlohmann::json::object();
    for (const auto& [service, shares] : state_->origins().default_versions()) {
        versions[service] = shares.text();
    }
    return {{"streams", state_->origins().size()},
            {"searches", searches_.size()},
            {"announcements", announcements_.size()},
            {"default_versions", versions}};
}

} // namespace cyclamen
