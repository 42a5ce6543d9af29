#include "event_stream_splitter.h"

#include "http_message.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

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

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && stop == end ? std::optional(value) : std::nullopt;
}

// Whether an event with this id can come after the event `before`.  Numbers increase.
bool follows(std::string_view id, std::string_view before)
{
    const auto number = parse_number(id);
    const auto number_before = parse_number(before);
    if (number && number_before) {
        return *number > *number_before;
    }
    return !id.empty() && id != before;
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
    std::string_view lines = complete_events_;
    while (!lines.empty()) {
        const std::size_t line_end = std::min(lines.find('\n'), lines.size());
        std::string_view line = lines.substr(0, line_end);
        lines.remove_prefix(std::min(line_end + 1, lines.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        note_line(line);
    }
    return complete_events_;
}

void event_stream_splitter::restart()
{
    partial_.clear();
    continues_ = true;
    id_to_follow_.reset();
    if (!last_id_.empty()) {
        id_to_follow_ = last_id_;
    }
}

void event_stream_splitter::note_line(std::string_view line)
{
    constexpr std::string_view field = "id:";
    if (line.empty()) {
        note_event();
        return;
    }
    event_has_data_ = event_has_data_ || line.starts_with("data");
    if (line.starts_with(field)) {
        event_id_ = strip_leading_space(line.substr(field.size()));
    }
}

void event_stream_splitter::note_event()
{
    const std::string id = std::exchange(event_id_, {});
    const bool has_data = std::exchange(event_has_data_, false);
    if (id.empty() && !has_data) {
        return; // a comment
    }
    if (const auto before = std::exchange(id_to_follow_, std::nullopt)) {
        continues_ = follows(id, *before);
    }
    if (!continues_) {
        return; // these events are not passed on
    }
    last_event_named_ = !id.empty();
    last_id_ = id.empty() ? last_id_ : id;
}

} // namespace cyclamen
