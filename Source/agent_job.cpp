#include "agent_job.h"

#include "event_stream_splitter.h"

#include <algorithm>

namespace cyclamen {

namespace {

constexpr std::size_t max_part_bytes = 65536; // maximum data bytes in one answer part

} // namespace

attempt_id attempt_of(const wire::request_id& id, unsigned attempt)
{
    return {
        .entry_incarnation = id.entry_incarnation(), .sequence = id.sequence(), .attempt = attempt};
}

void agent_job::acknowledge(std::uint64_t received)
{
    answer.acknowledge(received);
    acknowledged = std::max(acknowledged, received);
}

std::vector<wire::answer_part> agent_job::parts_to_send(attempt_id id, std::size_t window)
{
    std::vector<wire::answer_part> parts;
    if (end == wire::failed_before_run || end == wire::failed_maybe_run) {
        wire::answer_part& part = parts.emplace_back();
        name_attempt(part, id);
        part.set_offset(answer.length());
        part.set_end(end);
        part.set_crashed_backend(crashed);
        return parts;
    }
    const std::uint64_t limit = acknowledged + window;
    bool last = false;
    while (!last) {
        const std::uint64_t left = answer.length() - sent;
        last = end == wire::complete && left <= max_part_bytes;
        if ((left == 0 && !last) || (sent >= limit && left > 0)) {
            break;
        }
        wire::answer_part& part = parts.emplace_back();
        name_attempt(part, id);
        part.set_offset(sent);
        const std::string_view data = answer.from(sent, max_part_bytes);
        part.set_data(data.data(), data.size());
        if (sent == 0) {
            part.set_status(status);
            part.set_content_type(content_type);
            part.set_replayed(replayed);
        }
        if (last) {
            part.set_end(wire::complete);
            part.set_total_length(answer.length());
        }
        sent += data.size();
    }
    return parts;
}

void agent_job::append(std::string_view data)
{
    answer.append(data);
    answer_tail.append(data);
}

void agent_job::count_memory(memory_budget& budget)
{
    if (!memory) {
        memory.emplace(budget);
    }
    memory->set(request.body().size() + answer.kept());
}

bool agent_job::broken_off() const
{
    return is_event_stream(content_type) && answer_tail.inside_event();
}

} // namespace cyclamen
