// Tests how orders for roll-outs are recorded in a store that fails, is raced for and forgets.

#include "platform_codec.h"
#include "platform_feed.h"
#include "relay_harness.h"
#include "relay_state.h"
#include "rollout_service.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

/// The status record of one service.
struct status_store {
    std::optional<rollout_record> record;
    std::uint64_t log_end = 0;
    unsigned writes = 0;
    bool down = false;
    bool loses_answers = false;

    void put(rollout_status status)
    {
        record = {.target = "v2", .status = status};
        ++log_end;
    }
};

/// An entry that decides on orders and keeps their status in the store.
class deciding_entry {
public:
    explicit deciding_entry(status_store& store) : store_(store)
    {
        state.start();
        state.update_backend(server("old", "v1"));
        rollouts.start();
    }

    static backend_entry server(const std::string& id, const std::string& version)
    {
        return {.id = id,
                .service = "shop",
                .address = {.host = "127.0.0.1", .port = 1},
                .slots = 6,
                .started_at = 1,
                .software_version = version};
    }
    static rollout_order order(millis duration, log_position at = {.era = 1, .offset = 5})
    {
        return {.service = "shop", .target = "v2", .duration = duration, .at = at};
    }

    bool run_until(const std::function<bool()>& holds)
    {
        const millis end = core.now() + 10000ms;
        while (core.now() < end && !holds()) {
            event_base_loop(core.loop(), EVLOOP_ONCE);
        }
        return holds();
    }
    bool run_until_recorded(rollout_status status)
    {
        return run_until([&] { return store_.record && store_.record->status == status; });
    }
    rollout_step step() const { return rollouts.find("shop")->step(); }

    kernel core{{.program = "test", .instance = "entry"}};
    relay_state& state = core.add(std::make_unique<relay_state>(core, relay_state_options{}));
    rollout_service& rollouts = core.add(std::make_unique<rollout_service>(
        core,
        rollout_service_options{
            .rollout = {.switch_interval = 20ms}, .check_interval = 5ms, .write_interval = 20ms},
        rollout_service::hooks{
            .decides = [this] { return decides; },
            .entries = [] { return 2U; },
            .digest_interval = [] { return 10ms; },
            .send_digests = [] {},
            .read_status =
                [this](const std::string& /*service*/, const auto& on_end) {
                    if (store_.down) {
                        on_end(std::nullopt);
                        return;
                    }
                    on_end(rollout_service::status_reading{.record = store_.record,
                                                           .log_end = store_.log_end});
                },
            .write_status =
                [this](const std::string& /*service*/, const rollout_record& record,
                       std::uint64_t log_end, const std::function<void(bool)>& on_end) {
                    if (store_.down || log_end != store_.log_end) {
                        on_end(false);
                        return;
                    }
                    ++store_.writes;
                    store_.put(record.status);
                    on_end(!store_.loses_answers);
                }}));
    bool decides = true;
    kernel::timer wake = core.every(5ms, [] {});

private:
    status_store& store_;
};

} // namespace

// Guards against an order without a trace in the store, and one that never ends.
TEST(rollout_service, records_that_an_order_runs_and_how_it_ends)
{
    status_store store;
    deciding_entry entry(store);
    entry.rollouts.set_order(entry.order(1000ms), false);
    EXPECT_TRUE(entry.run_until_recorded(rollout_status::running));
    EXPECT_TRUE(entry.run_until_recorded(rollout_status::rolled_back)) << "no server of the target";
    EXPECT_EQ(entry.step(), rollout_step::rolled_back);
    EXPECT_FALSE(entry.rollouts.filter("shop", "pay")->only);
}

// Guards against requests that are lost because the old servers stop before their end.
TEST(rollout_service, completes_only_once_no_request_is_at_another_version)
{
    status_store store;
    deciding_entry entry(store);
    entry.state.update_backend(deciding_entry::server("new", "v2"));
    entry.state.backends().find("old")->in_flight = 1;
    entry.rollouts.set_order(entry.order(2000ms), false);
    ASSERT_TRUE(entry.run_until([&] { return entry.step() == rollout_step::switching; }));
    const rollout& order = *entry.rollouts.find("shop");
    ASSERT_TRUE(entry.run_until([&] { return order.switched(entry.core.now()); }));
    EXPECT_EQ(store.record->status, rollout_status::running);
    entry.state.backends().find("old")->in_flight = 0;
    EXPECT_TRUE(entry.run_until_recorded(rollout_status::completed));
    EXPECT_LT(order.age(entry.core.now()), order.order().duration);
    EXPECT_TRUE(entry.rollouts.filter("shop", "pay")->only);
}

// Guards against two entries, cut off from each other, that record different ends.
TEST(rollout_service, adopts_the_end_that_another_entry_has_recorded)
{
    status_store store;
    deciding_entry entry(store);
    entry.state.update_backend(deciding_entry::server("new", "v2"));
    entry.rollouts.set_order(entry.order(500ms), false);
    ASSERT_TRUE(entry.run_until_recorded(rollout_status::running));
    store.put(rollout_status::rolled_back);
    ASSERT_TRUE(entry.run_until([&] { return entry.rollouts.find("shop")->ended(); }));
    EXPECT_EQ(entry.step(), rollout_step::rolled_back);
    EXPECT_EQ(store.record->status, rollout_status::rolled_back);
}

// Guards against a record that is written twice because its answer was lost.
TEST(rollout_service, reads_the_record_again_after_a_write_without_an_answer)
{
    status_store store;
    store.loses_answers = true;
    deciding_entry entry(store);
    entry.rollouts.set_order(entry.order(300ms), true);
    ASSERT_TRUE(entry.run_until([&] { return entry.rollouts.find("shop")->ended(); }));
    ASSERT_TRUE(entry.run_until_recorded(rollout_status::rolled_back));
    const millis later = entry.core.now() + 100ms;
    entry.run_until([&] { return entry.core.now() > later; });
    EXPECT_EQ(store.writes, 2U);
}

// Guards against a version that stays in use because the store is away.
TEST(rollout_service, rolls_back_while_the_store_is_down_and_records_it_later)
{
    status_store store;
    store.down = true;
    deciding_entry entry(store);
    entry.rollouts.set_order(entry.order(100ms), false);
    ASSERT_TRUE(entry.run_until([&] { return entry.step() == rollout_step::rolled_back; }));
    EXPECT_FALSE(store.record);
    store.down = false;
    EXPECT_TRUE(entry.run_until_recorded(rollout_status::rolled_back));
}

// Guards against an ended order that begins anew after all entries were restarted, and against a
// new order that is taken for the one before.
TEST(rollout_service, tells_an_order_from_before_its_start_from_a_new_one)
{
    status_store store;
    store.put(rollout_status::rolled_back);
    deciding_entry entry(store);
    entry.rollouts.set_order(entry.order(60000ms), true);
    ASSERT_TRUE(entry.run_until([&] { return entry.rollouts.find("shop")->ended(); }));
    // The same order is written again after a restore of the log.
    entry.rollouts.set_order(entry.order(60000ms, {.era = 2, .offset = 3}), false);
    EXPECT_EQ(entry.step(), rollout_step::rolled_back);
    entry.rollouts.set_order(entry.order(60000ms, {.era = 2, .offset = 9}), false);
    EXPECT_EQ(entry.step(), rollout_step::watching);
    EXPECT_TRUE(entry.run_until_recorded(rollout_status::running));
}

// Guards against an entry that goes on by its own view although a peer has heard of the end, and
// against digests with counts or steps that can't be.
TEST(rollout_service, learns_orders_and_ends_from_digests)
{
    status_store store;
    deciding_entry first(store);
    deciding_entry second(store);
    second.decides = false;
    first.rollouts.set_order(first.order(200ms), false);
    const auto tell = [&] {
        wire::relay_digest digest;
        digest.set_address("127.0.0.1:1");
        digest.set_incarnation(1);
        first.rollouts.add_to_digest(digest);
        second.rollouts.on_digest(digest);
        digest.mutable_rollouts(0)->set_step(9);
        second.rollouts.on_digest(digest);
    };
    tell();
    ASSERT_NE(second.rollouts.find("shop"), nullptr);
    ASSERT_TRUE(first.run_until([&] { return first.rollouts.find("shop")->ended(); }));
    tell();
    EXPECT_EQ(second.step(), rollout_step::rolled_back);
    EXPECT_FALSE(second.rollouts.filter("shop", "pay")->only);
    EXPECT_TRUE(second.rollouts.stream_filter("shop", "v2")) << "a stream that it began";
    EXPECT_FALSE(second.rollouts.stream_filter("shop", "v1"));
    first.rollouts.withdraw_order("shop"); // has ended: nothing to withdraw
    EXPECT_NE(first.rollouts.find("shop"), nullptr);
}

// Guards against a status that overwrites one that was written since it was read.
TEST(rollout_service, writes_its_status_with_the_condition_that_the_log_has_not_grown)
{
    kernel core({.program = "test", .instance = "test"});
    scripted_backend store;
    platform::platform_feed feed(core, platform::platform_feed_options{
                                           .store = {.host = "127.0.0.1", .port = store.port()}});
    std::optional<bool> confirmed;
    feed.write_rollout_status("shop", {.target = "v2", .status = rollout_status::completed}, 42,
                              [&](bool done) { confirmed = done; });
    const auto wait_for = [&](const std::function<bool()>& holds) {
        const millis end = core.now() + 5000ms;
        while (core.now() < end && !holds()) {
            event_base_loop(core.loop(), EVLOOP_NONBLOCK);
            store.poll();
        }
        return holds();
    };
    ASSERT_TRUE(wait_for([&] { return store.requests() == 1; }));
    EXPECT_NE(store.request(0).find("Topic=keyed.status&part=0&At=42"), std::string::npos);
    EXPECT_NE(store.body(0).find(R"(rollout/shop{"State":"completed","Target":"v2"})"),
              std::string::npos);
    store.respond(0, "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return confirmed.has_value(); }));
    EXPECT_FALSE(*confirmed);
}

// Guards against orders that can't be read or make no sense.
TEST(rollout_records, are_read_as_operators_write_them_and_refused_otherwise)
{
    std::string error;
    const auto order =
        platform::decode_rollout(R"({"Service":"shop","Target":"v2","DurationS":12})", error);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->target, "v2");
    EXPECT_EQ(order->duration, 12000ms);
    for (const char* text : {"", "{}", "[]", R"({"Service":"shop","Target":"v2","DurationS":-1})",
                             R"({"Service":"shop","Target":2,"DurationS":12})",
                             R"({"Service":"shop","Target":"v2","DurationS":"soon"})"}) {
        EXPECT_FALSE(platform::decode_rollout(text, error)) << text;
    }
    const auto record = platform::decode_rollout_record(
        platform::encode_rollout_record({.target = "v2", .status = rollout_status::running}),
        error);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->status, rollout_status::running);
    EXPECT_FALSE(platform::decode_rollout_record(R"({"State":"?","Target":"v2"})", error));
}
