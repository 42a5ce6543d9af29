#include "record_mirror.h"

#include <algorithm>
#include <set>

namespace cyclamen {

bool record_mirror::apply(mirrored_record record)
{
    const auto known = records_.find(record.key);
    if (known != records_.end() && known->second.offset >= record.offset) {
        return false;
    }
    const std::string key = record.key;
    const mirrored_record& kept = records_[key] = std::move(record);
    on_change_(kept);
    return true;
}

void record_mirror::apply_listing(std::vector<mirrored_record> records, std::uint64_t end)
{
    std::set<std::string> listed;
    for (mirrored_record& record : records) {
        listed.insert(record.key);
        apply(std::move(record));
    }
    std::vector<std::string> dropped;
    for (const auto& [key, record] : records_) {
        if (record.value && record.offset < end && !listed.contains(key)) {
            dropped.push_back(key);
        }
    }
    for (const std::string& key : dropped) {
        // The offset of the deletion is unknown, but lies before the end of the listing.
        apply({.key = key, .value = std::nullopt, .offset = end - 1});
    }
    tombstones_complete_from_ = std::max(tombstones_complete_from_, end);
    advance(end);
}

void record_mirror::advance(std::uint64_t position)
{
    position_ = std::max(position_.value_or(0), position);
}

std::vector<mirrored_record> record_mirror::listing() const
{
    std::vector<mirrored_record> result = records_since(0);
    std::erase_if(result, [](const mirrored_record& record) { return !record.value; });
    return result;
}

std::vector<mirrored_record> record_mirror::records_since(std::uint64_t from) const
{
    std::vector<mirrored_record> result;
    for (const auto& [key, record] : records_) {
        if (record.offset >= from) {
            result.push_back(record);
        }
    }
    std::sort(result.begin(), result.end(),
              [](const mirrored_record& left, const mirrored_record& right) {
                  return left.offset < right.offset;
              });
    return result;
}

} // namespace cyclamen
