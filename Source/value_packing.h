#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamen {

/// Returns the zlib-compressed form of `value`.
std::string pack_value(std::string_view value);

/// Returns the value with this compressed form; empty if `packed` is malformed or the value does
/// not have exactly `bytes` bytes.
std::optional<std::string> unpack_value(std::string_view packed, std::size_t bytes);

} // namespace cyclamen
