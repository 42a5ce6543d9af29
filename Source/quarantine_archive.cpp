#include "quarantine_archive.h"

#include "event_log.h"
#include "relay_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {

constexpr millis retry_interval = 1000ms;

} // namespace

void quarantine_archive::start()
{
    state_ = &core_.find<relay_state>("knowledge");
    state_->quarantine_changed.connect(
        [this](std::uint64_t /*suspect*/, bool /*quarantined*/) { synchronise(); });
    timer_ = core_.every(retry_interval, [this] { synchronise(); });
    synchronise();
}

// Makes the store agree with the quarantine, one call at a time.
void quarantine_archive::synchronise()
{
    if (call_open_) {
        return;
    }
    const bool should_write = !hooks_.should_write || hooks_.should_write();
    if (!read_done_ && (restores_ == 0 || should_write)) {
        read();
        return;
    }
    if (!should_write) {
        return;
    }
    const millis now = core_.now();
    const std::set<std::uint64_t> kept = state_->crashes().near_quarantine(now);
    for (const std::uint64_t suspect : kept) {
        const bool quarantined = state_->crashes().quarantined(suspect, now);
        const auto known = stored_.find(suspect);
        if (known != stored_.end() && (known->second || !quarantined)) {
            continue;
        }
        call_open_ = true;
        hooks_.store(state_->crashes().record(suspect, now),
                     [this, suspect, quarantined, restores = restores_](bool done) {
                         on_written(suspect, quarantined, done && restores == restores_);
                     });
        return;
    }
    for (const auto& [suspect, quarantined] : stored_) {
        if (kept.contains(suspect)) {
            continue;
        }
        call_open_ = true;
        hooks_.remove(suspect, [this, suspect = suspect, restores = restores_](bool done) {
            on_written(suspect, std::nullopt, done && restores == restores_);
        });
        return;
    }
}

void quarantine_archive::on_written(std::uint64_t suspect, std::optional<bool> quarantined,
                                    bool confirmed)
{
    call_open_ = false;
    log_event(event_id::quarantine_stored, "suspect={:016x} stored={} quarantined={} confirmed={}",
              suspect, quarantined.has_value(), quarantined.value_or(false), confirmed);
    if (!confirmed) {
        return; // the timer tries again
    }
    if (quarantined) {
        stored_[suspect] = *quarantined;
    }
    else {
        stored_.erase(suspect);
    }
    synchronise();
}

void quarantine_archive::store_restored()
{
    ++restores_;
    read_done_ = false;
    stored_.clear();
    synchronise();
}

void quarantine_archive::read()
{
    call_open_ = true;
    hooks_.read([this, restores = restores_](
                    const std::optional<std::vector<wire::suspect_record>>& records) {
        call_open_ = false;
        if (!records || restores != restores_) {
            return; // the timer tries again
        }
        read_done_ = true;
        wire::crash_evidence evidence;
        for (const wire::suspect_record& record : *records) {
            *evidence.add_suspects() = record;
        }
        log_event(event_id::quarantine_read, "suspects={}", records->size());
        state_->merge_crash_evidence(evidence);
        for (const wire::suspect_record& record : *records) {
            const unsigned known = state_->crashes().crashes(record.suspect(), core_.now());
            stored_[record.suspect()] =
                static_cast<unsigned>(record.crashes_size()) >= known &&
                state_->crashes().quarantined(record.suspect(), core_.now());
        }
        synchronise();
    });
}

nlohmann::json quarantine_archive::describe() const
{
    return {{"read", read_done_}, {"stored", stored_.size()}};
}

} // namespace cyclamen
