#include "stand_in_store.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <cstdlib>

namespace cyclamen::test {

namespace {

using json = nlohmann::json;

std::string query_text(const std::string& query, const char* key)
{
    evkeyvalq values{};
    evhttp_parse_query_str(query.c_str(), &values);
    const char* found = evhttp_find_header(&values, key);
    std::string text = found == nullptr ? "" : found;
    evhttp_clear_headers(&values);
    return text;
}

std::uint64_t query_number(const std::string& query, const char* key, std::uint64_t fallback)
{
    const std::string text = query_text(query, key);
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

std::string to_base64(const std::string& text)
{
    std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                       reinterpret_cast<const unsigned char*>(text.data()),
                                       static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

void append_big_endian(std::string& out, std::uint64_t number, unsigned bytes)
{
    for (unsigned index = bytes; index > 0; --index) {
        out += static_cast<char>(number >> (8 * (index - 1)));
    }
}

} // namespace

// The whole content if it is too short for the key.
std::string stand_in_store::record::key() const
{
    const std::size_t length = content.empty() ? 0 : static_cast<unsigned char>(content[0]);
    return content.size() <= length ? content : content.substr(1, length);
}

std::string stand_in_store::record::value() const
{
    const std::size_t length = content.empty() ? 0 : static_cast<unsigned char>(content[0]);
    return content.size() <= length ? std::string() : content.substr(1 + length);
}

stand_in_store::stand_in_store(kernel& core, net_address listen)
    : core_(core), listen_(std::move(listen))
{
}

void stand_in_store::start()
{
    server_ = std::make_unique<http_server>(core_.loop(), listen_, http_server_options{},
                                            [this](const exchange& caller) { on_request(caller); });
}

void stand_in_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    put_bytes(topic, static_cast<char>(key.size()) + key + value);
}

void stand_in_store::put_bytes(const std::string& topic, const std::string& content)
{
    logs_[topic].push_back({content});
    bool delivered = false;
    for (auto call = waiting_.begin(); call != waiting_.end();) {
        if (call->topic != topic) {
            ++call;
            continue;
        }
        answer(*call);
        call = waiting_.erase(call);
        delivered = true;
    }
    if (delivered && on_delivered) {
        on_delivered(topic);
    }
}

void stand_in_store::on_request(const exchange& caller)
{
    const std::string topic = query_text(caller->query(), "Topic");
    if (caller->path() == "/v1/log-newest") {
        list_newest(caller, topic);
    }
    else if (caller->path() == "/v1/log-read") {
        read(caller, topic);
    }
    else {
        caller->reply(404, "text/plain", "no such call\n");
    }
}

void stand_in_store::list_newest(const exchange& caller, const std::string& topic)
{
    const std::vector<record>& log = logs_[topic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < log.size(); ++offset) {
        newest[log[offset].key()] = offset;
    }
    json entries = json::array();
    for (const auto& [key, offset] : newest) {
        const std::string value = log[offset].value();
        if (value.empty()) {
            continue;
        }
        entries.push_back({{"Key", key}, {"Value", to_base64(value)}, {"Offset", offset}});
    }
    const json response{{"Entries", entries}, {"HasMore", false}, {"EndOffset", log.size()}};
    // Bytes that are not UTF-8 are replaced.
    caller->reply(200, "application/json",
                  response.dump(-1, ' ', false, json::error_handler_t::replace));
}

void stand_in_store::read(const exchange& caller, const std::string& topic)
{
    waiting_read call{.caller = caller,
                      .topic = topic,
                      .from = query_number(caller->query(), "From", 0),
                      .max_bytes = query_number(caller->query(), "MaxSize", 1024)};
    const millis wait(static_cast<std::int64_t>(query_number(caller->query(), "WaitMs", 0)));
    if (call.from < logs_[topic].size() || wait == 0ms) {
        answer(call);
        return;
    }
    waiting_.push_back(std::move(call));
    const auto position = std::prev(waiting_.end());
    position->timeout = core_.after(wait, [this, position] {
        const waiting_read expired = std::move(*position);
        waiting_.erase(position);
        answer(expired);
    });
}

void stand_in_store::answer(const waiting_read& call)
{
    const std::vector<record>& log = logs_[call.topic];
    std::string body;
    append_big_endian(body, log.size(), 8);
    append_big_endian(body, 0, 8);
    for (std::size_t offset = call.from; offset < log.size() && body.size() < call.max_bytes;
         ++offset) {
        const record& row = log[offset];
        append_big_endian(body, row.content.size(), 4);
        body += row.content;
    }
    body.resize(std::min(body.size(), std::max<std::size_t>(call.max_bytes, 16)));
    call.caller->reply(200, "application/octet-stream", body);
}

json stand_in_store::describe() const
{
    json topics = json::object();
    for (const auto& [topic, log] : logs_) {
        topics[topic] = log.size();
    }
    return {{"topics", topics}, {"waiting", waiting_.size()}};
}

} // namespace cyclamen::test
