#include "instance_directory.h"

#include "event_log.h"
#include "http_client.h"
#include "http_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {

using json = nlohmann::json;

// Returns nothing for a row that is not as it should be, which says nothing about the others.
std::optional<listed_instance> parse_row(const json& row)
{
    try {
        listed_instance listed{.name = row.at("name"),
                               .role =
                                   value_of(instance_role_names, row.at("role").get<std::string>())
                                       .value_or(instance_role::agent),
                               .availability_zone = row.at("availability_zone"),
                               .service = row.value("service", ""),
                               .address = row.at("address"),
                               .leaving = row.value("state", "live") == "leaving"};
        if (listed.role == instance_role::agent && !net_address::parse(listed.address)) {
            return std::nullopt;
        }
        return listed;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<std::map<std::string, listed_instance>> parse_list(const std::string& text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("instances") ||
        !document["instances"].is_array()) {
        return std::nullopt;
    }
    std::map<std::string, listed_instance> instances;
    for (const json& row : document["instances"]) {
        const auto listed = parse_row(row);
        if (!listed) {
            log_event(event_id::record_unreadable, "key=? offset=? why=\"no row of the list\"");
            continue;
        }
        instances.emplace(listed->name, *listed);
    }
    return instances;
}

} // namespace

instance_directory::instance_directory(kernel& core, instance_directory_options options)
    : core_(core), options_(std::move(options)), fetcher_(core.loop())
{
}

void instance_directory::start()
{
    poll();
}

void instance_directory::poll()
{
    fetcher_.fetch({.server = options_.list,
                    .method = "GET",
                    .target = "/instances",
                    .content_type = {},
                    .body = {},
                    .headers = {},
                    .timeout = options_.timeout},
                   [this](const http_response& response) {
                       // The list that is known gives the interval: an error below stops no reads.
                       timer_ = core_.after(next_poll_delay(), [this] { poll(); });
                       std::optional<std::map<std::string, listed_instance>> list;
                       if (response.end == http_call_result::complete) {
                           list = parse_list(response.body);
                       }
                       if (list.has_value() != list_reachable_) {
                           list_reachable_ = list.has_value();
                           log_event(list_reachable_ ? event_id::list_reachable
                                                     : event_id::list_unreachable,
                                     "list={}", options_.list.text());
                       }
                       if (list) {
                           last_fetched_ = core_.now();
                       }
                       if (list && response.body != last_body_) {
                           last_body_ = response.body;
                           instances_ = std::move(*list);
                           changed.emit();
                       }
                   });
}

millis instance_directory::next_poll_delay()
{
    const millis rate_limited_interval(
        static_cast<std::int64_t>(last_body_.size() * 1000 / options_.max_bytes_per_second));
    return core_.jittered(std::max(options_.poll_interval, rate_limited_interval));
}

const listed_instance* instance_directory::find(const std::string& name) const
{
    const auto found = instances_.find(name);
    return found == instances_.end() ? nullptr : &found->second;
}

std::size_t instance_directory::pool_size(const std::string& service) const
{
    return static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(), [&](const auto& row) {
            const listed_instance& listed = row.second;
            return listed.role == instance_role::agent && listed.service == service &&
                   !listed.leaving;
        }));
}

nlohmann::json instance_directory::describe() const
{
    json rows = json::array();
    for (const auto& [name, listed] : instances_) {
        rows.push_back({{"name", name},
                        {"role", name_of(instance_role_names, listed.role)},
                        {"availability_zone", listed.availability_zone},
                        {"service", listed.service},
                        {"address", listed.address},
                        {"leaving", listed.leaving}});
    }
    return {{"list_up", list_reachable_},
            {"heard_ms_ago", (core_.now() - last_fetched_).count()},
            {"instances", rows}};
}

} // namespace cyclamen
