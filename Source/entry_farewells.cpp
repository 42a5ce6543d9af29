#include "entry_farewells.h"

namespace cyclamen {

void entry_farewells::on_hello(const std::string& entry, const std::string& route)
{
    entries_[entry] = {.route = route};
    if (stopping_) {
        send_(route);
    }
}

void entry_farewells::begin_stop()
{
    stopping_ = true;
    send_all();
}

void entry_farewells::on_tick(bool open_jobs)
{
    if (!stopping_) {
        return;
    }
    silent_ticks_ = open_jobs ? 0 : silent_ticks_ + 1;
    send_all();
}

void entry_farewells::send_all()
{
    for (auto& [name, entry] : entries_) {
        if (!entry.replied) {
            entry.reachable = send_(entry.route);
        }
    }
}

void entry_farewells::on_reply(const std::string& route)
{
    for (auto& [name, entry] : entries_) {
        if (entry.route == route) {
            entry.replied = true;
        }
    }
}

bool entry_farewells::done() const
{
    return stopping_ && (awaited().empty() || silent_ticks_ > options_.max_silent_ticks);
}

std::vector<std::string> entry_farewells::awaited() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (entry.reachable && !entry.replied) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace cyclamen
