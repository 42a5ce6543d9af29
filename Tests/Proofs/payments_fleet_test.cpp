#include "call_history.h"
#include "local_fleet.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

using namespace cyclamen::test;
using namespace std::chrono_literals;

namespace {

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Callers that make payments until stopped. A payment that does not get status 200 is retried
// through the other entry, with at most three attempts in total.
class paying_callers {
public:
    paying_callers(local_fleet& fleet, unsigned callers, unsigned deadline_ms)
        : fleet_(fleet), deadline_ms_(deadline_ms)
    {
        for (unsigned number = 0; number < callers; ++number) {
            threads_.emplace_back([this, number] { pay_until_stopped(number); });
        }
    }
    paying_callers(const paying_callers&) = delete;
    paying_callers& operator=(const paying_callers&) = delete;
    ~paying_callers() { stop(); }

    void stop()
    {
        stopped_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    call_history& history() { return history_; }
    // Waits until `additional` more payments have succeeded. Returns false if that takes over 30 s.
    bool wait_for_responses(std::size_t additional)
    {
        const std::size_t goal = answered_ + additional;
        return local_fleet::wait_for([&] { return answered_ >= goal; }, 30s);
    }

private:
    void pay_until_stopped(unsigned caller)
    {
        constexpr unsigned max_attempts = 3;
        for (unsigned number = 0; !stopped_; ++number) {
            const std::string key = "jar-" + std::to_string(caller) + "-" + std::to_string(number);
            for (unsigned attempt = 0; attempt < max_attempts; ++attempt) {
                recorded_call call{.key = key, .body = "pay for " + key};
                call.started_at_ms = wall_clock_ms();
                const call_result response =
                    fleet_.pay((caller + attempt) % 2, key, call.body, deadline_ms_);
                call.outcome = outcome_of(response);
                call.response = response.body;
                history_.add(call);
                if (call.outcome == call_outcome::answered) {
                    ++answered_;
                    break;
                }
            }
        }
    }

    local_fleet& fleet_;
    unsigned deadline_ms_;
    call_history history_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::size_t> answered_{0};
    std::vector<std::thread> threads_;
};

void expect_no_violation(local_fleet& fleet, const call_history& history)
{
    for (const std::string& line : find_violations(history.calls(), fleet.executions())) {
        ADD_FAILURE() << line;
    }
    std::printf("calls %zu: answered %zu, not_run %zu, unknown %zu, no response %zu\n",
                history.calls().size(), history.count(call_outcome::answered),
                history.count(call_outcome::not_run), history.count(call_outcome::unknown),
                history.count(call_outcome::no_response));
    if (::testing::Test::HasFailure()) {
        std::printf("%s\n", fleet.logs().c_str());
    }
}

// Faults that the tests inject while callers make payments.
void kill_agent(local_fleet& fleet)
{
    fleet.plain_server(0).process->kill();
    fleet.restart(fleet.plain_server(0));
}

void freeze_agent(local_fleet& fleet, paying_callers& callers)
{
    fleet.plain_server(1).process->signal(SIGSTOP);
    EXPECT_TRUE(callers.wait_for_responses(10)); // served by the other agent
    fleet.plain_server(1).process->signal(SIGCONT);
}

void kill_entry(local_fleet& fleet)
{
    fleet.entry(0).process->kill();
    fleet.restart(fleet.entry(0));
}

// The log stores the next 4 appends, but sends no response to them.
void lose_log_responses(local_fleet& fleet)
{
    fleet.post(fleet.log_port(), "/faults", {{"lose_answers", 4}});
}

// A new process of the backend server starts at the same address.
void replace_backend(local_fleet& fleet)
{
    fleet.plain_server(0).backend->kill();
    fleet.restart_backend(fleet.plain_server(0));
}

} // namespace

TEST(payments, run_at_most_once_while_an_agent_is_killed)
{
    local_fleet fleet({});
    paying_callers callers(fleet, 6, 4000);
    for (unsigned round = 0; round < 3; ++round) {
        ASSERT_TRUE(callers.wait_for_responses(20));
        kill_agent(fleet);
    }
    EXPECT_TRUE(callers.wait_for_responses(20));
    callers.stop();
    expect_no_violation(fleet, callers.history());
}

TEST(payments, run_at_most_once_while_an_agent_is_frozen_and_woken)
{
    local_fleet fleet({});
    paying_callers callers(fleet, 6, 2500);
    for (unsigned round = 0; round < 2; ++round) {
        ASSERT_TRUE(callers.wait_for_responses(20));
        freeze_agent(fleet, callers);
    }
    EXPECT_TRUE(callers.wait_for_responses(20));
    callers.stop();
    expect_no_violation(fleet, callers.history());
}

TEST(payments, run_at_most_once_while_an_entry_is_killed)
{
    local_fleet fleet({});
    paying_callers callers(fleet, 6, 4000);
    for (unsigned round = 0; round < 2; ++round) {
        ASSERT_TRUE(callers.wait_for_responses(20));
        kill_entry(fleet);
    }
    EXPECT_TRUE(callers.wait_for_responses(20));
    callers.stop();
    expect_no_violation(fleet, callers.history());
}

TEST(payments, run_at_most_once_while_the_log_loses_answers_and_goes_away)
{
    local_fleet fleet({});
    paying_callers callers(fleet, 6, 2500);
    ASSERT_TRUE(callers.wait_for_responses(20));
    lose_log_responses(fleet);
    ASSERT_TRUE(callers.wait_for_responses(20));
    fleet.post(fleet.log_port(), "/faults", {{"outage", true}});
    EXPECT_TRUE(local_fleet::wait_for(
        [&] { return callers.history().count(call_outcome::not_run) > 10; }, 20s));
    fleet.post(fleet.log_port(), "/faults", {{"outage", false}});
    EXPECT_TRUE(callers.wait_for_responses(20));
    fleet.post(fleet.log_port(), "/faults", {{"delay_ms", 200}});
    EXPECT_TRUE(callers.wait_for_responses(20));
    callers.stop();
    expect_no_violation(fleet, callers.history());
}

TEST(payments, run_at_most_once_while_a_backend_server_is_replaced)
{
    local_fleet fleet({});
    paying_callers callers(fleet, 6, 4000);
    for (unsigned round = 0; round < 3; ++round) {
        ASSERT_TRUE(callers.wait_for_responses(20));
        replace_backend(fleet);
    }
    EXPECT_TRUE(callers.wait_for_responses(20));
    callers.stop();
    expect_no_violation(fleet, callers.history());
}

TEST(payments, run_at_most_once_under_all_faults_twice)
{
    local_fleet fleet({});
    paying_callers callers(fleet, 6, 2500);
    for (unsigned round = 0; round < 2; ++round) {
        ASSERT_TRUE(callers.wait_for_responses(10));
        lose_log_responses(fleet);
        kill_agent(fleet);
        fleet.publish_list({"desk-1"});
        ASSERT_TRUE(callers.wait_for_responses(10));
        fleet.publish_list();
        ASSERT_TRUE(callers.wait_for_responses(10));
        freeze_agent(fleet, callers);
        kill_entry(fleet);
        replace_backend(fleet);
        ASSERT_TRUE(callers.wait_for_responses(10));
    }
    callers.stop();
    expect_no_violation(fleet, callers.history());
}

TEST(payments, the_same_key_with_another_body_is_refused)
{
    local_fleet fleet({});
    ASSERT_EQ(fleet.pay(0, "jar", "one").status, 200);
    EXPECT_EQ(fleet.pay(1, "jar", "two").status, 422);
    EXPECT_EQ(fleet.execution_count("jar"), 1U);
}

TEST(payments, an_expired_key_is_refused)
{
    local_fleet fleet({});
    // A UUIDv7 key with a timestamp of June 2023, long before the default key window of one hour.
    const call_result response = fleet.pay(0, "01890000-0000-7000-8000-000000000000", "old");
    EXPECT_EQ(response.status, 400);
    EXPECT_EQ(outcome_of(response), call_outcome::not_run);
    EXPECT_TRUE(fleet.executions().empty());
}
