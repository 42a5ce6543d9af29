#include "stand_in_engine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen::test {

using json = nlohmann::json;

namespace {

constexpr std::size_t tokens_per_block = 16;
constexpr millis report_lag = 500ms; // interval at which load and cache events are published
constexpr std::uint64_t event_gap_every = 7; // every seventh cache event is lost
constexpr std::string_view streams_prefix = "/streams/";
constexpr std::size_t max_stream_texts = 64;
// A prompt that contains this text crashes the engine.
constexpr std::string_view crash_word = "crash-the-engine";

std::string prompt_of(const json& body)
{
    std::string prompt;
    for (const json& message : body.value("messages", json::array())) {
        prompt += message.dump();
    }
    return prompt;
}

} // namespace

// A request that is running in the batch or queued for it.
struct stand_in_engine::run {
    exchange caller;
    std::string id;
    std::string last_message;
    bool stream = false;
    unsigned tokens = 0;
    unsigned sent = 0;
    millis prefill{0};
    std::string text;
    kernel::timer timer;
};

stand_in_engine::stand_in_engine(kernel& core, net_address listen, engine_options options)
    : core_(core), listen_(std::move(listen)), options_(std::move(options)),
      cache_(options_.cache_tokens / tokens_per_block)
{
}

stand_in_engine::~stand_in_engine() = default;

void stand_in_engine::start()
{
    listen();
    report_ = core_.every(report_lag, [this] {
        reported_load_ = running_;
        published_events_ = events_;
    });
}

void stand_in_engine::listen()
{
    server_ = std::make_unique<http_server>(core_.loop(), listen_, http_server_options{},
                                            [this](const exchange& caller) { on_request(caller); });
}

void stand_in_engine::on_request(const exchange& caller)
{
    const std::string& path = caller->path();
    if (path == "/health") {
        const json health{{"cold", cold_}};
        caller->reply(200, "application/json", health.dump());
    }
    else if (path == "/v1/chat/completions") {
        on_chat(caller);
    }
    else if (path == "/load") {
        report_load(caller);
    }
    else if (path == "/cache/events") {
        report_cache_events(caller);
    }
    else if (path.starts_with(streams_prefix)) {
        serve_stream(caller);
    }
    else if (path == "/orders") {
        on_order(caller);
    }
    else if (path == "/faults") {
        set_faults(caller);
    }
    else if (path == "/state") {
        caller->reply(200, "application/json", describe().dump());
    }
    else {
        caller->reply(404, "text/plain", "no such resource\n");
    }
}

void stand_in_engine::on_chat(const exchange& caller)
{
    const json body = json::parse(caller->body(), nullptr, false);
    if (!body.is_object()) {
        caller->reply(400, "text/plain", "expected a JSON object\n");
        return;
    }
    const std::string prompt = prompt_of(body);
    if (prompt.find(crash_word) != std::string::npos) {
        restart_ = core_.after(1ms, [this] { crash(); });
        return;
    }
    const std::size_t hits = cache_.lookup_and_insert(prompt);
    const std::size_t blocks = prompt.size() / prefix_cache::block_bytes;
    prompt_tokens_ += blocks * tokens_per_block;
    hit_tokens_ += hits * tokens_per_block;
    events_ += blocks - hits;
    const std::uint64_t id = next_run_++;
    auto job = std::make_unique<run>();
    job->caller = caller;
    job->id = fmt::format("chatcmpl-{}-{}", options_.instance, id);
    job->stream = body.value("stream", false);
    job->tokens = std::max(1U, std::min(body.value("max_tokens", options_.tokens), 100000U));
    job->last_message = body["messages"].back().value("content", "");
    const double prefill_us =
        static_cast<double>((blocks - hits) * tokens_per_block) * options_.prefill_us_per_token;
    job->prefill = millis(static_cast<std::int64_t>(prefill_us / 1000));
    caller->on_closed = [this, id] { finish(id); };
    runs_[id] = std::move(job);
    waiting_.push_back(id);
    start_queued_runs();
}

void stand_in_engine::start_queued_runs()
{
    while (running_ < options_.slots && !waiting_.empty()) {
        const std::uint64_t id = waiting_.front();
        waiting_.pop_front();
        const auto found = runs_.find(id);
        if (found == runs_.end()) {
            continue;
        }
        ++running_;
        peak_running_ = std::max(peak_running_, running_);
        if (cold_ && running_ > options_.max_cold_concurrency) {
            overloaded_while_cold_ = true;
            restart_ = core_.after(1ms, [this] { crash(); });
            return;
        }
        run& job = *found->second;
        job.timer =
            core_.after(job.prefill + millis(options_.token_ms), [this, id] { next_token(id); });
    }
}

void stand_in_engine::next_token(std::uint64_t id)
{
    run& job = *runs_.at(id);
    ++job.sent;
    const std::string token =
        job.sent == 1 ? job.last_message.substr(0, 40) : fmt::format(" t{}", job.sent);
    job.text += token;
    stream_texts_[job.id] = job.text;
    if (stream_texts_.size() > max_stream_texts) {
        stream_texts_.erase(stream_texts_.begin());
    }
    if (job.stream) {
        if (job.sent == 1) {
            job.caller->begin_stream(200, "text/event-stream");
        }
        const json chunk{{"id", job.id},
                         {"object", "chat.completion.chunk"},
                         {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
        job.caller->write("data: " + chunk.dump() + "\n\n");
    }
    if (job.sent < job.tokens) {
        job.timer = core_.after(millis(options_.token_ms), [this, id] { next_token(id); });
        return;
    }
    const exchange caller = job.caller;
    caller->on_closed = nullptr;
    if (job.stream) {
        caller->write("data: [DONE]\n\n");
        caller->end_stream();
    }
    else {
        const json response{
            {"id", job.id},
            {"object", "chat.completion"},
            {"choices",
             {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", job.text}}}}}}};
        caller->reply(200, "application/json", response.dump());
    }
    ++completed_;
    if (cold_ && ++warm_up_completed_ >= options_.warm_up_requests) {
        cold_ = false;
    }
    finish(id);
}

void stand_in_engine::finish(std::uint64_t id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return;
    }
    const bool waits = std::find(waiting_.begin(), waiting_.end(), id) != waiting_.end();
    // Destroyed only on return, as the callback of its timer may be running.
    const std::unique_ptr<run> ended = std::move(found->second);
    runs_.erase(found);
    if (!waits) {
        --running_;
    }
    start_queued_runs();
}

// Closes all connections at once and stops listening until the restart. Handlers of requests call
// it from a timer, because it destroys the server that is calling them.
void stand_in_engine::crash()
{
    ++crashes_;
    for (auto& [id, job] : runs_) {
        job->caller->on_closed = nullptr;
        job->caller->abort();
    }
    runs_.clear();
    waiting_.clear();
    running_ = 0;
    cache_.clear();
    server_.reset();
    cold_ = true;
    warm_up_completed_ = 0;
    restart_ = core_.after(millis(options_.restart_delay_ms), [this] { listen(); });
}

void stand_in_engine::serve_stream(const exchange& caller)
{
    const std::string id = caller->path().substr(streams_prefix.size());
    const auto text = stream_texts_.find(id);
    if (text == stream_texts_.end()) {
        caller->reply(404, "text/plain", "no such stream\n");
        return;
    }
    if (caller->method() == "GET") {
        // The query is `from=N`: skips the 5 bytes before the number.
        const std::size_t from = std::strtoull(
            caller->query().substr(std::min<std::size_t>(5, caller->query().size())).c_str(),
            nullptr, 10);
        caller->reply(200, "text/plain", text->second.substr(std::min(from, text->second.size())));
        return;
    }
    for (const auto& [number, job] : runs_) {
        if (job->id == id) {
            job->caller->on_closed = nullptr;
            job->caller->abort();
            finish(number);
            break;
        }
    }
    caller->reply(200, "text/plain", "cancelled\n");
}

void stand_in_engine::report_load(const exchange& caller)
{
    const json load{{"running", reported_load_}, {"slots", options_.slots}};
    caller->reply(200, "application/json", load.dump());
}

void stand_in_engine::report_cache_events(const exchange& caller)
{
    json numbers = json::array();
    for (std::uint64_t number = published_events_ > 50 ? published_events_ - 50 : 0;
         number < published_events_; ++number) {
        if (number % event_gap_every != 0) {
            numbers.push_back(number);
        }
    }
    caller->reply(200, "application/json", numbers.dump());
}

void stand_in_engine::on_order(const exchange& caller)
{
    const json body = json::parse(caller->body(), nullptr, false);
    if (!body.is_object()) {
        caller->reply(400, "text/plain", "expected a JSON object\n");
        return;
    }
    const std::uint64_t number = body.value("fencing", std::uint64_t{0});
    if (options_.checks_fencing && number < fencing_) {
        caller->reply(409, "text/plain", "outdated fencing token\n");
        return;
    }
    fencing_ = number;
    caller->reply(200, "application/json", "{}");
}

void stand_in_engine::set_faults(const exchange& caller)
{
    const json faults = json::parse(caller->body(), nullptr, false);
    if (!faults.is_object()) {
        caller->reply(400, "text/plain", "expected a JSON object\n");
        return;
    }
    if (faults.contains("cold")) {
        cold_ = faults.value("cold", false);
        warm_up_completed_ = 0;
    }
    if (faults.value("restart", false)) {
        options_.restart_delay_ms = 1; // restarts immediately, but cold
        restart_ = core_.after(1ms, [this] { crash(); });
    }
    options_.token_ms = faults.value("token_ms", options_.token_ms);
    caller->reply(200, "application/json", "{}");
}

json stand_in_engine::describe() const
{
    return {{"instance", options_.instance},
            {"running", running_},
            {"most_running", peak_running_},
            {"completed", completed_},
            {"crashes", crashes_},
            {"fell_over", overloaded_while_cold_},
            {"cold", cold_},
            {"prompt_tokens", prompt_tokens_},
            {"hit_tokens", hit_tokens_},
            {"fencing", fencing_}};
}

} // namespace cyclamen::test
