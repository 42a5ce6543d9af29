#pragma once

#include "restore_history.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

/// The newest record of a key in a log.  A record without a value is a tombstone.
struct mirrored_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
    std::uint64_t era = 0; // era of the log in which the record was last seen at `offset`
};

/// Replica of the newest record of each key of one log.  Records come from reads of the log and
/// from peers, in any order; an older record never replaces a newer one.
///
/// A log that is restored from an older copy loses records that were confirmed.  These stay in the
/// mirror, as lost records, until their writers have written again or `end_lost_values` and
/// `end_lost_tombstones` give them up.
class record_mirror {
public:
    struct hooks {
        /// Called with each record that becomes the newest of its key.
        std::function<void(const mirrored_record&)> on_change;
        /// Compares two values of a key by a version that they contain; unordered if they contain
        /// none.  Decides between records of different eras before their positions do.  Optional.
        std::function<std::partial_ordering(const mirrored_record& left,
                                            const mirrored_record& right)>
            compare_versions;
        /// Whether nothing but updates of the same thing can lie between these two values of a key.
        /// If unset, that is never known.  Optional.
        std::function<bool(const mirrored_record& earlier, const mirrored_record& later)> continues;
        /// Called when the position has moved past records that were not received, so that values
        /// may have come and gone unnoticed; also after the first listing.  Optional.
        std::function<void()> on_gap;
        /// Called when an era has begun; `restored` is false for the first that is known.
        /// Optional.
        std::function<void(bool restored)> on_era;
    };

    explicit record_mirror(hooks collaborators) : hooks_(std::move(collaborators)) {}

    /// Era of the log; 0 before it is known.
    std::uint64_t era() const { return era_; }
    /// Begins a later era, in which the mirror first needs a listing.  Ignored if `era` is not
    /// later than the current one.
    void enter_era(std::uint64_t era);
    /// Notes that the log ended at `end` at some time after the current era had begun.
    void note_end(std::uint64_t end);
    /// Adds what a peer knows about the beginnings of eras.
    void add_restore(log_position begin);
    const restore_history& restores() const { return restores_; }

    /// Applies one record; returns false if the known record of its key is as new or newer.
    bool apply(mirrored_record record);
    /// Applies a listing of all keys of the current era as of offset `end`.  Known keys that it
    /// lacks are marked as deleted, unless their record is at `end` or later, or lost.
    void apply_listing(std::vector<mirrored_record> records, std::uint64_t end);
    /// Notes that the newest records of all keys before offset `position` are applied; ignored if
    /// it is not higher than the current position.
    void advance(std::uint64_t position);

    /// Offset before which all records are applied; empty before the first listing of the current
    /// era or `advance`.
    std::optional<std::uint64_t> position() const { return position_; }
    /// The newest records at offset `from` or later, ordered by offset, including tombstones, and
    /// all lost records.
    std::vector<mirrored_record> records_since(std::uint64_t from) const;
    /// Offset before which tombstones may be missing, since a listing contains only the remaining
    /// keys.  A peer whose position is lower needs a listing to learn of all deletions.
    std::uint64_t tombstones_complete_from() const { return tombstones_complete_from_; }
    /// The newest records of all keys, without tombstones except lost ones.
    std::vector<mirrored_record> listing() const;
    /// The newest record of a key; null if none is known.
    const mirrored_record* find(const std::string& key) const;
    std::size_t size() const { return records_.size(); }

    /// Number of lost records that differ from what the log holds.
    std::size_t lost() const;
    /// Hash of these records, equal in mirrors that have the same; 0 if there are none.
    std::uint64_t lost_fingerprint() const;
    /// Whether the mirror still takes lost records from peers.
    bool accepts_lost() const { return accepts_lost_; }
    /// Position that the mirror had reached when `era` ended; 0 if it has not seen that era.
    std::uint64_t end_of_era(std::uint64_t era) const;
    /// Treats keys as deleted of which only a lost record is known.
    void end_lost_values();
    /// Takes what the log holds in place of lost records, unless their versions are newer, and
    /// accepts no further ones.
    void end_lost();

private:
    bool newer(const mirrored_record& candidate, const mirrored_record& known) const;
    void replace(mirrored_record record);
    void note_received(const mirrored_record& record);
    bool skips_records(std::uint64_t position) const;
    void move_to(std::uint64_t position, bool skips);
    bool is_lost(const mirrored_record& record) const;
    void note_contents(const mirrored_record& record);
    void apply_hidden();

    hooks hooks_;
    std::map<std::string, mirrored_record> records_; // by key
    // Records of the current era that are older than the lost records of their keys, by key.
    std::map<std::string, mirrored_record> hidden_;
    std::uint64_t era_ = 0;
    bool restored_ = false; // the current era is not the first that is known
    restore_history restores_;
    std::map<std::uint64_t, std::uint64_t> era_ends_; // position at the end of each earlier era
    // Hashes of the latest records seen, by offset, and those of the era before until the current
    // one is listed.  A difference shows that an offset was used again.
    std::map<std::uint64_t, std::uint64_t> contents_;
    std::map<std::uint64_t, std::uint64_t> earlier_contents_;
    bool accepts_lost_ = true;
    std::optional<std::uint64_t> position_;
    // Offsets from `position_` on whose records have been received, and those of them before which
    // their keys may have had other values since `position_`.
    std::set<std::uint64_t> received_;
    std::set<std::uint64_t> discontinued_;
    std::uint64_t tombstones_complete_from_ = 0;
};

} // namespace cyclamen
