// Tests how processes read the platform's list of instances.

#include "http_server.h"
#include "instance_directory.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

using namespace cyclamen;

namespace {

constexpr millis patience = 10000ms; // maximum time until an expected event

class instance_list : public testing::Test {
protected:
    instance_list()
    {
        constexpr std::uint16_t first_port = 21600;
        constexpr std::uint16_t last_port = 21700;
        net_address address{.host = "127.0.0.1", .port = first_port};
        while (!list && address.port <= last_port) {
            try {
                list = std::make_unique<http_server>(
                    core.loop(), address, http_server_options{},
                    [this](const std::shared_ptr<http_exchange>& caller) {
                        caller->reply(200, "application/json", text);
                    });
            }
            catch (const std::runtime_error&) {
                ++address.port;
            }
        }
        directory = &core.add(std::make_unique<instance_directory>(
            core, instance_directory_options{.list = address, .poll_interval = 10ms}));
    }

    // Runs the event loop until `holds` is true; returns false if it is not within `patience`.
    bool wait_for(const std::function<bool()>& holds)
    {
        const millis until = core.now() + patience;
        const kernel::timer wake = core.every(5ms, [] {});
        while (!holds()) {
            if (core.now() > until) {
                return false;
            }
            event_base_loop(core.loop(), EVLOOP_ONCE);
        }
        return true;
    }

    static nlohmann::json row(const std::string& name, const std::string& address)
    {
        return {{"name", name},
                {"role", "agent"},
                {"availability_zone", "a"},
                {"service", "model"},
                {"address", address}};
    }

    kernel core{{.program = "test", .instance = "i1", .random_seed = 1}};
    std::string text;
    std::unique_ptr<http_server> list;
    instance_directory* directory = nullptr;
};

} // namespace

// Guards against a process that ends, or that hears of no instance any more, because of one row.
TEST_F(instance_list, is_used_without_rows_that_cannot_be_read)
{
    text = nlohmann::json{{"instances",
                           {row("a1", "127.0.0.1:7001"),
                            row("a2", "no address"),
                            {{"name", 7}, {"role", "agent"}},
                            "text",
                            row("a3", "127.0.0.1:0")}}}
               .dump();
    directory->start();
    ASSERT_TRUE(wait_for([this] { return !directory->instances().empty(); }));
    EXPECT_NE(directory->find("a1"), nullptr);
    EXPECT_EQ(directory->instances().size(), 1U);
}

// Guards against an empty list in place of the last one that could be read.
TEST_F(instance_list, stays_as_it_was_if_the_next_cannot_be_read)
{
    text = nlohmann::json{{"instances", {row("a1", "127.0.0.1:7001")}}}.dump();
    directory->start();
    ASSERT_TRUE(wait_for([this] { return directory->find("a1") != nullptr; }));
    text = R"({"instances":7})";
    ASSERT_TRUE(wait_for([this] { return directory->describe()["list_up"] == false; }));
    EXPECT_NE(directory->find("a1"), nullptr);
}
