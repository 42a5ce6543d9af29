#pragma once

#include "answer_buffer.h"
#include "event_stream_splitter.h"
#include "memory_budget.h"
#include "time_types.h"

#include <wire.pb.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen {

/// Identifies one attempt of a request between entries and agents.
struct attempt_id {
    std::uint64_t entry_incarnation = 0;
    std::uint64_t sequence = 0;
    unsigned attempt = 0;

    auto operator<=>(const attempt_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Builds the attempt id from the fields of a message.
attempt_id attempt_of(const wire::request_id& id, unsigned attempt);

/// Writes the attempt id into the fields of a message.
template <typename Message>
void name_attempt(Message& message, attempt_id id)
{
    message.mutable_id()->set_entry_incarnation(id.entry_incarnation);
    message.mutable_id()->set_sequence(id.sequence);
    message.set_attempt(id.attempt);
}

enum class job_phase {
    queued,
    claiming, // holds a slot and waits for the claim on its idempotency key
    running,
    finished,
    tombstone // refused or fenced: must never start, also if its dispatch arrives late
};

/// State of one attempt at an agent: the request until the job ends, and the answer until the
/// entry has acknowledged it.  Owned by the agent core.
struct agent_job {
    wire::dispatch request; // cleared when the job ends
    wire::request_class repeat = wire::idempotent;
    std::string route; // link of the entry's last message
    job_phase state = job_phase::queued;
    bool cancelled = false; // fenced while claiming
    millis deadline{0};
    millis last_seen{0}; // time of the entry's last message
    millis ended{0};
    std::string token; // token of the claim; empty if there is none
    unsigned status = 0;
    std::string content_type;
    event_stream_tail answer_tail; // tells whether the answer is whole
    answer_buffer answer;
    std::uint64_t sent = 0;         // end offset of the bytes sent
    std::uint64_t acknowledged = 0; // end offset of the bytes acknowledged
    wire::answer_end end = wire::more;
    bool replayed = false;            // the answer is that of an earlier run with the same key
    bool crashed = false;             // the backend server crashed during the run
    std::uint64_t handle = 0;         // identifies the job in the fair queue
    std::optional<std::uint64_t> run; // number of the open run in the crash detector
    std::optional<memory_budget::share> memory; // of the request's body and the buffered answer

    /// Returns the answer parts to send now.  Stops sending when `window` unacknowledged bytes
    /// are in flight.
    std::vector<wire::answer_part> parts_to_send(attempt_id id, std::size_t window);
    void acknowledge(std::uint64_t received);
    /// Appends data that the backend server sent.
    void append(std::string_view data);
    /// Counts in `budget` what the job holds now.
    void count_memory(memory_budget& budget);
    /// Whether the answer is an event stream that ends inside an event.
    bool broken_off() const;
    /// True if the job has finished and the entry has acknowledged the whole answer.
    bool delivered() const
    {
        return state == job_phase::finished && acknowledged >= answer.length();
    }
};

} // namespace cyclamen
