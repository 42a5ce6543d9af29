#include "claim_record.h"

#include "hashing.h"
#include "http_message.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {

using json = nlohmann::json;

// JSON text must be UTF-8, so a body in any other encoding is stored as hexadecimal text.
std::string to_hex(std::string_view bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    return text;
}

std::string from_hex(const std::string& text)
{
    std::string bytes;
    for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
        bytes.push_back(static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16)));
    }
    return bytes;
}

bool is_utf8(const std::string& text)
{
    try {
        static_cast<void>(json(text).dump());
        return true;
    }
    catch (const json::exception&) {
        return false;
    }
}

json encode_answer(const key_answer& answer)
{
    json row{{"k", answer.key},
             {"t", answer.token},
             {"s", answer.status},
             {"c", printable_text(answer.content_type)},
             {"kept", answer.kept}};
    if (is_utf8(answer.body)) {
        row["b"] = answer.body;
    }
    else {
        row["x"] = to_hex(answer.body);
    }
    return row;
}

} // namespace

std::string claim_record::encode() const
{
    json record = json::object();
    for (const key_claim& claim : claims) {
        record["claims"].push_back(
            {{"k", claim.key}, {"t", claim.token}, {"f", claim.fingerprint}});
    }
    for (const key_release& release : releases) {
        record["releases"].push_back({{"k", release.key}, {"t", release.token}});
    }
    for (const key_answer& answer : answers) {
        record["answers"].push_back(encode_answer(answer));
    }
    return record.dump();
}

std::optional<claim_record> claim_record::decode(std::string_view text, std::string& reason)
{
    try {
        const json record = json::parse(text);
        claim_record result;
        for (const json& row : record.value("claims", json::array())) {
            result.claims.push_back({row.at("k"), row.at("t"), row.at("f")});
        }
        for (const json& row : record.value("releases", json::array())) {
            result.releases.push_back({row.at("k"), row.at("t")});
        }
        for (const json& row : record.value("answers", json::array())) {
            result.answers.push_back({.key = row.at("k"),
                                      .token = row.at("t"),
                                      .status = row.at("s"),
                                      .content_type = row.at("c"),
                                      .body = row.contains("b")
                                                  ? row["b"].get<std::string>()
                                                  : from_hex(row.value("x", std::string())),
                                      .kept = row.at("kept")});
        }
        return result;
    }
    catch (const json::exception& fault) {
        reason = fault.what();
        return std::nullopt;
    }
    catch (const std::logic_error& fault) {
        reason = fault.what();
        return std::nullopt;
    }
}

} // namespace cyclamen
