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

/// A caller's request, checked.
struct entry_request {
    wire::dispatch message; // all but ids, attempt and incarnations is filled in
    placement_key place;
    millis deadline{0}; // on the monotonic clock
};

/// How a request ended, for its caller.
struct entry_result {
    outcome result = outcome::unknown;
    wire::refusal reason = wire::refusal_none;
    std::string ran_on; // instance, when it was answered
};

/// Receives one request's answer.  Called on the event loop.
struct answer_sink {
    std::function<void(unsigned status, const std::string& content_type, bool replayed,
                       const std::string& ran_on)>
        on_head;
    std::function<void(std::string_view data)> on_data;
    std::function<void(const entry_result&)> on_end; // called once, last
    /// True once bytes went to the caller, so that another engine cannot begin anew.
    std::function<bool()> committed;
    /// Bytes that wait for a slow caller.
    std::function<std::size_t()> backlog;
};

struct entry_dispatcher_options {
    request_attempts_options attempts{};
    retry_budget_options retries{};
    prefix_heat_options heat{};
    agent_link_options link{};
    std::size_t most_seen = 8;         // loads of refusing agents that travel along
    std::size_t candidates = 8;        // ranked engines considered for a request
    millis avoided = 1500ms;           // an agent that was unreachable, or said it stops
    millis link_idle = 60000ms;        // an unused link is closed
    std::size_t ack_every = 32768;     // bytes of an answer from one acknowledgement to the next
    std::size_t most_backlog = 131072; // bytes waiting for a slow caller without an ack
    millis fence_grace = 300ms;        // past the deadline, to learn what became of a request
    unsigned committed_patience = 12;  // failed connections before a begun answer is given up
};

/// Carries requests to agents and answers back: links, attempts, retries, resumption.
/// Owned by the kernel as "dispatcher".
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

    /// Takes a request; its handle serves `abandon` and `drained`.
    std::uint64_t submit(entry_request request, answer_sink sink);
    /// The caller left.
    void abandon(std::uint64_t handle);
    /// A slow caller took what waited for it.
    void drained(std::uint64_t handle);

    std::size_t open_requests() const { return open_.size(); }

private:
    struct open_request {
        entry_request request;
        answer_sink sink;
        std::unique_ptr<request_attempts> attempts;
        answer_assembler answer;
        bool may_queue = false;
        std::vector<wire::seen_load> seen; // of agents that refused for their load
        bool sent = false;                 // this attempt was handed to a link
        bool head_seen = false;
        bool fencing = false;     // the deadline passed; the agent is asked what became of it
        unsigned unreachable = 0; // times in a row that the agent could not be reached
        std::uint64_t acknowledged = 0;
        kernel::timer pause;
        kernel::timer deadline;
    };

    using request_table = std::map<std::uint64_t, open_request>;

    void carry_out(std::uint64_t sequence, const request_step& step);
    void dispatch(std::uint64_t sequence, open_request& open);
    void send_dispatch(std::uint64_t sequence, open_request& open, agent_link& link);
    void on_deadline(std::uint64_t sequence);
    bool send_fence(std::uint64_t sequence, open_request& open);
    void finish(std::uint64_t sequence, outcome result, wire::refusal reason);
    void acknowledge(std::uint64_t sequence, open_request& open, bool always);

    wire::hello greeting() const;
    std::vector<std::uint64_t> open_at(const std::string& instance) const;
    void on_link_message(const std::string& instance, const wire::envelope& message);
    void on_link_welcome(const std::string& instance, bool same);
    void on_link_unreachable(const std::string& instance);
    void on_verdict(const std::string& instance, const wire::verdict& message);
    void on_part(const wire::answer_part& message);
    void on_fence_reply(const wire::fence_reply& message);
    bool gives_up_waiting(open_request& open) const;
    void tick();
    open_request* find_current(const wire::request_id& id, unsigned attempt);

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
