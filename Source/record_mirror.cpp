#include "record_mirror.h"

#include "hashing.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cyclamen {

namespace {

// Records whose contents are remembered; restores go back by seconds.
constexpr std::size_t max_contents = 4096;

void sort_by_offset(std::vector<mirrored_record>& records)
{
    std::sort(records.begin(), records.end(),
              [](const mirrored_record& left, const mirrored_record& right) {
                  return left.offset < right.offset;
              });
}

} // namespace

void record_mirror::enter_era(std::uint64_t era)
{
    if (era <= era_) {
        return;
    }
    restored_ = era_ > 0 || !records_.empty();
    if (position_) {
        era_ends_[era_] = *position_;
    }
    const auto begin = restores_.begins().find(era_);
    const std::uint64_t kept_until = begin == restores_.begins().end() ? 0 : begin->second;
    for (const auto& [offset, hash] : earlier_contents_) {
        if (offset < kept_until) {
            contents_.try_emplace(offset, hash);
        }
    }
    era_ = era;
    position_.reset();
    received_.clear();
    discontinued_.clear();
    tombstones_complete_from_ = 0;
    hidden_.clear();
    earlier_contents_ = std::exchange(contents_, {});
    accepts_lost_ = true;
    if (hooks_.on_era) {
        hooks_.on_era(restored_);
    }
}

void record_mirror::note_end(std::uint64_t end)
{
    if (restored_ && !position_) {
        add_restore({.era = era_, .offset = end});
    }
}

void record_mirror::add_restore(log_position begin)
{
    if (restores_.add(begin)) {
        apply_hidden();
    }
}

// Applies the records that are newer than the lost ones of their keys after all.
void record_mirror::apply_hidden()
{
    std::vector<mirrored_record> candidates;
    for (const auto& [key, record] : hidden_) {
        if (newer(record, records_.at(key))) {
            candidates.push_back(record);
        }
    }
    for (mirrored_record& record : candidates) {
        replace(std::move(record));
    }
}

// Offsets order the records of one era.  Between eras, a version says more: the order of positions
// depends on how early an entry has noticed the restore.
bool record_mirror::newer(const mirrored_record& candidate, const mirrored_record& known) const
{
    if (candidate.era == known.era) {
        return candidate.offset > known.offset;
    }
    if (candidate.value && known.value && hooks_.compare_versions) {
        const std::partial_ordering order = hooks_.compare_versions(candidate, known);
        if (order == std::partial_ordering::less || order == std::partial_ordering::greater) {
            return order == std::partial_ordering::greater;
        }
    }
    return restores_.written_at({.era = candidate.era, .offset = candidate.offset}) >
           restores_.written_at({.era = known.era, .offset = known.offset});
}

bool record_mirror::is_lost(const mirrored_record& record) const
{
    return record.era < era_ && (record.value || hidden_.contains(record.key));
}

void record_mirror::replace(mirrored_record record)
{
    const std::string key = record.key;
    const auto known = records_.find(key);
    if (record.era == era_) {
        hidden_.erase(key);
    }
    else if (known != records_.end() && known->second.era == era_) {
        hidden_[key] = std::move(known->second);
    }
    const mirrored_record& kept = records_[key] = std::move(record);
    hooks_.on_change(kept);
}

void record_mirror::note_contents(const mirrored_record& record)
{
    // The offset of a tombstone may be an estimate, see `apply_listing`.
    if (record.era != era_ || !record.value) {
        return;
    }
    const std::uint64_t hash = combine_hashes(hash_of(record.key), hash_of(*record.value));
    const auto earlier = earlier_contents_.find(record.offset);
    if (earlier != earlier_contents_.end() && earlier->second != hash) {
        add_restore({.era = era_, .offset = record.offset});
    }
    contents_[record.offset] = hash;
    if (contents_.size() > max_contents) {
        contents_.erase(contents_.begin());
    }
}

void record_mirror::note_received(const mirrored_record& record)
{
    if (record.era != era_ || !position_ || record.offset < *position_ ||
        !received_.insert(record.offset).second) {
        return;
    }
    const bool contiguous =
        record.offset == *position_ + received_.size() - 1 && record.offset == *received_.rbegin();
    if (contiguous) {
        return;
    }
    const mirrored_record* known = find(record.key);
    const bool continued = known != nullptr && known->era == era_ && known->value && record.value &&
                           hooks_.continues && hooks_.continues(*known, record);
    if (!continued) {
        discontinued_.insert(record.offset);
    }
}

// Whether a value that the mirror has not seen may lie between its current position and this one.
bool record_mirror::skips_records(std::uint64_t position) const
{
    if (!position_) {
        return true;
    }
    const auto received = static_cast<std::uint64_t>(
        std::distance(received_.begin(), received_.lower_bound(position)));
    return received < position - *position_ &&
           (received == 0 || (!discontinued_.empty() && *discontinued_.begin() < position));
}

bool record_mirror::apply(mirrored_record record)
{
    if (record.era < era_ && !accepts_lost_) {
        return false;
    }
    note_contents(record);
    note_received(record);
    const auto known = records_.find(record.key);
    if (known == records_.end() || newer(record, known->second)) {
        replace(std::move(record));
        return true;
    }
    if (record.era != era_ || known->second.era == era_) {
        return false;
    }
    if (known->second.offset == record.offset && known->second.value == record.value) {
        known->second.era = era_; // the copy has this record
        return false;
    }
    hidden_[record.key] = std::move(record);
    return false;
}

void record_mirror::apply_listing(std::vector<mirrored_record> records, std::uint64_t end)
{
    std::set<std::string> listed;
    // Each record may show that offsets were used again, which decides about all others.
    for (const mirrored_record& record : records) {
        note_contents(record);
    }
    for (mirrored_record& record : records) {
        listed.insert(record.key);
        apply(std::move(record));
    }
    // A listing does not show the keys that came and went.
    const bool skips = !position_ || end > *position_;
    std::vector<std::string> dropped;
    for (const auto& [key, record] : records_) {
        if (record.value && record.era == era_ && record.offset < end && !listed.contains(key)) {
            dropped.push_back(key);
        }
    }
    for (const std::string& key : dropped) {
        // The offset of the deletion is unknown, but lies before the end of the listing.
        apply({.key = key, .value = std::nullopt, .offset = end - 1, .era = era_});
    }
    std::erase_if(hidden_, [&](const auto& item) {
        return item.second.offset < end && !listed.contains(item.first);
    });
    tombstones_complete_from_ = std::max(tombstones_complete_from_, end);
    move_to(end, skips);
}

void record_mirror::advance(std::uint64_t position)
{
    move_to(position, skips_records(position));
}

void record_mirror::move_to(std::uint64_t position, bool skips)
{
    if (position_ && position <= *position_) {
        return;
    }
    position_ = position;
    received_.erase(received_.begin(), received_.lower_bound(position));
    discontinued_.erase(discontinued_.begin(), discontinued_.lower_bound(position));
    if (skips && hooks_.on_gap) {
        hooks_.on_gap();
    }
}

std::uint64_t record_mirror::end_of_era(std::uint64_t era) const
{
    const auto found = era_ends_.find(era);
    return found == era_ends_.end() ? 0 : found->second;
}

const mirrored_record* record_mirror::find(const std::string& key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

std::vector<mirrored_record> record_mirror::listing() const
{
    std::vector<mirrored_record> result = records_since(0);
    std::erase_if(result, [this](const mirrored_record& record) {
        return !record.value && record.era == era_;
    });
    return result;
}

std::vector<mirrored_record> record_mirror::records_since(std::uint64_t from) const
{
    std::vector<mirrored_record> result;
    for (const auto& [key, record] : records_) {
        if (record.era == era_ ? record.offset >= from : is_lost(record)) {
            result.push_back(record);
        }
    }
    for (const auto& [key, record] : hidden_) {
        if (record.offset >= from) {
            result.push_back(record);
        }
    }
    sort_by_offset(result);
    return result;
}

std::size_t record_mirror::lost() const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [this](const auto& item) { return is_lost(item.second); }));
}

std::uint64_t record_mirror::lost_fingerprint() const
{
    std::uint64_t fingerprint = 0;
    for (const auto& [key, record] : records_) {
        if (is_lost(record)) {
            fingerprint ^= combine_hashes(combine_hashes(hash_of(key), record.era), record.offset);
        }
    }
    return fingerprint;
}

void record_mirror::end_lost_values()
{
    std::vector<std::string> ended;
    for (const auto& [key, record] : records_) {
        if (is_lost(record) && !hidden_.contains(key)) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        mirrored_record& record = records_.at(key);
        record.value.reset();
        hooks_.on_change(record);
    }
}

void record_mirror::end_lost()
{
    end_lost_values();
    accepts_lost_ = false;
    std::vector<mirrored_record> reinstated;
    for (const auto& [key, record] : hidden_) {
        const mirrored_record& known = records_.at(key);
        const bool newer_version =
            known.value && record.value && hooks_.compare_versions &&
            hooks_.compare_versions(known, record) == std::partial_ordering::greater;
        if (!newer_version) {
            reinstated.push_back(record);
        }
    }
    for (mirrored_record& record : reinstated) {
        replace(std::move(record));
    }
}

} // namespace cyclamen
