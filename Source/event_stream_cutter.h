#pragma once

#include <string>
#include <string_view>

namespace cyclamen {

/// Cuts a `text/event-stream` body into whole events, so that a stream that breaks off in
/// the middle of one can go on at another backend server.  Owned by one exchange.
class event_stream_cutter {
public:
    /// Adds bytes and returns the events that they complete; valid until the next call.
    std::string_view feed(std::string_view data);
    /// A new run's stream begins: what is left of a broken event is dropped.
    void restart() { partial_.clear(); }

    /// The id of the last whole event, or empty.
    const std::string& last_id() const { return last_id_; }
    /// Bytes of an event that is not whole.
    std::string_view partial() const { return partial_; }

private:
    void note_ids(std::string_view events);

    std::string whole_;
    std::string partial_;
    std::string last_id_;
};

} // namespace cyclamen
