#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace cyclamen {

/// Row of a table that maps enumerators to the names used in files and messages.
template <typename Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/// Returns the name of `value`, or "?" if the table has no row for it.
template <typename Enum, std::size_t Size>
constexpr std::string_view name_of(const std::array<enum_name<Enum>, Size>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "?";
}

/// Returns the enumerator with the given name, or nullopt if the table has no row for it.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> value_of(const std::array<enum_name<Enum>, Size>& table,
                                       std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace cyclamen
