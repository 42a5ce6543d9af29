#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cyclamen {

/// Whether a Content-Type names an event stream.
bool is_event_stream(std::string_view content_type);
/// Whether an event stream whose last bytes are `tail` (four or more, if there are as many) ends
/// inside an event.
bool ends_inside_event(std::string_view tail);

/// The last bytes of an event stream that is passed on as it comes.
class event_stream_tail {
public:
    void append(std::string_view data);
    /// Whether the stream ends inside an event if it ends here.
    bool inside_event() const { return ends_inside_event(bytes_); }

private:
    std::string bytes_;
};

/// Splits a `text/event-stream` body into complete events, so that a stream that breaks off
/// in the middle of an event can be resumed at another backend server.  Owned by one exchange.
class event_stream_splitter {
public:
    /// Appends `data` and returns all events that are now complete.  The view is valid until the
    /// next call.
    std::string_view feed(std::string_view data);
    /// Prepares for the stream of another attempt: discards an incomplete event.
    void restart();

    /// Whether the stream may be continued after `last_id()`: there was no event, or the last one
    /// has an id.
    bool resumable() const { return last_event_named_; }
    /// False if the stream of another attempt does not begin after the last event before it: its
    /// first event has no id, the same id or a lower number.
    bool continues() const { return continues_; }
    /// The most recent `id` field in the complete events; empty if there was none.
    const std::string& last_id() const { return last_id_; }
    /// The bytes received of an event that is not complete yet.
    std::string_view partial() const { return partial_; }
    /// Whether the stream has been broken off if it ends here.
    bool inside_event() const { return partial_.find_first_not_of("\r\n") != std::string::npos; }

private:
    void note_line(std::string_view line);
    void note_event();

    std::string complete_events_;
    std::string partial_;
    std::string last_id_;
    std::string event_id_; // of the event whose lines are being read
    bool event_has_data_ = false;
    bool last_event_named_ = true;
    std::optional<std::string> id_to_follow_; // set until the first event after `restart`
    bool continues_ = true;
};

} // namespace cyclamen
