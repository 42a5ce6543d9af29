#include "fair_queue.h"

#include <algorithm>

namespace cyclamen {

bool fair_queue::push(const std::string& account, item waiting)
{
    if (size_ >= options_.max_waiting) {
        return false;
    }
    auto& account_queue = waiting_[account];
    if (account_queue.size() >= options_.max_waiting_per_account) {
        return false;
    }
    const auto position =
        std::find_if(account_queue.begin(), account_queue.end(),
                     [&](const item& other) { return other.priority > waiting.priority; });
    account_queue.insert(position, waiting);
    ++size_;
    return true;
}

std::optional<fair_queue::item>
fair_queue::pop(const std::function<std::optional<double>(const std::string&)>& load_of)
{
    auto chosen = waiting_.end();
    double least = 0;
    for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
        const std::optional<double> load = load_of(entry->first);
        if (load && (chosen == waiting_.end() || *load < least)) {
            chosen = entry;
            least = *load;
        }
    }
    if (chosen == waiting_.end()) {
        return std::nullopt;
    }
    const item next = chosen->second.front();
    chosen->second.pop_front();
    --size_;
    if (chosen->second.empty()) {
        waiting_.erase(chosen);
    }
    return next;
}

bool fair_queue::remove(std::uint64_t handle)
{
    for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
        auto& account_queue = entry->second;
        const auto position =
            std::find_if(account_queue.begin(), account_queue.end(),
                         [&](const item& other) { return other.handle == handle; });
        if (position == account_queue.end()) {
            continue;
        }
        account_queue.erase(position);
        --size_;
        if (account_queue.empty()) {
            waiting_.erase(entry);
        }
        return true;
    }
    return false;
}

} // namespace cyclamen
