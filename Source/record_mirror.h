#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

/// The newest record of a key in a log.  A record without a value is a tombstone.
struct mirrored_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// Replica of the newest record of each key of one log.  Records come from reads of the log and
/// from peers, in any order; an older record never replaces a newer one.
class record_mirror {
public:
    /// `on_change` is called with each record that becomes the newest of its key.
    explicit record_mirror(std::function<void(const mirrored_record&)> on_change)
        : on_change_(std::move(on_change))
    {
    }

    /// Applies one record; returns false if the known record of its key is as new or newer.
    bool apply(mirrored_record record);
    /// Applies a listing of all keys as of offset `end`.  Known keys that it lacks are marked as
    /// deleted, unless their record is at `end` or later.
    void apply_listing(std::vector<mirrored_record> records, std::uint64_t end);
    /// Notes that all records before offset `position` are applied; ignored if it is not higher
    /// than the current position.
    void advance(std::uint64_t position);

    /// Offset before which all records are applied; empty before the first listing or `advance`.
    std::optional<std::uint64_t> position() const { return position_; }
    /// The newest records at offset `from` or later, ordered by offset, including tombstones.
    std::vector<mirrored_record> records_since(std::uint64_t from) const;
    /// Offset before which tombstones may be missing, since a listing contains only the remaining
    /// keys.  A peer whose position is lower needs a listing to learn of all deletions.
    std::uint64_t tombstones_complete_from() const { return tombstones_complete_from_; }
    /// The newest records of all keys, without tombstones.
    std::vector<mirrored_record> listing() const;
    std::size_t size() const { return records_.size(); }

private:
    std::function<void(const mirrored_record&)> on_change_;
    std::map<std::string, mirrored_record> records_; // by key
    std::optional<std::uint64_t> position_;
    std::uint64_t tombstones_complete_from_ = 0;
};

} // namespace cyclamen
