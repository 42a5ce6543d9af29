#include "placement.h"

#include <algorithm>
#include <array>
#include <bit>

namespace cyclamen {
namespace {

// Finaliser of splitmix64: every input bit affects all bits of the result.
constexpr std::uint64_t mix_bits(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31U;
    return value;
}

struct scored_engine {
    std::uint64_t score = 0;
    const placement_candidate* engine = nullptr;
};

bool has_higher_score(const scored_engine& left, const scored_engine& right)
{
    return left.score > right.score;
}

// The highest-scoring engine of each group at the maximum width.  The low bits of the score
// select the group, so that a group at a smaller width is a union of groups at larger widths.
using group_table = std::array<scored_engine, max_placement_width>;

group_table best_of_groups(std::uint64_t prefix, std::span<const placement_candidate> candidates)
{
    group_table groups{};
    for (const placement_candidate& engine : candidates) {
        const std::uint64_t score = mix_bits(prefix ^ engine.hash);
        scored_engine& best = groups[score % max_placement_width];
        if (best.engine == nullptr || score > best.score) {
            best = {score, &engine};
        }
    }
    return groups;
}

// The highest-scoring engine of a group when there are `width` groups; null if the group is empty.
const placement_candidate* best_of_group(const group_table& finest, std::size_t width,
                                         std::size_t group)
{
    scored_engine best;
    for (std::size_t at = group; at < finest.size(); at += width) {
        if (finest[at].engine != nullptr && finest[at].score >= best.score) {
            best = finest[at];
        }
    }
    return best.engine;
}

// Appends the best engine of each group, starting with the chat's group.  Chats of an empty group
// thus go to its nearest sibling (by XOR of the group numbers).
void append_groups(const group_table& finest, std::size_t width, std::uint64_t chat,
                   std::vector<std::uint32_t>& order)
{
    const std::size_t own = mix_bits(chat) & (width - 1);
    for (std::size_t step = 0; step < width; ++step) {
        const placement_candidate* best = best_of_group(finest, width, own ^ step);
        if (best != nullptr) {
            order.push_back(best->index);
        }
    }
}

// Appends the engines with the highest scores for the prefix that are not yet in `order`.
void append_next_best(group_table finest, std::size_t count, std::vector<std::uint32_t>& order)
{
    std::sort(finest.begin(), finest.end(), has_higher_score);
    for (const scored_engine& scored : finest) {
        if (scored.engine == nullptr || order.size() >= count) {
            return;
        }
        if (std::find(order.begin(), order.end(), scored.engine->index) == order.end()) {
            order.push_back(scored.engine->index);
        }
    }
}

} // namespace

std::vector<std::uint32_t> rank_engines(placement_key key,
                                        std::span<const placement_candidate> candidates,
                                        std::size_t width, std::size_t count)
{
    width = std::bit_ceil(std::clamp<std::size_t>(width, 1, max_placement_width));
    const group_table finest = best_of_groups(key.prefix, candidates);
    std::vector<std::uint32_t> order;
    order.reserve(std::max(width, count));
    append_groups(finest, width, key.chat, order);
    if (order.size() < count) {
        append_next_best(finest, count, order);
    }
    order.resize(std::min(order.size(), count));
    return order;
}

} // namespace cyclamen
