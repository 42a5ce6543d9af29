// Tests what an entry accepts while it reads the configuration after its start.

#include "caller_server.h"
#include "configuration_feed.h"
#include "entry_dispatcher.h"
#include "hashing.h"
#include "http_client.h"
#include "http_server.h"
#include "instance_directory.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace cyclamen;

namespace {

constexpr millis patience = 10000ms; // maximum time until an expected event
constexpr int http_ok = 200;
constexpr int http_unauthorized = 401;
constexpr int http_unavailable = 503;
// What the log holds: a command that adds a service and an account, and one that removes the
// account.
constexpr std::uint64_t log_end = 2;

net_address free_address()
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                       getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    EXPECT_TRUE(bound);
    ::close(probe);
    return {.host = "127.0.0.1", .port = ntohs(address.sin_port)};
}

std::string record_with_key()
{
    return configuration_command{.id = "c1",
                                 .by = "test",
                                 .orders = {{.verb = order_verb::put,
                                             .subject = subject_kind::service,
                                             .name = "model",
                                             .fields = {{"kind", "model"}}},
                                            {.verb = order_verb::put,
                                             .subject = subject_kind::client_account,
                                             .name = "ann",
                                             .fields = {{"credential_sha256", sha256_hex("key")}}}}}
        .encode();
}

std::string record_that_withdraws_the_key()
{
    return configuration_command{.id = "c2",
                                 .by = "test",
                                 .orders = {{.verb = order_verb::remove,
                                             .subject = subject_kind::client_account,
                                             .name = "ann"}}}
        .encode();
}

// An entry that has just started, with a log that the test operates.
class entry_restart : public testing::Test {
protected:
    entry_restart()
    {
        log = std::make_unique<http_server>(
            core.loop(), log_address, http_server_options{},
            [this](const std::shared_ptr<http_exchange>& caller) { on_read(caller); });
        core.add(std::make_unique<instance_directory>(
            core, instance_directory_options{.list = free_address()}));
        feed = &core.add(std::make_unique<configuration_feed>(
            core, configuration_feed_options{.log = log_address}));
        core.add(std::make_unique<entry_dispatcher>(core, entry_dispatcher_options{}));
        core.add(std::make_unique<caller_server>(core, caller_server_options{.listen = callers}));
    }

    void start()
    {
        for (const char* name : {"directory", "configuration", "dispatcher", "callers"}) {
            core.find<service>(name).start();
        }
    }

    // The log returns one record a read, and holds the reads back from `held_from` on.
    void on_read(const std::shared_ptr<http_exchange>& caller)
    {
        if (log_down) {
            caller->reply(http_unavailable, "text/plain", "");
            return;
        }
        const std::uint64_t from = caller->query().starts_with("from=0")   ? 0
                                   : caller->query().starts_with("from=1") ? 1
                                                                           : log_end;
        if (from >= held_from) {
            held = caller;
            return;
        }
        answer(caller, from);
    }

    static void answer(const std::shared_ptr<http_exchange>& caller, std::uint64_t from)
    {
        auto records = nlohmann::json::array();
        if (from < log_end) {
            records.push_back(
                {{"offset", from},
                 {"time_ms", 1},
                 {"data", from == 0 ? record_with_key() : record_that_withdraws_the_key()}});
        }
        caller->reply(http_ok, "application/json",
                      nlohmann::json{{"first", 0}, {"next", log_end}, {"records", records}}.dump());
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

    // Returns the status of the response to a request that uses the key.
    int status_of(const std::string& path)
    {
        int status = 0;
        fetcher.fetch(
            {.server = callers, .target = path, .headers = {{"Authorization", "Bearer key"}}},
            [&](const http_response& response) { status = response.status; });
        EXPECT_TRUE(wait_for([&] { return status != 0; }));
        return status;
    }

    kernel core{{.program = "test", .instance = "entry-1", .random_seed = 1}};
    const net_address log_address = free_address();
    const net_address callers = free_address();
    http_fetcher fetcher{core.loop()};
    std::unique_ptr<http_server> log;
    configuration_feed* feed = nullptr;
    std::shared_ptr<http_exchange> held; // a read of the log
    std::uint64_t held_from = 1;
    bool log_down = false;
};

} // namespace

// Guards against a key that was withdrawn and is in use again at an entry that has started: it
// accepted requests when it had read a part of the log.
TEST_F(entry_restart, accepts_no_withdrawn_key_while_it_reads_the_log)
{
    start();
    ASSERT_TRUE(wait_for([&] { return held != nullptr; }));
    ASSERT_EQ(feed->state().offset(), 1U);
    EXPECT_EQ(status_of("/readyz"), http_unavailable);
    EXPECT_EQ(status_of("/v1/models"), http_unavailable);
    held_from = log_end + 1;
    answer(held, 1);
    ASSERT_TRUE(wait_for([&] { return feed->state().offset() == log_end; }));
    EXPECT_EQ(status_of("/readyz"), http_ok);
    EXPECT_EQ(status_of("/v1/models"), http_unauthorized);
}

// Guards against an entry that stays unused although all others serve, and against one that takes
// the word of a peer which is itself reading the log.
TEST_F(entry_restart, takes_the_word_of_a_peer_that_has_caught_up_while_the_log_is_down)
{
    log_down = true;
    start();
    wire::configuration_update update;
    update.set_offset(1);
    update.add_records()->set_data(record_with_key());
    feed->on_update(update);
    ASSERT_EQ(feed->state().offset(), 1U);
    ASSERT_TRUE(wait_for([&] { return feed->describe()["log_up"] == false; }));
    EXPECT_EQ(status_of("/readyz"), http_unavailable);
    update.set_caught_up(true);
    feed->on_update(update);
    EXPECT_EQ(status_of("/readyz"), http_ok);
    EXPECT_EQ(status_of("/v1/models"), http_ok);
    EXPECT_TRUE(feed->make_record_query().caught_up());
}

// Guards against the same withdrawn key, known from a peer that is cut off, while the log answers.
TEST_F(entry_restart, does_not_take_the_word_of_a_peer_while_the_log_answers)
{
    held_from = 0;
    start();
    wire::configuration_update update;
    update.set_offset(1);
    update.set_caught_up(true);
    update.add_records()->set_data(record_with_key());
    feed->on_update(update);
    ASSERT_TRUE(wait_for([&] { return held != nullptr; }));
    EXPECT_EQ(status_of("/readyz"), http_unavailable);
    EXPECT_FALSE(feed->make_record_query().caught_up());
}
