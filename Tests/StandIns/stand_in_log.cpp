#include "stand_in_log.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen::test {

namespace {

using json = nlohmann::json;

constexpr std::string_view streams_prefix = "/streams/";

std::uint64_t query_number(const std::string& query, const char* key, std::uint64_t fallback)
{
    evkeyvalq values{};
    evhttp_parse_query_str(query.c_str(), &values);
    const char* found = evhttp_find_header(&values, key);
    const std::uint64_t number = found == nullptr ? fallback : std::strtoull(found, nullptr, 10);
    evhttp_clear_headers(&values);
    return number;
}

} // namespace

stand_in_log::stand_in_log(kernel& core, net_address listen)
    : core_(core), listen_(std::move(listen))
{
}

void stand_in_log::start()
{
    server_ = std::make_unique<http_server>(core_.loop(), listen_, http_server_options{},
                                            [this](const exchange& caller) { on_request(caller); });
}

void stand_in_log::on_request(const exchange& caller)
{
    if (caller->path() == "/faults") {
        set_faults(caller);
        return;
    }
    if (caller->path() == "/health") {
        caller->reply(200, "application/json", "{}");
        return;
    }
    if (faults_.outage) {
        caller->reply(503, "text/plain", "outage\n");
        return;
    }
    if (faults_.delay_ms == 0) {
        serve(caller);
        return;
    }
    const std::uint64_t number = next_delayed_++;
    delayed_[number] = core_.after(millis(faults_.delay_ms), [this, caller, number] {
        const kernel::timer ended = std::move(delayed_[number]);
        delayed_.erase(number);
        serve(caller);
    });
}

void stand_in_log::serve(const exchange& caller)
{
    if (!caller->path().starts_with(streams_prefix)) {
        caller->reply(404, "text/plain", "no such resource\n");
        return;
    }
    const std::string name = caller->path().substr(streams_prefix.size());
    if (caller->method() == "POST") {
        append(caller, name);
    }
    else {
        read(caller, name);
    }
}

bool stand_in_log::consume_append_token()
{
    const millis now = core_.now();
    const double seconds = std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    const double rate = faults_.appends_per_second;
    tokens_ = std::min(rate, tokens_ + seconds * rate);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void stand_in_log::append(const exchange& caller, const std::string& name)
{
    if (!consume_append_token()) {
        caller->reply(429, "text/plain", "append rate limit exceeded\n");
        return;
    }
    stream& log_stream = streams_[name];
    expire_records(log_stream);
    log_stream.records.push_back({core_.wall_clock().count(), caller->body()});
    ++appends_;
    if (faults_.lose_responses > 0) {
        --faults_.lose_responses;
        caller->abort();
        return;
    }
    const json response{{"offset", log_stream.first + log_stream.records.size() - 1}};
    caller->reply(200, "application/json", response.dump());
}

void stand_in_log::expire_records(stream& log_stream) const
{
    if (faults_.retention_ms == 0) {
        return;
    }
    const std::int64_t cutoff =
        core_.wall_clock().count() - static_cast<std::int64_t>(faults_.retention_ms);
    while (!log_stream.records.empty() && log_stream.records.front().at_ms < cutoff) {
        log_stream.records.pop_front();
        ++log_stream.first;
    }
}

void stand_in_log::read(const exchange& caller, const std::string& name)
{
    stream& log_stream = streams_[name];
    expire_records(log_stream);
    const std::uint64_t from = std::max(query_number(caller->query(), "from", 0), log_stream.first);
    const std::uint64_t max_records = query_number(caller->query(), "max", 100);
    const std::uint64_t next = log_stream.first + log_stream.records.size();
    json rows = json::array();
    for (std::uint64_t offset = from; offset < next && rows.size() < max_records; ++offset) {
        const record& row = log_stream.records[offset - log_stream.first];
        rows.push_back({{"offset", offset}, {"time_ms", row.at_ms}, {"data", row.data}});
    }
    const json response{{"first", log_stream.first}, {"next", next}, {"records", rows}};
    caller->reply(200, "application/json",
                  response.dump(-1, ' ', false, json::error_handler_t::replace));
}

void stand_in_log::set_faults(const exchange& caller)
{
    const json faults = json::parse(caller->body(), nullptr, false);
    if (!faults.is_object()) {
        caller->reply(400, "text/plain", "expected a JSON object\n");
        return;
    }
    faults_.outage = faults.value("outage", faults_.outage);
    faults_.delay_ms = faults.value("delay_ms", faults_.delay_ms);
    faults_.lose_responses = faults.value("lose_answers", faults_.lose_responses);
    faults_.appends_per_second = faults.value("appends_per_second", faults_.appends_per_second);
    faults_.retention_ms = faults.value("retention_ms", faults_.retention_ms);
    if (faults.contains("drop_before")) {
        drop_before(faults.value("stream", ""), faults.value("drop_before", std::uint64_t{0}));
    }
    caller->reply(200, "application/json", describe().dump());
}

void stand_in_log::drop_before(const std::string& name, std::uint64_t offset)
{
    stream& log_stream = streams_[name];
    while (!log_stream.records.empty() && log_stream.first < offset) {
        log_stream.records.pop_front();
        ++log_stream.first;
    }
}

json stand_in_log::describe() const
{
    json streams = json::object();
    for (const auto& [name, log_stream] : streams_) {
        streams[name] = {{"first", log_stream.first}, {"records", log_stream.records.size()}};
    }
    return {{"appends", appends_}, {"streams", streams}};
}

} // namespace cyclamen::test
