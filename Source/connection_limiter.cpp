#include "connection_limiter.h"

#include <algorithm>
#include <utility>

namespace cyclamen {

namespace {

// The last quarter of the budget is for passed-on requests and their responses.
constexpr std::size_t reserved_fraction = 4;
constexpr std::size_t min_reserved_descriptors = 48;
constexpr std::size_t max_reserved_descriptors = 1024;

} // namespace

const char* name_of(client_closing reason)
{
    return reason == client_closing::memory ? "memory" : "connections";
}

std::size_t connections_within(std::size_t descriptors, std::size_t wanted)
{
    const std::size_t reserve =
        std::clamp(descriptors / 4, min_reserved_descriptors, max_reserved_descriptors);
    const std::size_t left = descriptors - std::min(descriptors, reserve);
    return std::max<std::size_t>(1, std::min(wanted, left));
}

connection_limiter::connection::connection(connection_limiter& limiter,
                                           std::function<void(client_closing)> close)
    : limiter_(limiter),
      record_(limiter.records_.insert(
          limiter.records_.end(),
          record{.close = std::move(close), .memory = memory_budget::share(limiter.memory_)}))
{
}

connection_limiter::connection::~connection()
{
    limiter_.records_.erase(record_);
}

void connection_limiter::connection::on_progress()
{
    limiter_.records_.splice(limiter_.records_.end(), limiter_.records_, record_);
}

bool connection_limiter::memory_short() const
{
    return memory_.used() > memory_.limit() - memory_.limit() / reserved_fraction;
}

void connection_limiter::release_memory()
{
    while (memory_short() && close_first(client_closing::memory)) {
    }
}

bool connection_limiter::make_room()
{
    while (records_.size() >= options_.max_connections) {
        if (!close_first(client_closing::connections)) {
            return false;
        }
    }
    return true;
}

bool connection_limiter::close_first(client_closing reason)
{
    const bool for_memory = reason == client_closing::memory;
    const auto found = std::find_if(records_.begin(), records_.end(), [&](const record& each) {
        return !each.busy && (!for_memory || each.memory.bytes() > options_.ordinary_bytes);
    });
    if (found == records_.end()) {
        return false;
    }
    const std::function<void(client_closing)> close = found->close; // destroys the record
    if (on_closing) {
        on_closing(reason, found->memory.bytes());
    }
    close(reason);
    return true;
}

} // namespace cyclamen
