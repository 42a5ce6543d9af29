// Tests of the event loop's timers.

#include "kernel.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace cyclamen;

// Guards against time-outs that expire at once: after a pause in the middle of an iteration, a
// timer counted from the start of that iteration, so that an idle limit had passed when it was set.
TEST(kernel_timer, counts_from_the_moment_at_which_it_is_set)
{
    constexpr millis pause = 200ms;
    constexpr millis delay = 150ms;
    kernel core({.program = "test", .instance = "test"});
    millis set_at{0};
    millis fired_at{0};
    kernel::timer second;
    const kernel::timer first = core.after(1ms, [&] {
        const millis until = core.now() + pause;
        while (core.now() < until) {
            // busy
        }
        set_at = core.now();
        second = core.after(delay, [&] {
            fired_at = core.now();
            event_base_loopbreak(core.loop());
        });
    });
    event_base_dispatch(core.loop());
    // Both clocks are read in whole milliseconds.
    EXPECT_GE(fired_at - set_at, delay - 1ms);
}
