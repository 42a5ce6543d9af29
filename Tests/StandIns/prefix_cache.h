#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamen::test {

/// Models the prefix cache of a model engine: an LRU cache of blocks of prompt text.
class prefix_cache {
public:
    static constexpr std::size_t block_bytes = 64; // represents 16 tokens

    explicit prefix_cache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

    /// Looks up `prompt` and inserts its missing blocks. Returns the number of its leading blocks
    /// that were already cached.
    std::size_t lookup_and_insert(const std::string& prompt);
    void clear();
    std::size_t blocks() const { return index_.size(); }

private:
    std::size_t max_blocks_;
    std::list<std::uint64_t> order_; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

} // namespace cyclamen::test
