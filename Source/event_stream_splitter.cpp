#include "event_stream_splitter.h"

#include <algorithm>

namespace cyclamen {

namespace {

// Offset after the last blank line, which ends the last complete event; 0 if there is no
// complete event.
std::size_t end_of_complete_events(std::string_view text)
{
    const std::size_t unix_end = text.rfind("\n\n");
    const std::size_t dos_end = text.rfind("\r\n\r\n");
    const std::size_t after_unix = unix_end == std::string_view::npos ? 0 : unix_end + 2;
    const std::size_t after_dos = dos_end == std::string_view::npos ? 0 : dos_end + 4;
    return std::max(after_unix, after_dos);
}

std::string_view strip_leading_space(std::string_view text)
{
    return text.starts_with(' ') ? text.substr(1) : text;
}

} // namespace

std::string_view event_stream_splitter::feed(std::string_view data)
{
    partial_.append(data);
    const std::size_t end = end_of_complete_events(partial_);
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
