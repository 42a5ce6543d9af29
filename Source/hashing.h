#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamen {

/// Returns the 64-bit XXH3 hash of `text`. The result is the same on every machine, so processes
/// can compare hashes.
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

/// Combines two hashes into one; the order of the arguments matters.
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

/// Returns the SHA-256 digest of `text` in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// Compares two texts in time that does not depend on the position of the first difference.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace cyclamen
