// Tests the choice of the backend server for a request.  A word before a colon at the start of a
// comment, such as "scale_out:", names the load or fault pattern that the test covers.

#include "backend_chooser.h"
#include "hashing.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

using namespace cyclamen;

namespace {

constexpr millis now = 100000ms;

// One service with a pool of engines in three availability zones.
struct pool {
    explicit pool(unsigned engines, double cold_starts = 0)
        : service{.name = "engine", .cold_starts_per_second = cold_starts}
    {
        for (unsigned index = 0; index < engines; ++index) {
            add(index);
        }
    }

    static std::string name(unsigned index) { return "e" + std::to_string(index); }

    void add(unsigned index, millis cold_for = 0ms)
    {
        table.put(
            {.id = name(index),
             .service = "engine",
             .address = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(1000 + index)},
             .zone = std::string(1, static_cast<char>('a' + index % 3)),
             .slots = 64,
             .cold_for = cold_for,
             .started_at = 1,
             .sequence = 1},
            now);
    }

    backend_choice choose(std::optional<std::uint64_t> prompt, unsigned tokens = 0, millis at = now)
    {
        backend_criteria criteria{
            .service = "engine", .shared_tokens = tokens, .locations = &locations};
        if (prompt) {
            criteria.segment_hashes.push_back(*prompt);
        }
        return chooser.choose(table, service, criteria, at);
    }

    // Sends a request and records the location of its prompt, as an exchange does.
    std::string send(std::uint64_t prompt, unsigned tokens = 0)
    {
        backend* server = choose(prompt, tokens).server;
        ++server->in_flight;
        locations.record_use(
            {static_cast<std::uint32_t>(prompt), static_cast<std::uint32_t>(server->hash)}, now);
        return server->entry.id;
    }

    backend_table table;
    prefix_locations locations;
    relay_service service;
    backend_chooser chooser{{.zone = "a"}};
};

} // namespace

TEST(backend_choice, a_returning_prompt_goes_to_one_server_at_every_entry)
{
    pool first_entry(12);
    pool second_entry(12);
    for (std::uint64_t prompt = 1; prompt < 200; ++prompt) {
        const std::uint64_t hash = hash_of(std::to_string(prompt));
        EXPECT_EQ(first_entry.choose(hash).server->entry.id,
                  second_entry.choose(hash).server->entry.id);
    }
}

// scale_out: new servers must not attract prompts that are cached at other servers.
TEST(backend_choice, a_prompt_stays_where_it_is_kept_when_servers_are_added)
{
    pool engines(6);
    std::map<std::uint64_t, std::string> homes;
    for (std::uint64_t prompt = 1; prompt <= 100; ++prompt) {
        const std::uint64_t hash = hash_of(std::to_string(prompt));
        homes[hash] = engines.send(hash);
        --engines.table.find(homes[hash])->in_flight;
    }
    for (unsigned added = 6; added < 10; ++added) {
        engines.add(added);
    }
    for (const auto& [hash, home] : homes) {
        EXPECT_EQ(engines.choose(hash).server->entry.id, home);
    }
}

// hot_key: one prompt receives a large share of the traffic.
TEST(backend_choice, a_hot_prompt_spreads_when_its_server_passes_the_load_bound)
{
    pool engines(10);
    std::map<std::string, unsigned> requests_by_server;
    const std::uint64_t hot = hash_of("hot");
    for (unsigned request = 0; request < 100; ++request) {
        ++requests_by_server[engines.send(hot)];
        const double mean = engines.table.mean_load("engine", now);
        for (const auto& [id, count] : requests_by_server) {
            EXPECT_LE(count, 2 * mean + 3) << id;
        }
    }
    EXPECT_GE(requests_by_server.size(), 4U);
}

// A mix of long and short prompts: long ones, which are expensive to recompute, stay longer at the
// server that has them cached.
TEST(backend_choice, short_prompts_give_way_to_long_ones_at_the_load_bound)
{
    pool engines(4);
    const std::uint64_t prompt = hash_of("guide");
    engines.send(prompt, 10000);
    const std::string home = engines.send(prompt, 10000);
    EXPECT_NE(engines.choose(prompt, 100).server->entry.id, home);
    EXPECT_EQ(engines.choose(prompt, 10000).server->entry.id, home);
}

TEST(backend_choice, counts_of_other_entries_are_part_of_the_load)
{
    pool engines(3);
    const std::uint64_t prompt = hash_of("guide");
    backend* home = engines.choose(prompt).server;
    engines.table.set_peer_in_flight("peer", {{static_cast<std::uint32_t>(home->hash), 9}});
    EXPECT_EQ(home->load(now), 9U);
    EXPECT_NE(engines.choose(prompt).server, home);
    engines.table.set_peer_in_flight("peer", {});
    EXPECT_EQ(engines.choose(prompt).server, home);
}

TEST(backend_choice, a_report_of_load_counts_what_others_hold_until_it_is_old)
{
    pool engines(1);
    backend& server = *engines.table.find("e0");
    server.in_flight = 2;
    engines.table.record_load(server, {.running = 5, .waiting = 1, .slots = 64}, now);
    EXPECT_EQ(server.load(now), 6U);
    ++server.in_flight;
    EXPECT_EQ(server.load(now), 7U);
    EXPECT_EQ(server.load(now + 2000ms), 3U);
}

// evacuate: servers in a disabled availability zone still count for the mean load of the service.
TEST(backend_choice, the_mean_is_that_of_all_servers_of_the_service)
{
    pool engines(9);
    engines.table.set_disabled_zones({"c"});
    for (unsigned index = 0; index < 9; ++index) {
        engines.table.find(pool::name(index))->in_flight = index % 3 == 2 ? 0 : 6;
    }
    EXPECT_DOUBLE_EQ(engines.table.mean_load("engine", now), 4.0);
    const backend_choice choice = engines.choose(hash_of("any"));
    EXPECT_EQ(choice.pool, 6U);
    EXPECT_NE(choice.server->entry.zone, "c");
}

// cold_return: all servers of an availability zone restart cold at the same time, while all entries
// send requests.
TEST(backend_choice, entries_together_stay_below_what_a_cold_server_bears)
{
    constexpr unsigned entries = 8;
    constexpr double max_starts_per_second = 11;
    std::vector<std::unique_ptr<pool>> fleet;
    for (unsigned index = 0; index < entries; ++index) {
        fleet.push_back(std::make_unique<pool>(0, max_starts_per_second));
        fleet.back()->chooser.set_entries(entries);
        fleet.back()->add(0, 5000ms);
    }
    std::vector<millis> starts;
    for (millis at = now; at < now + 4000ms; at += 5ms) {
        for (const auto& entry : fleet) {
            if (entry->choose(std::nullopt, 0, at).server != nullptr) {
                starts.push_back(at);
            }
        }
    }
    for (std::size_t first = 0; first < starts.size(); ++first) {
        const auto within = std::count_if(starts.begin(), starts.end(), [&](millis at) {
            return at >= starts[first] && at < starts[first] + 1000ms;
        });
        EXPECT_LE(within, max_starts_per_second * 1.5 + 5);
    }
    EXPECT_GE(starts.size(), 20U);
}

TEST(backend_choice, a_plain_request_stays_in_its_zone_until_another_is_much_freer)
{
    pool servers(3);
    EXPECT_EQ(servers.choose(std::nullopt).server->entry.zone, "a");
    servers.table.find("e1")->in_flight = 2;
    servers.table.find("e2")->in_flight = 2;
    servers.table.find("e0")->in_flight = 4;
    EXPECT_EQ(servers.choose(std::nullopt).server->entry.zone, "a");
    servers.table.find("e0")->in_flight = 5;
    EXPECT_NE(servers.choose(std::nullopt).server->entry.zone, "a");
}

// srv_grey: one server fails some of its requests while its health probe passes.
TEST(backend_choice, a_server_that_fails_far_more_than_the_pool_is_passed_over)
{
    pool servers(3);
    for (unsigned request = 0; request < 30; ++request) {
        for (unsigned index = 0; index < 3; ++index) {
            const bool fails = index == 0 ? request % 2 == 0 : request % 10 == 0;
            servers.table.record_outcome(
                *servers.table.find(pool::name(index)),
                fails ? backend_outcome::failure : backend_outcome::success, now);
        }
    }
    EXPECT_NE(servers.choose(std::nullopt).server->entry.id, "e0");
    // Its recorded failures have decayed, so that it is chosen again.
    EXPECT_EQ(servers.choose(std::nullopt, 0, now + 20000ms).server->entry.id, "e0");
}

// srv_grey with many entries: each entry alone observes too few outcomes to detect the outlier.
TEST(backend_choice, a_server_that_fails_for_all_entries_is_passed_over_by_each)
{
    pool servers(3);
    for (unsigned index = 0; index < 3; ++index) {
        servers.table.record_outcome(*servers.table.find(pool::name(index)),
                                     backend_outcome::success, now);
    }
    EXPECT_EQ(servers.choose(std::nullopt).server->entry.id, "e0");
    const auto hash = static_cast<std::uint32_t>(servers.table.find("e0")->hash);
    for (const char* entry : {"b", "c", "d"}) {
        servers.table.set_peer_outcomes(entry, {{hash, {.successes = 1, .failures = 1}}}, now);
    }
    EXPECT_NE(servers.choose(std::nullopt).server->entry.id, "e0");
    // Successes at other entries outweigh the failures at one entry.
    servers.table.set_peer_outcomes("b", {{hash, {.successes = 30, .failures = 1}}}, now);
    EXPECT_EQ(servers.choose(std::nullopt).server->entry.id, "e0");
}

TEST(backend_choice, a_pool_whose_servers_all_fail_is_not_emptied)
{
    pool servers(3);
    for (unsigned index = 0; index < 3; ++index) {
        for (unsigned request = 0; request < 20; ++request) {
            servers.table.record_outcome(*servers.table.find(pool::name(index)),
                                         backend_outcome::failure, now);
        }
    }
    EXPECT_NE(servers.choose(std::nullopt).server, nullptr);
}

// srv_crash, dark: a connection to an unresponsive server takes long to fail.  Only one request may
// probe the server; the others must not wait for the same timeout.
TEST(backend_choice, one_request_alone_tries_a_server_that_was_unreachable)
{
    pool engines(2);
    const std::uint64_t prompt = hash_of("guide");
    backend& home = *engines.choose(prompt).server;
    engines.table.record_connect_failure(home, now);
    const millis after_backoff = now + 300ms;
    EXPECT_EQ(engines.choose(prompt, 0, after_backoff).server, &home);
    EXPECT_NE(engines.choose(prompt, 0, after_backoff).server, &home);
    EXPECT_NE(engines.choose(prompt, 0, after_backoff + 400ms).server, &home);
    home.health.record_outcome(backend_outcome::success, after_backoff + 400ms);
    EXPECT_EQ(engines.choose(prompt, 0, after_backoff + 400ms).server, &home);
}

// srv_flap: each refused connection doubles the backoff, and a success resets it.
TEST(backend_choice, an_unreachable_server_rests_longer_each_time)
{
    backend_health health;
    health.record_connect_failure(now);
    EXPECT_TRUE(health.in_backoff(now + 199ms));
    EXPECT_FALSE(health.in_backoff(now + 200ms));
    health.record_connect_failure(now + 200ms);
    EXPECT_TRUE(health.in_backoff(now + 599ms));
    for (int count = 0; count < 20; ++count) {
        health.record_connect_failure(now);
    }
    EXPECT_FALSE(health.in_backoff(now + 2000ms));
    health.record_outcome(backend_outcome::success, now);
    EXPECT_FALSE(health.in_backoff(now));
}

// release, scale_in: the cache of a draining server is still usable as a source of copies.
TEST(backend_choice, a_server_that_lacks_a_prompt_copies_it_from_one_that_leaves)
{
    pool engines(4);
    const std::uint64_t prompt = hash_of("guide");
    const std::string home = engines.send(prompt, 10000);
    EXPECT_EQ(engines.choose(prompt).copy_source, nullptr);
    backend_entry leaving = engines.table.find(home)->entry;
    leaving.draining = true;
    ++leaving.sequence;
    engines.table.put(leaving, now);
    const backend_choice early = engines.choose(prompt, 10000, now + 100ms);
    EXPECT_EQ(early.copy_source, nullptr) << "the source has not yet computed the prefix";
    const backend_choice later = engines.choose(prompt, 10000, now + 2000ms);
    ASSERT_NE(later.copy_source, nullptr);
    EXPECT_EQ(later.copy_source->entry.id, home);
    EXPECT_NE(later.server->entry.id, home);
}

// srv_crash: a server that is unreachable or has restarted is no source of copies.
TEST(backend_choice, nothing_is_copied_from_a_server_that_is_down)
{
    pool engines(4);
    const std::uint64_t prompt = hash_of("guide");
    backend& home = *engines.table.find(engines.send(prompt, 10000));
    const millis later = now + 2000ms;
    engines.table.record_connect_failure(home, later);
    EXPECT_EQ(engines.choose(prompt, 10000, later).copy_source, nullptr);
    home.health.record_outcome(backend_outcome::success, later);
    home.in_flight = 20;
    EXPECT_EQ(engines.choose(prompt, 10000, later).copy_source, &home);
    engines.locations.remove_server(static_cast<std::uint32_t>(home.hash));
    EXPECT_EQ(engines.choose(prompt, 10000, later).copy_source, nullptr);
}

// Many subjects share one system prompt: the first chat about a subject copies the system prompt,
// the outer segment, and computes only the segment of its subject.
TEST(backend_choice, an_outer_part_is_copied_where_the_inner_one_is_new)
{
    pool engines(4);
    const std::uint64_t guide = hash_of("guide");
    const std::string home = engines.send(guide, 10000);
    const auto choose = [&](const std::string& subject) {
        return engines.chooser.choose(engines.table, engines.service,
                                      {.service = "engine",
                                       .segment_hashes = {guide, hash_of(subject)},
                                       .shared_tokens = 10500,
                                       .locations = &engines.locations},
                                      now + 2000ms);
    };
    unsigned copies = 0;
    for (unsigned subject = 0; subject < 40; ++subject) {
        const backend_choice choice = choose(std::to_string(subject));
        const bool on_other_server = choice.server->entry.id != home;
        EXPECT_EQ(choice.copy_source != nullptr, on_other_server);
        copies += choice.copy_source != nullptr ? 1 : 0;
    }
    EXPECT_GE(copies, 20U);
}

namespace {

// Entries that send prompts to one server as fast as its stated limit allows, in steps of 10 ms.
class limited_pool {
public:
    limited_pool(unsigned entries, double limit) : limit_(limit)
    {
        for (unsigned number = 0; number < entries; ++number) {
            pool& entry = *entries_.emplace_back(std::make_unique<pool>(2));
            entry.chooser.set_entries(entries);
            entry.chooser.entry_rank = [number](std::uint64_t /*hash*/) { return number; };
        }
        while (entries_[0]->choose(prompt_).server->entry.id != pool::name(0)) {
            ++prompt_;
        }
    }

    void run(millis duration)
    {
        for (millis at = now; at < now + duration; at += 10ms) {
            for (const auto& entry : entries_) {
                backend& server = *entry->table.find(pool::name(0));
                backend_table::record_limit(server, limit_, at);
                const backend* chosen = entry->choose(prompt_, 0, at).server;
                if (chosen == &server) {
                    arrivals_.push_back(at);
                }
            }
        }
    }

    std::size_t arrivals() const { return arrivals_.size(); }
    std::size_t most_in(millis window) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals_.size(); ++last) {
            while (arrivals_[last] - arrivals_[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    std::vector<std::unique_ptr<pool>> entries_;
    double limit_;
    std::uint64_t prompt_ = 1;
    std::vector<millis> arrivals_;
};

} // namespace

// srv_slow, capped: guards against a server that gets more requests than the limit that it names.
TEST(backend_choice, entries_together_keep_the_limit_that_a_server_names)
{
    constexpr millis window = 4000ms;
    constexpr millis duration = 20000ms;
    for (const unsigned entries : {1U, 5U, 25U, 410U}) {
        for (const double limit : {0.5, 1.0, 2.8, 7.5}) {
            limited_pool fleet(entries, limit);
            fleet.run(duration);
            const auto allowed = static_cast<std::size_t>(1.5 * limit * 4) + 5;
            EXPECT_LE(fleet.most_in(window), allowed) << entries << " entries, limit " << limit;
            EXPECT_GE(static_cast<double>(fleet.arrivals()), 0.5 * limit * 20)
                << "the server is left idle: " << entries << " entries, limit " << limit;
        }
    }
}

// srv_slow, capped: the limit ends with the first response that does not name it.
TEST(backend_choice, a_limit_ends_when_the_server_no_longer_names_it)
{
    pool engines(1);
    backend& server = *engines.table.find(pool::name(0));
    backend_table::record_limit(server, 0.1, now);
    EXPECT_NE(engines.choose(1).server, nullptr);
    EXPECT_EQ(engines.choose(1).server, nullptr);
    EXPECT_EQ(engines.choose(1).reason, "limited");
    backend_table::record_limit(server, std::nullopt, now + 10ms);
    EXPECT_NE(engines.choose(1, 0, now + 20ms).server, nullptr);
}

// srv_slow, capped: entries that send nothing to the server hear of its limit and of the end.
TEST(backend_choice, the_latest_statement_of_a_server_counts_whoever_heard_it)
{
    pool first(1);
    pool second(1);
    backend& server = *first.table.find(pool::name(0));
    const backend& same = *second.table.find(pool::name(0));
    const auto tell = [&](millis at) {
        for (const auto& report : first.table.limits_to_report(at)) {
            second.table.record_limit_report(report, at);
        }
    };
    tell(now);
    EXPECT_FALSE(same.limit.per_second);
    backend_table::record_limit(server, 2.5, now);
    const auto outdated = first.table.limits_to_report(now);
    tell(now + 100ms);
    EXPECT_EQ(same.limit.per_second, 2.5);
    backend_table::record_limit(server, std::nullopt, now + 200ms);
    tell(now + 300ms);
    EXPECT_FALSE(same.limit.per_second);
    second.table.record_limit_report(outdated.front(), now + 400ms);
    EXPECT_FALSE(same.limit.per_second) << "an older report replaced a newer one";
}

// release: guards against prompts that are copied from a server whose software lays them out
// differently.
TEST(backend_choice, copies_prompts_only_between_servers_of_one_software_version)
{
    for (const bool same : {true, false}) {
        pool engines(2);
        constexpr std::uint64_t prompt = 5;
        const std::string home = engines.send(prompt, 10000);
        for (unsigned index = 0; index < 2; ++index) {
            backend_entry entry = engines.table.find(pool::name(index))->entry;
            const bool is_home = entry.id == home;
            entry.software_version = is_home || same ? "v1" : "v2";
            entry.draining = is_home;
            engines.table.put(entry, now);
        }
        const backend_choice choice = engines.choose(prompt, 10000, now + 2000ms);
        ASSERT_NE(choice.server, nullptr);
        EXPECT_EQ(choice.copy_source != nullptr, same);
    }
}

// release: a stream continues at any load at a server of its version, and nowhere else.
TEST(backend_choice, takes_only_servers_of_the_software_version_that_a_stream_needs)
{
    pool engines(4);
    for (unsigned index = 0; index < 4; ++index) {
        backend_entry entry = engines.table.find(pool::name(index))->entry;
        entry.software_version = index == 3 ? "v1" : "v2";
        engines.table.put(entry, now);
    }
    engines.table.find("e3")->in_flight = 20;
    backend_criteria criteria{.service = "engine", .software_version = "v1"};
    for (const std::uint64_t prompt : {1U, 2U, 3U}) {
        criteria.segment_hashes = {prompt};
        const backend_choice choice =
            engines.chooser.choose(engines.table, engines.service, criteria, now);
        ASSERT_NE(choice.server, nullptr);
        EXPECT_EQ(choice.server->entry.id, "e3");
    }
    criteria.software_version = "v0";
    const backend_choice none =
        engines.chooser.choose(engines.table, engines.service, criteria, now);
    EXPECT_EQ(none.server, nullptr);
    EXPECT_EQ(none.reason, no_server_of_version);
    const std::set<std::string> tried{"e3"};
    criteria.software_version = "v1";
    criteria.tried = &tried;
    EXPECT_EQ(engines.chooser.choose(engines.table, engines.service, criteria, now).reason,
              "all_tried");
}

namespace {

// A server of one software version, as one entry knows it.  The source of the entries answers, and
// so confirms them, as often as the test says.
struct doubted_pool {
    doubted_pool() : engines(1)
    {
        backend_entry entry = server().entry;
        entry.software_version = "v1";
        ++entry.sequence;
        engines.table.put(entry, now);
        engines.table.source_confirmed(now);
    }

    backend& server() { return *engines.table.find(pool::name(0)); }

    backend_choice continue_stream(millis at)
    {
        return engines.chooser.choose(
            engines.table, engines.service,
            {.service = "engine", .locations = &engines.locations, .software_version = "v1"}, at);
    }

    // Whether the server continues a stream at any time from `first` to `last`.
    bool continues_between(millis first, millis last)
    {
        for (millis at = first; at <= last; at += 100ms) {
            if (continue_stream(at).server != nullptr) {
                return true;
            }
        }
        return false;
    }

    pool engines;
};

} // namespace

// srv_crash with store_down: guards against streams that go on at other software, because the
// server started again under its id while the store was away and could not tell.
TEST(backend_choice, a_server_lost_while_the_source_is_away_continues_no_stream)
{
    doubted_pool one;
    EXPECT_TRUE(backend_table::record_loss(one.server(), now + 100ms));
    EXPECT_FALSE(one.continues_between(now + 500ms, now + 60000ms));
    EXPECT_EQ(one.continue_stream(now + 60000ms).reason, "restarted");
    // The source is back: the entry is still the same once it had the time to be written again.
    one.engines.table.source_confirmed(now + 61000ms);
    EXPECT_NE(one.continue_stream(now + 61000ms).server, nullptr);
}

// The same if the store goes away between the loss and the restart.
TEST(backend_choice, a_server_lost_just_before_the_source_is_away_continues_no_stream)
{
    doubted_pool one;
    backend_table::record_loss(one.server(), now + 100ms);
    one.engines.table.source_confirmed(now + 300ms);
    EXPECT_FALSE(one.continues_between(now + 800ms, now + 60000ms));
}

// The same for a server that was seen to be down: it is not trusted again by the passage of time.
TEST(backend_choice, a_server_refused_while_the_source_is_away_continues_no_stream)
{
    doubted_pool one;
    backend_table::record_refusal(one.server(), now + 100ms);
    EXPECT_FALSE(one.continues_between(now + 100ms, now + 60000ms));
    one.engines.table.source_confirmed(now + 61000ms);
    EXPECT_NE(one.continue_stream(now + 61000ms).server, nullptr);
}

// net_reset: guards against streams that are refused after each lost connection, although the
// source answers and would tell of a restart.
TEST(backend_choice, a_server_that_the_source_confirms_since_its_loss_continues_streams)
{
    doubted_pool one;
    backend_table::record_loss(one.server(), now + 100ms);
    for (millis at = now + 100ms; at <= now + 5000ms; at += 400ms) {
        one.engines.table.source_confirmed(at);
        EXPECT_NE(one.continue_stream(at + 399ms).server, nullptr) << at.count();
    }
}

// A loss is told to peers once in the time of a restart, however many requests it cuts off.
TEST(backend_choice, the_losses_of_one_crash_are_one_piece_of_news)
{
    doubted_pool one;
    EXPECT_TRUE(backend_table::record_loss(one.server(), now));
    for (millis at = now; at < now + 1400ms; at += 100ms) {
        EXPECT_FALSE(backend_table::record_loss(one.server(), now + 10ms));
    }
    EXPECT_TRUE(backend_table::record_loss(one.server(), now + 2000ms));
}

// Guards against requests of a roll-out at servers that it does not admit, also as a last resort.
TEST(backend_choice, keeps_to_the_versions_that_a_rollout_admits)
{
    pool engines(6);
    for (unsigned index = 0; index < 6; ++index) {
        backend_entry entry = engines.table.find(pool::name(index))->entry;
        entry.software_version = index == 3 ? "v2" : "v1";
        engines.table.put(entry, now);
    }
    const backend* target = engines.table.find(pool::name(3));
    for (std::uint64_t prompt = 1; prompt < 40; ++prompt) {
        backend_criteria criteria{.service = "engine", .segment_hashes = {prompt}};
        const auto choose = [&](const std::string& version, bool only) {
            criteria.versions = version_filter{.version = version, .only = only};
            return engines.chooser.choose(engines.table, engines.service, criteria, now).server;
        };
        EXPECT_EQ(choose("v2", true), target);
        EXPECT_NE(choose("v2", false), target);
        EXPECT_EQ(choose("v3", true), nullptr);
    }
}
