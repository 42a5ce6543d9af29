#pragma once

#include "agent_core.h"
#include "claim_batcher.h"
#include "claim_ledger.h"
#include "configuration_state.h"
#include "request_attempts.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace cyclamen::test {

/// Kinds of steps of a schedule.  The numbers of a `scheduled_step` select the agent, request
/// or message that the step acts on, or an amount.
enum class fleet_step {
    deliver,
    drop,
    repeat, // duplicates a message
    read_log,
    append,
    append_and_lose_answer, // the append succeeds, but its response is lost
    toggle_log,
    restart_agent,
    toggle_freeze, // suspends or resumes an agent process
    end_run,
    crash_backend, // breaks the connection of a run
    pass_time,
    give_up_link, // the entry loses contact with the agent of an attempt
    send_fence,
    resend, // a caller sends another request with a key already in use
};

inline constexpr unsigned fleet_step_count = 15;

struct scheduled_step {
    unsigned kind = 0; // value of `fleet_step`, modulo `fleet_step_count`
    unsigned first = 0;
    unsigned second = 0;
};

/// Prints a step of a failing schedule.
std::ostream& operator<<(std::ostream& out, const scheduled_step& step);

struct fleet_model_options {
    unsigned agents = 3;
    unsigned keys = 2;
    wire::request_class repeat = wire::keyed;
    /// Every claim succeeds at once, as with a key table local to each agent.
    bool naive_claims = false;
    /// A silent link counts as proof that the request did not run.
    bool naive_silence = false;
};

/// Outcome of one request, and the number of executions over its attempts.
struct model_request_outcome {
    bool finished = false;
    outcome result = outcome::unknown;
    unsigned executions = 0;
};

/// Simulates a few agents, one entry and a log in a single thread, driven by a schedule of
/// steps.  The decision code is that of production; network, log, clock and backend servers
/// are fakes.
class fleet_model {
public:
    explicit fleet_model(fleet_model_options options);
    fleet_model(const fleet_model&) = delete;
    fleet_model& operator=(const fleet_model&) = delete;
    ~fleet_model();

    void run(const std::vector<scheduled_step>& schedule);
    /// Ends all faults, then delivers messages, completes runs and advances time, so that every
    /// request can finish.
    void settle();

    /// Number of executions of each idempotency key.
    const std::map<std::string, unsigned>& executions() const { return executions_by_key_; }
    std::vector<model_request_outcome> requests() const;

private:
    struct agent;
    struct request;
    struct network_packet {
        bool to_agent = true;
        unsigned agent = 0;
        std::uint64_t agent_incarnation = 0; // incarnation of the agent that sent a reply
        wire::envelope message;
    };

    void step(const scheduled_step& next);
    void start_agent(unsigned number);
    void begin_request(unsigned key);
    void apply_step(unsigned number, const request_action& step);
    void deliver(std::size_t at);
    void to_agent(const network_packet& packet);
    void to_entry(const network_packet& packet);
    void read_log(agent& reader, std::size_t max_records);
    void append(agent& writer, bool lose_response);
    void decide_claims(agent& holder);
    void end_run(agent& runner, run_outcome end);
    void tick();

    fleet_model_options options_;
    configuration_state configuration_;
    counters metrics_;
    millis now_{1000};
    std::uint64_t next_incarnation_ = 1;
    std::vector<std::unique_ptr<agent>> agents_;
    std::vector<std::unique_ptr<request>> requests_;
    std::vector<network_packet> network_;
    std::vector<claim_record> log_;
    bool log_up_ = true;
    std::map<std::string, unsigned> executions_by_key_;
    std::map<attempt_id, unsigned> executions_by_attempt_;
};

} // namespace cyclamen::test
