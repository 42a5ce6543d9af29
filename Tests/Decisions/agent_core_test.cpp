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
                                 end = message.answer_part().end();
                             }
                         },
                     .start_run = [](attempt_id, const wire::dispatch&) {},
                     .stop_run = [](attempt_id) {},
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
