// Tests answers that begin before the whole request was sent, and how they may end.

#include "relay_harness.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

enum class framing { until_close, length, chunks };
enum class ending { reset_at_once, reset_later, half_close };

struct early_answer {
    framing frame = framing::until_close;
    bool whole = true; // as far as its framing tells
    ending end = ending::reset_at_once;
    unsigned minor_version = 1; // of the caller
    bool keep_alive = false;    // the caller asks for it
};

std::string text_of(const early_answer& answer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Signature: s\r\n";
    switch (answer.frame) {
    case framing::until_close:
        return head + "\r\nfirst part";
    case framing::length:
        return head + (answer.whole ? "Content-Length: 10" : "Content-Length: 20") +
               "\r\n\r\nfirst part";
    case framing::chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\na\r\nfirst part\r\n" +
               (answer.whole ? "0\r\n\r\n" : "");
    }
    return {};
}

class early_answers : public testing::TestWithParam<early_answer> {
protected:
    early_answers() : shops{&fleet.add_backend("s1"), &fleet.add_backend("s2")}
    {
        fleet.configure(relay_harness::configuration());
        for (scripted_backend* shop : shops) {
            shop->stop_reading();
        }
    }

    static std::string upload(const early_answer& answer, const std::string& path)
    {
        constexpr std::size_t more_than_sockets_hold = 4000000;
        return fmt::format("POST {} HTTP/1.{}\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                           "Authorization: Bearer k1\r\n{}Content-Length: {}\r\n\r\n{}",
                           path, answer.minor_version,
                           answer.keep_alive ? "Connection: keep-alive\r\n" : "",
                           more_than_sockets_hold, std::string(more_than_sockets_hold, 'x'));
    }

    std::size_t connections() const { return shops[0]->connections() + shops[1]->connections(); }

    scripted_backend& receiver_of_first()
    {
        EXPECT_TRUE(fleet.wait_for([&] { return connections() == 1; }));
        return shops[0]->connections() == 1 ? *shops[0] : *shops[1];
    }

    void finish(scripted_backend& shop, scripted_caller& caller, const early_answer& answer)
    {
        fleet.run_for(50ms); // the upload fills the sockets
        shop.respond_on_connection(0, text_of(answer));
        if (answer.end == ending::reset_at_once) {
            shop.close_connection(0);
            return;
        }
        EXPECT_TRUE(fleet.wait_for([&] {
            return caller.received().find("first part") != std::string::npos || caller.ended();
        }));
        if (answer.end == ending::reset_later) {
            shop.close_connection(0);
        }
        else {
            shop.half_close_connection(0);
        }
    }

    // Whether the caller takes what it has for a whole answer.
    static bool looks_whole(const scripted_caller& caller)
    {
        const std::string& text = caller.received();
        if (text.find("Content-Length: 10\r\n") != std::string::npos) {
            return text.ends_with("first part");
        }
        if (text.find("Transfer-Encoding: chunked") != std::string::npos) {
            return text.ends_with("0\r\n\r\n");
        }
        return text.find("Content-Length") == std::string::npos && caller.ended() &&
               !caller.was_reset();
    }

    relay_harness fleet;
    std::array<scripted_backend*, 2> shops;
};

} // namespace

// Guards against a part of an answer that its caller takes for the whole: the server reset the
// connection during the upload, a write took the error, and the read that followed saw an end.
TEST_P(early_answers, are_whole_or_visibly_broken)
{
    const early_answer& answer = GetParam();
    scripted_caller& caller = fleet.add_caller();
    caller.send(upload(answer, "/pay/"));
    scripted_backend& shop = receiver_of_first();
    finish(shop, caller, answer);
    const bool marked_whole = answer.frame != framing::until_close && answer.whole;
    const bool ends_whole =
        answer.frame == framing::until_close && answer.end == ending::half_close;
    ASSERT_TRUE(fleet.wait_for([&] {
        return caller.ended() || caller.status() == 502 || (marked_whole && looks_whole(caller));
    })) << caller.received();
    if (caller.status() == 200 && !marked_whole) {
        EXPECT_EQ(looks_whole(caller), ends_whole) << caller.received();
    }
    EXPECT_TRUE(caller.status() == 200 || caller.status() == 502 || caller.was_reset())
        << caller.status();
    if (ends_whole || (marked_whole && answer.end != ending::reset_at_once)) {
        EXPECT_TRUE(looks_whole(caller)) << caller.received();
    }
    EXPECT_EQ(connections(), 1U) << "a payment may have run";
    // The process serves on.
    scripted_caller& next = fleet.add_caller();
    for (scripted_backend* each : shops) {
        each->resume_reading();
    }
    next.send(get("/view/"));
    EXPECT_TRUE(fleet.wait_for([&] { return shops[0]->requests() + shops[1]->requests() > 0; }));
}

// The caller has had nothing yet, so that another server may answer.
TEST_P(early_answers, of_a_safe_request_are_whole_or_visibly_broken)
{
    const early_answer& answer = GetParam();
    scripted_caller& caller = fleet.add_caller();
    caller.send(upload(answer, "/view/"));
    scripted_backend& shop = receiver_of_first();
    finish(shop, caller, answer);
    const bool marked_whole = answer.frame != framing::until_close && answer.whole;
    const bool ends_whole =
        answer.frame == framing::until_close && answer.end == ending::half_close;
    ASSERT_TRUE(fleet.wait_for([&] {
        return caller.ended() || connections() == 2 || (marked_whole && looks_whole(caller));
    })) << caller.received();
    if (connections() == 1 && !marked_whole) {
        EXPECT_EQ(looks_whole(caller), ends_whole) << caller.received();
    }
    EXPECT_TRUE(connections() == 1 || caller.received().empty()) << caller.received();
}

namespace {

std::vector<early_answer> early_answer_cases()
{
    std::vector<early_answer> cases;
    for (const framing frame : {framing::until_close, framing::length, framing::chunks}) {
        for (const ending end : {ending::reset_at_once, ending::reset_later, ending::half_close}) {
            for (const bool whole : {true, false}) {
                if (frame == framing::until_close && !whole) {
                    continue; // nothing tells
                }
                cases.push_back({.frame = frame, .whole = whole, .end = end});
                cases.push_back({.frame = frame, .whole = whole, .end = end, .minor_version = 0});
                cases.push_back({.frame = frame,
                                 .whole = whole,
                                 .end = end,
                                 .minor_version = 0,
                                 .keep_alive = true});
            }
        }
    }
    return cases;
}

std::string name_of_case(const testing::TestParamInfo<early_answer>& info)
{
    static const std::array frames{"until_close", "length", "chunks"};
    static const std::array ends{"reset_at_once", "reset_later", "half_close"};
    const early_answer& given = info.param;
    return fmt::format("{}_{}_{}_to_1_{}{}", given.whole ? "whole" : "part",
                       frames.at(static_cast<std::size_t>(given.frame)),
                       ends.at(static_cast<std::size_t>(given.end)), given.minor_version,
                       given.keep_alive ? "_kept" : "");
}

} // namespace

INSTANTIATE_TEST_SUITE_P(of_servers, early_answers, testing::ValuesIn(early_answer_cases()),
                         name_of_case);
