#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamen {

/// Buffers the unacknowledged part of an answer, so that sending can resume on a new link
/// at any byte of it.  Owned by the agent's job.
class answer_buffer {
public:
    void append(std::string_view data) { kept_.append(data); }

    /// Drops the bytes before offset `received`.  Ignores outdated acknowledgements and ones
    /// beyond the end.
    void acknowledge(std::uint64_t received)
    {
        if (received <= base_ || received > length()) {
            return;
        }
        kept_.erase(0, received - base_);
        base_ = received;
    }

    /// Returns at most `max_bytes` bytes from `offset` on; `offset` must be within the buffer.
    std::string_view from(std::uint64_t offset, std::size_t most) const
    {
        return std::string_view(kept_).substr(offset - base_, most);
    }

    bool holds(std::uint64_t offset) const { return offset >= base_ && offset <= length(); }
    std::uint64_t length() const { return base_ + kept_.size(); }
    std::size_t kept() const { return kept_.size(); }

private:
    std::uint64_t base_ = 0; // offset of the first buffered byte
    std::string kept_;
};

} // namespace cyclamen
