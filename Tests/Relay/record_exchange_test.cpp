// Tests how an entry gets the records of a log from its peers, without sockets.

#include "hashing.h"
#include "record_exchange.h"
#include "relay_state.h"
#include "value_packing.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <thread>

using namespace cyclamen;

namespace {

std::string large_value(std::uint64_t seed)
{
    std::string value; // that does not compress well
    for (std::uint64_t number = 0; number < 2000; ++number) {
        value += fmt::format("{:016x}", hash_of(fmt::format("{}", seed), number));
    }
    return value;
}

class exchange : public testing::Test {
protected:
    struct sent_message {
        std::string to;
        wire::envelope message;
    };

    exchange()
    {
        options.transfer.piece_timeout = 2ms;
        options.transfer.give_up_after = 200ms;
        options.position_lifetime = 200ms;
    }

    void start()
    {
        const auto note = [this](const std::string& to, wire::envelope message) {
            sent.push_back({to, std::move(message)});
        };
        records = std::make_unique<record_exchange>(
            core, state, options,
            record_exchange::hooks{
                .send = note,
                .reply = note,
                .holders = [](std::size_t /*log*/,
                              log_position /*at_least*/) { return std::vector<std::string>(); },
                .must_read_logs = [] { return false; },
                .source_answers = [] { return false; }});
        records->set_mirrors({&orders});
    }

    static wire::record_batch batch_of(std::uint64_t era, std::uint64_t end, bool listing = false)
    {
        wire::record_batch batch;
        batch.set_era(era);
        batch.set_end(end);
        batch.set_listing(listing);
        return batch;
    }

    static void refer(wire::record_batch& batch, const std::string& value, log_position at)
    {
        wire::keyed_record& row = *batch.add_records();
        row.set_key("config");
        row.set_era(at.era);
        row.set_offset(at.offset);
        row.mutable_reference()->set_hash(hash_of(value));
        row.mutable_reference()->set_bytes(static_cast<std::uint32_t>(value.size()));
    }

    static wire::value_piece piece_of(const std::string& value, std::size_t from, std::size_t size)
    {
        const std::string packed = pack_value(value);
        wire::value_piece piece;
        piece.set_hash(hash_of(value));
        piece.set_from(static_cast<std::uint32_t>(from));
        piece.set_total(static_cast<std::uint32_t>(packed.size()));
        piece.set_data(packed.substr(from, size));
        return piece;
    }

    void show(const std::string& peer, log_position at)
    {
        wire::relay_digest digest;
        digest.set_address(peer);
        digest.add_positions(at.offset);
        digest.add_logs()->set_era(at.era);
        records->on_digest(digest);
    }

    std::size_t count(wire::envelope::BodyCase body) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [&](const sent_message& each) {
                return each.message.body_case() == body;
            }));
    }

    void run_for(millis time)
    {
        const millis until = core.now() + time;
        while (core.now() < until) {
            event_base_loop(core.loop(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(1ms);
        }
    }

    record_exchange_options options;
    kernel core{{.program = "test", .instance = "entry"}};
    relay_state& state = core.add(std::make_unique<relay_state>(core, relay_state_options{}));
    record_mirror orders{{.on_change = [](const mirrored_record& /*record*/) {}}};
    std::vector<sent_message> sent;
    std::unique_ptr<record_exchange> records;
    const std::string value = large_value(1);
};

constexpr std::size_t everything = std::string::npos;

} // namespace

// Guards against a configuration that a restore has lost and that stays lost since it is large:
// the batch that brings it moves no position.
TEST_F(exchange, fetches_large_records_that_a_restore_has_lost)
{
    start();
    orders.enter_era(1);
    orders.enter_era(2);
    orders.apply_listing({}, 5);
    for (const std::uint64_t era : {2U, 1U}) { // of a peer that has noticed the restore, or not
        wire::record_batch batch = batch_of(era, 5);
        refer(batch, value, {.era = 1, .offset = 6});
        records->apply_record_batch("a", batch);
        EXPECT_EQ(count(wire::envelope::kValueRequest), 1U) << era;
        sent.clear();
        run_for(20ms);
        EXPECT_GE(count(wire::envelope::kValueRequest), 1U) << "still asked for, era " << era;
        sent.clear();
    }
    records->handle_value_piece("a", piece_of(value, 0, everything));
    ASSERT_NE(orders.find("config"), nullptr);
    EXPECT_EQ(orders.find("config")->value, value);
    EXPECT_EQ(orders.position(), 5U);
}

// Guards against a transfer that starts over each time its source ends.
TEST_F(exchange, keeps_the_pieces_that_came_when_the_batch_comes_from_another_peer)
{
    start();
    orders.apply_listing({}, 0);
    wire::record_batch batch = batch_of(0, 1);
    refer(batch, value, {});
    records->apply_record_batch("a", batch);
    records->handle_value_piece("a", piece_of(value, 0, 8192));
    std::this_thread::sleep_for(10ms);
    sent.clear();
    records->apply_record_batch("b", batch);
    ASSERT_EQ(count(wire::envelope::kValueRequest), 1U);
    EXPECT_EQ(sent[0].to, "b");
    EXPECT_EQ(sent[0].message.value_request().from(), 8192U);
    records->handle_value_piece("b", piece_of(value, 8192, everything));
    EXPECT_EQ(orders.position(), 1U);
}

// Guards against a timer and requests without end after the only source has left.
TEST_F(exchange, gives_up_a_value_that_no_source_sends)
{
    start();
    orders.apply_listing({}, 0);
    wire::record_batch batch = batch_of(0, UINT64_MAX);
    refer(batch, value, {});
    records->apply_record_batch("a", batch);
    run_for(options.transfer.give_up_after * 2);
    sent.clear();
    run_for(20ms);
    EXPECT_EQ(count(wire::envelope::kValueRequest), 0U);
    EXPECT_EQ(orders.position(), 0U);
}

// Guards against a batch that refers to more values than a source keeps: the first would be unknown
// each time.
TEST_F(exchange, keeps_each_value_that_a_batch_refers_to)
{
    start();
    std::vector<mirrored_record> listed;
    for (std::uint64_t number = 0; number < 6; ++number) {
        listed.push_back(
            {.key = fmt::format("{}", number), .value = large_value(number), .offset = number});
    }
    orders.apply_listing(listed, 6);
    wire::record_request request;
    records->handle_record_request("a", request); // of an entry of the former build
    ASSERT_EQ(count(wire::envelope::kRecordBatch), 1U);
    for (const wire::keyed_record& row : sent[0].message.record_batch().records()) {
        EXPECT_TRUE(row.has_value());
    }
    sent.clear();
    request.set_takes_pieces(true);
    records->handle_record_request("a", request);
    ASSERT_EQ(count(wire::envelope::kRecordBatch), 1U);
    const wire::record_batch batch = sent[0].message.record_batch();
    for (const wire::keyed_record& row : batch.records()) {
        EXPECT_TRUE(row.has_value() || row.has_reference());
        if (!row.has_reference()) {
            continue;
        }
        wire::value_request wanted;
        wanted.set_hash(row.reference().hash());
        records->handle_value_request("a", wanted);
        EXPECT_NE(sent.back().message.value_piece().total(), 0U) << row.key();
    }
}

// Guards against a transfer for a batch that can't be applied, and against one of an earlier era
// that keeps the records of a restored log waiting.
TEST_F(exchange, follows_the_later_era)
{
    start();
    orders.enter_era(1);
    orders.apply_listing({}, 0);
    wire::record_batch partial = batch_of(2, 9);
    refer(partial, value, {.era = 2, .offset = 8});
    records->apply_record_batch("a", partial);
    EXPECT_EQ(count(wire::envelope::kValueRequest), 0U) << "not a listing";
    wire::record_batch earlier = batch_of(1, 9);
    refer(earlier, value, {.era = 1, .offset = 8});
    records->apply_record_batch("a", earlier);
    const std::string restored = large_value(2);
    wire::record_batch listing = batch_of(2, 4, true);
    refer(listing, restored, {.era = 2, .offset = 3});
    records->apply_record_batch("b", listing);
    records->handle_value_piece("b", piece_of(restored, 0, everything));
    EXPECT_EQ(orders.era(), 2U);
    EXPECT_EQ(orders.position(), 4U);
}

// Guards against a key that was removed and comes back with a transfer that the store has
// overtaken.
TEST_F(exchange, drops_a_value_when_the_store_has_answered_first)
{
    start();
    orders.apply_listing({}, 0);
    wire::record_batch batch = batch_of(0, 10);
    refer(batch, value, {.era = 0, .offset = 5});
    records->apply_record_batch("a", batch);
    orders.apply_listing({}, 20);
    records->handle_value_piece("a", piece_of(value, 0, everything));
    EXPECT_EQ(orders.find("config"), nullptr);
    EXPECT_EQ(orders.position(), 20U);
}

// Guards against small lost records that wait for a large one.
TEST_F(exchange, applies_small_records_of_an_earlier_era_at_once)
{
    start();
    orders.enter_era(1);
    orders.enter_era(2);
    orders.apply_listing({}, 5);
    wire::record_batch batch = batch_of(1, 9);
    refer(batch, value, {.era = 1, .offset = 7});
    wire::keyed_record& small = *batch.add_records();
    small.set_key("revoke/1");
    small.set_value("{}");
    small.set_era(1);
    small.set_offset(8);
    records->apply_record_batch("a", batch);
    EXPECT_NE(orders.find("revoke/1"), nullptr);
}

// Guards against two entries that exchange requests and batches without end: the peer showed a
// position that it has lost by a restart.
TEST_F(exchange, requests_no_more_records_after_a_batch_that_brings_nothing_new)
{
    start();
    orders.enter_era(1);
    orders.apply_listing({{.key = "config", .value = value, .offset = 0, .era = 1}}, 5);
    show("a", {.era = 1, .offset = 9});
    sent.clear();
    wire::record_batch batch = batch_of(1, 5);
    refer(batch, value, {.era = 1, .offset = 0});
    records->apply_record_batch("a", batch);
    EXPECT_EQ(count(wire::envelope::kRecordRequest), 0U);
}

// Guards against an entry that refuses nothing for good any more because of a peer that has left,
// or that has not noticed a restore.
TEST_F(exchange, knows_of_newer_orders_only_while_a_peer_shows_them_in_the_latest_era)
{
    start();
    orders.enter_era(2);
    orders.apply_listing({}, 5);
    show("a", {.era = 1, .offset = 90});
    EXPECT_FALSE(records->newer_orders_known());
    show("a", {.era = 2, .offset = 6});
    EXPECT_TRUE(records->newer_orders_known());
    std::this_thread::sleep_for(options.position_lifetime);
    EXPECT_FALSE(records->newer_orders_known());
    show("a", {.era = 2, .offset = 6});
    orders.advance(6);
    EXPECT_FALSE(records->newer_orders_known());
}
