#include "event_stream_splitter.h"

#include "http_message.h"

#include <algorithm>

namespace cyclamen {

namespace {

// Offset after the last blank line, which ends the last complete event; 0 if there is none. Blank
// lines that end at or before the offset `searched` are not looked for.
std::size_t end_of_complete_events(std::string_view text, std::size_t searched)
{
    std::size_t end = 0;
    for (const std::string_view blank : {"\n\n", "\r\n\r\n"}) {
        // The first bytes of a blank line may have been received earlier.
        const std::size_t from = searched - std::min(searched, blank.size() - 1);
        const std::size_t at = text.substr(from).rfind(blank);
        if (at != std::string_view::npos) {
            end = std::max(end, from + at + blank.size());
        }
    }
    return end;
}

std::string_view strip_leading_space(std::string_view text)
{
    return text.starts_with(' ') ? text.substr(1) : text;
}

} // namespace

bool is_event_stream(std::string_view content_type)
{
    std::string_view type = content_type.substr(0, content_type.find(';'));
    while (type.ends_with(' ') || type.ends_with('\t')) {
        type.remove_suffix(1);
    }
    return header_names_equal(type, "text/event-stream");
}

bool ends_inside_event(std::string_view tail)
{
    return tail.find_first_not_of("\r\n") != std::string_view::npos && !tail.ends_with("\n\n") &&
           !tail.ends_with("\r\n\r\n");
}

void event_stream_tail::append(std::string_view data)
{
    constexpr std::size_t blank_line_bytes = 4;
    bytes_ += data.substr(data.size() - std::min(data.size(), blank_line_bytes));
    bytes_.erase(0, bytes_.size() - std::min(bytes_.size(), blank_line_bytes));
}

std::string_view event_stream_splitter::feed(std::string_view data)
{
    const std::size_t searched = partial_.size();
    partial_.append(data);
    const std::size_t end = end_of_complete_events(partial_, searched);
    complete_events_.assign(partial_, 0, end);
    partial_.erase(0, end);
    update_last_id(complete_events_);
    return complete_events_;
}

void event_stream_splitter::update_last_id(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(field)) {
            last_id_ = strip_leading_space(line.substr(field.size()));
        }
    }
}

} // namespace cyclamen
