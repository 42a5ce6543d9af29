// Tests what entries tell each other about backend servers, over sockets.

#include "hashing.h"
#include "peer_gossip.h"
#include "relay_state.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.hpp>

using namespace cyclamen;

namespace {

const std::vector<suspect> harmful{{.hash = 7, .position = 2}};

net_address free_address()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 1); // outgoing connections use 127.0.0.1
    socklen_t length = sizeof address;
    const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                       getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    EXPECT_TRUE(bound);
    ::close(descriptor);
    return {.host = "127.0.0.2", .port = ntohs(address.sin_port)};
}

// An entry that knows one backend server.
struct gossiping_entry {
    gossiping_entry(const net_address& listen, const net_address& peer,
                    peer_gossip_options options = {})
        : state(core.add(std::make_unique<relay_state>(core, relay_state_options{}))),
          gossip(core.add(
              std::make_unique<peer_gossip>(core, complete(std::move(options), listen, peer))))
    {
        state.update_backend({.id = "s1",
                              .service = "shop",
                              .address = {.host = "127.0.0.1", .port = 1},
                              .started_at = 1});
        gossip.set_mirrors({&orders});
        gossip.start();
    }

    static peer_gossip_options complete(peer_gossip_options options, const net_address& listen,
                                        const net_address& peer)
    {
        options.listen = listen;
        options.seeds = {peer};
        return options;
    }

    // A request with the harmful part is lost at the server.
    void lose_request()
    {
        state.end_attempt(
            state.begin_attempt({.suspects = harmful, .server = server().incarnation()}),
            attempt_end::lost);
    }

    // Three servers end while they run requests with the harmful part.
    void crash_servers()
    {
        for (std::uint64_t started_at = 2; started_at <= 4; ++started_at) {
            lose_request();
            state.update_backend({.id = "s1",
                                  .service = "shop",
                                  .address = {.host = "127.0.0.1", .port = 1},
                                  .started_at = started_at});
        }
    }

    backend& server() { return *state.backends().find("s1"); }
    bool quarantines() const { return state.quarantined(harmful).has_value(); }

    kernel core{{.program = "test", .instance = "entry"}};
    record_mirror orders{{.on_change = [](const mirrored_record& /*record*/) {}}};
    relay_state& state;
    peer_gossip& gossip;
    kernel::timer wake = core.every(5ms, [] {});
};

class two_entries : public testing::Test {
protected:
    void start(std::size_t at)
    {
        entries.at(at) = std::make_unique<gossiping_entry>(addresses.at(at), addresses.at(1 - at));
    }

    // Returns false while the address is still in use by the entry's predecessor.
    bool restarted(std::size_t at)
    {
        try {
            start(at);
            return true;
        }
        catch (const zmq::error_t&) {
            return false;
        }
    }

    bool run_until(const std::function<bool()>& holds)
    {
        constexpr millis patience = 10000ms;
        std::optional<millis> until;
        while (!holds()) {
            for (const auto& entry : entries) {
                if (entry != nullptr) {
                    const millis now = entry->core.now();
                    until = until.value_or(now + patience);
                    if (now > *until) {
                        return false;
                    }
                    event_base_loop(entry->core.loop(), EVLOOP_ONCE);
                }
            }
        }
        return true;
    }

    std::array<net_address, 2> addresses{free_address(), free_address()};
    std::array<std::unique_ptr<gossiping_entry>, 2> entries;
};

} // namespace

// Guards against harmful requests that crash servers through an entry that was not there, or was
// cut off, when others learned of them.
TEST_F(two_entries, tell_an_entry_that_starts_later_what_crashes_servers)
{
    start(0);
    entries[0]->crash_servers();
    ASSERT_TRUE(entries[0]->quarantines());
    start(1);
    EXPECT_TRUE(run_until([&] { return entries[1]->quarantines(); }));
    entries[1].reset();
    ASSERT_TRUE(run_until([&] { return restarted(1); }));
    EXPECT_TRUE(run_until([&] { return entries[1]->quarantines(); }));
}

// Guards against a crash that nobody counts, because one entry lost the request and another was
// refused a connection.
TEST_F(two_entries, join_a_loss_at_one_with_a_refused_connection_at_the_other)
{
    start(0);
    start(1);
    ASSERT_TRUE(run_until([&] {
        return entries[0]->gossip.rank(1) + entries[1]->gossip.rank(1) == 1;
    })) << "each hears the other";
    entries[0]->lose_request();
    entries[1]->state.backend_unreachable(entries[1]->server(), true);
    EXPECT_TRUE(run_until([&] {
        return entries[0]->state.crashes().crashes(harmful[0].hash, entries[0]->core.now()) == 1 &&
               entries[1]->state.crashes().crashes(harmful[0].hash, entries[1]->core.now()) == 1;
    }));
}

// Guards against a loss that only the entry knows that saw it: it ended before its server's end
// showed.
TEST_F(two_entries, know_a_loss_when_the_entry_that_saw_it_has_ended)
{
    start(0);
    start(1);
    ASSERT_TRUE(
        run_until([&] { return entries[0]->gossip.rank(1) + entries[1]->gossip.rank(1) == 1; }));
    entries[0]->lose_request();
    const millis told_at = entries[0]->core.now() + 1000ms;
    run_until([&] { return entries[0]->core.now() > told_at; });
    entries[0].reset();
    entries[1]->state.remove_backend("s1");
    EXPECT_EQ(entries[1]->state.crashes().crashes(harmful[0].hash, entries[1]->core.now()), 1U);
}

// Guards against a crash that an entry does not count because the message that told it of the
// server's end was lost.
TEST_F(two_entries, tell_an_entry_that_starts_later_which_servers_have_ended)
{
    start(0);
    entries[0]->state.backend_unreachable(entries[0]->server(), true);
    start(1);
    entries[1]->lose_request();
    EXPECT_TRUE(run_until([&] {
        return entries[1]->state.crashes().crashes(harmful[0].hash, entries[1]->core.now()) == 1;
    }));
}

// A connection that times out may be due to the links of the entry itself.
TEST_F(two_entries, count_no_crash_for_a_connection_that_timed_out)
{
    start(0);
    entries[0]->lose_request();
    entries[0]->state.backend_unreachable(entries[0]->server(), false);
    EXPECT_EQ(entries[0]->state.crashes().size(), 0U);
}

// Guards against a limit that holds at the entry alone to which the server named it.
TEST_F(two_entries, tell_each_other_the_limit_of_a_server_and_its_end)
{
    start(0);
    start(1);
    const auto state_limit = [&](std::optional<double> limit) {
        backend_table::record_limit(entries[0]->server(), limit, entries[0]->core.now());
    };
    state_limit(2.5);
    EXPECT_TRUE(run_until([&] { return entries[1]->server().limit.per_second == 2.5; }));
    state_limit(std::nullopt);
    EXPECT_TRUE(run_until([&] { return !entries[1]->server().limit.per_second; }));
}

// Guards against requests of entries to which a server has not said yet that it leaves.
TEST_F(two_entries, tell_each_other_that_a_server_leaves)
{
    start(0);
    start(1);
    const std::uint64_t incarnation = entries[0]->server().incarnation();
    entries[0]->state.backend_leaves("s1", incarnation);
    EXPECT_TRUE(
        run_until([&] { return entries[1]->state.backends().words().leaving(incarnation); }));
    entries[1]->state.peer_heard_leaving(incarnation + 1, leaving_report_time);
    EXPECT_FALSE(entries[1]->state.backends().words().leaving(incarnation + 1));
}

// Guards against entries that all take themselves for the first because, in a large fleet, each
// hears the others seldom; each would then send a limited server its whole limit.
TEST_F(two_entries, agree_on_their_ranks_while_digests_come_seldom)
{
    // Digests come fifty times less often than a peer's time-out.
    const peer_gossip_options options{.interval = 1000ms, .peer_timeout = 20ms};
    for (std::size_t at = 0; at < entries.size(); ++at) {
        entries.at(at) =
            std::make_unique<gossiping_entry>(addresses.at(at), addresses.at(1 - at), options);
    }
    const auto ranks = [&] { return entries[0]->gossip.rank(1) + entries[1]->gossip.rank(1); };
    ASSERT_TRUE(run_until([&] { return ranks() == 1; }));
    const millis end = entries[0]->core.now() + 600ms;
    unsigned wrong = 0;
    run_until([&] {
        wrong += ranks() == 1 ? 0 : 1;
        return entries[0]->core.now() > end;
    });
    EXPECT_EQ(wrong, 0U);
}

// Guards against peers that compare offsets of a log from before and after a restore: the one that
// noticed it could not tell the other, and one that started later knew only the older copy.
TEST_F(two_entries, tell_each_other_what_a_restore_has_lost)
{
    start(0);
    entries[0]->orders.enter_era(1);
    entries[0]->orders.apply_listing({{.key = "a", .value = "old", .offset = 0, .era = 1}}, 1);
    entries[0]->orders.apply({.key = "b", .value = "lost", .offset = 1, .era = 1});
    entries[0]->orders.advance(2);
    start(1);
    entries[1]->orders.enter_era(2);
    entries[1]->orders.apply_listing({{.key = "a", .value = "old", .offset = 0, .era = 2}}, 1);
    entries[1]->orders.add_restore({.era = 2, .offset = 1});
    // Each knows what the other did not.
    ASSERT_TRUE(run_until([&] { return entries[1]->orders.find("b") != nullptr; }));
    ASSERT_TRUE(run_until([&] { return entries[0]->orders.era() == 2; }));
    EXPECT_EQ(entries[0]->orders.position(), 1U);
    EXPECT_EQ(entries[0]->orders.find("b")->value, "lost");
    // A change at an offset that was in use before the restore.
    entries[1]->orders.apply({.key = "b", .value = "new", .offset = 1, .era = 2});
    entries[1]->orders.advance(2);
    EXPECT_TRUE(run_until([&] { return entries[0]->orders.find("b")->value == "new"; }));
    EXPECT_EQ(entries[0]->orders.lost(), 0U);
}

// An entry that starts after the restore hears of lost records from a peer at the same position.
TEST_F(two_entries, tell_an_entry_that_starts_after_a_restore_what_was_lost)
{
    start(0);
    entries[0]->orders.enter_era(1);
    entries[0]->orders.apply_listing({}, 0);
    entries[0]->orders.apply({.key = "b", .value = "lost", .offset = 0, .era = 1});
    for (const std::size_t at : {0U, 1U}) {
        if (at == 1) {
            start(1);
        }
        entries.at(at)->orders.enter_era(2);
        entries.at(at)->orders.note_end(0);
        entries.at(at)->orders.apply_listing({}, 0);
    }
    ASSERT_TRUE(run_until([&] { return entries[1]->orders.lost() == 1; }));
    EXPECT_EQ(entries[1]->orders.lost_fingerprint(), entries[0]->orders.lost_fingerprint());
}

// A question about a stream, and its answer, between entries.
TEST_F(two_entries, answer_each_others_questions_about_streams)
{
    start(0);
    start(1);
    unsigned answers = 0;
    unsigned archived = 0;
    entries[0]->gossip.on_origins = [&](const std::string& /*peer*/,
                                        const wire::stream_origins& message) {
        answers += static_cast<unsigned>(message.unknown_size());
        archived += static_cast<unsigned>(message.archived_size());
        return std::optional<wire::stream_origins>();
    };
    entries[1]->gossip.on_origins = [&](const std::string& peer,
                                        const wire::stream_origins& message) {
        wire::stream_origins later;
        later.add_archived(message.wanted(0).stream());
        entries[1]->gossip.send_origins_to(peer, later);
        wire::stream_origins reply;
        reply.add_unknown(message.wanted(0).stream());
        return std::optional(reply);
    };
    wire::stream_origins question;
    question.add_wanted()->set_stream(1);
    EXPECT_EQ(entries[0]->gossip.send_origins(question), 0U) << "no peer was heard yet";
    ASSERT_TRUE(run_until([&] { return entries[0]->gossip.send_origins(question) == 1; }));
    EXPECT_TRUE(run_until([&] { return answers > 0; }));
    EXPECT_TRUE(run_until([&] { return archived > 0; })) << "to the peer that was named";
}

// Guards against a configuration on a thin link that holds up what else was ordered, and against an
// entry that refuses by an older configuration although it knows that there is a newer one.
TEST_F(two_entries, fetch_a_large_record_in_pieces_and_apply_small_ones_at_once)
{
    std::string document; // that does not compress well
    for (std::uint64_t number = 0; number < 4000; ++number) {
        document += fmt::format("{:016x}", hash_of("configuration", number));
    }
    start(0);
    start(1);
    entries[0]->orders.apply_listing({}, 0);
    entries[1]->orders.apply_listing({}, 0);
    entries[1]->state.mark_complete();
    ASSERT_TRUE(run_until([&] { return entries[1]->state.fresh(); }));
    entries[0]->orders.apply({.key = "config", .value = document, .offset = 0});
    entries[0]->orders.apply({.key = "evacuate/north", .value = "{}", .offset = 1});
    entries[0]->orders.advance(2);
    bool refused_for_good = false;
    ASSERT_TRUE(run_until([&] {
        const bool small_is_here = entries[1]->orders.find("evacuate/north") != nullptr;
        const bool large_is_here = entries[1]->orders.find("config") != nullptr;
        refused_for_good =
            refused_for_good || (small_is_here && !large_is_here && entries[1]->state.fresh());
        return large_is_here;
    }));
    EXPECT_FALSE(refused_for_good);
    EXPECT_EQ(entries[1]->orders.find("config")->value, document);
    EXPECT_EQ(entries[1]->orders.position(), 2U);
    EXPECT_TRUE(entries[1]->state.fresh());
    EXPECT_EQ(entries[1]->core.metrics().named("values_fetched"), 1U);
}

class two_links : public two_entries, public testing::WithParamInterface<std::array<double, 2>> {};

// Guards against entries on thin links that read the store for those with fast ones, also where a
// rate is below 1 Mbit/s or beyond what a digest can carry.
TEST_P(two_links, let_the_faster_one_read_the_logs_first)
{
    const auto [slow_mbps, fast_mbps] = GetParam();
    for (std::size_t at = 0; at < entries.size(); ++at) {
        const bool is_lower = addresses.at(at).text() < addresses.at(1 - at).text();
        entries.at(at) = std::make_unique<gossiping_entry>(
            addresses.at(at), addresses.at(1 - at),
            peer_gossip_options{.log_readers = 1, .link_mbps = is_lower ? slow_mbps : fast_mbps});
        entries.at(at)->gossip.source_answers = [] { return true; };
    }
    const std::size_t lower = addresses[0].text() < addresses[1].text() ? 0 : 1;
    EXPECT_TRUE(run_until([&] {
        return !entries.at(lower)->gossip.must_read_logs() &&
               entries.at(1 - lower)->gossip.must_read_logs();
    }));
}

INSTANTIATE_TEST_SUITE_P(rates, two_links,
                         testing::Values(std::array{10.0, 200.0}, std::array{0.0, 0.4},
                                         std::array{10.0, 4294967296.0}));

// many entries: guards against digests that all carry the list of peers, three quarters of their
// bytes among 68 entries, and against a peer that never gets it.
TEST(digests, carry_the_list_of_peers_to_each_peer_in_one_of_eight_turns)
{
    const peer_gossip_options options;
    for (const std::size_t peers : {1U, 4U, 24U, 67U, 299U, 409U}) {
        std::vector<unsigned> lists(peers, 0);
        for (std::uint64_t sequence = 0; sequence < 80 * peers; ++sequence) {
            lists[sequence % peers] += options.lists_peers(sequence, peers) ? 1 : 0;
        }
        EXPECT_EQ(lists, std::vector<unsigned>(peers, 10)) << peers;
    }
}

// many entries: guards against log readers that count as stopped between two of their digests, so
// that all entries read the logs.
TEST(digests, of_log_readers_come_within_the_time_in_which_they_are_relied_on)
{
    const peer_gossip_options options;
    for (const std::size_t peers : {1U, 67U, 120U, 299U, 409U}) {
        EXPECT_LE(2 * options.digest_interval(peers, true), options.peer_timeout) << peers;
        EXPECT_EQ(options.digest_interval(peers, false), options.interval_among(peers)) << peers;
        EXPECT_GT(options.counts_lifetime(peers), options.interval_among(peers)) << peers;
    }
}

// callers, capped: guards against load that stays uneven because, in a fleet of many entries, each
// hears too late where the others send their requests.  The load bound is judged over five seconds.
TEST(gossip_interval, bounds_the_age_and_the_number_of_digests)
{
    const peer_gossip_options options;
    EXPECT_EQ(options.interval_among(4), options.interval);
    EXPECT_LE(options.interval_among(67), 1000ms);
    for (const std::size_t peers : {1U, 10U, 24U, 67U, 409U}) {
        EXPECT_LE(peers * 1000ms / options.interval_among(peers), 80) << peers;
    }
}

// node_cut, zone_cut: guards against requests at servers that left while an entry was cut off: it
// kept them, as after an outage of the store, although its peer's store had served all the while.
TEST_F(two_entries, tell_whether_the_store_served_while_the_other_was_cut_off)
{
    start(0);
    relay_state& served = entries[0]->state;
    const kernel::timer store_answers =
        entries[0]->core.every(50ms, [&] { served.confirmed_by_source(); });
    ASSERT_TRUE(run_until([&] { return served.source_steady_time() > 500ms; }));
    start(1);
    relay_state& cut = entries[1]->state;
    cut.start(); // removes servers
    cut.source_failed("cut");
    ASSERT_TRUE(run_until([&] { return cut.source_age() > 100ms; }));
    for (const auto& entry : entries) {
        entry->orders.apply_listing({}, 5);
    }
    cut.remove_backend("s1");
    ASSERT_NE(cut.backends().find("s1"), nullptr);
    cut.confirmed_by_source();
    entries[0]->gossip.source_answers = [] { return true; };
    const millis regained_at = entries[1]->core.now();
    EXPECT_TRUE(run_until([&] { return cut.backends().find("s1") == nullptr; }));
    EXPECT_LT(entries[1]->core.now() - regained_at, 2000ms); // DrainMs
}

// review/11: guards against a change of the default versions while streams of an entry that has
// ended have no record.
TEST_F(two_entries, tell_when_the_other_may_have_lost_what_it_knew)
{
    start(0);
    const peer_gossip& here = entries[0]->gossip;
    start(1);
    ASSERT_TRUE(run_until([&] { return here.membership().changes == 1; }));
    EXPECT_FALSE(here.membership().lost_at);
    entries[1].reset();
    ASSERT_TRUE(run_until([&] { return restarted(1); }));
    ASSERT_TRUE(run_until([&] { return here.membership().changes > 1; }));
    EXPECT_TRUE(here.membership().lost_at);
}

// Guards against an entry that takes the place of a silent one before it counts that as lost.
TEST_F(two_entries, tell_of_a_silent_peer_as_soon_as_it_does_not_count_any_more)
{
    start(0);
    start(1);
    const peer_gossip& here = entries[0]->gossip;
    ASSERT_TRUE(run_until([&] { return here.hears(addresses[1].text()); }));
    EXPECT_FALSE(here.membership().lost_at);
    entries[1].reset();
    ASSERT_TRUE(run_until([&] { return !here.hears(addresses[1].text()); }));
    EXPECT_TRUE(here.membership().lost_at);
}

// review/8: guards against streams that are taken for those of the default version although an
// entry beside the log readers knows better.
TEST_F(two_entries, ask_those_that_know_streams_which_the_archive_may_lack)
{
    const peer_gossip_options many{.few_peers = 0};
    entries[0] = std::make_unique<gossiping_entry>(addresses[0], addresses[1], many);
    entries[1] = std::make_unique<gossiping_entry>(addresses[1], addresses[0], many);
    std::vector<std::string> joined;
    entries[0]->gossip.on_peer_joined = [&](const std::string& peer) { joined.push_back(peer); };
    ASSERT_TRUE(run_until([&] { return !joined.empty(); }));
    EXPECT_EQ(joined, std::vector<std::string>{addresses[1].text()});
    wire::stream_origins question;
    question.add_wanted()->set_stream(1);
    EXPECT_EQ(entries[0]->gossip.send_origins(question), 0U) << "no log reader";
    entries[1]->state.origins().merge(
        {.stream = 1, .service = "shop", .version = "v2", .unarchived = true},
        entries[1]->core.now());
    EXPECT_TRUE(run_until([&] { return entries[0]->gossip.send_origins(question) == 1; }));
    const wire::stream_origins news;
    EXPECT_EQ(entries[0]->gossip.send_origins(news), 0U) << "not a question";
    entries[1].reset();
    joined.clear();
    ASSERT_TRUE(run_until([&] { return restarted(1); }));
    EXPECT_TRUE(run_until([&] { return !joined.empty(); })) << "it started again";
}

// review/9: guards against what an entry of another fleet tells, at whose address a seed once was:
// its servers, logs and streams are others.
TEST_F(two_entries, of_different_fleets_do_not_hear_each_other)
{
    for (const std::size_t at : {0U, 1U}) {
        entries.at(at) = std::make_unique<gossiping_entry>(addresses.at(at), addresses.at(1 - at),
                                                           peer_gossip_options{.fleet = 1 + at});
    }
    entries[0]->server().in_flight = 3;
    const millis end = entries[0]->core.now() + 1000ms;
    run_until([&] { return entries[0]->core.now() > end; });
    EXPECT_FALSE(entries[0]->gossip.hears(addresses[1].text()));
    EXPECT_FALSE(entries[1]->gossip.hears(addresses[0].text()));
    EXPECT_EQ(entries[1]->server().peer_in_flight, 0U);
}

TEST_F(two_entries, of_one_fleet_hear_each_other)
{
    for (const std::size_t at : {0U, 1U}) {
        entries.at(at) = std::make_unique<gossiping_entry>(
            addresses.at(at), addresses.at(1 - at), peer_gossip_options{.fleet = at}); // 0: unknown
    }
    EXPECT_TRUE(run_until([&] {
        return entries[0]->gossip.hears(addresses[1].text()) &&
               entries[1]->gossip.hears(addresses[0].text());
    }));
}
