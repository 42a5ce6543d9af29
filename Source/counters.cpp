#include "counters.h"

#include <fmt/format.h>

namespace cyclamen {

std::uint64_t& counters::named(std::string_view name)
{
    const auto found = values_.find(name);
    if (found != values_.end()) {
        return found->second;
    }
    return values_.emplace(std::string(name), 0).first->second;
}

std::string counters::text() const
{
    std::string lines;
    for (const auto& [name, value] : values_) {
        lines += fmt::format("{} {}\n", name, value);
    }
    return lines;
}

} // namespace cyclamen
