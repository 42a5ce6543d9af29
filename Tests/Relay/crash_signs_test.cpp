// Tests that a request which ends the backend servers that run it is counted however the loss of
// the request and the end of the server show.

#include "relay_harness.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <ostream>

using namespace cyclamen;

namespace {

const std::string event_stream = "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n"
                                 "Content-Type: text/event-stream\r\n\r\n";

class crash_signs : public testing::Test {
protected:
    static constexpr unsigned threshold = 3; // crashes from which a request is refused

    crash_signs() { fleet.configure(relay_harness::configuration()); }

    // Adds a server under a new id.
    std::string add_server()
    {
        std::string id = fmt::format("s{}", ++last_server);
        servers[id] = &fleet.add_backend(id);
        return id;
    }

    backend_entry entry_of(const std::string& id)
    {
        return fleet.state().backends().find(id)->entry;
    }

    // Lists the server as started again.
    void restart(const std::string& id)
    {
        backend_entry again = entry_of(id);
        ++again.started_at;
        fleet.state().update_backend(again);
    }

    std::size_t arrivals() const
    {
        std::size_t count = 0;
        for (const auto& [id, server] : servers) {
            count += server->requests();
        }
        return count;
    }

    // Keeps requests away from the server, without a sign of its end.
    void stop_using(const std::string& id)
    {
        if (fleet.state().backends().find(id) == nullptr) {
            return;
        }
        backend_entry entry = entry_of(id);
        entry.draining = true;
        ++entry.sequence;
        fleet.state().update_backend(entry);
    }

    // Sends the request, and returns the id of the server at which it arrives; an empty text if
    // it is refused before.
    std::string send(scripted_caller& caller, const std::string& request)
    {
        std::map<std::string, std::size_t> before;
        for (const auto& [id, server] : servers) {
            before[id] = server->requests();
        }
        const std::size_t count = arrivals();
        caller.send(request);
        EXPECT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || arrivals() > count; }));
        for (const auto& [id, server] : servers) {
            if (server->requests() > before[id]) {
                return id;
            }
        }
        return {};
    }

    std::string send(const std::string& request) { return send(fleet.add_caller(), request); }

    // Sends the request to a server that resets the connection.
    std::string send_and_reset(const std::string& request)
    {
        scripted_caller& caller = fleet.add_caller();
        std::string id = send(caller, request);
        if (!id.empty()) {
            servers[id]->reset(servers[id]->requests() - 1);
            EXPECT_TRUE(fleet.wait_for([&] { return caller.status() != 0 || caller.ended(); }));
        }
        return id;
    }

    void expect_refused(const std::string& request)
    {
        const std::size_t before = arrivals();
        scripted_caller& caller = fleet.add_caller();
        EXPECT_EQ(send(caller, request), "") << "sent to one more server";
        EXPECT_EQ(caller.status(), 503);
        EXPECT_EQ(arrivals(), before);
    }

    void expect_served(const std::string& request)
    {
        scripted_caller& caller = fleet.add_caller();
        const std::string id = send(caller, request);
        ASSERT_NE(id, "") << "refused with status " << caller.status();
        servers[id]->respond(servers[id]->requests() - 1, response_of("q1", "served"));
        EXPECT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("served"); }));
    }

    relay_harness fleet;
    std::map<std::string, scripted_backend*> servers; // by id
    unsigned last_server = 0;
};

// How the attempt ends whose server crashes.
struct loss_way {
    std::string name;
    std::string request;
    // Ends the attempt, as its server or its caller.
    std::function<void(scripted_backend&, std::size_t index, scripted_caller&)> end;
};

std::ostream& operator<<(std::ostream& out, const loss_way& way)
{
    return out << way.name;
}

std::vector<loss_way> loss_ways()
{
    const auto responds = [](const std::string& text, bool then_closes) {
        return [text, then_closes](scripted_backend& server, std::size_t index,
                                   scripted_caller& /*caller*/) {
            server.respond(index, text);
            if (then_closes) {
                server.close(index);
            }
        };
    };
    const std::string poison = post("/pay/", "poison");
    return {
        {"reset", poison,
         [](scripted_backend& server, std::size_t index, scripted_caller& /*caller*/) {
             server.reset(index);
         }},
        {"closed", poison,
         [](scripted_backend& server, std::size_t index, scripted_caller& /*caller*/) {
             server.close(index);
         }},
        {"half_a_head", poison, responds("HTTP/1.1 200 OK\r\nContent-Le", true)},
        {"half_an_event", post("/tell/", "poison"), responds(event_stream + "id: 1\nda", true)},
        {"unmarked_end", post("/tell/", "poison"), responds(event_stream + "id: 1\n\n", true)},
        {"no_http", poison, responds("oops\r\n\r\n", true)},
        {"own_failure", poison, responds(response_of("q1", "oops", 500), false)},
        {"own_failure_of_a_look_up", get("/brief/poison"),
         responds(response_of("q1", "oops", 500), false)},
        {"unproven_promise", poison, responds(response_of("q1", "full", 503), false)},
        {"own_rejection", poison, responds(response_of("q1", "no", 400), false)},
        {"complete", poison, responds(response_of("q1", "done", 200), false)},
        {"answer_to_another", poison, responds(response_of("q9", "done", 200), true)},
        {"deadline", post("/pay/", "poison", "Deadline-Ms: 30\r\n"),
         [](scripted_backend& /*server*/, std::size_t /*index*/, scripted_caller& /*caller*/) {}},
        {"caller_leaves", poison,
         [](scripted_backend& /*server*/, std::size_t /*index*/, scripted_caller& caller) {
             caller.close();
         }},
    };
}

class crash_signs_loss : public crash_signs, public testing::WithParamInterface<loss_way> {};

} // namespace

// Guards against a request that is sent without end because the way in which its attempts end is
// not counted.
TEST_P(crash_signs_loss, is_counted_however_the_attempt_ends)
{
    for (int count = 0; count < 2; ++count) {
        add_server();
    }
    for (unsigned crash = 1; crash <= threshold; ++crash) {
        scripted_caller& caller = fleet.add_caller();
        const std::string id = send(caller, GetParam().request);
        ASSERT_NE(id, "") << "crash " << crash;
        GetParam().end(*servers[id], servers[id]->requests() - 1, caller);
        scripted_backend& server = *servers[id];
        ASSERT_TRUE(fleet.wait_for([&] {
            return caller.status() != 0 || caller.ended() ||
                   server.closed_by_relay(server.requests() - 1);
        }));
        fleet.run_for(5ms);
        restart(id);
    }
    expect_refused(GetParam().request);
    expect_served(post("/pay/", "sound"));
}

INSTANTIATE_TEST_SUITE_P(all, crash_signs_loss, testing::ValuesIn(loss_ways()),
                         [](const auto& row) { return row.param.name; });

class crash_signs_end : public crash_signs, public testing::WithParamInterface<std::string> {
protected:
    // Shows the end of the server in the way of the parameter.
    void show_end(const std::string& id)
    {
        const std::string& way = GetParam();
        backend_entry entry = entry_of(id);
        if (way.starts_with("draining")) {
            entry.draining = true;
            ++entry.sequence;
            fleet.state().update_backend(entry);
        }
        if (way == "restarted" || way == "draining_and_restarted") {
            entry.draining = false;
            ++entry.started_at;
            fleet.state().update_backend(entry);
        }
        else if (way == "restarted_elsewhere") {
            const std::string other = add_server();
            entry.address.port = servers[other]->port();
            fleet.state().remove_backend(other);
            servers[id] = servers[other];
            servers.erase(other);
            fleet.state().update_backend(entry);
        }
        else if (way == "removed" || way == "draining_and_removed") {
            fleet.state().remove_backend(id);
        }
        else if (way == "removed_after_leaving") {
            fleet.state().backend_leaves(id, fleet.state().backends().find(id)->incarnation());
            fleet.state().remove_backend(id);
        }
        else if (way == "refused" || way == "draining_and_refused") {
            fleet.state().backend_unreachable(*fleet.state().backends().find(id), true);
        }
        else if (way == "address_used_again") {
            entry.id = id + "-next";
            entry.service = "office";
            ++entry.started_at;
            fleet.state().update_backend(entry);
        }
        else if (way == "other_id_answers") {
            // Another request finds another server at the address.
            expect_misdirected(id);
        }
        else if (way == "removed_by_a_peer") {
            wire::crash_evidence evidence;
            evidence.add_down()->set_server(fleet.state().backends().find(id)->incarnation());
            fleet.state().merge_crash_evidence(evidence);
        }
    }

    // Sends requests until one arrives at the server, which answers that it is another one.
    void expect_misdirected(const std::string& id)
    {
        for (int count = 0; count < 50; ++count) {
            scripted_caller& caller = fleet.add_caller();
            const std::string at = send(caller, post("/pay/", fmt::format("other {}", count)));
            ASSERT_NE(at, "");
            if (at == id) {
                servers[at]->respond(servers[at]->requests() - 1,
                                     response_of("q1", "", 421, "Not-Executed: 1\r\n"));
                fleet.run_for(5ms);
                return;
            }
            servers[at]->respond(servers[at]->requests() - 1, response_of("q1", "served"));
            ASSERT_TRUE(fleet.wait_for([&] { return caller.received().ends_with("served"); }));
        }
        FAIL() << "no request arrived at " << id;
    }
};

// Guards against a request that is sent without end because the way in which its servers' ends
// show is not counted.
TEST_P(crash_signs_end, is_counted_however_it_shows)
{
    for (unsigned crash = 1; crash <= threshold; ++crash) {
        add_server();
        add_server();
        const std::string id = send_and_reset(post("/pay/", "poison"));
        ASSERT_NE(id, "") << "crash " << crash;
        ASSERT_NO_FATAL_FAILURE(show_end(id));
        stop_using(id);
    }
    add_server();
    expect_refused(post("/pay/", "poison"));
    expect_served(post("/pay/", "sound"));
}

INSTANTIATE_TEST_SUITE_P(all, crash_signs_end,
                         testing::Values("restarted", "restarted_elsewhere", "removed", "refused",
                                         "removed_after_leaving", "draining_and_restarted",
                                         "draining_and_removed", "draining_and_refused",
                                         "address_used_again", "other_id_answers",
                                         "removed_by_a_peer"),
                         [](const auto& row) { return row.param; });

namespace {

struct request_pair {
    std::string name;
    std::function<std::string(unsigned number)> request; // the same one, sent for the Nth time
};

std::ostream& operator<<(std::ostream& out, const request_pair& row)
{
    return out << row.name;
}

std::vector<request_pair> same_requests()
{
    const auto keyed = [](const std::string& key, const std::string& body) {
        return fmt::format("POST /pay/poison HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                           "Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{}",
                           key, body.size(), body);
    };
    return {
        {"body", [](unsigned /*number*/) { return post("/pay/poison", "x"); }},
        {"no_body", [](unsigned /*number*/) { return post("/pay/poison", ""); }},
        {"no_length", [](unsigned /*number*/) { return get("/pay/poison"); }},
        {"chunks",
         [](unsigned number) {
             return number == 0 ? post("/pay/poison", "xy")
                                : std::string("POST /pay/poison HTTP/1.1\r\nHost: h.example\r\n"
                                              "Attempt-Id: q1\r\nAuthorization: Bearer k1\r\n"
                                              "Transfer-Encoding: chunked\r\n\r\n"
                                              "1\r\nx\r\n1\r\ny\r\n0\r\n\r\n");
         }},
        {"another_key_of_the_account",
         [keyed](unsigned number) { return keyed(number % 2 == 0 ? "k1" : "k2", "x"); }},
        {"another_end_of_the_prompt",
         [](unsigned number) {
             return post("/tell/poison", "x",
                         fmt::format("Prefix-Hash: a1:700,{:x}:30\r\n", 100 + number));
         }},
        {"other_headers",
         [](unsigned number) {
             return post("/pay/poison", "x",
                         fmt::format("X-Try: {}\r\nDeadline-Ms: {}\r\n", number, 900 + number));
         }},
    };
}

class crash_signs_same : public crash_signs, public testing::WithParamInterface<request_pair> {};

} // namespace

// Guards against a request that is sent without end because it is not recognised: it comes again
// with the same path, caller and body, which may be empty.
TEST_P(crash_signs_same, is_recognised)
{
    add_server();
    add_server();
    for (unsigned crash = 0; crash < threshold; ++crash) {
        const std::string id = send_and_reset(GetParam().request(crash));
        ASSERT_NE(id, "") << "crash " << crash;
        restart(id);
    }
    expect_refused(GetParam().request(threshold));
    expect_served(post("/pay/sound", "x"));
}

INSTANTIATE_TEST_SUITE_P(all, crash_signs_same, testing::ValuesIn(same_requests()),
                         [](const auto& row) { return row.param.name; });

// Guards against a crash that is not counted because its server's end is known before the attempt
// ends: the server fell silent.
TEST_F(crash_signs, are_joined_if_the_end_of_the_server_shows_before_the_loss)
{
    add_server();
    add_server();
    std::vector<std::pair<scripted_caller*, std::string>> open;
    for (unsigned crash = 1; crash <= threshold; ++crash) {
        scripted_caller& caller = fleet.add_caller();
        const std::string id = send(caller, post("/pay/", "poison"));
        ASSERT_NE(id, "") << "crash " << crash;
        restart(id);
        open.emplace_back(&caller, id);
    }
    expect_refused(post("/pay/", "poison"));
}

// Guards against a request whose crashes count for nothing because other requests that were lost
// in them take them on, and against sound requests that are refused since they were lost beside.
TEST_F(crash_signs, leave_sound_requests_that_are_lost_beside_alone)
{
    for (unsigned crash = 1; crash <= threshold; ++crash) {
        // They are in flight at the same server.
        const std::string id = add_server();
        for (const auto& [other, server] : servers) {
            if (other != id) {
                stop_using(other);
            }
        }
        scripted_caller& popular = fleet.add_caller();
        scripted_caller& sound = fleet.add_caller();
        ASSERT_EQ(send(popular, get("/view/popular")), id);
        ASSERT_EQ(send(sound, post("/pay/", fmt::format("sound {}", crash))), id);
        ASSERT_EQ(send(post("/pay/", "poison")), id);
        const std::string next = add_server();
        for (std::size_t index = 0; index < 3; ++index) {
            servers[id]->reset(index);
        }
        ASSERT_TRUE(fleet.wait_for([&] { return servers[next]->requests() == 1; }));
        servers[next]->respond(0, response_of("q1", "served"));
        ASSERT_TRUE(fleet.wait_for([&] { return popular.status() == 200; }));
        fleet.state().remove_backend(id);
        servers.erase(id);
        ASSERT_NO_FATAL_FAILURE(expect_served(get("/view/popular")));
        ASSERT_NO_FATAL_FAILURE(expect_served(post("/pay/", fmt::format("sound {}", crash))));
    }
    expect_refused(post("/pay/", "poison"));
    expect_served(get("/view/popular"));
    expect_served(post("/pay/", "sound 1"));
}

// Guards against a request that is sent without end because no sign of its servers' ends comes:
// they start again at once while the source of their entries is away.
TEST_F(crash_signs, are_not_needed_if_the_service_serves_others)
{
    for (unsigned crash = 1; crash <= threshold; ++crash) {
        add_server();
        add_server();
        const std::string id = send_and_reset(post("/pay/", "poison"));
        ASSERT_NE(id, "");
        stop_using(id);
        ASSERT_NO_FATAL_FAILURE(expect_served(post("/pay/", fmt::format("sound {}", crash))));
    }
    add_server();
    expect_refused(post("/pay/", "poison"));
}

// restart beside cold return: guards against a sound request, and all that shares a part with it,
// that is quarantined because servers that are down refuse its connections.
TEST_F(crash_signs, are_not_refused_connections)
{
    for (unsigned count = 0; count < threshold + 2; ++count) {
        servers[add_server()]->stop_listening();
    }
    for (unsigned count = 0; count < threshold + 2; ++count) {
        scripted_caller& caller = fleet.add_caller();
        caller.send(post("/pay/", "sound"));
        ASSERT_TRUE(fleet.wait_for([&] { return caller.status() != 0; }));
        EXPECT_EQ(caller.status(), 503);
        EXPECT_EQ(caller.received().find("quarantined"), std::string::npos) << caller.received();
    }
    EXPECT_EQ(fleet.state().crashes().size(), 0U);
    scripted_caller& caller = fleet.add_caller();
    add_server();
    EXPECT_NE(send(caller, post("/pay/", "sound")), "");
}

// Guards against a quarantine of requests that are lost in an outage, because all servers fail.
TEST_F(crash_signs, are_needed_while_the_service_serves_nobody)
{
    for (unsigned loss = 1; loss <= threshold + 2; ++loss) {
        add_server();
        const std::string id = send_and_reset(post("/pay/", "unlucky"));
        ASSERT_NE(id, "") << "refused at loss " << loss;
        stop_using(id);
    }
    add_server();
    expect_served(post("/pay/", "unlucky"));
}

// Guards against a quarantine of requests whose callers are impatient.
TEST_F(crash_signs, are_needed_if_the_caller_leaves_early)
{
    for (unsigned loss = 1; loss <= threshold + 2; ++loss) {
        const std::string id = add_server();
        scripted_caller& caller = fleet.add_caller();
        ASSERT_EQ(send(caller, post("/pay/", "hasty")), id);
        caller.close();
        ASSERT_TRUE(fleet.wait_for([&] { return servers[id]->closed_by_relay(0); }));
        stop_using(id);
        add_server();
        ASSERT_NO_FATAL_FAILURE(expect_served(post("/pay/", fmt::format("sound {}", loss))));
        stop_using(fmt::format("s{}", last_server));
    }
    add_server();
    expect_served(post("/pay/", "hasty"));
}
