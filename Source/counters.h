#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cyclamen {

/// Named monotonic counters of one process.  Owned by the kernel; services keep
/// references to the counters that they increment.
class counters {
public:
    /// Returns the counter called `name`, created with value 0 if missing.  The reference
    /// stays valid.
    std::uint64_t& named(std::string_view name);

    const std::map<std::string, std::uint64_t, std::less<>>& all() const { return values_; }

    /// One `name value` line per counter, sorted by name.
    std::string text() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> values_;
};

} // namespace cyclamen
