// Plays days on which requests with one part of their prompts crash each backend server that begins
// to answer them, in a model of entries, servers and the messages between entries.  The decisions
// are those of production; network, clock, store and servers are simulated.

#include "crash_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace cyclamen;

namespace {

constexpr millis contact = 3000ms; // undisturbed time after which an entry counts as in touch
constexpr std::uint64_t key_part = 1;
constexpr std::uint64_t first_harmful_part = 1000;

enum class disturbance { none, restarts, freezes, cuts, all_restart };

struct day_options {
    std::uint64_t seed = 1;
    disturbance kind = disturbance::none;
    unsigned harmful_position = 2; // of the harmful part in the prompt, from 1
    bool counts_parts = true;      // false: crashes are counted by the identity of a request alone
    bool keeps_store = true;       // false: nothing outlives the processes
};

struct day_result {
    unsigned crashes = 0;
    unsigned harmful_after_fifth = 0; // the most that reached servers with one part
    unsigned sound_before = 0;
    unsigned sound_before_begun = 0;
    unsigned sound_after = 0;
    unsigned sound_after_begun = 0; // at the first attempt
};

class day {
public:
    explicit day(day_options options) : options_(options), random_(options.seed)
    {
        entries_.resize(5);
        servers_.resize(12);
        for (server& each : servers_) {
            each.incarnation = ++last_incarnation_;
        }
        if (options_.kind == disturbance::all_restart) {
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                plan_.push_back({.entry = at, .from = 18000ms, .until = 18500ms});
            }
            return;
        }
        for (millis at = 6000ms; at < length && options_.kind != disturbance::none;
             at += millis(draw(2000, 5000))) {
            plan_.push_back({.entry = draw(0, entries_.size() - 1),
                             .from = at,
                             .until = at + millis(draw(300, 4000))});
        }
    }

    day_result play()
    {
        for (now_ = 0ms; now_ < length; now_ += tick) {
            disturb();
            deliver();
            for (server& each : servers_) {
                run(each);
            }
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                if (usable(at) && now_ % 1000ms == 0ms) {
                    repeat_evidence(at);
                }
            }
            arrive();
        }
        for (const auto& [part, count] : harmful_after_fifth_) {
            result_.harmful_after_fifth = std::max(result_.harmful_after_fifth, count);
        }
        return result_;
    }

private:
    static constexpr millis tick = 10ms;
    static constexpr millis length = 60000ms;

    struct planned {
        std::size_t entry = 0;
        millis from{0};
        millis until{0};
    };
    struct request {
        std::vector<suspect> suspects;
        std::uint64_t harmful_part = 0; // 0 for a sound request
        std::size_t entry = 0;
        millis begins{0};
        millis ends{0};
    };
    struct server {
        std::uint64_t incarnation = 0;
        bool up = true;
        millis back_at{0};
        std::optional<millis> unlisted_at; // when its entry in the list expires
        std::uint64_t unlisted = 0;        // incarnation that the list then loses
        std::vector<request> running;
    };
    struct message {
        millis at{0};
        std::size_t from = 0;
        std::size_t to = 0;
        wire::crash_evidence evidence;
    };
    struct entry {
        crash_detector detector;
        std::set<std::uint64_t> refused; // incarnations
        bool down = false;
        bool frozen = false;
        bool cut = false;
        millis disturbed_until{0};
        std::size_t next_repetition = 0;
        std::vector<message> unread; // arrived while the entry was frozen
    };

    std::size_t draw(std::size_t from, std::size_t to)
    {
        return std::uniform_int_distribution<std::size_t>(from, to)(random_);
    }

    bool usable(std::size_t at) const
    {
        return !entries_[at].down && !entries_[at].frozen && !entries_[at].cut;
    }

    bool in_touch(std::size_t at) const
    {
        return usable(at) && now_ >= entries_[at].disturbed_until + contact;
    }

    void disturb()
    {
        for (const planned& each : plan_) {
            entry& at = entries_[each.entry];
            const bool active = now_ >= each.from && now_ < each.until;
            if (active) {
                at.disturbed_until = now_ + tick;
            }
            if (now_ == each.from && !at.down) {
                at.down = options_.kind == disturbance::restarts ||
                          options_.kind == disturbance::all_restart;
                at.frozen = options_.kind == disturbance::freezes;
                at.cut = options_.kind == disturbance::cuts;
            }
            if (now_ == each.until) {
                if (at.down) {
                    at.detector = crash_detector();
                    at.refused.clear();
                    at.down = false;
                    for (const wire::suspect_record& record : store_) {
                        at.detector.merge(aged(record, now_ - stored_at_), now_);
                    }
                }
                at.frozen = false;
                at.cut = false;
                for (message& each_message : at.unread) {
                    each_message.at = now_;
                    messages_.push_back(std::move(each_message));
                }
                at.unread.clear();
                for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
                    if (peer != each.entry && usable(peer)) {
                        send_records(peer, each.entry, 0, 256);
                    }
                }
            }
        }
    }

    static wire::suspect_record aged(wire::suspect_record record, millis age)
    {
        for (wire::crash_sighting& crash : *record.mutable_crashes()) {
            crash.set_age_ms(crash.age_ms() + static_cast<std::uint32_t>(age.count()));
        }
        if (record.has_success_age_ms()) {
            record.set_success_age_ms(record.success_age_ms() +
                                      static_cast<std::uint32_t>(age.count()));
        }
        return record;
    }

    // One message in ten is lost.
    void send(std::size_t from, std::size_t to, const wire::crash_evidence& evidence)
    {
        if (draw(0, 9) > 0) {
            messages_.push_back(
                {.at = now_ + millis(draw(1, 30)), .from = from, .to = to, .evidence = evidence});
        }
    }

    void publish(std::size_t from, const std::vector<std::uint64_t>& suspects,
                 std::optional<std::uint64_t> down = std::nullopt)
    {
        wire::crash_evidence evidence;
        for (const std::uint64_t hash : suspects) {
            *evidence.add_suspects() = entries_[from].detector.evidence().record(hash, now_);
        }
        if (down) {
            evidence.add_down()->set_server(*down);
        }
        if (evidence.suspects_size() > 0 || down) {
            for (std::size_t to = 0; to < entries_.size(); ++to) {
                if (to != from) {
                    send(from, to, evidence);
                }
            }
        }
        keep_quarantine(from);
    }

    // The store keeps what the first entry that quarantines a suspect knows of it.
    void keep_quarantine(std::size_t from)
    {
        const crash_register& known = entries_[from].detector.evidence();
        if (!options_.keeps_store || known.size() == 0) {
            return;
        }
        for (wire::suspect_record& record : store_) {
            record = aged(record, now_ - stored_at_);
        }
        stored_at_ = now_;
        for (const std::uint64_t hash : known.quarantine(now_)) {
            if (stored_.insert(hash).second) {
                store_.push_back(known.record(hash, now_));
            }
        }
    }

    void send_records(std::size_t from, std::size_t to, std::size_t start, std::size_t count)
    {
        wire::crash_evidence evidence;
        for (const wire::suspect_record& record :
             entries_[from].detector.evidence().records(start, count, now_)) {
            *evidence.add_suspects() = record;
        }
        if (evidence.suspects_size() > 0) {
            send(from, to, evidence);
        }
    }

    void repeat_evidence(std::size_t from)
    {
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (to != from) {
                send_records(from, to, 4 * entries_[from].next_repetition, 8);
            }
        }
        ++entries_[from].next_repetition;
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(messages_, [&](const message& each) {
            if (each.at > now_) {
                return false;
            }
            due.push_back(each);
            return true;
        });
        for (const message& each : due) {
            if (entries_[each.to].frozen) {
                entries_[each.to].unread.push_back(each);
                continue;
            }
            if (!usable(each.to) || entries_[each.from].cut) {
                continue;
            }
            crash_detector& detector = entries_[each.to].detector;
            std::vector<std::uint64_t> counted;
            for (const wire::crash_sighting& down : each.evidence.down()) {
                const auto here = detector.on_server_down(down.server(), now_);
                counted.insert(counted.end(), here.begin(), here.end());
            }
            for (const wire::suspect_record& record : each.evidence.suspects()) {
                detector.merge(record, now_);
            }
            publish(each.to, counted);
        }
    }

    void on_down(std::size_t at, std::uint64_t incarnation)
    {
        const bool known = entries_[at].detector.known_down(incarnation);
        const auto counted = entries_[at].detector.on_server_down(incarnation, now_);
        if (!known || !counted.empty()) {
            publish(at, counted, incarnation);
        }
    }

    void run(server& each)
    {
        if (each.unlisted_at && now_ >= *each.unlisted_at) {
            each.unlisted_at.reset();
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                if (usable(at)) {
                    on_down(at, each.unlisted);
                }
            }
        }
        if (!each.up) {
            if (now_ >= each.back_at) {
                each.up = true;
                each.incarnation = ++last_incarnation_;
            }
            return;
        }
        const bool crashes =
            std::any_of(each.running.begin(), each.running.end(), [&](const request& one) {
                return one.harmful_part != 0 && now_ >= one.begins + 100ms;
            });
        std::vector<request> running = std::exchange(each.running, {});
        if (crashes) {
            ++result_.crashes;
            std::set<std::uint64_t> parts;
            for (const request& one : running) {
                if (one.harmful_part != 0 && now_ >= one.begins + 100ms) {
                    parts.insert(one.harmful_part);
                }
                lose(one, each.incarnation);
            }
            for (const std::uint64_t part : parts) {
                if (++crashes_by_part_[part] == 5) {
                    fifth_at_[part] = now_;
                }
            }
            each.up = false;
            each.back_at = now_ + millis(draw(2000, 4000));
            each.unlisted_at = now_ + 2500ms + millis(draw(0, 500));
            each.unlisted = each.incarnation;
            return;
        }
        for (const request& one : running) {
            if (now_ < one.ends) {
                each.running.push_back(one);
            }
            else if (usable(one.entry)) {
                publish(one.entry, entries_[one.entry].detector.record_success(one.suspects, now_));
            }
        }
    }

    void lose(const request& one, std::uint64_t incarnation)
    {
        if (usable(one.entry)) {
            publish(one.entry,
                    entries_[one.entry].detector.record_loss(one.suspects, incarnation, now_));
        }
    }

    std::vector<suspect> suspects_of(const std::vector<std::uint64_t>& parts)
    {
        std::vector<suspect> result{{.hash = 1000000 + ++last_request_}};
        for (const std::uint64_t part : parts) {
            if (options_.counts_parts) {
                result.push_back({.hash = part, .position = static_cast<unsigned>(result.size())});
            }
        }
        return result;
    }

    void arrive()
    {
        const auto chance = [&](double per_second) {
            return std::bernoulli_distribution(per_second * tick.count() / 1000.0)(random_);
        };
        if (chance(8)) {
            submit({key_part, 10 + draw(0, 9)}, 0, true);
        }
        if (chance(12)) {
            submit({2, 20 + draw(0, 39)}, 0, false);
        }
        const std::uint64_t part = first_harmful_part + (now_ < 35000ms ? 0 : 1);
        const bool all_restart = options_.kind == disturbance::all_restart;
        const bool pause =
            (now_ > 33000ms && now_ < 38000ms) || (all_restart && now_ > 17000ms && now_ < 23000ms);
        const bool harmful = now_ > 8000ms && !pause && chance(all_restart ? 0.6 : 1.2);
        constexpr unsigned burst = 6;
        const bool bursts = draw(0, all_restart ? 1 : 9) == 0;
        const unsigned count = !harmful ? 0 : bursts ? burst : 1;
        for (unsigned number = 0; number < count; ++number) {
            std::vector<std::uint64_t> parts{key_part, 10 + draw(0, 9)};
            parts.insert(parts.begin() + options_.harmful_position - 1, part);
            submit(parts, part, false);
        }
    }

    // Sends a request to servers until one accepts the connection.
    void submit(const std::vector<std::uint64_t>& parts, std::uint64_t harmful_part,
                bool is_compared)
    {
        const std::size_t at = draw(0, entries_.size() - 1);
        if (!usable(at)) {
            return;
        }
        request one{.suspects = suspects_of(parts), .harmful_part = harmful_part, .entry = at};
        bool begun = false;
        if (!entries_[at].detector.evidence().quarantined(one.suspects, now_)) {
            begun = place(at, one);
        }
        if (is_compared && in_touch(at)) {
            count_sound(begun);
        }
    }

    bool place(std::size_t at, request& one)
    {
        const std::size_t first = draw(0, servers_.size() - 1);
        for (std::size_t number = 0; number < servers_.size(); ++number) {
            server& each = servers_[(first + number) % servers_.size()];
            if (entries_[at].refused.contains(each.incarnation)) {
                continue;
            }
            if (!each.up) {
                entries_[at].refused.insert(each.incarnation);
                on_down(at, each.incarnation);
                continue;
            }
            one.begins = now_ + millis(draw(20, 300));
            one.ends = one.begins + millis(draw(100, 2000));
            each.running.push_back(one);
            const auto fifth = fifth_at_.find(one.harmful_part);
            if (fifth != fifth_at_.end() && now_ > fifth->second + contact && in_touch(at)) {
                ++harmful_after_fifth_[one.harmful_part];
            }
            return true;
        }
        return false;
    }

    void count_sound(bool begun)
    {
        if (result_.crashes == 0) {
            ++result_.sound_before;
            result_.sound_before_begun += begun ? 1 : 0;
            return;
        }
        const bool after = std::any_of(fifth_at_.begin(), fifth_at_.end(), [&](const auto& row) {
            return now_ > row.second + 2 * contact;
        });
        if (after || fifth_at_.empty()) {
            ++result_.sound_after;
            result_.sound_after_begun += begun ? 1 : 0;
        }
    }

    day_options options_;
    std::mt19937_64 random_;
    millis now_{0};
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t last_request_ = 0;
    std::vector<entry> entries_;
    std::vector<server> servers_;
    std::vector<planned> plan_;
    std::vector<message> messages_;
    std::vector<wire::suspect_record> store_;
    millis stored_at_{0};
    std::set<std::uint64_t> stored_;
    std::map<std::uint64_t, unsigned> crashes_by_part_;
    std::map<std::uint64_t, millis> fifth_at_;
    std::map<std::uint64_t, unsigned> harmful_after_fifth_;
    day_result result_;
};

class crashing_part_day : public testing::TestWithParam<std::tuple<disturbance, unsigned>> {};

} // namespace

// Guards against a harmful part that is sent to servers without end, and against a quarantine that
// takes sound requests along, while entries restart, freeze or are cut off.
TEST_P(crashing_part_day, keeps_the_budget_and_the_sound_requests)
{
    const auto [kind, position] = GetParam();
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const day_result result =
            day({.seed = seed, .kind = kind, .harmful_position = position}).play();
        EXPECT_GT(result.crashes, 3U) << "seed " << seed;
        EXPECT_LE(result.harmful_after_fifth, 3U) << "seed " << seed;
        ASSERT_GE(result.sound_before, 20U) << "seed " << seed;
        ASSERT_GE(result.sound_after, 20U) << "seed " << seed;
        const double before = 1.0 * result.sound_before_begun / result.sound_before;
        const double after = 1.0 * result.sound_after_begun / result.sound_after;
        EXPECT_GE(after, before / 2) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(all, crashing_part_day,
                         testing::Combine(testing::Values(disturbance::none, disturbance::restarts,
                                                          disturbance::freezes, disturbance::cuts,
                                                          disturbance::all_restart),
                                          testing::Values(1U, 2U, 3U)));

// Shows that the model has the fault: crashes counted by the identity of a request.
TEST(crashing_part_model, breaks_the_budget_when_crashes_are_counted_by_request)
{
    EXPECT_GT(day({.counts_parts = false}).play().harmful_after_fifth, 3U);
}

// Shows that the model has the fault: nothing is known any more once all entries have restarted.
TEST(crashing_part_model, breaks_the_budget_when_nothing_outlives_the_entries)
{
    unsigned most = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const day_result result =
            day({.seed = seed, .kind = disturbance::all_restart, .keeps_store = false}).play();
        most = std::max(most, result.harmful_after_fifth);
    }
    EXPECT_GT(most, 3U);
}
