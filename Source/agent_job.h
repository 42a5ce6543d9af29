#pragma once

#include "answer_tail.h"
#include "time_types.h"

#include <wire.pb.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamen {

/// One attempt of a request, as agents and entries name it.
struct attempt_id {
    std::uint64_t entry_incarnation = 0;
    std::uint64_t sequence = 0;
    unsigned attempt = 0;

    auto operator<=>(const attempt_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/// The attempt that a message names.
attempt_id attempt_of(const wire::request_id& id, unsigned attempt);

/// Names an attempt in a message.
template <typename Message>
void name_attempt(Message& message, attempt_id id)
{
    message.mutable_id()->set_entry_incarnation(id.entry_incarnation);
    message.mutable_id()->set_sequence(id.sequence);
    message.set_attempt(id.attempt);
}

enum class job_phase { queued, claiming, running, finished, tombstone };

/// What an agent keeps of one attempt: its request while it may run, and its answer until
/// the entry has it.  Owned by the agent's core.
struct agent_job {
    wire::dispatch request; // emptied when the job ends
    wire::request_class repeat = wire::idempotent;
    std::string route; // the link that the entry was heard on last
    job_phase state = job_phase::queued;
    bool cancelled = false;
    millis deadline{0};
    millis heard{0}; // last message from the entry
    millis ended{0};
    std::string token; // of the claim
    unsigned status = 0;
    std::string content_type;
    answer_tail answer;
    std::uint64_t sent = 0;
    std::uint64_t acknowledged = 0;
    wire::answer_end end = wire::more;
    bool replayed = false;
    bool crashed = false;
    std::uint64_t handle = 0; // in the waiting queue

    /// All that may be sent now, at most `window` bytes ahead of what was acknowledged.
    std::vector<wire::answer_part> parts_to_send(attempt_id id, std::size_t window);
    void acknowledge(std::uint64_t received);
    /// Ended, and the entry has all of it.
    bool delivered() const
    {
        return state == job_phase::finished && acknowledged >= answer.length();
    }
};

} // namespace cyclamen
