#include "entry_process.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>

namespace cyclamen::test {

namespace {

using nlohmann::json;

constexpr std::uint16_t readiness_port = 8001;

std::string program_path()
{
    const char* value = std::getenv("CYCLAMEN_ENTRY_PROGRAM");
    return value == nullptr ? std::string(CYCLAMEN_BINARIES) + "/platform/cyclamen-platform-entry"
                            : value;
}

json route(const std::string& kind, const std::string& type)
{
    return {{"Name", kind},  {"Hostname", "shop.example"}, {"PathPrefix", "/" + kind + "/"},
            {"Type", type},  {"TimeoutMs", 20000},         {"TargetLatencyMs", 800},
            {"Priority", 1}, {"MaxAttempts", 2},           {"Service", "shop"}};
}

} // namespace

std::string entry_configuration(std::uint64_t version, unsigned more_routes)
{
    json routes{route("get", "safe"), route("post", "unsafe"), route("stream", "streaming"),
                route("resume", "streaming")};
    routes.back()["StreamResume"] = true;
    for (unsigned number = 0; number < more_routes; ++number) {
        routes.push_back(route(fmt::format("more-{}", number), "safe"));
    }
    const json document{{"Version", version},
                        {"Routes", routes},
                        {"Services", {{{"Name", "shop"}, {"ColdPerS", 1000}}}},
                        {"Limits", {{"HeaderTimeoutMs", 10000}, {"IdleTimeoutMs", 60000}}}};
    return document.dump();
}

std::string backend_record(const net_address& address, std::uint64_t sequence)
{
    const json record{{"Service", "shop"},     {"Address", address.text()},
                      {"Zone", "z1"},          {"Version", "v1"},
                      {"Capacity", 64},        {"State", "ready"},
                      {"ColdRemainingMs", 0},  {"Sequence", sequence},
                      {"born", 1700000000000U}};
    return record.dump();
}

entry_process::entry_process(entry_process_options options)
    : options_(std::move(options)), settings_path_(options_.folder / (options_.name + ".json")),
      log_path_(options_.folder / (options_.name + ".log"))
{
    write_settings(2.0);
    setenv("CYCLAMENSHORE_CONFIG", settings_path_.c_str(), 1);
    process_ =
        std::make_unique<child_process>(program_path(), std::vector<std::string>{}, log_path_);
}

void entry_process::write_settings(double load_multiple) const
{
    json limits{{"MemoryMb", options_.memory_mb}};
    if (options_.max_fds > 0) {
        limits["MaxFds"] = options_.max_fds;
    }
    const json document{{"NodeName", options_.name},
                        {"Zone", "z1"},
                        {"Ip", options_.ip},
                        {"Listen",
                         {{"Frontend", address(callers_port).text()},
                          {"Readiness", address(readiness_port).text()}}},
                        {"PortRange", {7000, 7010}},
                        {"Seeds", json::array()},
                        {"HeartbeatMs", 1000},
                        {"Limits", limits},
                        {"Bounds",
                         {{"GraceS", options_.grace.count()},
                          {"RetryBudgetRatio", 0.2},
                          {"BudgetExtra", 56},
                          {"CapMultiplier", load_multiple}}},
                        {"Platform", {{"Address", options_.store.text()}}}};
    std::ofstream(settings_path_) << document.dump(2);
}

void entry_process::write_unreadable_settings() const
{
    std::ofstream(settings_path_) << "{\"NodeName\": ";
}

int entry_process::readiness() const
{
    httplib::Client client(options_.ip, readiness_port);
    client.set_connection_timeout(std::chrono::seconds(1));
    const auto response = client.Get("/v1/readyz");
    return response ? response->status : 0;
}

} // namespace cyclamen::test
