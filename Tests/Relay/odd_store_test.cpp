// Tests that an entry follows the lists of the platform's store whatever else was written there.
// The stand-in of the store delivers the records.

#include "platform_feed.h"
#include "relay_harness.h"
#include "stand_in_store.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

using namespace cyclamen;

namespace {

const std::string backends_topic = "keyed.servers";
const std::string orders_topic = "keyed.op";

net_address free_address()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                       getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    EXPECT_TRUE(bound);
    ::close(descriptor);
    return {.host = "127.0.0.1", .port = ntohs(address.sin_port)};
}

std::string server_entry(unsigned number)
{
    return fmt::format(
        R"({{"Service":"shop","Address":"10.0.0.{}:80","Zone":"a","Version":"v1",)"
        R"("Capacity":4,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":5}})",
        number);
}

class odd_store : public testing::Test {
protected:
    odd_store()
    {
        store.start();
        store.put(orders_topic, "config", R"({"Version":4,"Routes":[],"Services":[]})");
        put_server(1);
    }

    void put_server(unsigned number)
    {
        store.put(backends_topic, fmt::format("s{}", number), server_entry(number));
    }

    void start()
    {
        state.start();
        feed.start();
    }

    bool wait_for(const std::function<bool()>& holds)
    {
        const millis end = core.now() + 10000ms;
        const kernel::timer wake = core.every(5ms, [] {});
        while (core.now() < end && !holds()) {
            event_base_loop(core.loop(), EVLOOP_ONCE);
        }
        return holds();
    }

    bool has(unsigned number)
    {
        return state.backends().find(fmt::format("s{}", number)) != nullptr;
    }

    kernel core{{.program = "test", .instance = "test"}};
    net_address address = free_address();
    test::stand_in_store& store = core.add(std::make_unique<test::stand_in_store>(core, address));
    relay_state& state = core.add(std::make_unique<relay_state>(core, relay_state_options{}));
    platform::platform_feed& feed = core.add(std::make_unique<platform::platform_feed>(
        core, platform::platform_feed_options{.store = address}));
};

// Bytes that begin like a record's content: the length of a key, the key and a value.
std::string odd_bytes(std::mt19937& random)
{
    const auto uniform = [&](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    std::string content;
    switch (uniform(0, 3)) {
    case 0: // a key longer than the record
        return static_cast<char>(200) + std::string("short");
    case 1: // no value: drops a key that nobody has
        return std::string("\x04gone", 5);
    case 2: // a key that is not UTF-8, and a server's entry
        return std::string("\x03\xff\xfe\x01", 4) + server_entry(99);
    default:
        for (int count = uniform(1, 300); count > 0; --count) {
            content += static_cast<char>(uniform(0, 255));
        }
        content[0] = static_cast<char>(std::min<std::size_t>(content.size() - 1, 9));
        return content;
    }
}

} // namespace

// Guards against an entry that no longer follows the list of servers because of one odd record.
TEST_F(odd_store, is_followed_beyond_odd_records)
{
    start();
    ASSERT_TRUE(wait_for([&] { return has(1); }));
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        for (int count = 0; count < 5; ++count) {
            store.put_bytes(backends_topic, odd_bytes(random));
        }
        store.put(backends_topic, "odd", "{\"Service\":" + std::string(100000, '['));
        put_server(1 + seed);
        ASSERT_TRUE(wait_for([&] { return has(1 + seed); })) << "seed " << seed;
        ASSERT_TRUE(has(1)) << "seed " << seed;
    }
    for (const auto& [id, server] : state.backends().all()) {
        EXPECT_TRUE(id.starts_with("s")) << "an odd record names a server";
    }
    EXPECT_TRUE(feed.last_reads_answered());
}

// Guards against an entry that reads the same odd record again and again: it was the last one.
TEST_F(odd_store, is_read_beyond_an_odd_record_at_its_end)
{
    start();
    ASSERT_TRUE(wait_for([&] { return has(1); }));
    store.put_bytes(backends_topic, static_cast<char>(200) + std::string("short"));
    ASSERT_TRUE(wait_for([&] { return feed.backends().position() == 2U; }));
    store.put_bytes(backends_topic, "");
    put_server(2);
    EXPECT_TRUE(wait_for([&] { return has(2); }));
}

// Guards against an entry that starts and cannot list the servers because of one odd record.
TEST_F(odd_store, is_listed_in_spite_of_odd_records)
{
    std::mt19937 random(7);
    for (int count = 0; count < 40; ++count) {
        store.put_bytes(backends_topic, odd_bytes(random));
    }
    put_server(2);
    start();
    EXPECT_TRUE(wait_for([&] { return has(1) && has(2) && feed.backends().position(); }));
    EXPECT_TRUE(state.is_complete());
}

// The same for a listing with damaged rows.
TEST(odd_listing, is_used_but_for_its_damaged_rows)
{
    kernel core({.program = "test", .instance = "test"});
    scripted_backend store;
    auto& state = core.add(std::make_unique<relay_state>(core, relay_state_options{}));
    auto& feed = core.add(std::make_unique<platform::platform_feed>(
        core,
        platform::platform_feed_options{.store = {.host = "127.0.0.1", .port = store.port()}}));
    state.start();
    feed.start();
    const auto wait = [&](const std::function<bool()>& holds) {
        const millis end = core.now() + 10000ms;
        while (core.now() < end && !holds()) {
            event_base_loop(core.loop(), EVLOOP_NONBLOCK);
            store.poll();
        }
        return holds();
    };
    ASSERT_TRUE(wait([&] { return store.requests() == 2; }));
    const std::string rows =
        R"([{"Key":7,"Value":"e30=","Offset":0},
        {"Key":"a","Value":"no base64!","Offset":1}, {"Key":"b","Value":"e30=","Offset":-1},
        {"Key":"c","Value":"e30=","Offset":1e300}, 5, {"Key":"d"}, {"Key":")"
        "\xff"
        R"(","Value":"e30=","Offset":2}, {"Key":"good","Value":"e30=","Offset":3}])";
    for (const std::size_t listing : {0U, 1U}) {
        store.respond(listing, response_of("", R"({"Entries":)" + rows +
                                                   R"(,"HasMore":false,"EndOffset":9})"));
    }
    EXPECT_TRUE(wait([&] { return feed.backends().find("good") != nullptr; }));
    EXPECT_EQ(feed.backends().position(), 9U);
}

// Guards against a listing whose values take far more memory than its text.
TEST(odd_listing, is_not_read_if_it_has_very_many_values)
{
    kernel core({.program = "test", .instance = "test"});
    scripted_backend server;
    platform::metadata_store store(core, {.address = {.host = "127.0.0.1", .port = server.port()}});
    std::optional<keyed_log_page> page;
    store.list_newest("keyed.op", std::nullopt,
                      [&](keyed_log_page given) { page = std::move(given); });
    const auto wait = [&](const std::function<bool()>& holds) {
        const millis end = core.now() + 10000ms;
        while (core.now() < end && !holds()) {
            event_base_loop(core.loop(), EVLOOP_NONBLOCK);
            server.poll();
        }
        return holds();
    };
    ASSERT_TRUE(wait([&] { return server.requests() == 1; }));
    std::string body = R"({"HasMore":false,"EndOffset":9,"Entries":[[])";
    for (int count = 0; count < 200000; ++count) {
        body += ",[]";
    }
    server.respond(0, response_of("", body + "]}"));
    ASSERT_TRUE(wait([&] { return page.has_value(); }));
    EXPECT_EQ(page->end, log_call_status::failed);
}
