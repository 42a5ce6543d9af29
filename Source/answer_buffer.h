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
    void append(std::string_view data) { data_.append(data); }

    /// Drops the bytes before offset `received`.  Ignores outdated acknowledgements and ones
    /// beyond the end.
    void acknowledge(std::uint64_t received)
    {
        if (received <= start_offset_ || received > length()) {
            return;
        }
        data_.erase(0, received - start_offset_);
        start_offset_ = received;
    }

    /// Drops all buffered bytes.
    void drop()
    {
        start_offset_ = length();
        data_ = std::string(); // `{}` would keep its memory
    }

    /// Returns at most `max_bytes` bytes from `offset` on; `offset` must be within the buffer.
    std::string_view from(std::uint64_t offset, std::size_t max_bytes) const
    {
        return std::string_view(data_).substr(offset - start_offset_, max_bytes);
    }

    bool contains(std::uint64_t offset) const
    {
        return offset >= start_offset_ && offset <= length();
    }
    /// Number of bytes appended so far, including dropped ones.
    std::uint64_t length() const { return start_offset_ + data_.size(); }
    /// Number of buffered bytes.
    std::size_t kept() const { return data_.size(); }

private:
    std::uint64_t start_offset_ = 0; // offset of the first buffered byte
    std::string data_;
};

} // namespace cyclamen
