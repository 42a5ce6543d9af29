// Tests decoding and encoding of the platform's formats: settings, store records, headers.

#include "platform_codec.h"
#include "platform_headers.h"
#include "platform_settings.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cyclamen;
using namespace cyclamen::platform;

namespace {

const nlohmann::json good_settings = nlohmann::json::parse(R"({
  "NodeName": "n1", "Zone": "z1", "Ip": "127.0.0.1", "Unknown": [1],
  "Listen": {"Frontend": "127.0.0.1:1001", "Readiness": "127.0.0.1:1002"},
  "PortRange": [7000, 7010], "Seeds": ["127.0.0.2:1003"], "HeartbeatMs": 1200,
  "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetExtra": 56, "CapMultiplier": 2},
  "Platform": {"Address": "127.0.0.1:1004"}})");

const nlohmann::json good_backend = nlohmann::json::parse(R"({
  "Service": "s", "Address": "127.0.0.1:80", "Zone": "z", "Version": "v1", "Capacity": 64,
  "State": "ready", "ColdRemainingMs": 1500, "Sequence": 4, "born": 77})");

std::optional<backend_entry> decode(const nlohmann::json& document)
{
    std::string error;
    return decode_backend("i-1", document.dump(), error);
}

} // namespace

TEST(platform_settings, are_read_and_unknown_fields_left_alone)
{
    std::vector<finding> findings;
    const auto read = parse_settings(good_settings.dump(), "node.json", findings);
    ASSERT_TRUE(read) << format_findings(findings);
    EXPECT_EQ(read->callers.text(), "127.0.0.1:1001");
    EXPECT_EQ(read->stop_grace, 8000ms);
    EXPECT_EQ(read->seeds.size(), 1U);
}

TEST(platform_settings, tell_all_faults_together_with_their_place)
{
    nlohmann::json bad = good_settings;
    bad["Zone"] = 7;
    bad["Listen"].erase("Readiness");
    bad["Platform"]["Address"] = "nowhere";
    bad["Bounds"]["GraceS"] = 0;
    std::vector<finding> findings;
    EXPECT_FALSE(parse_settings(bad.dump(), "node.json", findings));
    const std::string text = format_findings(findings);
    for (const char* path : {"/Zone: is a number", "/Listen/Readiness: is missing",
                             "/Platform/Address: `nowhere`", "/Bounds/GraceS: 0 is too small"}) {
        EXPECT_NE(text.find(path), std::string::npos) << path << " in\n" << text;
    }
}

TEST(platform_settings, name_the_line_of_a_syntax_fault_and_a_file_that_is_not_there)
{
    std::vector<finding> findings;
    EXPECT_FALSE(parse_settings("{\n \"Zone\": \"z\"\n oops", "node.json", findings));
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].line, 3);
    EXPECT_FALSE(read_settings("/no/such/file", findings));
    EXPECT_NE(format_findings(findings).find("No such file"), std::string::npos);
}

TEST(platform_codec, an_entry_of_a_strange_writer_names_no_server)
{
    ASSERT_TRUE(decode(good_backend));
    EXPECT_EQ(decode(good_backend)->started_at, 77U);
    EXPECT_EQ(decode(good_backend)->cold_for, 1500ms);
    for (const char* field : {"Service", "Address", "Zone", "Version", "Capacity", "State",
                              "ColdRemainingMs", "Sequence"}) {
        nlohmann::json invalid = good_backend;
        invalid.erase(field);
        EXPECT_FALSE(decode(invalid)) << field << " missing";
        invalid[field] = nlohmann::json::array({1});
        EXPECT_FALSE(decode(invalid)) << field << " of another type";
    }
    nlohmann::json invalid = good_backend;
    invalid["State"] = "sleeping";
    EXPECT_FALSE(decode(invalid));
    std::string error;
    EXPECT_FALSE(decode_backend("i-1", "\x01\xff{", error));
    EXPECT_FALSE(error.empty());
}

TEST(platform_codec, a_configuration_is_decoded_into_the_products_words)
{
    std::string error;
    const auto read = decode_configuration(R"({"Version": 7,
      "Routes": [{"Name": "r", "Hostname": "h", "PathPrefix": "/p/", "Type": "streaming",
        "TimeoutMs": 15000, "TargetLatencyMs": 800, "Priority": 1, "MaxAttempts": 2,
        "Backends": [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}],
        "SessionAffinity": true, "StreamResume": true, "GapTargetMs": 500},
        {"Name": "q", "Hostname": "h", "PathPrefix": "/q/", "Type": "novel", "Service": "a"}],
      "Services": [{"Name": "a", "ColdPerS": 11.0, "Engine": {"Capacity": 64}}],
      "Limits": {"MaxHeaderBytes": 100}, "Tenants": [{"Name": "t", "ApiKeys": ["k"]}]})",
                                           error);
    ASSERT_TRUE(read) << error;
    EXPECT_EQ(read->routes[0].services.size(), 2U);
    EXPECT_TRUE(read->routes[0].resumable);
    EXPECT_EQ(read->routes[1].kind, route_kind::unsafe); // unknown kinds are treated as unsafe
    EXPECT_EQ(read->services.at("a").cold_starts_per_second, 11);
    EXPECT_EQ(read->limits.head_bytes, 100U);
    EXPECT_TRUE(read->keys_required);
    EXPECT_FALSE(decode_configuration("{\"Version\": \"x\"}", error));
}

TEST(platform_dialect, reads_what_callers_and_servers_say)
{
    const header_codec codec = make_header_codec();
    http_head request;
    request.headers = {{"attempt-id", "q1"},
                       {"Deadline-Ms", "1500"},
                       {"Authorization", "bearer key"},
                       {"Prefix-Hash", "5c1e:800,91bd:410,e440:250"}};
    const request_metadata metadata = codec.read_request(request);
    EXPECT_EQ(metadata.id, "q1");
    EXPECT_EQ(metadata.deadline, 1500ms);
    EXPECT_EQ(metadata.key, "key");
    ASSERT_EQ(metadata.prompt.size(), 3U);
    EXPECT_EQ(metadata.prompt[1].tokens, 410U);

    http_head response;
    response.headers = {{"Instance-Load", "3,1,8"}, {"Not-Executed", "1"}};
    EXPECT_TRUE(codec.read_response(response).not_run);
    EXPECT_EQ(codec.read_response(response).load->waiting, 1U);
    response.headers = {{"Instance-Load", "3,x"}};
    EXPECT_EQ(codec.read_response(response).load->running, 3U);
    EXPECT_EQ(codec.read_response(response).load->waiting, 0U);
    EXPECT_FALSE(codec.read_response(response).load->work_percent);
    response.headers = {{"Instance-Load", "x,1,8,250,x"}};
    EXPECT_FALSE(codec.read_response(response).load->counted);
    EXPECT_EQ(codec.read_response(response).load->work_percent, 250U);
    response.headers = {{"Instance-Load", "x"}};
    EXPECT_FALSE(codec.read_response(response).load);
}

// Guards against a choice of servers that changes where the operators have not asked for it.
TEST(platform_dialect, spreads_by_expected_load_only_with_the_contract)
{
    const auto with = [](const char* contracts) {
        nlohmann::json document = good_settings;
        document["Contracts"] = nlohmann::json::parse(contracts);
        std::vector<finding> findings;
        const auto given = parse_settings(document.dump(), "node.json", findings);
        EXPECT_TRUE(given) << format_findings(findings);
        return given && given->even_load;
    };
    EXPECT_TRUE(with(R"(["drain", 7, "pressure"])"));
    EXPECT_FALSE(with(R"(["drain"])"));
    EXPECT_FALSE(with(R"("pressure")"));
}

// Guards against roll-outs without the bounds of what a bad version may get.
TEST(platform_dialect, takes_orders_for_rollouts_only_with_the_contract_and_its_bounds)
{
    nlohmann::json document = good_settings;
    std::vector<finding> findings;
    EXPECT_FALSE(parse_settings(document.dump(), "node.json", findings)->rollouts);
    document["Contracts"] = {"drain", "rollout"};
    EXPECT_FALSE(parse_settings(document.dump(), "node.json", findings));
    EXPECT_EQ(findings.size(), 2U) << "both bounds are missing";
    document["Bounds"]["ExposureShare"] = 0.1;
    document["Bounds"]["ExposureTolerance"] = 50;
    const auto given = parse_settings(document.dump(), "node.json", findings);
    ASSERT_TRUE(given && given->rollouts);
    EXPECT_EQ(given->rollouts->exposure_share, 0.1);
    EXPECT_EQ(given->rollouts->exposure_tolerance, 50);
}

TEST(platform_dialect, tells_an_engine_the_requests_urgency)
{
    const header_codec codec = make_header_codec();
    http_head request;
    request.headers = {{"Prefix-Hash", "5c1e:800"}};
    const http_head sent = codec.write_request(request, {.time_left = 70ms, .priority = 12U});
    EXPECT_EQ(sent.header_or("Request-Priority", ""), "9");
    EXPECT_EQ(sent.header_or("Deadline-Ms", ""), "70");
}

TEST(platform_dialect, names_the_source_of_a_prompt_and_drops_what_a_caller_named)
{
    const header_codec codec = make_header_codec();
    http_head request;
    request.headers = {{"Prefix-Hash", "5c1e:800"}, {"Kv-Fetch", "10.9.9.9:1"}};
    EXPECT_FALSE(codec.write_request(request, {.time_left = 70ms}).header("Kv-Fetch"));
    const http_head sent = codec.write_request(
        request, {.time_left = 70ms, .prompt_source = net_address{.host = "10.1.0.2", .port = 81}});
    EXPECT_EQ(sent.header_or("Kv-Fetch", ""), "10.1.0.2:81");
}

TEST(platform_quarantine, a_suspect_is_read_as_it_was_written_but_older)
{
    wire::suspect_record record;
    record.set_suspect(0xfedcba9876543210);
    record.set_position(2);
    record.add_crashes()->set_server(0x8000000000000001);
    record.mutable_crashes(0)->set_age_ms(500);
    const std::string text = encode_suspect(record, 1700000000000ms);
    std::string error;
    const auto read =
        decode_suspect(quarantine_key(record.suspect()), text, 1700000002000ms, error);
    ASSERT_TRUE(read) << error;
    EXPECT_EQ(read->suspect(), record.suspect());
    EXPECT_EQ(read->position(), 2U);
    ASSERT_EQ(read->crashes_size(), 1);
    EXPECT_EQ(read->crashes(0).server(), 0x8000000000000001);
    EXPECT_EQ(read->crashes(0).age_ms(), 2500U);
}

TEST(platform_quarantine, a_record_that_another_program_wrote_is_refused_with_a_reason)
{
    for (const char* text : {"", "[]", R"({"Position": 1})", R"({"Position":1,"Crashes":[{}]})",
                             R"({"Position":1,"Crashes":[{"Server":"x","At":1}]})"}) {
        std::string error;
        EXPECT_FALSE(decode_suspect("0000000000000007", text, 1ms, error)) << text;
        EXPECT_FALSE(error.empty()) << text;
    }
    std::string error;
    EXPECT_FALSE(decode_suspect("no hash", R"({"Position":1,"Crashes":[]})", 1ms, error));
    EXPECT_FALSE(error.empty());
}

TEST(platform_headers, a_servers_limit_is_a_decimal_number_and_anything_else_is_no_limit)
{
    const auto limit_of = [](const std::string& value) {
        http_head head;
        head.status = 200;
        head.add("Server-Limit", value);
        return make_header_codec().read_response(head).request_limit;
    };
    EXPECT_EQ(limit_of("2.75"), 2.75);
    EXPECT_EQ(limit_of("12"), 12);
    EXPECT_EQ(limit_of("0"), 0);
    for (const char* value : {"", "-1", "nan", "inf", "2.5 a second", "1e999"}) {
        EXPECT_FALSE(limit_of(value)) << value;
    }
}

TEST(platform_headers, a_server_asks_for_rest_with_a_503_and_a_positive_number_of_seconds)
{
    const auto rest_of = [](const std::string& value, int status = 503) {
        http_head head;
        head.status = status;
        head.add("Retry-After", value);
        return make_header_codec().read_response(head).rest;
    };
    EXPECT_EQ(rest_of("3"), 3000ms);
    EXPECT_EQ(rest_of("0.25"), 250ms);
    EXPECT_EQ(rest_of("1.0001"), 1001ms);
    EXPECT_EQ(rest_of("86400"), 600000ms);
    EXPECT_FALSE(rest_of("3", 429));
    EXPECT_FALSE(rest_of("3", 200));
    for (const char* value : {"", "0", "-1", "nan", "inf", "1e3", "3 s", "1,5", "0x10",
                              "Fri, 04 Dec 2026 23:59:59 GMT"}) {
        EXPECT_FALSE(rest_of(value)) << value;
    }
}

TEST(platform_headers, a_server_says_that_it_leaves_in_any_response)
{
    const auto leaving = [](const std::string& value, int status) {
        http_head head;
        head.status = status;
        head.add("server-leaving", value);
        return make_header_codec().read_response(head).leaving;
    };
    for (const int status : {200, 204, 404, 429, 500, 503}) {
        EXPECT_TRUE(leaving("1", status)) << status;
    }
    for (const char* value : {"", "0", "yes"}) {
        EXPECT_FALSE(leaving(value, 200)) << value;
    }
}
