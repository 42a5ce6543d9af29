#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cyclamen {

/// Bounds the bytes that all connections of a process hold together, for callers and of backend
/// servers.  Each holder may keep a small amount in any case, so that ordinary requests are served
/// while others use the budget up.  Outlives its shares.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit) : limit_(limit) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    ~memory_budget() = default;

    std::size_t used() const { return used_; }
    std::size_t limit() const { return limit_; }
    /// The most that a holder may keep now: at least `least`, at most `most`, and in between a
    /// fraction of what is left, so that many holders approach the limit but do not exceed it much.
    std::size_t allowance(std::size_t least, std::size_t most) const
    {
        constexpr std::size_t fraction = 8;
        const std::size_t left = limit_ - std::min(limit_, used_);
        return std::clamp(left / fraction, least, most);
    }

    /// The bytes of one holder, which are returned when it is destroyed.
    class share {
    public:
        explicit share(memory_budget& budget) : budget_(&budget) {}
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&& other) noexcept
            : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0))
        {
        }
        share& operator=(share&& other) noexcept
        {
            std::swap(budget_, other.budget_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        ~share() { set(0); }

        /// Sets the number of bytes that the holder keeps now.
        void set(std::size_t bytes)
        {
            budget_->used_ = budget_->used_ - bytes_ + bytes;
            bytes_ = bytes;
        }
        std::size_t bytes() const { return bytes_; }

    private:
        memory_budget* budget_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace cyclamen
