#include "crash_detector.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace cyclamen {

namespace {

// What is old is forgotten at this interval.
constexpr millis forget_interval = 1000ms;

std::uint32_t age_of(millis at, millis now)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>((now - at).count(), 0, UINT32_MAX));
}

void add_suspects(const std::vector<suspect>& suspects, wire::request_loss& to)
{
    for (const suspect& each : suspects) {
        wire::loss_suspect& row = *to.add_suspects();
        row.set_suspect(each.hash);
        row.set_position(each.position);
    }
}

std::vector<suspect> suspects_of(const wire::request_loss& from)
{
    std::vector<suspect> result;
    for (const wire::loss_suspect& row : from.suspects()) {
        result.push_back({.hash = row.suspect(), .position = row.position()});
    }
    return result;
}

void append(std::vector<std::uint64_t>& to, const std::vector<std::uint64_t>& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

crash_detector::loss_key crash_detector::key_of(std::uint64_t server,
                                                const std::vector<suspect>& suspects)
{
    return {server, suspects.empty() ? 0 : suspects.front().hash};
}

void crash_detector::forget_old(millis now)
{
    if (now - forgot_at_ < forget_interval) {
        return;
    }
    forgot_at_ = now;
    std::erase_if(losses_,
                  [&](const auto& row) { return now - row.second.at > options_.news_delay; });
    std::erase_if(unexplained_, [&](const unexplained_loss& lost) {
        return now - lost.at > options_.comparison_time;
    });
    std::erase_if(down_,
                  [&](const auto& row) { return now - row.second > options_.evidence.retention; });
    while (down_.size() > options_.max_servers) {
        down_.erase(
            std::min_element(down_.begin(), down_.end(), [](const auto& left, const auto& right) {
                return left.second < right.second;
            }));
    }
}

crash_detector::attempt_number crash_detector::begin(attempt_subject subject, millis now)
{
    forget_old(now);
    const bool risky =
        std::any_of(subject.suspects.begin(), subject.suspects.end(), [&](const suspect& each) {
            return each.position == 0 && evidence_.crashes(each.hash, now) > 0;
        });
    if (risky) {
        risky_.emplace_back(subject.server, subject.suspects);
    }
    open_[++last_attempt_] = {.subject = std::move(subject), .began_at = now};
    return last_attempt_;
}

// Takes those successes at the server into account that it has outlived by `outlived_by`.
void crash_detector::settle(std::vector<response>& rows, millis outlived_by, millis now,
                            std::vector<std::uint64_t>& cleared)
{
    const auto last = std::find_if(
        rows.begin(), rows.end(), [&](const response& row) { return now - row.at <= outlived_by; });
    for (auto row = rows.begin(); row != last; ++row) {
        append(cleared, evidence_.record_success(row->suspects, row->at, now));
    }
    rows.erase(rows.begin(), last);
}

std::vector<std::uint64_t> crash_detector::on_server_heard(std::uint64_t server, millis now)
{
    std::vector<std::uint64_t> cleared;
    const auto found = unsettled_.find(server);
    if (found != unsettled_.end()) {
        settle(found->second, options_.aftermath, now, cleared);
    }
    return cleared;
}

std::vector<std::uint64_t> crash_detector::sweep(millis now)
{
    std::vector<std::uint64_t> cleared;
    for (auto& [server, rows] : unsettled_) {
        settle(rows, options_.survival_time, now, cleared);
    }
    std::erase_if(unsettled_, [](const auto& row) { return row.second.empty(); });
    return cleared;
}

void crash_detector::add_loss(std::uint64_t server, loss lost)
{
    if (lost.from_peer && losses_.size() >= options_.max_losses / 2) {
        return; // leaves room for those of this process
    }
    if (losses_.size() >= options_.max_losses) {
        losses_.erase(std::min_element(
            losses_.begin(), losses_.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
    }
    losses_.emplace(key_of(server, lost.suspects), std::move(lost));
}

// Counts requests that were lost without a sign of their server's end, although the service has
// served the request `success`, which was sent later.
std::vector<std::uint64_t> crash_detector::compare_losses(const attempt_subject& success,
                                                          millis began_at, millis now)
{
    std::vector<std::uint64_t> counted;
    std::erase_if(unexplained_, [&](const unexplained_loss& lost) {
        if (lost.subject.service != success.service || lost.subject.server == success.server ||
            began_at < lost.began_at || now - lost.at > options_.comparison_time) {
            return false;
        }
        std::vector<suspect> requests;
        std::copy_if(lost.subject.suspects.begin(), lost.subject.suspects.end(),
                     std::back_inserter(requests),
                     [](const suspect& each) { return each.position == 0; });
        append(counted, evidence_.record_crash(requests, lost.subject.server, lost.at, now));
        return true;
    });
    return counted;
}

std::vector<std::uint64_t> crash_detector::end(attempt_number attempt, attempt_end how, millis now)
{
    forget_old(now);
    const auto found = open_.find(attempt);
    if (found == open_.end()) {
        return {};
    }
    const open_attempt ended = std::move(found->second);
    open_.erase(found);
    const attempt_subject& subject = ended.subject;
    if (how == attempt_end::not_run || subject.suspects.empty()) {
        return {};
    }
    if (how == attempt_end::completed) {
        std::vector<std::uint64_t> changed = on_server_heard(subject.server, now);
        std::vector<response>& rows = unsettled_[subject.server];
        if (rows.size() < options_.max_responses) {
            rows.push_back({.suspects = subject.suspects, .at = now});
        }
        append(changed, compare_losses(subject, ended.began_at, now));
        return changed;
    }
    if (ended.counted) {
        return {};
    }
    if (how == attempt_end::lost && !down_.contains(subject.server)) {
        unexplained_.push_back({.subject = subject, .began_at = ended.began_at, .at = now});
    }
    return record_loss(subject.suspects, subject.server, now);
}

std::vector<std::uint64_t> crash_detector::record_loss(const std::vector<suspect>& suspects,
                                                       std::uint64_t server, millis now)
{
    forget_old(now);
    if (down_.contains(server)) {
        return evidence_.record_crash(suspects, server, now, now);
    }
    add_loss(server, {.suspects = suspects, .at = now});
    return {};
}

std::vector<std::uint64_t> crash_detector::on_server_down(std::uint64_t server, millis now,
                                                          millis age)
{
    forget_old(now);
    down_.emplace(server, now - age);
    std::vector<std::uint64_t> counted;
    const auto first = losses_.lower_bound({server, 0});
    const auto last = losses_.upper_bound({server, std::numeric_limits<std::uint64_t>::max()});
    for (auto row = first; row != last; ++row) {
        const auto changed =
            evidence_.record_crash(row->second.suspects, server, row->second.at, now);
        if (!row->second.from_peer) {
            append(counted, changed);
        }
    }
    losses_.erase(first, last);
    if (const auto found = unsettled_.find(server); found != unsettled_.end()) {
        for (const response& row : found->second) {
            append(counted, evidence_.record_crash(row.suspects, server, row.at, now));
        }
        unsettled_.erase(found);
    }
    for (auto& [number, attempt] : open_) {
        if (options_.counts_open_attempts && attempt.subject.server == server && !attempt.counted) {
            attempt.counted = true;
            append(counted, evidence_.record_crash(attempt.subject.suspects, server, now, now));
        }
    }
    return counted;
}

std::vector<std::uint64_t> crash_detector::merge(const wire::crash_evidence& evidence, millis now)
{
    forget_old(now);
    std::vector<std::uint64_t> counted;
    for (const wire::crash_sighting& down : evidence.down()) {
        append(counted, on_server_down(down.server(), now, millis(down.age_ms())));
    }
    for (const wire::request_loss& row : evidence.losses()) {
        const std::vector<suspect> suspects = suspects_of(row);
        const millis at = now - millis(row.age_ms());
        if (suspects.empty() || now - at > options_.news_delay) {
            continue;
        }
        if (down_.contains(row.server())) {
            evidence_.record_crash(suspects, row.server(), at, now);
            continue;
        }
        add_loss(row.server(),
                 {.suspects = suspects, .at = at, .from_peer = true, .published = true});
    }
    for (const wire::suspect_record& record : evidence.suspects()) {
        evidence_.merge(record, now);
    }
    return counted;
}

wire::crash_evidence crash_detector::take_news(millis now)
{
    constexpr int max_news = 64; // in one message; the rest is repeated in turn
    wire::crash_evidence news;
    for (const auto& [server, suspects] : risky_) {
        wire::request_loss& row = *news.add_losses();
        row.set_server(server);
        add_suspects(suspects, row);
    }
    risky_.clear();
    for (auto& [key, lost] : losses_) {
        if (lost.published || news.losses_size() >= max_news) {
            continue;
        }
        lost.published = true;
        wire::request_loss& row = *news.add_losses();
        row.set_server(key.first);
        row.set_age_ms(age_of(lost.at, now));
        add_suspects(lost.suspects, row);
    }
    return news;
}

void crash_detector::add_recent(wire::crash_evidence& to, std::size_t start, std::size_t count,
                                millis now) const
{
    const auto in_turn = [&](const auto& rows, const auto& add) {
        if (rows.empty()) {
            return;
        }
        auto at = std::next(rows.begin(), static_cast<std::ptrdiff_t>(start % rows.size()));
        for (std::size_t number = 0; number < std::min(count, rows.size()); ++number) {
            add(*at);
            if (++at == rows.end()) {
                at = rows.begin();
            }
        }
    };
    in_turn(losses_, [&](const auto& row) {
        wire::request_loss& lost = *to.add_losses();
        lost.set_server(row.first.first);
        lost.set_age_ms(age_of(row.second.at, now));
        add_suspects(row.second.suspects, lost);
    });
    in_turn(down_, [&](const auto& row) {
        if (now - row.second <= options_.news_delay) {
            wire::crash_sighting& down = *to.add_down();
            down.set_server(row.first);
            down.set_age_ms(age_of(row.second, now));
        }
    });
}

} // namespace cyclamen
