#include "chat_request.h"

#include "hashing.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {
using json = nlohmann::json;

constexpr std::size_t max_parts = 64;
constexpr int max_depth = 128; // writing a value takes stack space for each level of nesting

// Parses a document without the values that are nested too deeply, and tells whether there are any.
json parse_document(std::string_view text, bool& too_deep)
{
    const auto keep = [&](int depth, json::parse_event_t /*event*/, json& /*value*/) {
        too_deep = too_deep || depth > max_depth;
        return depth <= max_depth;
    };
    return json::parse(text, keep, false);
}

} // namespace

std::optional<chat_request> chat_request::parse(std::string_view body, const std::string& account,
                                                std::string& reason)
{
    bool too_deep = false;
    const json document = parse_document(body, too_deep);
    if (too_deep) {
        reason = fmt::format("values are nested more than {} levels deep", max_depth);
        return std::nullopt;
    }
    if (!document.is_object()) {
        reason = "the body is not a JSON object";
        return std::nullopt;
    }
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string()) {
        reason = "`model` is missing or not a string";
        return std::nullopt;
    }
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty()) {
        reason = "`messages` is missing, empty or not an array";
        return std::nullopt;
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean()) {
        reason = "`stream` is not true or false";
        return std::nullopt;
    }
    for (const json& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message.contains("content")) {
            reason = "a message lacks `role` or `content`";
            return std::nullopt;
        }
    }
    chat_request request;
    request.model = model->get<std::string>();
    request.stream = stream != document.end() && stream->get<bool>();
    for (const json& message : *messages) {
        if (&message != &messages->back() && request.parts.size() < max_parts) {
            request.parts.push_back(hash_of(request.model + message.dump()));
        }
    }
    const json& first = messages->front();
    request.placement.prefix =
        combine_hashes(hash_of(account), hash_of(request.model + first.dump()));
    const auto cache_key = document.find("prompt_cache_key");
    if (cache_key != document.end() && cache_key->is_string()) {
        request.placement.chat = hash_of(cache_key->get<std::string>());
        return request;
    }
    for (const json& message : *messages) {
        if (message["role"] != "system") {
            request.placement.chat = hash_of(message.dump());
            break;
        }
    }
    return request;
}

} // namespace cyclamen
