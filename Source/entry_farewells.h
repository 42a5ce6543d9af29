#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cyclamen {

struct entry_farewells_options {
    // Ticks without open jobs after which the agent no longer waits for replies.  Ticks are counted
    // instead of time, because between two of them the event loop reads the replies that have
    // arrived, however long it was busy.
    unsigned max_silent_ticks = 20;
};

/// The entries that may still send requests to an agent, or await something of it, while it
/// stops.  An agent cannot tell by itself: requests may be unread in its socket, and its last
/// messages unsent.  It announces the stop to each entry, and the entry replies when it awaits no
/// outcome of this agent and sends it no more requests.  Owned by the agent server.
class entry_farewells {
public:
    /// Sends a farewell.  Returns false if the entry cannot be reached on this route.
    using sender = std::function<bool(const std::string& route)>;

    entry_farewells(entry_farewells_options options, sender send)
        : options_(options), send_(std::move(send))
    {
    }

    /// An entry sent a hello on `route`, which replaces its earlier routes.
    void on_hello(const std::string& entry, const std::string& route);
    void begin_stop();
    /// Sends the farewell to the entries that have not replied; called periodically.
    void on_tick(bool open_jobs);
    void on_reply(const std::string& route);

    /// True once the stop has begun and no reply is awaited any more.
    bool done() const;
    /// Names of the reachable entries that have not replied.
    std::vector<std::string> awaited() const;

private:
    struct entry_state {
        std::string route;
        bool reachable = true;
        bool replied = false;
    };

    void send_all();

    entry_farewells_options options_;
    sender send_;
    std::map<std::string, entry_state> entries_; // by instance
    bool stopping_ = false;
    unsigned silent_ticks_ = 0; // ticks of the stop since the last one with open jobs
};

} // namespace cyclamen
