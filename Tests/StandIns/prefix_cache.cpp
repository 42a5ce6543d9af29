#include "prefix_cache.h"

#include "hashing.h"

namespace cyclamen::test {

std::size_t prefix_cache::lookup_and_insert(const std::string& prompt)
{
    std::size_t hits = 0;
    bool leading = true;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + block_bytes <= prompt.size(); at += block_bytes) {
        hash = combine_hashes(hash, hash_of(std::string_view(prompt).substr(at, block_bytes)));
        const auto found = index_.find(hash);
        if (found != index_.end()) {
            hits += leading ? 1 : 0;
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        leading = false;
        order_.push_front(hash);
        index_[hash] = order_.begin();
    }
    while (index_.size() > max_blocks_) {
        index_.erase(order_.back());
        order_.pop_back();
    }
    return hits;
}

void prefix_cache::clear()
{
    order_.clear();
    index_.clear();
}

} // namespace cyclamen::test
