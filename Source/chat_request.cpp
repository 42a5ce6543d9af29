#include "chat_request.h"

#include "hashing.h"

#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {
using json = nlohmann::json;

constexpr std::size_t max_parts = 64;
} // namespace

std::optional<chat_request> chat_request::parse(std::string_view body, const std::string& account,
                                                std::string& reason)
{
    const json document = json::parse(body, nullptr, false);
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
