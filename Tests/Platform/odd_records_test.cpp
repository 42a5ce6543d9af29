// Tests that records which another program wrote, or that were damaged, name nothing to use, and
// end no process.

#include "platform_codec.h"
#include "platform_headers.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <random>

using namespace cyclamen;
using namespace cyclamen::platform;
using nlohmann::json;

namespace {

const json good_backend = json::parse(R"({
  "Service": "s", "Address": "127.0.0.1:80", "Zone": "z", "Version": "v1", "Capacity": 64,
  "State": "ready", "ColdRemainingMs": 1500, "Phase": "both",
  "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Sequence": 4, "born": 77})");

std::optional<backend_entry> decode(const std::string& text, const std::string& id = "i-1")
{
    std::string error;
    auto entry = decode_backend(id, text, error);
    EXPECT_EQ(entry.has_value(), error.empty()) << text.substr(0, 200);
    return entry;
}

json with(const std::string& field, json value)
{
    json document = good_backend;
    document[field] = std::move(value);
    return document;
}

// The good entry with a field whose value is this text, which need not be JSON.
std::string with_text(const std::string& field, const std::string& value)
{
    json document = good_backend;
    document[field] = "PLACE";
    std::string text = document.dump();
    return text.replace(text.find("\"PLACE\""), 7, value);
}

std::string nested(std::size_t depth, const std::string& open, const std::string& close)
{
    std::string text;
    for (std::size_t count = 0; count < depth; ++count) {
        text += open;
    }
    text += "1";
    for (std::size_t count = 0; count < depth; ++count) {
        text += close;
    }
    return text;
}

// Texts that differ from a good one as damage or other programs' records do.
class mutator {
public:
    explicit mutator(unsigned seed) : random_(seed) {}

    std::string change(std::string text)
    {
        static const std::vector<std::string> tokens{"null",
                                                     "true",
                                                     "-1",
                                                     "1e999",
                                                     "1e300",
                                                     "99999999999999999999",
                                                     "18446744073709551615",
                                                     "-9223372036854775808",
                                                     "0.5",
                                                     "\"\"",
                                                     "[]",
                                                     "{}",
                                                     "[[[[",
                                                     "\"\\u0000\"",
                                                     "\xff\xfe"};
        for (std::size_t count = uniform(1, 4); count > 0 && !text.empty(); --count) {
            const std::size_t at = uniform(0, text.size() - 1);
            switch (uniform(0, 5)) {
            case 0:
                text[at] = static_cast<char>(uniform(0, 255));
                break;
            case 1:
                text.resize(at);
                break;
            case 2:
                text.erase(at, uniform(1, 12));
                break;
            case 3:
                text.insert(at, tokens[uniform(0, tokens.size() - 1)]);
                break;
            case 4: {
                // Replaces a value.
                const std::size_t colon = text.find(':', at);
                const std::size_t end = text.find_first_of(",}", colon);
                if (colon != std::string::npos && end != std::string::npos) {
                    text.replace(colon + 1, end - colon - 1, tokens[uniform(0, tokens.size() - 1)]);
                }
                break;
            }
            default:
                text.insert(at, nested(uniform(1, 2000), "[", ""));
            }
        }
        return text;
    }

private:
    std::size_t uniform(std::size_t low, std::size_t high)
    {
        return std::uniform_int_distribution<std::size_t>(low, high)(random_);
    }

    std::mt19937 random_;
};

constexpr unsigned fuzz_seeds = 20;
constexpr int changes_per_seed = 500;

} // namespace

// Guards against requests to a server that an odd entry names, and against a process that ends, or
// no longer follows the list, because of one.
TEST(odd_records, name_no_server)
{
    ASSERT_TRUE(decode(good_backend.dump()));
    const std::uint64_t max = std::numeric_limits<std::uint64_t>::max();
    const std::vector<std::pair<std::string, std::string>> odd{
        {"empty text", ""},
        {"no object", "[]"},
        {"a number", "7"},
        {"a text", "\"i-1\""},
        {"null", "null"},
        {"bytes", "\x01\xff{"},
        {"cut off", good_backend.dump().substr(0, 60)},
        {"more after its end", good_backend.dump() + "{}"},
        {"no service", with("Service", "").dump()},
        {"a service with control characters", with("Service", "s\r\nHold: 1").dump()},
        {"a service of bytes", with_text("Service", "\"\xff\xfe\"")},
        {"a very long service", with("Service", std::string(5000, 's')).dump()},
        {"no zone", with("Zone", "").dump()},
        {"a zone of another type", with("Zone", 1).dump()},
        {"no version", with("Version", "").dump()},
        {"a version with a line break", with("Version", "v1\nv2").dump()},
        {"an unknown state", with("State", "READY").dump()},
        {"an address without a port", with("Address", "10.0.0.1").dump()},
        {"port 0", with("Address", "10.0.0.1:0").dump()},
        {"a port out of range", with("Address", "10.0.0.1:65536").dump()},
        {"a port far out of range", with("Address", "10.0.0.1:4294967376").dump()},
        {"a negative port", with("Address", "10.0.0.1:-80").dump()},
        {"a port with a sign", with("Address", "10.0.0.1:+80").dump()},
        {"a port with a leading zero", with("Address", "10.0.0.1:080").dump()},
        {"a port with more", with("Address", "10.0.0.1:80/x").dump()},
        {"a host name", with("Address", "localhost:80").dump()},
        {"an IPv6 address", with("Address", "[::1]:80").dump()},
        {"no address of a machine", with("Address", "0.0.0.0:80").dump()},
        {"a broadcast address", with("Address", "255.255.255.255:80").dump()},
        {"a multicast address", with("Address", "224.0.0.1:80").dump()},
        {"an address with a NUL", with("Address", std::string("10.0.0.1\0:80", 12)).dump()},
        {"no capacity", with("Capacity", 0).dump()},
        {"a negative capacity", with("Capacity", -1).dump()},
        {"a fractional capacity", with("Capacity", 1.5).dump()},
        {"a capacity too large", with("Capacity", 4294967296).dump()},
        {"a capacity far too large", with_text("Capacity", "1e300")},
        {"a capacity in a text", with("Capacity", "64").dump()},
        {"a boolean capacity", with("Capacity", true).dump()},
        {"a negative time", with("ColdRemainingMs", -1).dump()},
        {"a time too large", with_text("ColdRemainingMs", "1e300")},
        {"a time that no number holds", with_text("ColdRemainingMs", "1e999")},
        {"a time of years", with("ColdRemainingMs", 1e15).dump()},
        {"a negative sequence", with("Sequence", -4).dump()},
        {"a fractional sequence", with("Sequence", 4.5).dump()},
        {"a sequence too large", with("Sequence", max).dump()},
        {"a sequence far too large", with_text("Sequence", "99999999999999999999999")},
        {"a start in a text", with("born", "77").dump()},
        {"no start", with("born", nullptr).dump()},
        {"a negative start", with("born", -77).dump()},
        {"a fractional start", with("born", 77.5).dump()},
        {"a start too large", with("born", max).dump()},
        {"a start far in the future", with("born", 9000000000000000).dump()},
        {"models of another type", with("Models", 5).dump()},
        {"models that are none", with("Models", json::array({1})).dump()},
        {"a phase of another type", with("Phase", json::array()).dump()},
        {"a deeply nested list", with_text("Notes", nested(5000, "[", "]"))},
        {"a deeply nested object", with_text("Notes", nested(5000, "{\"a\":", "}"))},
        {"a very deeply nested list", nested(250000, "[", "]")},
        {"a list without end", nested(250000, "[", "")},
    };
    for (const auto& [name, text] : odd) {
        EXPECT_FALSE(decode(text)) << name;
    }
    for (const std::string& id : {std::string(), std::string("i\r\nHold: 1"), std::string("i\0", 2),
                                  std::string("i-\xff")}) {
        EXPECT_FALSE(decode(good_backend.dump(), id)) << "id of " << id.size() << " bytes";
    }
}

// Fields that later versions of the platform may add leave an entry valid.
TEST(odd_records, with_new_fields_name_their_server)
{
    EXPECT_TRUE(decode(with("Rack", "r7").dump()));
    EXPECT_TRUE(decode(with("Notes", json::parse(R"({"a": [{"b": [1.5, null]}]})")).dump()));
    EXPECT_TRUE(decode(with("ColdRemainingMs", 0.5).dump()));
}

// Guards against numbers that wrap around, and against undefined conversions (run with sanitizers).
TEST(odd_records, of_any_kind_are_refused_with_a_reason_or_are_in_range)
{
    wire::suspect_record record;
    record.set_position(1);
    record.add_crashes()->set_server(7);
    const std::string suspect = encode_suspect(record, 1700000000000ms);
    const std::string configuration = R"({"Version": 7, "Routes": [{"Name": "r", "Hostname": "h",
        "PathPrefix": "/p/", "Type": "safe", "TimeoutMs": 15000, "TargetLatencyMs": 800,
        "Priority": 1, "MaxAttempts": 2, "Backends": [{"Service": "a", "Weight": 90}]}],
        "Services": [{"Name": "a", "ColdPerS": 11.0}], "Limits": {"MaxHeaderBytes": 100},
        "Tenants": [{"Name": "t", "ApiKeys": ["k"], "Priority": 1}]})";
    for (unsigned seed = 1; seed <= fuzz_seeds; ++seed) {
        mutator mutate(seed);
        for (int count = 0; count < changes_per_seed; ++count) {
            const auto entry = decode(mutate.change(good_backend.dump()));
            if (entry) {
                EXPECT_GT(entry->slots, 0U);
                EXPECT_LE(entry->slots, 1000000U);
                EXPECT_GE(entry->cold_for, 0ms);
                EXPECT_LE(entry->cold_for, 24h);
                EXPECT_GT(entry->address.port, 0);
            }
            std::string error;
            const auto read =
                decode_suspect("0000000000000007", mutate.change(suspect), 1700000002000ms, error);
            EXPECT_EQ(read.has_value(), error.empty());
            error.clear();
            const auto routes = decode_configuration(mutate.change(configuration), error);
            EXPECT_EQ(routes.has_value(), error.empty());
            for (const relay_route& route : routes ? routes->routes : std::vector<relay_route>()) {
                EXPECT_GE(route.timeout, 0ms);
                EXPECT_GE(route.target, 0ms);
            }
        }
    }
}

TEST(odd_records, of_suspects_are_refused)
{
    for (const char* text :
         {R"({"Position":-1,"Crashes":[]})", R"({"Position":1.5,"Crashes":[]})",
          R"({"Position":4294967297,"Crashes":[]})", R"({"Position":1e300,"Crashes":[]})",
          R"({"Position":1,"Crashes":{}})", R"({"Position":1,"Crashes":[{"Server":"7","At":1.5}]})",
          R"({"Position":1,"Crashes":[{"Server":"7","At":-9223372036854775808}]})",
          R"({"Position":1,"Crashes":[{"Server":"7","At":1e300}]})"}) {
        std::string error;
        EXPECT_FALSE(decode_suspect("0000000000000007", text, 1700000000000ms, error)) << text;
        EXPECT_FALSE(error.empty()) << text;
    }
    std::string error;
    EXPECT_FALSE(decode_suspect("0000000000000007",
                                R"({"Position":1,"Crashes":[],"x":)" + nested(5000, "[", "]") + "}",
                                1ms, error));
}

// Guards against arithmetic with numbers that a caller or a server chose.
TEST(odd_records, in_headers_are_ignored_or_in_range)
{
    const header_codec codec = make_header_codec();
    for (const char* value : {"9223372036854775807", "-9223372036854775808", "-1", "1e9", "x"}) {
        http_head request;
        request.headers = {{"Deadline-Ms", value}};
        const auto deadline = codec.read_request(request).deadline;
        if (deadline) {
            EXPECT_GE(*deadline, 0ms) << value;
            EXPECT_LE(*deadline, 24h) << value;
        }
    }
    for (const char* value :
         {"4294967295,4294967295,1", "4294967295,1,64", "-1,0,8", "x,2,3,0", "x,2,3,1000001"}) {
        http_head response;
        response.status = 200;
        response.headers = {{"Instance-Load", value}};
        const auto load = codec.read_response(response).load;
        EXPECT_FALSE(load) << value;
    }
}
