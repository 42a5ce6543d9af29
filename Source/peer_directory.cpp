#include "peer_directory.h"

#include "event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {

constexpr millis check_interval = 250ms;

} // namespace

void peer_directory::start()
{
    const auto span = static_cast<std::uint64_t>(options_.spread.count()) + 1;
    settled_at_ = core_.now() + options_.settle_time +
                  millis(static_cast<std::int64_t>(core_.random() % span));
    first_check_ = core_.after(settled_at_ - core_.now(), [this] { check(); });
    timer_ = core_.every(check_interval, [this] { check(); });
}

void peer_directory::check()
{
    const millis now = core_.now();
    if (busy_ || now < settled_at_ || now - failed_at_ < options_.retry || !hooks_.leads()) {
        return;
    }
    const millis limit = self_listed_ ? options_.interval : options_.hearing_time;
    if (read_at_ < settled_at_ || now - read_at_ >= limit) {
        read();
    }
}

void peer_directory::read()
{
    busy_ = true;
    hooks_.read([this](const std::optional<std::vector<std::string>>& addresses) {
        busy_ = false;
        if (!addresses) {
            failed_at_ = core_.now();
            return;
        }
        on_listed(*addresses);
        if (!self_listed_ && hooks_.leads() && !may_hear_others()) {
            add_self();
        }
    });
}

// Whether an entry that was listed lately may still be heard, so that this one need not lead.
bool peer_directory::may_hear_others() const
{
    return std::any_of(unheard_since_.begin(), unheard_since_.end(), [this](const auto& row) {
        return core_.now() - row.second < options_.hearing_time;
    });
}

// Of two entries that list themselves, the one whose record comes later finds the other.
void peer_directory::add_self()
{
    busy_ = true;
    hooks_.add_self([this](bool confirmed) {
        busy_ = false;
        log_event(event_id::entry_listed, "entry={} confirmed={}", hooks_.own_address, confirmed);
        if (!confirmed) {
            failed_at_ = core_.now();
            return;
        }
        self_listed_ = true;
        read();
    });
}

void peer_directory::on_listed(const std::vector<std::string>& addresses)
{
    read_at_ = core_.now();
    self_listed_ = false;
    for (const std::string& address : addresses) {
        if (address == hooks_.own_address) {
            self_listed_ = true;
            continue;
        }
        if (!hooks_.hears(address)) {
            hooks_.add_peer(address);
        }
    }
    remove_unheard(addresses);
}

// Machines leave without a word, and their addresses go to others.
void peer_directory::remove_unheard(const std::vector<std::string>& addresses)
{
    const millis now = core_.now();
    std::map<std::string, millis> unheard;
    std::vector<std::string> gone;
    for (const std::string& address : addresses) {
        if (address == hooks_.own_address || hooks_.hears(address)) {
            continue;
        }
        const auto known = unheard_since_.find(address);
        const millis since = known == unheard_since_.end() ? now : known->second;
        if (now - since >= options_.removal_time && hooks_.leads()) {
            gone.push_back(address);
            continue;
        }
        unheard[address] = since;
    }
    unheard_since_ = std::move(unheard);
    if (gone.empty()) {
        return;
    }
    log_event(event_id::entries_unlisted, "entries={} first={}", gone.size(), gone.front());
    hooks_.remove(gone);
}

nlohmann::json peer_directory::describe() const
{
    return {{"self_listed", self_listed_}, {"unheard", unheard_since_.size()}};
}

} // namespace cyclamen
