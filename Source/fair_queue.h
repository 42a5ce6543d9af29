#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cyclamen {

struct fair_queue_options {
    std::size_t max_waiting = 64;             // requests of all client accounts together
    std::size_t max_waiting_per_account = 16; // requests per client account
};

/// Weighted fair queue of waiting requests.  `pop` serves the client account with the fewest
/// requests in flight relative to its weight, so that a burst of one account delays only its
/// own requests.  Owned by the agent.
class fair_queue {
public:
    /// A waiting request: an opaque handle and its priority among the requests of its account;
    /// lower values are served first.
    struct item {
        std::uint64_t handle = 0;
        unsigned priority = 0;
    };

    explicit fair_queue(fair_queue_options options) : options_(options) {}

    /// Returns false if the whole queue or the account's queue is full.
    bool push(const std::string& account, item waiting);

    /// Removes and returns the next request.  `load_of` returns an account's in-flight count
    /// divided by its weight, or nothing if the account may not start another request.
    std::optional<item>
    pop(const std::function<std::optional<double>(const std::string&)>& load_of);

    /// Removes a waiting request; returns false if it is not in the queue.
    bool remove(std::uint64_t handle);

    std::size_t size() const { return size_; }
    /// Number of accounts with waiting requests.
    std::size_t accounts() const { return waiting_.size(); }

private:
    fair_queue_options options_;
    std::map<std::string, std::deque<item>> waiting_; // by account, ordered by priority
    std::size_t size_ = 0;
};

} // namespace cyclamen
