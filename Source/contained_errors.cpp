#include "contained_errors.h"

#include "event_log.h"
#include "http_message.h"

namespace cyclamen {

namespace {
constexpr std::size_t max_text_bytes = 256; // of an error's text, which may quote foreign bytes
} // namespace

void report_contained_error(std::string_view where, std::string_view what)
{
    log_event(event_id::error_contained, "where={} what=\"{}\"", where,
              printable_text(what.substr(0, max_text_bytes)));
}

} // namespace cyclamen
