#pragma once

#include "agent_links.h"
#include "agent_ranking.h"
#include "answer_assembler.h"
#include "kernel.h"
#include "request_attempts.h"
#include "retry_budget.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <wire.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamen {

class configuration_feed;
class instance_directory;

/// A validated request from a caller.
struct entry_request {
    // Complete except for the fields that the dispatcher sets for each attempt: ids, attempt
    // number, agent incarnation, configuration offset, times, `may_queue` and `seen`.
    wire::dispatch message;
    placement_key placement;
    millis deadline{0}; // point in time on the monotonic clock
};

/// The outcome of a request, as reported to its caller.
struct entry_result {
    outcome result = outcome::unknown;
    wire::refusal reason = wire::refusal_none;
    std::string served_by; // agent instance that answered, if `result` is `answered`
};

/// Callbacks that receive the answer to one request.  Called on the event loop.
struct answer_sink {
    /// Begins the answer.  Called again when another attempt answers instead; then all data before
    /// is void.
    std::function<void(unsigned status, const std::string& content_type, bool replayed,
                       const std::string& served_by)>
        on_head;
    std::function<void(std::string_view data)> on_data;
    /// The last call, made once; not made after `abandon`.
    std::function<void(const entry_result&)> on_end;
    /// True once bytes have been sent to the caller, which rules out a retry on another agent.
    std::function<bool()> committed;
    /// Number of bytes buffered for a slow caller.
    std::function<std::size_t()> backlog;
};

struct entry_dispatcher_options {
    request_attempts_options attempts{};
    retry_budget_options retries{};
    hot_prefix_tracker_options hot_prefixes{};
    agent_link_options link{};
    // Maximum number of loads, reported by agents in refusals of the request, that a dispatch
    // passes on to the next agent.
    std::size_t max_seen_loads = 8;
    std::size_t max_candidates = 8; // number of ranked agents considered for a request
    // How long an unreachable or unavailable agent is ranked last.
    millis avoid_duration = 1500ms;
    millis link_idle_timeout = 60000ms;     // time after which an unused link is closed
    std::size_t ack_interval_bytes = 32768; // bytes of an answer between two acknowledgements
    // No acknowledgement is sent while more bytes than this are buffered for a slow caller.
    std::size_t max_backlog_bytes = 131072;
    millis fence_timeout = 300ms; // maximum wait for a fence reply after the deadline
    // Consecutive failed connections after which a partly delivered answer is given up.
    unsigned max_failed_connects = 12;
};

/// Dispatches requests to agents and returns their answers; manages links, attempts, retries
/// and the resumption of interrupted answers.  Owned by the kernel as "dispatcher".
class entry_dispatcher : public service {
public:
    entry_dispatcher(kernel& core, entry_dispatcher_options options);
    entry_dispatcher(const entry_dispatcher&) = delete;
    entry_dispatcher& operator=(const entry_dispatcher&) = delete;
    ~entry_dispatcher() override;

    std::string_view name() const override { return "dispatcher"; }
    void start() override;
    bool idle() const override { return open_.empty(); }
    nlohmann::json describe() const override;

    /// Accepts a request; returns its sequence number, which is its handle for `abandon` and
    /// `on_backlog_drained`.
    std::uint64_t submit(entry_request request, answer_sink sink);
    /// Cancels a request whose caller has disconnected.
    void abandon(std::uint64_t handle);
    /// Called when all bytes buffered for a slow caller have been sent.
    void on_backlog_drained(std::uint64_t handle);

    std::size_t open_requests() const { return open_.size(); }

private:
    struct open_request {
        entry_request request;
        answer_sink sink;
        std::unique_ptr<request_attempts> attempts;
        answer_assembler answer;
        bool may_queue = false;
        std::vector<wire::seen_load> seen; // loads reported by agents that refused the request
        bool sent = false;                 // the current attempt was handed to a link
        bool head_delivered = false;       // `on_head` has been called
        bool fence_pending = false;        // the deadline has passed and a fence reply is awaited
        unsigned failed_connects = 0;      // consecutive failed connections to the agent
        std::uint64_t acknowledged = 0;    // number of bytes of the answer acknowledged so far
        kernel::timer pause_timer;
        kernel::timer deadline_timer;
    };

    using request_table = std::map<std::uint64_t, open_request>;

    void execute(std::uint64_t sequence, const request_action& action);
    void dispatch(std::uint64_t sequence, open_request& open);
    void send_dispatch(std::uint64_t sequence, open_request& open, agent_link& link);
    void on_deadline(std::uint64_t sequence);
    bool send_fence(std::uint64_t sequence, open_request& open);
    void finish(std::uint64_t sequence, outcome result, wire::refusal reason);
    void acknowledge(std::uint64_t sequence, open_request& open, bool always);

    wire::hello make_hello() const;
    std::vector<std::uint64_t> open_requests_at(const std::string& instance) const;
    void on_link_message(const std::string& instance, const wire::envelope& message);
    void on_link_welcome(const std::string& instance, bool same_incarnation);
    void on_link_unreachable(const std::string& instance);
    void on_verdict(const std::string& instance, const wire::verdict& message);
    void on_answer_part(const wire::answer_part& message);
    void on_fence_reply(const wire::fence_reply& message);
    void on_farewell(const std::string& instance, const wire::farewell& message);
    bool should_give_up(open_request& open) const;
    void tick();
    open_request* find_open_attempt(const wire::request_id& id, unsigned attempt);

    kernel& core_;
    entry_dispatcher_options options_;
    configuration_feed* configuration_ = nullptr;
    instance_directory* directory_ = nullptr;
    retry_budget retries_;
    agent_ranking ranking_;
    request_table open_;
    agent_links links_;
    std::uint64_t next_sequence_ = 1;
    kernel::timer tick_;
};

} // namespace cyclamen
