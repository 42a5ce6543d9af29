// Tests what an agent concludes from the ends of runs at its backend server.

#include "agent_core.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

constexpr std::uint64_t agent_incarnation = 5;

class agent_of_engine : public testing::Test {
protected:
    agent_of_engine()
    {
        wire::hello greeting;
        greeting.set_incarnation(1);
        greeting.set_next_sequence(1);
        greeting.set_sent_at_ms(static_cast<std::uint64_t>(now.count()));
        core.on_hello("entry", greeting, now);
    }

    // Sends a chat whose earlier messages have these hashes; returns the reason of a refusal.
    wire::refusal dispatch(std::uint64_t fingerprint, const std::vector<std::uint64_t>& parts)
    {
        wire::dispatch message;
        id = {.entry_incarnation = 1, .sequence = ++last_sequence, .attempt = 1};
        name_attempt(message, id);
        message.set_agent_incarnation(agent_incarnation);
        message.set_service("model");
        message.set_repeat(wire::idempotent);
        message.set_deadline_ms(60000);
        message.set_sent_at_ms(static_cast<std::uint64_t>(now.count()));
        message.set_fingerprint(fingerprint);
        message.set_body(body);
        message.set_may_queue(true);
        for (const std::uint64_t part : parts) {
            message.add_prompt_parts(part);
        }
        reason = wire::refusal_none;
        core.on_dispatch("entry", message, now);
        return reason;
    }

    void answer(const std::string& text)
    {
        core.on_answer_head(id, 200, "text/event-stream", now);
        core.on_answer_data(id, text, now);
        core.on_run_end(id, run_outcome::complete, now);
    }

    void crash()
    {
        core.on_backend_state(false, true);
        core.on_run_end(id, run_outcome::crashed, now);
        now += 3000ms;
        core.on_backend_state(true, false);
    }

    millis now{1000};
    configuration_state configuration;
    counters metrics;
    attempt_id id;
    std::uint64_t last_sequence = 0;
    wire::refusal reason = wire::refusal_none;
    wire::answer_end end = wire::more;
    std::vector<wire::envelope> parts; // of answers
    unsigned stopped = 0;              // runs that were stopped
    std::string body;                  // of the requests
    agent_core core{{.instance = "a1", .service = "model", .incarnation = agent_incarnation},
                    configuration,
                    metrics,
                    {.send =
                         [this](const std::string& /*route*/, const wire::envelope& message) {
                             if (message.has_verdict() &&
                                 message.verdict().kind() == wire::refused) {
                                 reason = message.verdict().reason();
                             }
                             if (message.has_answer_part()) {
                                 parts.push_back(message);
                                 end = message.answer_part().end();
                             }
                         },
                     .start_run = [](attempt_id, const wire::dispatch&) {},
                     .stop_run = [this](attempt_id) { ++stopped; },
                     .claims_ready = [] { return claim_readiness::ready; },
                     .key_lookup = [](const std::string&) { return key_status{}; },
                     .key_expired = [](const std::string&) { return std::optional<bool>(false); },
                     .claim = [](attempt_id, const key_claim&) {},
                     .release = [](const key_release&) {},
                     .record_answer = [](const key_answer&) {},
                     .gossip_crash_evidence = [](const wire::crash_evidence&) {}}};
};

} // namespace

// Guards against a stream without a length whose connection breaks inside an event and that looks
// complete to its caller.
TEST_F(agent_of_engine, takes_a_stream_that_ends_inside_an_event_as_broken_off)
{
    ASSERT_EQ(dispatch(1, {}), wire::refusal_none);
    answer("data: one\n\ndata: tw");
    EXPECT_EQ(end, wire::failed_maybe_run);
    ASSERT_EQ(dispatch(2, {}), wire::refusal_none);
    answer("data: one\n\ndata: two\n\n");
    EXPECT_EQ(end, wire::complete);
}

// Guards against chats that are not alike but share a harmful message, and crash one engine after
// the other, and against a quarantine that takes sound chats of the same start along.
TEST_F(agent_of_engine, refuses_chats_with_a_message_that_crashes_engines)
{
    constexpr std::uint64_t first_message = 10;
    constexpr std::uint64_t harmful_message = 11;
    for (std::uint64_t chat = 100; chat < 103; ++chat) {
        ASSERT_EQ(dispatch(chat, {first_message, harmful_message}), wire::refusal_none);
        crash();
    }
    EXPECT_EQ(dispatch(103, {first_message, harmful_message}), wire::quarantined);
    EXPECT_EQ(dispatch(104, {first_message, 12}), wire::refusal_none);
}

// Guards against an answer that its entry never gets: a message whose text is not UTF-8 cannot be
// read.
TEST_F(agent_of_engine, passes_an_answer_on_whose_content_type_is_not_utf_8)
{
    ASSERT_EQ(dispatch(1, {}), wire::refusal_none);
    core.on_answer_head(id, 200, "text/\xff; a=b", now);
    core.on_answer_data(id, "x", now);
    core.on_run_end(id, run_outcome::complete, now);
    EXPECT_EQ(end, wire::complete);
    wire::envelope read;
    ASSERT_TRUE(read.ParseFromString(parts.at(0).SerializeAsString()));
    EXPECT_EQ(read.answer_part().content_type(), "text/?; a=b");
}

// stalled engine: guards against a run that sends a byte now and then and holds its slot for ever.
TEST_F(agent_of_engine, gives_up_a_run_that_goes_on_long_after_its_deadline)
{
    ASSERT_EQ(dispatch(1, {}), wire::refusal_none);
    core.on_answer_head(id, 200, "text/event-stream", now);
    const millis until = now + 3600000ms;
    while (now < until && core.in_flight() > 0) {
        now += 1000ms;
        core.on_route_activity("entry", now);
        core.on_answer_data(id, ":", now);
        core.on_tick(now);
    }
    EXPECT_EQ(core.in_flight(), 0U);
    EXPECT_EQ(end, wire::failed_maybe_run);
    EXPECT_EQ(stopped, 1U);
}

// slow engine: guards against the end of a sound stream that takes all of its time.
TEST_F(agent_of_engine, lets_a_slow_stream_go_on_until_its_deadline)
{
    ASSERT_EQ(dispatch(1, {}), wire::refusal_none);
    core.on_answer_head(id, 200, "text/event-stream", now);
    for (const millis until = now + 59000ms; now < until;) {
        now += 1000ms;
        core.on_route_activity("entry", now);
        core.on_answer_data(id, "data: x\n\n", now);
        core.on_tick(now);
    }
    core.on_run_end(id, run_outcome::complete, now);
    EXPECT_EQ(end, wire::complete);
    EXPECT_EQ(stopped, 0U);
}

// answers without end: guards against the sum over all runs, each of which is within its limit.
TEST_F(agent_of_engine, bounds_what_all_unacknowledged_answers_hold_together)
{
    constexpr std::size_t limit = 67108864;
    constexpr std::size_t piece = 65536;
    std::map<attempt_id, std::size_t> held;
    for (std::uint64_t chat = 1; chat <= 12; ++chat) {
        ASSERT_EQ(dispatch(chat, {}), wire::refusal_none);
        core.on_answer_head(id, 200, "text/plain", now);
        held[id] = 0;
    }
    const std::string data(piece, 'x');
    for (std::size_t round = 0; round < 120; ++round) {
        for (auto& [run, bytes] : held) {
            end = wire::more;
            core.on_answer_data(run, data, now);
            bytes = end == wire::more ? bytes + piece : 0;
        }
    }
    std::size_t sum = 0;
    for (const auto& [run, bytes] : held) {
        sum += bytes;
    }
    EXPECT_LE(sum, limit);
    EXPECT_GT(sum, limit / 4);
}

// large requests: guards against the sum over those that wait.
TEST_F(agent_of_engine, bounds_what_all_waiting_requests_hold_together)
{
    constexpr std::size_t limit = 67108864;
    body = std::string(4194304, 'x');
    std::size_t accepted = 0;
    for (std::uint64_t chat = 1; chat <= 40; ++chat) {
        accepted += dispatch(chat, {}) == wire::refusal_none ? 1 : 0;
    }
    EXPECT_LE(accepted * body.size(), limit);
    EXPECT_GE(accepted, 2U);
    body = "small";
    EXPECT_EQ(dispatch(50, {}), wire::refusal_none);
}

namespace {

// How a run ends whose engine has crashed.
struct run_way {
    std::string name;
    std::function<void(agent_core& core, attempt_id id, millis now)> end;
};

std::ostream& operator<<(std::ostream& out, const run_way& way)
{
    return out << way.name;
}

std::vector<run_way> run_ways()
{
    const auto answers = [](unsigned status) {
        return [status](agent_core& core, attempt_id id, millis now) {
            core.on_answer_head(id, status, "text/plain", now);
            core.on_run_end(id, run_outcome::complete, now);
            core.on_backend_ended(now + 50ms);
        };
    };
    const auto ends = [](run_outcome outcome, bool ended_before) {
        return [outcome, ended_before](agent_core& core, attempt_id id, millis now) {
            if (ended_before) {
                core.on_backend_ended(now);
            }
            core.on_run_end(id, outcome, now + 50ms);
            if (!ended_before) {
                core.on_backend_ended(now + 400ms);
            }
        };
    };
    return {
        {"crashed", ends(run_outcome::crashed, false)},
        {"lost", ends(run_outcome::lost, false)},
        {"lost_after_the_probe", ends(run_outcome::lost, true)},
        {"too_large", ends(run_outcome::too_large, false)},
        {"own_failure", answers(500)},
        {"own_rejection", answers(400)},
        {"complete", answers(200)},
        {"abandoned",
         [](agent_core& core, attempt_id id, millis now) {
             wire::cancel_fence fence;
             name_attempt(fence, id);
             fence.set_agent_incarnation(agent_incarnation);
             fence.set_abandon(true);
             core.on_fence("entry", fence, now);
             core.on_backend_ended(now + 50ms);
         }},
        {"orphaned",
         [](agent_core& core, attempt_id /*id*/, millis now) {
             core.on_tick(now + 11000ms); // nothing was heard of the entry
             core.on_backend_ended(now + 11050ms);
         }},
    };
}

class agent_of_crashing_engine : public agent_of_engine,
                                 public testing::WithParamInterface<run_way> {};

} // namespace

// Guards against a request that crashes one engine after the other because the way in which its
// runs end at the agents is not counted.
TEST_P(agent_of_crashing_engine, counts_a_crash_however_the_run_ends)
{
    for (int crash = 0; crash < 2; ++crash) {
        ASSERT_EQ(dispatch(100, {}), wire::refusal_none) << "crash " << crash;
        GetParam().end(core, id, now);
        now += 15000ms;
        core.on_backend_state(false, true);
        core.on_backend_state(true, false);
    }
    EXPECT_EQ(dispatch(100, {}), wire::quarantined);
    EXPECT_EQ(dispatch(101, {}), wire::refusal_none);
}

INSTANTIATE_TEST_SUITE_P(all, agent_of_crashing_engine, testing::ValuesIn(run_ways()),
                         [](const auto& row) { return row.param.name; });
