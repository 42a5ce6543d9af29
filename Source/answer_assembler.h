#pragma once

#include <wire.pb.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamen {

/// Reassembles the answer of one attempt at the entry.  Duplicate bytes are dropped, and so
/// are parts that leave a gap; the sender sends those again on request.
class answer_assembler {
public:
    /// Returns the new bytes of `part`, possibly none, as a view into `part`, or nullopt if `part`
    /// leaves a gap and has to be sent again.
    std::optional<std::string_view> append(const wire::answer_part& part)
    {
        const std::uint64_t end = part.offset() + part.data().size();
        if (part.offset() > received_) {
            return std::nullopt;
        }
        std::string_view new_bytes;
        if (end > received_) {
            new_bytes = std::string_view(part.data()).substr(received_ - part.offset());
            received_ = end;
        }
        if (part.end() == wire::complete && part.total_length() == received_) {
            complete_ = true;
        }
        return new_bytes;
    }

    /// Number of bytes received without a gap.
    std::uint64_t received() const { return received_; }
    /// True once the final part and all bytes of the answer have been received.
    bool is_complete() const { return complete_; }

private:
    std::uint64_t received_ = 0;
    bool complete_ = false;
};

} // namespace cyclamen
