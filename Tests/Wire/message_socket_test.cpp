#include "message_socket.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <zmq.hpp>

#include <string>

using namespace cyclamen;

namespace {

constexpr int max_loop_runs = 2000; // maximum runs of the event loop, each about 5 ms

// Runs the event loop until `holds` is true; returns false if it never is.
bool run_until(event_base* loop, const std::function<bool()>& holds)
{
    const timeval tick{.tv_sec = 0, .tv_usec = 5000};
    for (int count = 0; count < max_loop_runs && !holds(); ++count) {
        event_base_loopexit(loop, &tick);
        event_base_dispatch(loop);
    }
    return holds();
}

} // namespace

TEST(message_socket, carries_envelopes_and_drops_what_it_does_not_understand)
{
    event_base* loop = event_base_new();
    counters metrics;
    {
        unsigned received = 0;
        const std::string endpoint = "tcp://127.0.0.1:20917";
        const auto bound =
            message_socket::bind(loop, metrics, endpoint,
                                 [&](const std::string& /*route*/, const wire::envelope& message) {
                                     received += message.has_hello() ? 1 : 0;
                                 });
        const auto peer = message_socket::connect(
            loop, metrics, endpoint, "peer",
            [](const std::string& /*route*/, const wire::envelope& /*message*/) {});
        wire::envelope greeting;
        greeting.mutable_hello()->set_instance("entry-1");
        EXPECT_TRUE(peer->send({}, greeting));
        EXPECT_TRUE(run_until(loop, [&] { return received == 1; }));
        // By kind, as an operator needs to see what occupies a link.
        EXPECT_GT(metrics.named("peer_bytes_out_hello"), 0U);
        EXPECT_EQ(metrics.named("peer_bytes_out_hello"), metrics.named("peer_bytes_out"));
        EXPECT_TRUE(peer->send({}, {}));
        EXPECT_GT(metrics.named("peer_bytes_out_other"), 0U);

        zmq::context_t context;
        zmq::socket_t foreign_peer(context, zmq::socket_type::dealer);
        foreign_peer.set(zmq::sockopt::linger, 0);
        foreign_peer.connect(endpoint);
        greeting.set_version(wire_version + 1);
        foreign_peer.send(zmq::buffer(greeting.SerializeAsString()));
        foreign_peer.send(zmq::str_buffer("not an envelope \xff\xff\xff"));
        EXPECT_TRUE(run_until(loop, [&] {
            return metrics.named("peer_messages_of_unknown_version") == 1 &&
                   metrics.named("peer_messages_malformed") == 1;
        }));
        EXPECT_EQ(received, 1U);
    }
    event_base_free(loop);
}
