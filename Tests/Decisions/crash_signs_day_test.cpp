// Plays days on which one request ends each backend server that begins to run it, and comes again
// and again, in a model of entries, servers and the messages between entries.  What the entries see
// of a crash differs from day to day.  The decisions are those of production; network, clock, store
// and servers are simulated.

#include "crash_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace cyclamen;

namespace {

constexpr millis contact = 3000ms;  // undisturbed time after which an entry counts as in touch
constexpr unsigned max_retries = 3; // allowed later than `contact` after the third crash
constexpr std::uint64_t poison = 7;
constexpr std::uint64_t popular = 9;
constexpr std::uint64_t service = 1;

// How the request that crashes a server ends.
enum class loss_kind { reset, answered, completed, silent, mixed };
// How the end of a server shows.
enum class sign_kind {
    restarted, // the source lists its next start
    expired,   // its entry expires
    refused,   // only by refused connections: the source is away
    late,      // the source is away at first
    none,      // it starts again under its id, at its address, at once, and no news come
    mixed
};
enum class disturbance { none, restarts, stops, freezes, cuts, all_restart };

struct day_options {
    std::uint64_t seed = 1;
    loss_kind loss = loss_kind::reset;
    sign_kind sign = sign_kind::restarted;
    disturbance kind = disturbance::none;
};

std::ostream& operator<<(std::ostream& out, const day_options& row)
{
    return out << "seed " << row.seed << " loss " << static_cast<int>(row.loss) << " sign "
               << static_cast<int>(row.sign) << " kind " << static_cast<int>(row.kind);
}

struct day_result {
    unsigned crashes = 0;
    unsigned late_retries =
        0; // sent by entries in touch later than `contact` after the third crash
    unsigned sound = 0;
    unsigned sound_refused = 0; // as quarantined
};

class day {
public:
    explicit day(day_options options) : options_(options), random_(options.seed)
    {
        for (server& each : servers_) {
            each.incarnation = ++last_incarnation_;
        }
        if (options_.kind == disturbance::all_restart) {
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                plan_.push_back({.entry = at, .from = 9000ms, .until = 9500ms});
            }
            return;
        }
        for (millis at = 4000ms; at < length && options_.kind != disturbance::none;
             at += millis(draw(2500, 5000))) {
            plan_.push_back({.entry = draw(0, entries_.size() - 1),
                             .from = at,
                             .until = at + millis(draw(300, 3000))});
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
            show_ends();
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                if (!usable(at)) {
                    continue;
                }
                if (now_ % 200ms == 0ms) {
                    publish(at, entries_[at].detector.sweep(now_));
                    send_to_all(at, entries_[at].detector.take_news(now_));
                }
                if (now_ % 1000ms == 0ms) {
                    repeat_evidence(at);
                }
            }
            give_up();
            arrive();
        }
        return result_;
    }

private:
    static constexpr millis tick = 10ms;
    static constexpr millis length = 40000ms;
    static constexpr millis patience = 2500ms; // of the callers, at a silent server

    struct planned {
        std::size_t entry = 0;
        millis from{0};
        millis until{0};
    };
    struct request {
        std::uint64_t identity = 0;
        std::size_t entry = 0;
        std::uint64_t life = 0; // of the entry's process
        crash_detector::attempt_number attempt = 0;
        millis begins{0};
        millis ends{0};
    };
    struct server {
        std::uint64_t incarnation = 0;
        bool up = true;
        bool dark = false; // silent, so that connections time out
        millis back_at{0};
        std::vector<request> running;
    };
    struct pending_sign {
        millis at{0};
        std::uint64_t server = 0;
    };
    struct message {
        millis at{0};
        std::size_t from = 0;
        std::size_t to = 0;
        wire::crash_evidence evidence;
    };
    struct entry {
        crash_detector detector;
        std::uint64_t life = 1;
        bool down = false;
        bool frozen = false;
        bool cut = false;
        millis disturbed_until{0};
        std::size_t repetitions = 0;
        std::vector<message> unread;
        std::vector<std::uint64_t> unread_signs; // from the source
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
            if (now_ >= each.from && now_ < each.until) {
                at.disturbed_until = now_ + tick;
            }
            if (now_ == each.from && usable(each.entry)) {
                begin_disturbance(each.entry);
            }
            if (now_ == each.until) {
                end_disturbance(each.entry);
            }
        }
    }

    void begin_disturbance(std::size_t number)
    {
        entry& at = entries_[number];
        if (options_.kind == disturbance::stops) {
            // Its open requests are given up, and the peers hear of them before the exit.
            for (server& each : servers_) {
                std::erase_if(each.running, [&](const request& one) {
                    if (one.entry != number) {
                        return false;
                    }
                    end_attempt(one, attempt_end::given_up);
                    return true;
                });
            }
            send_to_all(number, at.detector.take_news(now_));
        }
        at.down = options_.kind == disturbance::restarts || options_.kind == disturbance::stops ||
                  options_.kind == disturbance::all_restart;
        at.frozen = options_.kind == disturbance::freezes;
        at.cut = options_.kind == disturbance::cuts;
    }

    void end_disturbance(std::size_t number)
    {
        entry& at = entries_[number];
        if (at.down) {
            at.detector = crash_detector();
            ++at.life;
            wire::crash_evidence kept;
            for (const auto& [suspect, record] : store_) {
                *kept.add_suspects() = record;
            }
            at.detector.merge(kept, now_);
            at.unread_signs.clear();
        }
        at.down = at.frozen = at.cut = false;
        for (message& each : at.unread) {
            each.at = now_;
            messages_.push_back(std::move(each));
        }
        at.unread.clear();
        for (const std::uint64_t sign : std::exchange(at.unread_signs, {})) {
            on_down(number, sign);
        }
        for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
            if (peer != number && usable(peer)) {
                send(peer, number, news(peer, 0, 256));
            }
        }
    }

    wire::crash_evidence news(std::size_t from, std::size_t start, std::size_t count) const
    {
        wire::crash_evidence result;
        for (wire::suspect_record& record :
             entries_[from].detector.evidence().records(start, count, now_)) {
            *result.add_suspects() = std::move(record);
        }
        entries_[from].detector.add_recent(result, start, count, now_);
        return result;
    }

    // One message in ten is lost.
    void send(std::size_t from, std::size_t to, const wire::crash_evidence& evidence)
    {
        const bool empty =
            evidence.suspects_size() + evidence.down_size() + evidence.losses_size() == 0;
        if (!empty && draw(0, 9) > 0) {
            messages_.push_back(
                {.at = now_ + millis(draw(1, 30)), .from = from, .to = to, .evidence = evidence});
        }
    }
    void send_to_all(std::size_t from, const wire::crash_evidence& evidence)
    {
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (to != from) {
                send(from, to, evidence);
            }
        }
    }

    void publish(std::size_t from, const std::vector<std::uint64_t>& suspects,
                 std::optional<std::uint64_t> down = std::nullopt)
    {
        const crash_register& known = entries_[from].detector.evidence();
        wire::crash_evidence evidence;
        for (const std::uint64_t hash : suspects) {
            *evidence.add_suspects() = known.record(hash, now_);
        }
        if (down) {
            evidence.add_down()->set_server(*down);
        }
        send_to_all(from, evidence);
        if (!suspects.empty()) {
            for (const std::uint64_t hash : known.near_quarantine(now_)) {
                store_[hash] = known.record(hash, now_);
            }
        }
    }

    void repeat_evidence(std::size_t from)
    {
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (to != from) {
                send(from, to, news(from, 4 * entries_[from].repetitions, 8));
            }
        }
        ++entries_[from].repetitions;
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
            }
            else if (usable(each.to) && !entries_[each.from].cut) {
                publish(each.to, entries_[each.to].detector.merge(each.evidence, now_));
            }
        }
    }

    void on_down(std::size_t at, std::uint64_t incarnation, bool tells_peers = false)
    {
        const bool known = entries_[at].detector.known_down(incarnation);
        const auto counted = entries_[at].detector.on_server_down(incarnation, now_);
        if (!known || !counted.empty()) {
            publish(at, counted, tells_peers ? std::optional(incarnation) : std::nullopt);
        }
    }

    // The source tells all entries.
    void show_ends()
    {
        std::erase_if(signs_, [&](const pending_sign& sign) {
            if (sign.at > now_) {
                return false;
            }
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                if (usable(at)) {
                    on_down(at, sign.server);
                }
                else {
                    entries_[at].unread_signs.push_back(sign.server);
                }
            }
            return true;
        });
    }

    bool alive(const request& one) const
    {
        return usable(one.entry) && entries_[one.entry].life == one.life;
    }

    void end_attempt(const request& one, attempt_end how)
    {
        publish(one.entry, entries_[one.entry].detector.end(one.attempt, how, now_));
    }

    loss_kind loss_of_crash()
    {
        return options_.loss == loss_kind::mixed
                   ? static_cast<loss_kind>(draw(0, static_cast<std::size_t>(loss_kind::silent)))
                   : options_.loss;
    }
    // A server that has answered and starts again without news shows no half of its crash.
    sign_kind sign_of_crash(loss_kind loss)
    {
        const sign_kind sign =
            options_.sign == sign_kind::mixed
                ? static_cast<sign_kind>(draw(0, static_cast<std::size_t>(sign_kind::none)))
                : options_.sign;
        const bool answered = loss == loss_kind::answered || loss == loss_kind::completed;
        return answered && sign == sign_kind::none ? sign_kind::restarted : sign;
    }

    void run(server& each)
    {
        if (!each.up) {
            if (now_ >= each.back_at) {
                each.up = true;
                each.dark = false;
                each.incarnation = ++last_incarnation_;
            }
            return;
        }
        const bool crashes =
            std::any_of(each.running.begin(), each.running.end(), [&](const request& one) {
                return one.identity == poison && now_ >= one.ends;
            });
        if (crashes) {
            crash(each);
            return;
        }
        std::erase_if(each.running, [&](const request& one) {
            if (now_ < one.ends) {
                return false;
            }
            if (alive(one)) {
                end_attempt(one, attempt_end::completed);
            }
            return true;
        });
    }

    void crash(server& each)
    {
        if (++result_.crashes == 3) {
            third_crash_ = now_;
        }
        const loss_kind loss = loss_of_crash();
        const sign_kind sign = sign_of_crash(loss);
        for (const request& one : std::exchange(each.running, {})) {
            if (loss == loss_kind::silent) {
                silent_.push_back(one);
            }
            else if (alive(one)) {
                const bool is_poison = one.identity == poison;
                end_attempt(one, is_poison && loss == loss_kind::answered ? attempt_end::answered
                                 : is_poison && loss == loss_kind::completed
                                     ? attempt_end::completed
                                     : attempt_end::lost);
            }
        }
        each.up = false;
        each.dark = loss == loss_kind::silent;
        each.back_at = now_ + (sign == sign_kind::none ? 100ms : millis(draw(2000, 4000)));
        switch (sign) {
        case sign_kind::restarted:
            signs_.push_back({.at = each.back_at + 30ms, .server = each.incarnation});
            break;
        case sign_kind::expired:
            signs_.push_back(
                {.at = now_ + 2400ms + millis(draw(0, 1200)), .server = each.incarnation});
            break;
        case sign_kind::late:
            signs_.push_back({.at = now_ + 9000ms, .server = each.incarnation});
            break;
        default:
            break;
        }
    }

    // Callers leave a silent server.
    void give_up()
    {
        std::erase_if(silent_, [&](const request& one) {
            if (now_ < one.begins + patience) {
                return false;
            }
            if (alive(one)) {
                end_attempt(one, attempt_end::lost);
            }
            return true;
        });
    }

    void arrive()
    {
        const auto chance = [&](double per_second) {
            return std::bernoulli_distribution(per_second * tick.count() / 1000.0)(random_);
        };
        if (chance(8)) {
            submit(popular);
        }
        if (chance(25)) {
            submit(1000 + ++last_request_);
        }
        if (now_ >= next_poison_) {
            submit(poison);
            // The caller tries again after the loss, and a little later.
            next_poison_ = now_ + millis(draw(700, 2000));
        }
    }

    void submit(std::uint64_t identity)
    {
        const std::size_t at = draw(0, entries_.size() - 1);
        if (!usable(at)) {
            return;
        }
        crash_detector& detector = entries_[at].detector;
        const std::vector<suspect> suspects{{.hash = identity}};
        result_.sound += identity == poison ? 0 : 1;
        if (detector.evidence().quarantined(suspects, now_)) {
            result_.sound_refused += identity == poison ? 0 : 1;
            return;
        }
        const std::size_t first = draw(0, servers_.size() - 1);
        for (std::size_t number = 0; number < servers_.size(); ++number) {
            server& each = servers_[(first + number) % servers_.size()];
            if (!each.up) {
                if (!each.dark) {
                    on_down(at, each.incarnation, true); // refused a connection
                }
                continue;
            }
            request one{.identity = identity, .entry = at, .life = entries_[at].life};
            one.begins = now_;
            one.ends = now_ + millis(identity == poison ? draw(20, 100) : draw(50, 600));
            one.attempt = detector.begin(
                {.suspects = suspects, .server = each.incarnation, .service = service}, now_);
            each.running.push_back(one);
            if (identity == poison && third_crash_ && now_ > *third_crash_ + contact &&
                in_touch(at)) {
                ++result_.late_retries;
            }
            return;
        }
    }

    day_options options_;
    std::mt19937_64 random_;
    millis now_{0};
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t last_request_ = 0;
    std::array<entry, 5> entries_;
    std::array<server, 9> servers_;
    std::vector<planned> plan_;
    std::vector<message> messages_;
    std::vector<pending_sign> signs_;
    std::vector<request> silent_; // at servers that have crashed and fallen silent
    std::map<std::uint64_t, wire::suspect_record> store_;
    millis next_poison_{3000ms};
    std::optional<millis> third_crash_;
    day_result result_;
};

class crash_signs_day
    : public testing::TestWithParam<std::tuple<loss_kind, sign_kind, disturbance>> {};

} // namespace

// srv_crash, platform_down, node_kill, node_freeze, node_cut, roll_term, herd_kill: guards against
// a request that is sent to servers without end because of the way in which its crashes show, and
// against sound requests that are refused because they were lost beside it.
TEST_P(crash_signs_day, keeps_the_budget_and_the_sound_requests)
{
    const auto [loss, sign, kind] = GetParam();
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const day_options options{.seed = seed, .loss = loss, .sign = sign, .kind = kind};
        const day_result result = day(options).play();
        EXPECT_GE(result.crashes, 3U) << options;
        EXPECT_LE(result.late_retries, max_retries) << options;
        EXPECT_LE(result.sound_refused * 100, result.sound) << options;
    }
}

INSTANTIATE_TEST_SUITE_P(
    all, crash_signs_day,
    testing::Combine(testing::Values(loss_kind::reset, loss_kind::answered, loss_kind::completed,
                                     loss_kind::silent, loss_kind::mixed),
                     testing::Values(sign_kind::restarted, sign_kind::expired, sign_kind::refused,
                                     sign_kind::late, sign_kind::none, sign_kind::mixed),
                     testing::Values(disturbance::none, disturbance::restarts, disturbance::stops,
                                     disturbance::freezes, disturbance::cuts,
                                     disturbance::all_restart)));
