#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

/// A software version and its weight among the versions of a service.
struct version_share {
    std::string version;
    std::uint32_t weight = 1;

    bool operator==(const version_share&) const = default;
};

/// Assigns each stream of a service to one of several software versions, in proportion to their
/// weights.  The assignment depends on the stream and the shares alone, so that processes with the
/// same shares agree on it.
class version_shares {
public:
    /// Shares without a weight are left out; of several of one version the last counts.
    explicit version_shares(std::vector<version_share> shares);

    /// The version that the stream is assigned to.
    const std::string& version_of(std::uint64_t stream) const;
    /// The version, if there is only one.
    std::optional<std::string> single() const;
    bool contains(const std::string& version) const;
    /// Part of all streams that is assigned to the version, from 0 to 1.
    double part_of(const std::string& version) const;
    /// By version.
    const std::vector<version_share>& rows() const { return rows_; }
    /// Text for logs: the versions with their weights, or the only version.
    std::string text() const;

    bool operator==(const version_shares&) const = default;

private:
    std::vector<version_share> rows_;
    std::uint64_t total_ = 0;
};

} // namespace cyclamen
