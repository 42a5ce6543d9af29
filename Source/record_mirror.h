#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

/// The newest record of a key in a log.  Without a value the key was dropped.
struct mirrored_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// A copy of the newest record of each key of one log, fed by reads of the log and by
/// peers that read it, in any order.  Never goes back to an earlier record.
class record_mirror {
public:
    /// `on_change` hears of each key whose newest record changed.
    explicit record_mirror(std::function<void(const mirrored_record&)> on_change)
        : on_change_(std::move(on_change))
    {
    }

    /// Takes one record; false if a newer one of its key is known.
    bool take(mirrored_record record);
    /// Takes a listing of all keys, which holds for the log before `end`: keys that are not
    /// in it, and not newer, were dropped.
    void take_listing(std::vector<mirrored_record> records, std::uint64_t end);
    /// All records before `position` are taken.
    void advance(std::uint64_t position);

    /// Everything before this offset is known; nothing before the first listing.
    std::optional<std::uint64_t> position() const { return position_; }
    /// The newest records at `from` or later, in order of offset; dropped keys as well.
    std::vector<mirrored_record> since(std::uint64_t from) const;
    /// Drops before this offset may be missing here: the first listing named only the keys
    /// that were left.  Who lacks more needs a listing.
    std::uint64_t drops_known_from() const { return drops_known_from_; }
    /// The newest records of all keys that have a value.
    std::vector<mirrored_record> listing() const;
    std::size_t size() const { return records_.size(); }

private:
    std::function<void(const mirrored_record&)> on_change_;
    std::map<std::string, mirrored_record> records_; // by key
    std::optional<std::uint64_t> position_;
    std::uint64_t drops_known_from_ = 0;
};

} // namespace cyclamen
