// Tests how a large value spreads over entries with unequal links, without a network.

#include "hashing.h"
#include "value_packing.h"
#include "value_transfer.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>

using namespace cyclamen;

namespace {

constexpr double thin_mbps = 10;
constexpr double fast_mbps = 200;
constexpr std::size_t log_readers = 3;
constexpr double bytes_per_mbit_ms = 125; // bytes that 1 Mbit/s carries in a millisecond
constexpr double latency_ms = 1;
constexpr double request_bytes = 60;
constexpr double piece_head_bytes = 60;

// A configuration with names like those that operators generate.
std::string large_configuration(unsigned routes)
{
    std::mt19937 random(1);
    const auto name = [&] {
        std::string text;
        for (int letter = 0; letter < 8; ++letter) {
            text += static_cast<char>('a' + random() % 26);
        }
        return text;
    };
    std::string document = R"({"Version":7,"Routes":[)";
    for (unsigned route = 0; route < routes; ++route) {
        document += fmt::format(
            R"({{"Name":"r-{}","Hostname":"{}.example","PathPrefix":"/{}/","Type":"streaming",)"
            R"("TimeoutMs":10000,"TargetLatencyMs":250,"Priority":0,"Service":"huvo11a",)"
            R"("MaxAttempts":2,"Public":false,"SessionAffinity":true,"StreamResume":true}},)",
            name(), name(), name());
    }
    return document + "]}";
}

// Entries with links of different rates, which exchange the messages of a transfer.  Each link
// carries one message after another in each direction.
class linked_entries {
public:
    linked_entries(std::size_t count, bool only_readers_serve, const std::string& value)
        : only_readers_serve_(only_readers_serve), reference_{.hash = hash_of(value),
                                                              .bytes = value.size()},
          packed_(pack_value(value))
    {
        for (std::size_t number = 0; number < count; ++number) {
            entry& added = entries_.emplace_back();
            added.link_mbps = number % 2 == 0 ? thin_mbps : fast_mbps;
            value_transfer_options options;
            options.link_mbps = added.link_mbps;
            if (only_readers_serve_) { // the whole at once, to all that ask
                options.piece_bytes = options.max_bytes;
                options.link_share = 1e9;
                options.least_receivers = static_cast<unsigned>(count);
            }
            added.source = std::make_unique<value_source>(options);
            added.fetch = std::make_unique<value_fetch>(reference_, options, 0ms);
        }
    }

    void stop_after(std::size_t entry, unsigned pieces) { entries_[entry].pieces_left = pieces; }

    // The first entries have read the value; the others have heard of it from them.  Returns the
    // time after which the last entry has it.
    double spread()
    {
        for (std::size_t number = 0; number < entries_.size(); ++number) {
            entry& each = entries_[number];
            if (number < log_readers) {
                complete(number, packed_);
                continue;
            }
            std::vector<std::string> known;
            for (std::size_t reader = 0; reader < log_readers; ++reader) {
                known.push_back(fmt::format("{}", (number + reader) % log_readers));
            }
            each.fetch->add_sources(known);
            // Digests come within 500 ms.
            at(static_cast<double>(hash_of(known[0], number) % 500),
               [this, number] { ask(number); });
        }
        while (!events_.empty() && complete_ < entries_.size() && now_ < max_ms) {
            const event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.action();
        }
        return complete_ == entries_.size() ? now_ : max_ms;
    }

    // The longest time for which a small message that comes at any moment waits behind pieces.
    double longest_queue_ms() const { return longest_queue_ms_; }

private:
    static constexpr double max_ms = 60000;

    struct entry {
        double link_mbps = 0;
        double sends_until = 0; // end of what is in its link, by direction
        double receives_until = 0;
        unsigned pieces_left = UINT_MAX; // that it sends before it ends
        std::unique_ptr<value_source> source;
        std::unique_ptr<value_fetch> fetch;
        bool has_value = false;
    };
    struct event {
        double time = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    millis clock() const { return millis(static_cast<millis::rep>(now_)); }
    void at(double time, std::function<void()> action)
    {
        events_.push({time, next_order_++, std::move(action)});
    }

    void complete(std::size_t number, const std::string& packed)
    {
        entries_[number].has_value = true;
        entries_[number].source->keep(
            {.hash = reference_.hash, .bytes = reference_.bytes, .data = packed});
        ++complete_;
    }

    void transmit(entry& from, entry& to, double bytes, std::function<void()> on_arrival)
    {
        const auto pass = [&](double& busy_until, double link, double start) {
            busy_until = std::max(busy_until, start) + bytes / (link * bytes_per_mbit_ms);
            longest_queue_ms_ = std::max(longest_queue_ms_, busy_until - start);
            return busy_until;
        };
        const double sent = pass(from.sends_until, from.link_mbps, now_);
        at(pass(to.receives_until, to.link_mbps, sent + latency_ms), std::move(on_arrival));
    }

    void ask(std::size_t number)
    {
        entry& self = entries_[number];
        if (self.has_value) {
            return;
        }
        at(now_ + 5, [this, number] { ask(number); });
        const auto due = self.fetch->next_request(clock());
        if (!due) {
            return;
        }
        const auto source = static_cast<std::size_t>(std::stoul(due->source));
        transmit(self, entries_[source], request_bytes,
                 [this, number, source, from = due->from] { answer(source, number, from); });
    }

    void answer(std::size_t source, std::size_t number, std::size_t from)
    {
        entry& self = entries_[source];
        if (self.pieces_left == 0) {
            return;
        }
        const auto reply =
            self.source->answer(fmt::format("{}", number), reference_.hash, from, clock());
        self.pieces_left -= reply.data.empty() ? 0 : 1;
        value_fetch::piece piece{.source = fmt::format("{}", source),
                                 .from = from,
                                 .total = reply.total,
                                 .busy = reply.busy,
                                 .wait = reply.wait,
                                 .holders = only_readers_serve_ ? std::vector<std::string>()
                                                                : reply.holders};
        transmit(self, entries_[number], piece_head_bytes + static_cast<double>(reply.data.size()),
                 [this, number, piece, data = std::string(reply.data)]() mutable {
                     piece.data = data;
                     receive(number, piece);
                 });
    }

    void receive(std::size_t number, const value_fetch::piece& piece)
    {
        entry& self = entries_[number];
        if (self.has_value) {
            return;
        }
        if (const auto packed = self.fetch->on_piece(piece, clock())) {
            const auto value = unpack_value(*packed, reference_.bytes);
            ASSERT_TRUE(value);
            ASSERT_EQ(hash_of(*value), reference_.hash);
            complete(number, *packed);
            return;
        }
        ask(number);
    }

    bool only_readers_serve_;
    value_reference reference_;
    std::string packed_;
    std::vector<entry> entries_;
    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    std::size_t complete_ = 0;
    double now_ = 0;
    double longest_queue_ms_ = 0;
};

// What operators ask for: a configuration is in force everywhere within 3 s, and requests are
// delayed by less than 50 ms.
constexpr double max_spread_ms = 3000;
constexpr double max_queue_ms = 50;

} // namespace

// Guards against the pattern of a large configuration on thin links: each reader sent the whole
// document to all who asked, and news and requests waited behind it for seconds.
TEST(large_value_on_thin_links, whole_documents_from_the_readers_alone_block_their_links)
{
    linked_entries entries(38, true, large_configuration(1700));
    entries.spread();
    EXPECT_GT(entries.longest_queue_ms(), max_queue_ms); // the pattern itself
}

TEST(large_value_on_thin_links, reaches_20_38_68_and_410_entries_in_time_beside_small_messages)
{
    for (const std::size_t count : {20U, 38U, 68U, 410U}) {
        linked_entries entries(count, false, large_configuration(1700));
        const double spread = entries.spread();
        fmt::print("{} entries: {:.0f} ms, small messages wait up to {:.0f} ms\n", count, spread,
                   entries.longest_queue_ms());
        EXPECT_LT(spread, max_spread_ms) << count;
        EXPECT_LT(entries.longest_queue_ms(), max_queue_ms) << count;
    }
}

// Guards against a transfer that hangs with its source.
TEST(large_value_on_thin_links, goes_on_at_another_source_when_readers_end_halfway)
{
    linked_entries entries(68, false, large_configuration(1700));
    entries.stop_after(0, 9);
    entries.stop_after(2, 3);
    EXPECT_LT(entries.spread(), max_spread_ms);
}

class one_fetch : public testing::Test {
protected:
    static value_fetch::piece piece_of(const value_source::reply& reply, std::size_t from)
    {
        return {.source = "a",
                .from = from,
                .total = reply.total,
                .data = reply.data,
                .busy = reply.busy,
                .wait = reply.wait,
                .holders = reply.holders};
    }

    void SetUp() override
    {
        source.keep({.hash = 1, .bytes = 40000, .data = data});
        fetch.add_sources({"a", "b"});
    }

    std::string data = std::string(8192, 'x') + std::string(8192, 'y') + "z";
    value_transfer_options options;
    value_source source{options};
    value_fetch fetch{{.hash = 1, .bytes = 40000}, options, 0ms};
};

// Guards against pieces that are joined in the wrong order or twice.
TEST_F(one_fetch, ignores_pieces_that_come_twice_or_do_not_fit)
{
    ASSERT_TRUE(fetch.next_request(0ms));
    const auto first = source.answer("me", 1, 0, 0ms);
    EXPECT_FALSE(fetch.on_piece(piece_of(first, 0), 1ms));
    EXPECT_FALSE(fetch.on_piece(piece_of(first, 0), 2ms));
    const auto due = fetch.next_request(2ms);
    ASSERT_TRUE(due);
    EXPECT_EQ(due->from, 8192U);
    const auto last = source.answer("me", 1, 16384, 100ms);
    EXPECT_FALSE(fetch.on_piece(piece_of(last, 16384), 101ms));
    const auto second = source.answer("me", 1, 8192, 100ms);
    EXPECT_FALSE(fetch.on_piece(piece_of(second, 8192), 102ms));
    ASSERT_TRUE(fetch.next_request(102ms));
    const auto packed = fetch.on_piece(piece_of(last, 16384), 103ms);
    ASSERT_TRUE(packed);
    EXPECT_EQ(*packed, data);
}

// Guards against a receiver that waits for a source which has ended, or lost the value.
TEST_F(one_fetch, asks_another_source_after_silence_and_where_the_value_is_unknown)
{
    EXPECT_EQ(fetch.next_request(0ms)->source, "a");
    EXPECT_FALSE(fetch.next_request(options.piece_timeout - 1ms));
    EXPECT_EQ(fetch.next_request(options.piece_timeout)->source, "b");
    fetch.on_piece({.source = "b", .total = 0}, options.piece_timeout);
    EXPECT_FALSE(fetch.exhausted());
    fetch.on_piece({.source = "a", .total = 0}, options.piece_timeout);
    EXPECT_TRUE(fetch.exhausted());
}

// Guards against more receivers than the link of a source can serve.
TEST_F(one_fetch, a_source_with_enough_receivers_names_those_that_have_the_value)
{
    for (std::size_t number = 0; number < source.max_receivers(); ++number) {
        EXPECT_FALSE(source.answer(fmt::format("r{}", number), 1, 0, 0ms).busy);
    }
    EXPECT_TRUE(source.answer("me", 1, 0, 0ms).busy);
    const millis later = options.receiver_timeout;
    EXPECT_FALSE(source.answer("r0", 1, 16384, later).data.empty());
    for (std::size_t number = 1; number <= source.max_receivers(); ++number) {
        source.answer(fmt::format("r{}", number), 1, 0, later);
    }
    const auto answer = source.answer("me", 1, 0, later);
    EXPECT_TRUE(answer.busy);
    EXPECT_EQ(answer.holders, std::vector<std::string>{"r0"});
}

// Guards against foreign or damaged bytes that end the process or pass for a value.
TEST(value_packing, refuses_what_is_not_the_compressed_form)
{
    const std::string value = large_configuration(50);
    const std::string packed = pack_value(value);
    EXPECT_EQ(unpack_value(packed, value.size()), value);
    EXPECT_FALSE(unpack_value(packed, value.size() - 1));
    EXPECT_FALSE(unpack_value(packed, value.size() + 1));
    EXPECT_FALSE(unpack_value(packed.substr(0, packed.size() / 2), value.size()));
    EXPECT_FALSE(unpack_value("no zlib data", value.size()));
}
