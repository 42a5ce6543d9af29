#include "log_client.h"

#include "http_client.h"
#include "http_server.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cyclamen {

namespace {

using json = nlohmann::json;

constexpr int http_ok = 200;

std::optional<std::uint64_t> parse_offset(const http_response& response)
{
    if (response.end != http_call_result::complete || response.status != http_ok) {
        return std::nullopt;
    }
    try {
        return json::parse(response.body).at("offset").get<std::uint64_t>();
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<log_page> parse_page(const http_response& response)
{
    if (response.end != http_call_result::complete || response.status != http_ok) {
        return std::nullopt;
    }
    try {
        const json body = json::parse(response.body);
        log_page page{.first = body.at("first"), .next = body.at("next"), .records = {}};
        for (const json& row : body.at("records")) {
            page.records.push_back({.offset = row.at("offset"),
                                    .at = millis(row.at("time_ms").get<std::int64_t>()),
                                    .data = row.at("data")});
        }
        return page;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

void log_client::append(const std::string& stream, const std::string& data,
                        std::function<void(std::optional<std::uint64_t>)> on_offset)
{
    fetcher_.fetch({.server = server_,
                    .method = "POST",
                    .target = "/streams/" + stream,
                    .content_type = "application/json",
                    .body = data,
                    .headers = {},
                    .timeout = timeout_},
                   [on_offset = std::move(on_offset)](const http_response& response) {
                       on_offset(parse_offset(response));
                   });
}

void log_client::read(const std::string& stream, std::uint64_t from, unsigned max_records,
                      std::function<void(std::optional<log_page>)> on_page)
{
    fetcher_.fetch({.server = server_,
                    .method = "GET",
                    .target = fmt::format("/streams/{}?from={}&max={}", stream, from, max_records),
                    .content_type = {},
                    .body = {},
                    .headers = {},
                    .timeout = timeout_},
                   [on_page = std::move(on_page)](const http_response& response) {
                       on_page(parse_page(response));
                   });
}

} // namespace cyclamen
