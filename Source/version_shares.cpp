#include "version_shares.h"

#include "hashing.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <utility>

namespace cyclamen {

namespace {

constexpr std::uint32_t max_weight = 1U << 24U; // a total of 32 bits allows for 256 versions

} // namespace

version_shares::version_shares(std::vector<version_share> shares)
{
    std::map<std::string, std::uint32_t> weights;
    for (version_share& row : shares) {
        weights[std::move(row.version)] = row.weight;
    }
    for (auto& [version, weight] : weights) {
        if (weight == 0) {
            continue;
        }
        const std::uint32_t bounded = std::min(weight, max_weight);
        rows_.push_back({.version = version, .weight = bounded});
        total_ += bounded;
    }
    if (rows_.empty()) {
        rows_.emplace_back();
        total_ = rows_.front().weight;
    }
}

const std::string& version_shares::version_of(std::uint64_t stream) const
{
    constexpr unsigned position_bits = 32; // the product with the total fits into 64 bits
    constexpr std::uint64_t seed = 0x76657273696f6e73;
    const std::uint64_t position = combine_hashes(seed, stream) >> position_bits;
    std::uint64_t slot = (position * total_) >> position_bits;
    for (const version_share& row : rows_) {
        if (slot < row.weight) {
            return row.version;
        }
        slot -= row.weight;
    }
    return rows_.back().version;
}

std::optional<std::string> version_shares::single() const
{
    return rows_.size() == 1 ? std::optional(rows_.front().version) : std::nullopt;
}

bool version_shares::contains(const std::string& version) const
{
    return std::any_of(rows_.begin(), rows_.end(),
                       [&](const version_share& row) { return row.version == version; });
}

double version_shares::part_of(const std::string& version) const
{
    double part = 0;
    for (const version_share& row : rows_) {
        if (row.version == version) {
            part = static_cast<double>(row.weight) / static_cast<double>(total_);
        }
    }
    return part;
}

std::string version_shares::text() const
{
    if (const auto only = single()) {
        return *only;
    }
    std::vector<std::string> parts;
    for (const version_share& row : rows_) {
        parts.push_back(fmt::format("{}:{}", row.version, row.weight));
    }
    return fmt::format("{}", fmt::join(parts, ","));
}

} // namespace cyclamen
