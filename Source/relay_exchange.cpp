#include "relay_exchange.h"

#include "backend_connection_pool.h"
#include "event_log.h"
#include "hashing.h"
#include "relay_state.h"
#include "retry_budgets.h"
#include "rollout_service.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace cyclamen {

namespace {

constexpr int http_ok = 200;
constexpr int first_redirection = 300;
constexpr int first_server_error = 500;
constexpr int request_timeout = 408;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
// A timer that is handled later than this was held up by a busy event loop.
constexpr millis max_timer_delay = 5ms;
// Parts of a prompt that are examined when servers crash; prompts have a few.
constexpr std::size_t max_suspect_parts = 64;
// What a caller's unsent bytes, and an event that is held back, may take up in any case.
constexpr std::size_t least_unsent = 4096;
constexpr std::size_t least_event = 16384;

// Statuses by which a response tells its caller that the request has not run and never will.
bool promises_not_run(int status)
{
    return status == request_timeout || status == too_many_requests || status == unavailable;
}

bool has_event_stream(const http_head& head)
{
    return is_event_stream(head.header_or("Content-Type", ""));
}

// Counts a request's body until its last holder, which may be a socket's output, releases it.
struct counted_body {
    std::string text;
    memory_budget::share memory;
};

// What the names and values of a head take up.
std::size_t bytes_of(const http_head& head)
{
    std::size_t bytes = head.reason.size();
    for (const http_header& field : head.headers) {
        bytes += sizeof field + field.name.size() + field.value.size();
    }
    return bytes;
}

std::shared_ptr<const std::string> count_body(std::string text, memory_budget& memory)
{
    auto counted = std::make_shared<counted_body>(
        counted_body{.text = std::move(text), .memory = memory_budget::share(memory)});
    counted->memory.set(counted->text.capacity());
    const std::string* body = &counted->text;
    return {std::move(counted), body};
}

} // namespace

relay_exchange::relay_exchange(const relay_context& context, caller_connection& caller,
                               std::function<void(relay_exchange&)> on_end)
    : context_(context), caller_(&caller), on_end_(std::move(on_end)),
      table_(context.state.routes()), body_(count_body(caller.take_body(), context.core.memory())),
      memory_(context.core.memory()), started_at_(caller.started_at())
{
    count_memory();
}

relay_exchange::~relay_exchange()
{
    release_call(true);
}

void relay_exchange::begin()
{
    caller_->on_disconnected = [this] { on_caller_disconnect(); };
    caller_->on_drained = [this] {
        if (connection_ != nullptr && !origin_untold_) {
            connection_->pause_reading(false);
        }
    };
    metadata_ = context_.codec.read_request(caller_->request());
    deadline_ = started_at_ + metadata_.deadline.value_or(context_.options.default_deadline);
    if (!admit_request()) {
        return;
    }
    attempts_ = std::make_unique<direct_attempts>(
        direct_attempts_options{}, route_->kind, route_->resumable, route_->max_backends,
        direct_attempts::hooks{.take_retry = [this] { return context_.retries.take(service_); }});
    if (route_->timeout > 0ms) {
        deadline_ = std::min(deadline_, started_at_ + route_->timeout);
    }
    if (!context_.can_finish(deadline_)) {
        log_event(event_id::request_refused, "request={} status={} reason=stopping left_ms={}",
                  metadata_.id, unavailable, time_left().count());
        // Other entries accept the request at once.
        refuse({.status = unavailable, .reason = "stopping", .retry_after = 0ms});
        return;
    }
    const millis remaining = deadline_ + context_.options.deadline_slack - context_.core.now();
    deadline_timer_ = context_.core.after(std::max(1ms, remaining), [this] { on_deadline(); });
    const bool resumes = !metadata_.last_event_id.empty() || !metadata_.resumed_id.empty();
    if (resumes && route_->kind == route_kind::stream && route_->resumable) {
        find_origin();
        return;
    }
    attempt();
}

// Finds the software version of a stream that its caller takes up again.
void relay_exchange::find_origin()
{
    service_ = choose_service();
    context_.retries.record_first_attempt(service_);
    context_.state.find_origin(
        stream_id(), service_,
        [self = std::weak_ptr(self_)](const std::optional<std::string>& version) {
            const auto exchange = self.lock();
            if (exchange == nullptr || (*exchange)->ended_) {
                return;
            }
            relay_exchange& that = **exchange;
            that.stream_version_ = version;
            if (!version) {
                that.give_up("origin_unknown");
                return;
            }
            that.attempt();
        });
}

// Identifies the stream of this request on all entries, also when its caller takes it up again.
std::uint64_t relay_exchange::stream_id() const
{
    return hash_of(metadata_.resumed_id.empty() ? metadata_.id : metadata_.resumed_id);
}

bool relay_exchange::admit_request()
{
    const http_head& request = caller_->request();
    const admission verdict = admit(table_.get(), context_.state.fresh(),
                                    request.header_or("Host", ""), request.path(), metadata_.key);
    route_ = verdict.route;
    account_ = verdict.account;
    if (verdict.refusal_status == 0) {
        return true;
    }
    log_event(event_id::request_refused,
              "request={} status={} reason={} path={} version={} source_age_ms={}", metadata_.id,
              verdict.refusal_status, verdict.reason, request.path(),
              table_ == nullptr ? 0 : table_->version(), context_.state.source_age().count());
    refuse(verdict.refusal_status, verdict.reason);
    return false;
}

millis relay_exchange::time_left() const
{
    return deadline_ - context_.core.now();
}

// The last segment is unique to this request and is left out, unless it is the only one: then
// later requests may still have it in common.
std::vector<std::uint64_t> relay_exchange::shared_prefix_segments() const
{
    std::vector<std::uint64_t> segments;
    if (!route_->prompt_affinity) {
        return segments;
    }
    for (const prompt_segment& part : metadata_.prompt) {
        segments.push_back(part.hash);
    }
    if (segments.size() > 1) {
        segments.pop_back();
    }
    return segments;
}

// The segment that decides the placement; 0 for a request without prompt affinity.
std::uint64_t relay_exchange::placement_segment() const
{
    const std::vector<std::uint64_t> segments = shared_prefix_segments();
    return segments.empty() ? 0 : segments.back();
}

unsigned relay_exchange::shared_tokens() const
{
    unsigned tokens = 0;
    for (std::size_t index = 0; index + 1 < metadata_.prompt.size(); ++index) {
        tokens += metadata_.prompt[index].tokens;
    }
    return tokens;
}

// Splits a route's requests over its services by weight.  Requests with the same prompt prefix
// go to the same service.
std::string relay_exchange::choose_service()
{
    unsigned total = 0;
    for (const weighted_service& part : route_->services) {
        total += part.weight;
    }
    if (total == 0) {
        return route_->services.empty() ? std::string() : route_->services.front().service;
    }
    const std::uint64_t part = placement_segment();
    const std::uint64_t draw = part != 0 ? part : hash_of(metadata_.id);
    auto point = static_cast<unsigned>(combine_hashes(draw, hash_of(route_->name)) % total);
    for (const weighted_service& part : route_->services) {
        if (point < part.weight) {
            return part.service;
        }
        point -= part.weight;
    }
    return route_->services.back().service;
}

void relay_exchange::attempt()
{
    if (caller_->close_if_caller_left() || refuse_quarantined()) {
        return;
    }
    if (service_.empty()) {
        service_ = choose_service();
        context_.retries.record_first_attempt(service_);
    }
    const relay_service* service = table_->service(service_);
    if (service == nullptr) {
        give_up("unknown_service");
        return;
    }
    const backend_choice choice = choose_backend(*service);
    if (choice.server == nullptr) {
        wait_for_backend(choice);
        return;
    }
    waiting_since_.reset();
    send(choice);
}

backend_criteria relay_exchange::make_criteria() const
{
    return {.service = service_,
            .segment_hashes = shared_prefix_segments(),
            .shared_tokens = shared_tokens(),
            .request_hash = hash_of(metadata_.id),
            .locations = &context_.state.locations(),
            .tried = &tried_backends_,
            .software_version = stream_version_};
}

backend_choice relay_exchange::choose_backend(const relay_service& service)
{
    backend_criteria criteria = make_criteria();
    rollout_service* const rollouts = context_.rollouts;
    if (rollouts != nullptr) {
        criteria.versions = stream_version_ ? rollouts->stream_filter(service_, *stream_version_)
                                            : rollouts->filter(service_, route_->name);
    }
    criteria.unrecorded_version = unrecorded_version();
    const auto choose = [&] {
        return context_.chooser.choose(context_.state.backends(), service, criteria,
                                       context_.core.now());
    };
    backend_choice choice = choose();
    if (choice.server == nullptr && criteria.versions && criteria.versions->only &&
        rollouts != nullptr && !rollouts->is_completed(service_)) {
        criteria.versions->only = false; // the ordered version has no room: others have
        choice = choose();
    }
    if (choice.server != nullptr && rollouts != nullptr) {
        rollouts->count_sent(service_, choice.server->entry.software_version);
    }
    return choice;
}

// Tells a roll-out how an attempt ended.  The time of a prompt's answer to its first event depends
// on what the server has cached, so the pace of what follows counts.
void relay_exchange::record_for_rollout(attempt_end how)
{
    if (context_.rollouts == nullptr || how == attempt_end::not_run ||
        how == attempt_end::given_up) {
        return;
    }
    const bool failed = how == attempt_end::lost || (how == attempt_end::answered &&
                                                     (failure_ || status_ >= first_server_error));
    millis took = answered_at_.value_or(context_.core.now()) - sent_at_;
    if (route_->prompt_affinity) {
        constexpr std::size_t least_bytes = 200; // fewer show no pace
        constexpr std::size_t pace_bytes = 1000;
        if (!failed && (!body_began_at_ || body_bytes_ < least_bytes)) {
            return;
        }
        if (!failed) {
            took = (context_.core.now() - *body_began_at_) * pace_bytes / body_bytes_;
        }
    }
    context_.rollouts->record_end(service_, route_->name, software_version_, failed, took);
}

void relay_exchange::wait_for_backend(const backend_choice& choice)
{
    if (choice.reason == no_server_of_version) {
        log_event(event_id::request_refused, "request={} reason={} software={} stream={:016x}",
                  metadata_.id, choice.reason,
                  stream_version_ ? *stream_version_ : unrecorded_version().value_or(""),
                  stream_id());
        give_up(std::string(choice.reason));
        return;
    }
    if (choice.reason == none_accepts) {
        log_event(event_id::request_refused, "request={} reason={} service={}", metadata_.id,
                  choice.reason, service_);
        give_up(std::string(choice.reason));
        return;
    }
    const millis now = context_.core.now();
    if (!waiting_since_) {
        waiting_since_ = now;
        wait_due_ = now;
        late_wait_taken_ = false;
    }
    const auto share =
        std::chrono::duration_cast<millis>(route_->target * context_.options.wait_share);
    const millis max_wait = std::max(context_.options.choice_retry_interval, share);
    const millis wait_end = *waiting_since_ + max_wait;
    if (choice.reason == resting && choice.rest_end.value_or(millis::max()) > wait_end) {
        log_event(event_id::request_refused, "request={} reason={} service={} rest_ms={}",
                  metadata_.id, choice.reason, service_,
                  choice.rest_end ? (*choice.rest_end - now).count() : -1);
        give_up(std::string(choice.reason));
        return;
    }
    if (now - *waiting_since_ >= max_wait && !take_late_wait(now)) {
        give_up(std::string(choice.reason));
        return;
    }
    wait_due_ = now + context_.options.choice_retry_interval;
    wait_timer_ =
        context_.core.after(context_.options.choice_retry_interval, [this] { attempt(); });
}

// Returns true once if the wait timer was handled late: after a busy period, the event loop runs
// expired timers before the input that may list a server.
bool relay_exchange::take_late_wait(millis now)
{
    const bool late = now - wait_due_ > max_timer_delay;
    return late && !std::exchange(late_wait_taken_, true);
}

void relay_exchange::send(const backend_choice& choice)
{
    backend& server = *choice.server;
    sent_at_ = context_.core.now();
    heard_at_ = sent_at_;
    backend_id_ = server.entry.id;
    backend_incarnation_ = server.incarnation();
    trial_ = choice.trial;
    software_version_ = server.entry.software_version;
    announce_origin();
    tried_backends_.insert(backend_id_);
    for (const std::uint64_t part : shared_prefix_segments()) {
        context_.state.add_location(
            {static_cast<std::uint32_t>(part), static_cast<std::uint32_t>(server.hash)});
    }
    failure_.reset();
    answered_at_.reset();
    body_began_at_.reset();
    body_bytes_ = 0;
    call_end_.reset();
    mode_ = body_mode::discard;
    events_.restart();
    backend_call_metadata metadata{
        .time_left = std::max(1ms, time_left()),
        .backend_id = backend_id_,
        .account = account_ == nullptr ? std::string() : account_->name,
        .strip_credentials = table_->keys_required(),
        .priority = route_->priority,
        .last_event_id = events_.last_id().empty() ? metadata_.last_event_id : events_.last_id()};
    if (choice.copy_source != nullptr) {
        metadata.prompt_source = choice.copy_source->entry.address;
    }
    if (account_ != nullptr && account_->priority) {
        metadata.priority = account_->priority;
    }
    http_head request = context_.codec.write_request(caller_->request(), metadata);
    request.chunked = false;
    request.length.reset();
    if (!body_->empty() || caller_->request().length || caller_->request().chunked) {
        request.length = body_->size();
    }
    const bool once = !attempts_->repeatable();
    connection_ = metadata_.id.empty() ? context_.connections.open(server.entry.address)
                                       : context_.connections.acquire(backend_incarnation_,
                                                                      server.entry.address, once);
    ++server.in_flight; // `release_call` undoes this
    log_event(
        event_id::backend_chosen,
        "request={} route={} prompt={:x} backend={} software={} after_event={} zone={} "
        "reason={} rank={} kept={} "
        "copies_from={} load={} "
        "mean={:.1f} expected={} known_ms={} pool={} "
        "cold={} try={} left_ms={} version={} source_age_ms={} listed_age_ms={}",
        metadata_.id, route_->name, placement_segment(), backend_id_, server.entry.software_version,
        metadata.last_event_id.empty() ? "-" : metadata.last_event_id, server.entry.zone,
        choice.reason, choice.rank, choice.prefix_cached,
        choice.copy_source == nullptr ? "-" : choice.copy_source->entry.id, choice.load,
        choice.mean, choice.expected_load ? fmt::format("{:.1f}", *choice.expected_load) : "-",
        choice.information_age.count(), choice.pool, server.cold(sent_at_), tried_backends_.size(),
        metadata.time_left.count(), table_->version(), context_.state.source_age().count(),
        (sent_at_ - server.listed_at).count());
    connection_->call(request, body_,
                      {.on_sent =
                           [this] {
                               attempt_ =
                                   context_.state.begin_attempt({.suspects = suspects(),
                                                                 .server = backend_incarnation_,
                                                                 .service = hash_of(service_)});
                           },
                       .on_head = [this](const http_head& head) { return on_response_head(head); },
                       .on_body = [this](std::string_view data) { on_response_body(data); },
                       .on_end = [this](http_call_result end) { on_call_end(end); }});
}

// Without this, a caller that takes the stream up again at another entry could get events of
// another software version.
void relay_exchange::announce_origin()
{
    origin_untold_ = false;
    untold_head_.reset();
    untold_head_bytes_ = 0;
    untold_events_.clear();
    untold_end_.reset();
    if (!records_origin()) {
        return;
    }
    origin_untold_ = true;
    context_.state.begin_stream(
        {.stream = stream_id(), .service = service_, .version = software_version_},
        [self = std::weak_ptr(self_)](bool archived) {
            const auto exchange = self.lock();
            if (exchange != nullptr && !(*exchange)->ended_) {
                (*exchange)->on_origin_told(archived);
            }
        });
}

// Whether callers may take the request's stream up again, so that others have to know its version.
bool relay_exchange::records_origin() const
{
    return route_->kind == route_kind::stream && route_->resumable;
}

void relay_exchange::on_origin_told(bool archived)
{
    if (!std::exchange(origin_untold_, false)) {
        return;
    }
    if (!archived && begin_again_unrecorded()) {
        return;
    }
    send_untold_head();
    if (untold_events_.empty()) {
        return;
    }
    held_time_ += context_.core.now() - untold_since_;
    if (connection_ != nullptr) {
        connection_->pause_reading(false);
    }
    on_response_body(std::exchange(untold_events_, {}));
    if (untold_end_ && !ended_) {
        on_call_end(*std::exchange(untold_end_, std::nullopt));
    }
}

// The only version at which a stream that has not begun can begin.  An order of a roll-out decides
// otherwise.
std::optional<std::string> relay_exchange::unrecorded_version() const
{
    const bool ordered = context_.rollouts != nullptr &&
                         context_.rollouts->filter(service_, route_->name).has_value();
    return stream_version_ || !records_origin() || ordered
               ? std::nullopt
               : context_.state.unrecorded_version(service_, stream_id());
}

// The archive can't record a start at this version, and the caller has nothing of the response yet:
// the stream begins again where it needs no record, or fails.  Otherwise it could go on at another
// version once all entries have ended.
bool relay_exchange::begin_again_unrecorded()
{
    const bool whole = untold_end_ == http_call_result::complete;
    const std::optional<std::string> version = unrecorded_version();
    if (response_head_sent_ || failure_ || whole || last_look_ || !version ||
        *version == software_version_) {
        return false;
    }
    const bool again = backend_chooser::has_server(context_.state.backends(), make_criteria(),
                                                   *version, context_.core.now()) &&
                       attempts_->take_restart();
    log_event(event_id::stream_restarted,
              "request={} stream={:016x} service={} software={} unrecorded={} again={} after_ms={}",
              metadata_.id, stream_id(), service_, software_version_, *version, again,
              (context_.core.now() - sent_at_).count());
    ++context_.core.metrics().named(again ? "streams_restarted" : "streams_unrecorded");
    end_attempt(attempt_end::given_up, "archive_away");
    release_call(true);
    if (again) {
        attempt();
    }
    else {
        refuse(bad_gateway, "not_recorded");
    }
    return true;
}

// Passes on the response head that was held back until others can tell where the stream began.
void relay_exchange::send_untold_head()
{
    if (untold_head_) {
        untold_head_bytes_ = 0;
        send_response_head(*std::exchange(untold_head_, std::nullopt));
    }
}

void relay_exchange::end_trial(bool accepted)
{
    if (std::exchange(trial_, false)) {
        context_.state.backends().words().end_trial(backend_incarnation_, accepted);
    }
}

// Any response tells what its server says of itself, also one that is not for this request.  One
// with status 421 comes from another server that has the address now.
void relay_exchange::note_server_words(const http_head& head, const response_metadata& metadata)
{
    if (head.status == misdirected) {
        context_.state.backend_misdirected(backend_id_, backend_incarnation_);
        return;
    }
    context_.state.backend_heard(backend_incarnation_);
    if (metadata.leaving) {
        context_.state.backend_leaves(backend_id_, backend_incarnation_);
    }
    if (metadata.rest) {
        context_.state.backend_rests(backend_id_, backend_incarnation_, *metadata.rest);
    }
}

bool relay_exchange::on_response_head(const http_head& head)
{
    heard_at_ = context_.core.now();
    answered_at_ = heard_at_;
    const response_metadata metadata = context_.codec.read_response(head);
    note_server_words(head, metadata);
    if (!metadata.id.empty() && metadata.id != metadata_.id) {
        log_event(event_id::stray_answer, "request={} backend={} answers={} status={}",
                  metadata_.id, backend_id_, metadata.id, head.status);
        return false;
    }
    if (metadata.id.empty() && !connection_->at_first_response()) {
        log_event(event_id::stray_answer, "request={} backend={} answers=? status={}", metadata_.id,
                  backend_id_, head.status);
        failure_ = attempt_outcome::unproven;
        connection_->cut_response();
        return true;
    }
    if (metadata.id.empty()) {
        connection_->close_after_call(); // later responses could not be told from this one
    }
    end_trial(!metadata.not_run && head.status != unavailable);
    backend* server = context_.state.backends().find(backend_id_);
    if (server != nullptr && metadata.load) {
        context_.state.backends().record_load(*server, *metadata.load, context_.core.now());
    }
    if (server != nullptr && server->incarnation() == backend_incarnation_) {
        backend_table::record_limit(*server, metadata.request_limit, context_.core.now());
    }
    if (metadata.not_run || head.status == misdirected) {
        discard_response(attempt_outcome::rejected);
        return true;
    }
    if (!attempts_->repeatable() && promises_not_run(head.status)) {
        discard_response(attempt_outcome::unproven);
        return true;
    }
    const bool failed = head.status >= first_server_error;
    if (response_head_sent_ && (head.status != http_ok || !has_event_stream(head))) {
        discard_response(attempt_outcome::unproven); // it does not continue the event stream
        return true;
    }
    if (failed && attempts_->repeatable() && !last_look_) {
        const attempt_action step = attempts_->next_action(attempt_outcome::failed);
        if (step == attempt_action::retry) {
            discard_response(attempt_outcome::failed);
            return true;
        }
    }
    begin_caller_response(head);
    return true;
}

// Drops the rest of the current response, which reports a failure that the caller need not see.
void relay_exchange::discard_response(attempt_outcome failure)
{
    failure_ = failure;
    connection_->discard_response();
}

void relay_exchange::begin_caller_response(const http_head& head)
{
    status_ = head.status;
    mode_ = has_event_stream(head) ? body_mode::events : body_mode::pass;
    if (response_head_sent_) {
        return;
    }
    if (last_look_) {
        held_head_ = head;
        return;
    }
    if (origin_untold_ && mode_ == body_mode::events) {
        untold_head_ = head;
        untold_head_bytes_ = bytes_of(head);
        count_memory();
        return;
    }
    send_response_head(head);
}

void relay_exchange::send_response_head(const http_head& head)
{
    http_head response = head;
    remove_hop_by_hop_headers(response, {});
    resumable_response_ =
        mode_ == body_mode::events && route_->resumable && response.status == http_ok;
    if (resumable_response_ && response.length) {
        response.length.reset(); // another server may send the rest of the stream
        response.chunked = true;
    }
    if (!resumable_response_) { // no other attempt follows
        suspects();
        body_.reset();
        count_memory();
    }
    response_head_sent_ = true;
    caller_->begin_response(std::move(response));
}

// Returns what may be forwarded of an event stream now that `data` has arrived. An event that is
// too long to be held back ends an attempt at a resumable stream, because another server cannot
// continue in the middle of an event. Any other stream is forwarded as it comes from then on.
std::string_view relay_exchange::ready_events(std::string_view data)
{
    const std::string_view complete = events_.feed(data);
    if (!events_.continues()) {
        failure_ = attempt_outcome::unproven;
        mode_ = body_mode::discard;
        connection_->cut_response();
        return {};
    }
    const std::size_t longest =
        context_.core.memory().allowance(least_event, context_.options.max_event);
    if (events_.partial().size() <= longest) {
        return complete;
    }
    if (route_->resumable) {
        mode_ = body_mode::discard;
        connection_->cut_response();
        return complete;
    }
    mode_ = body_mode::pass;
    forward_body(complete);
    return events_.partial();
}

void relay_exchange::on_response_body(std::string_view data)
{
    heard_at_ = context_.core.now();
    if (body_began_at_) {
        body_bytes_ += data.size();
    }
    body_began_at_ = body_began_at_.value_or(heard_at_);
    if (mode_ == body_mode::discard) {
        return;
    }
    if (origin_untold_ && mode_ == body_mode::events) {
        untold_since_ = untold_events_.empty() ? heard_at_ : untold_since_;
        untold_events_.append(data);
        count_memory();
        connection_->pause_reading(true);
        return;
    }
    const std::string_view ready = mode_ == body_mode::events ? ready_events(data) : data;
    forward_body(ready);
    count_memory();
}

void relay_exchange::count_memory()
{
    memory_.set(untold_events_.capacity() + held_body_.capacity() + events_.partial().size() +
                untold_head_bytes_);
}

void relay_exchange::forward_body(std::string_view ready)
{
    if (ready.empty()) {
        return;
    }
    if (held_head_) {
        held_body_.append(ready);
        return;
    }
    if (mode_ == body_mode::events && !stream_version_) {
        stream_version_ = software_version_;
    }
    if (!first_byte_seen_) {
        first_byte_seen_ = true;
        context_.core.latency("first_byte_ms").observe(context_.core.now() - started_at_);
    }
    caller_->write(ready);
    const std::size_t allowance =
        context_.core.memory().allowance(least_unsent, context_.options.max_unsent);
    if (caller_->unsent_bytes() > allowance && connection_ != nullptr) {
        connection_->pause_reading(true);
    }
}

// Whether the response of another server may follow what the caller has of the response.
bool relay_exchange::can_be_followed() const
{
    return !response_head_sent_ || (resumable_response_ && events_.resumable());
}

// Whether a response that has ended is not whole.  One that ended with its connection may be whole
// or not; it is delivered if the caller's response ends in the same way.
bool relay_exchange::is_broken_off(http_call_result outcome) const
{
    if (mode_ == body_mode::events && events_.inside_event()) {
        return true;
    }
    if (outcome != http_call_result::closed) {
        return outcome == http_call_result::lost;
    }
    return response_head_sent_ && !caller_->ends_with_connection();
}

void relay_exchange::on_call_end(http_call_result outcome)
{
    if (origin_untold_ && !untold_events_.empty()) {
        untold_end_ = outcome;
        return;
    }
    backend* server = context_.state.backends().find(backend_id_);
    const millis now = context_.core.now();
    std::optional<attempt_outcome> failure = failure_;
    call_end_ = outcome;
    if (outcome == http_call_result::not_sent) {
        failure = attempt_outcome::not_sent;
    }
    else if (!failure && is_broken_off(outcome)) {
        failure = attempt_outcome::lost;
    }
    if (server != nullptr && failure == attempt_outcome::not_sent) {
        context_.state.backend_unreachable(
            *server, connection_->refused() && server->incarnation() == backend_incarnation_);
    }
    else if (server != nullptr) {
        const bool bad = failure || status_ >= first_server_error;
        if (failure == attempt_outcome::lost && server->incarnation() == backend_incarnation_) {
            context_.state.backend_lost(*server);
        }
        context_.state.backends().record_outcome(
            *server, bad ? backend_outcome::failure : backend_outcome::success, now);
    }
    end_attempt(evidence_of(outcome, failure),
                failure ? name_of(attempt_outcome_names, *failure) : "unmarked");
    release_call(false);
    if (!failure) {
        finish_response();
        return;
    }
    std::vector<std::uint64_t> parts;
    for (const prompt_segment& part : metadata_.prompt) {
        parts.push_back(part.hash);
    }
    log_event(event_id::attempt_failed,
              "request={} backend={} end={} connection={} after_ms={} head_passed={} parts={:x}",
              metadata_.id, backend_id_, name_of(attempt_outcome_names, *failure),
              name_of(http_call_result_names, outcome), (now - sent_at_).count(),
              response_head_sent_, fmt::join(parts, ","));
    handle_failed_attempt(*failure);
}

void relay_exchange::handle_failed_attempt(attempt_outcome outcome)
{
    if (!can_be_followed()) {
        give_up(std::string(name_of(attempt_outcome_names, outcome)));
        return;
    }
    // For an error response, `on_response_head` has already consulted `attempts_`, which decided to
    // retry.
    const attempt_action step = outcome == attempt_outcome::failed
                                    ? attempt_action::retry
                                    : attempts_->next_action(outcome);
    if (step == attempt_action::retry && time_left() > 0ms && !last_look_) {
        attempt();
        return;
    }
    give_up(std::string(name_of(attempt_outcome_names, outcome)));
}

void relay_exchange::finish_response()
{
    send_untold_head();
    if (held_head_) {
        send_response_head(*held_head_);
        caller_->write(held_body_);
    }
    if (mode_ == body_mode::events) {
        caller_->write(events_.partial());
    }
    caller_->end_response();
    end("answered");
}

// What this request has in common with others that may crash servers: itself, if it is repeated,
// with the same end of its prompt or another, and the parts of its prompt but the last.
const std::vector<suspect>& relay_exchange::suspects()
{
    if (suspects_) {
        return *suspects_;
    }
    suspects_.emplace();
    const std::uint64_t account = hash_of(account_ == nullptr ? "" : account_->name);
    const std::uint64_t target = combine_hashes(account, hash_of(caller_->request().target));
    const std::uint64_t fingerprint = combine_hashes(target, hash_of(*body_));
    if (!metadata_.prompt.empty()) {
        suspects_->push_back({.hash = combine_hashes(fingerprint, metadata_.prompt.back().hash)});
    }
    suspects_->push_back({.hash = fingerprint});
    for (std::size_t index = 0; index + 1 < metadata_.prompt.size(); ++index) {
        if (suspects_->size() > max_suspect_parts + 1) {
            break;
        }
        suspects_->push_back(
            {.hash = metadata_.prompt[index].hash, .position = static_cast<unsigned>(index) + 1});
    }
    return *suspects_;
}

bool relay_exchange::refuse_quarantined()
{
    if (context_.state.crashes().size() == 0) {
        return false;
    }
    const auto cause = context_.state.quarantined(suspects());
    if (!cause) {
        return false;
    }
    log_event(event_id::request_refused, "request={} reason=quarantined suspect={:016x} tries={}",
              metadata_.id, *cause, tried_backends_.size());
    ++context_.core.metrics().named("requests_quarantined");
    give_up("quarantined");
    return true;
}

// What the end of a call tells about the request.
attempt_end relay_exchange::evidence_of(http_call_result outcome,
                                        std::optional<attempt_outcome> failure) const
{
    if (failure == attempt_outcome::not_sent || failure == attempt_outcome::rejected) {
        return attempt_end::not_run;
    }
    if (failure == attempt_outcome::lost || outcome != http_call_result::complete) {
        return attempt_end::lost;
    }
    return !failure && status_ < first_redirection ? attempt_end::completed : attempt_end::answered;
}

// The same of a call that is given up before its end.
attempt_end relay_exchange::evidence_of_silence() const
{
    return context_.core.now() - heard_at_ >= context_.options.long_silence ? attempt_end::lost
                                                                            : attempt_end::given_up;
}

// Reports how the attempt ended; `name` tells it in the log.
void relay_exchange::end_attempt(attempt_end how, std::string_view name)
{
    if (!attempt_) {
        return;
    }
    record_for_rollout(how);
    if (how != attempt_end::completed && how != attempt_end::not_run) {
        log_event(event_id::attempt_unanswered,
                  "request={} backend={} incarnation={:016x} end={} silent_ms={} suspect={:016x}",
                  metadata_.id, backend_id_, backend_incarnation_, name,
                  (context_.core.now() - heard_at_).count(), suspects().front().hash);
    }
    context_.state.end_attempt(*std::exchange(attempt_, std::nullopt), how);
}

void relay_exchange::refuse(int status, const std::string& reason)
{
    relay_refusal why{.status = status, .reason = reason};
    if (status == unavailable) {
        why.retry_after = retry_after();
    }
    refuse(why);
}

void relay_exchange::refuse(const relay_refusal& why)
{
    status_ = why.status;
    caller_->refuse(why);
    end(why.reason);
}

// Without a configuration, this entry cannot serve a retry until its source is reachable again,
// which takes seconds.  The causes of other refusals pass quickly, and another entry may be able
// to serve the retry.
millis relay_exchange::retry_after() const
{
    const relay_exchange_options& options = context_.options;
    const auto share_of_time = [&](double share) {
        return std::chrono::duration_cast<millis>(std::max(0ms, time_left()) * share);
    };
    if (table_ == nullptr) {
        constexpr int spread_from = 2;
        constexpr int spread_parts = 3;
        const millis latest = share_of_time(options.unconfigured_retry_after_share);
        const millis earliest = latest * spread_from / spread_parts;
        const auto span = static_cast<std::uint64_t>((latest - earliest).count()) + 1;
        return earliest + millis(static_cast<std::int64_t>(context_.core.random() % span));
    }
    return std::min(context_.core.jittered(options.retry_after),
                    share_of_time(options.retry_after_share));
}

void relay_exchange::give_up(const std::string& reason)
{
    if (response_head_sent_) {
        caller_->abort_response();
        end("broken_off_" + reason);
        return;
    }
    refuse(attempts_ != nullptr && attempts_->may_have_run() ? bad_gateway : unavailable, reason);
}

bool relay_exchange::deliver_arrived_response()
{
    last_look_ = true;
    if (connection_ != nullptr) {
        connection_->read_arrived();
    }
    return ended_;
}

void relay_exchange::on_deadline()
{
    if (deliver_arrived_response()) {
        return;
    }
    const bool open = connection_ != nullptr;
    end_attempt(evidence_of_silence(), "deadline");
    release_call(true);
    if (response_head_sent_) {
        caller_->abort_response();
        end("deadline_in_answer");
        return;
    }
    refuse(open || attempts_->may_have_run() ? gateway_timeout : unavailable, "deadline");
}

void relay_exchange::on_caller_disconnect()
{
    // The caller may have left because the server is silent.
    end_attempt(evidence_of_silence(), "caller_left");
    release_call(true);
    end("caller_left");
}

void relay_exchange::abort(const std::string& why)
{
    if (deliver_arrived_response()) {
        return;
    }
    const bool open = connection_ != nullptr;
    end_attempt(evidence_of_silence(), why);
    release_call(true);
    if (response_head_sent_) {
        caller_->abort_response();
        end(why);
        return;
    }
    refuse(open || attempts_->may_have_run() ? bad_gateway : unavailable, why);
}

void relay_exchange::end_after_error()
{
    if (ended_) {
        return;
    }
    const bool may_have_run =
        connection_ != nullptr || (attempts_ != nullptr && attempts_->may_have_run());
    end_trial(false);
    release_call(true);
    if (response_head_sent_) {
        caller_->abort_response();
        end("internal_error");
        return;
    }
    refuse(may_have_run ? bad_gateway : unavailable, "internal_error");
}

void relay_exchange::release_call(bool abandon)
{
    if (connection_ == nullptr) {
        return;
    }
    end_trial(false);
    end_attempt(attempt_end::not_run, "");
    backend* server = context_.state.backends().find(backend_id_);
    if (server != nullptr && server->in_flight > 0) {
        --server->in_flight;
    }
    if (abandon) {
        connection_->abandon();
    }
    else {
        context_.connections.release(backend_incarnation_, std::move(connection_));
    }
    connection_.reset();
}

void relay_exchange::end(std::string_view outcome)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    deadline_timer_ = {};
    wait_timer_ = {};
    const millis took = context_.core.now() - started_at_;
    ++context_.core.metrics().named(fmt::format("requests_ended_{}", status_));
    context_.core.latency("request_ms").observe(took);
    log_event(event_id::request_ended,
              "request={} route={} account={} status={} outcome={} ms={} tries={} backend={} "
              "connection={} held_ms={} version={}",
              metadata_.id, route_ == nullptr ? "-" : route_->name,
              account_ == nullptr ? "-" : account_->name, status_, outcome, took.count(),
              tried_backends_.size(), backend_id_,
              call_end_ ? name_of(http_call_result_names, *call_end_) : "-", held_time_.count(),
              table_ == nullptr ? 0 : table_->version());
    on_end_(*this);
}

} // namespace cyclamen
