// Checks that the product's own entry and agent stay alive and within bounds of memory and file
// descriptors while many clients leave requests unfinished, send too much, or read nothing. The
// bounds and numbers of clients were fixed before the limits of http_server were written.

#include "../EntryProcess/raw_socket.h"
#include "local_fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <list>

using namespace cyclamen;
using namespace cyclamen::test;

namespace {

// Twice the memory that all connections of a process may hold together.
constexpr std::size_t max_peak_mb = 128;
constexpr rlim_t descriptor_limit = 140;
constexpr unsigned max_descriptors = 130; // leaves a reserve below the limit
constexpr std::size_t body_bytes = 4194304;
constexpr std::size_t chunk_bytes = 65536;
constexpr int stalled_after_ms = 1000;

/// What each client of a crowd sends: a head, then `bytes` of `block`, over and over.
struct crowd {
    const char* name;
    unsigned clients;
    std::string head;
    std::string block;
    std::size_t bytes;
    std::size_t piece = chunk_bytes; // most bytes of one call of `send`
};

std::ostream& operator<<(std::ostream& out, const crowd& kind)
{
    return out << kind.name;
}

std::string chunk_of(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

std::string small_chunks()
{
    constexpr std::size_t max_small_chunk = 16;
    std::string text;
    for (std::size_t size = 1; size <= max_small_chunk; ++size) {
        text += chunk_of(size);
    }
    return text;
}

std::string post_head(const std::string& field)
{
    return "POST /services/orders/pay HTTP/1.1\r\nHost: test\r\n" + field + "\r\n\r\n";
}

std::vector<crowd> all_crowds()
{
    const std::string chunked = post_head("Transfer-Encoding: chunked");
    const std::string sized = post_head(fmt::format("Content-Length: {}", body_bytes));
    const std::string chunk = chunk_of(chunk_bytes);
    const std::size_t chunked_bytes = body_bytes / chunk_bytes * chunk.size() - 1;
    return {
        {"whole_bodies", 120, sized, std::string(chunk_bytes, 'x'), body_bytes - 1, body_bytes},
        {"bodies_in_pieces", 120, sized, std::string(chunk_bytes, 'x'), body_bytes - 1},
        {"large_chunks", 120, chunked, chunk, chunked_bytes},
        {"small_chunks", 60, chunked, small_chunks(), body_bytes},
        {"announced_excess", 60, post_head("Content-Length: 1000000000"), chunk, 2 * body_bytes},
        {"sent_excess", 60, chunked, chunk, 4 * body_bytes},
        {"idle", 150, "", "", 0},
        {"unread_responses", 60, "", "GET /healthz HTTP/1.1\r\nHost: test\r\n\r\n", body_bytes},
    };
}

class client {
public:
    client(const crowd& kind, const net_address& to) : kind_(kind), text_(kind.head)
    {
        while (text_.size() < kind.head.size() + kind.piece && !kind.block.empty()) {
            text_ += kind.block;
        }
        left_ = kind.head.size() + kind.bytes;
        open_ = socket_.connect(to);
        fcntl(socket_.handle(), F_SETFL, O_NONBLOCK);
    }

    bool sending() const { return open_ && left_ > 0; }
    int handle() const { return socket_.handle(); }
    void send_piece()
    {
        const std::size_t size = std::min({left_, text_.size() - at_, kind_.piece});
        const ssize_t sent = ::send(handle(), text_.data() + at_, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            open_ = sent < 0 && (errno == EAGAIN || errno == EINTR);
            return;
        }
        at_ += static_cast<std::size_t>(sent);
        left_ -= static_cast<std::size_t>(sent);
        if (at_ == text_.size()) {
            at_ = kind_.head.size(); // the blocks begin again
        }
    }

private:
    const crowd& kind_;
    raw_socket socket_;
    std::string text_;
    std::size_t at_ = 0;
    std::size_t left_ = 0;
    bool open_ = false;
};

// Sends until each client has finished, was disconnected, or is not read from any more.
void send_all(std::list<client>& clients)
{
    while (true) {
        std::vector<pollfd> sockets;
        std::vector<client*> senders;
        for (client& each : clients) {
            if (each.sending()) {
                sockets.push_back({.fd = each.handle(), .events = POLLOUT, .revents = 0});
                senders.push_back(&each);
            }
        }
        if (sockets.empty() || poll(sockets.data(), sockets.size(), stalled_after_ms) <= 0) {
            return;
        }
        for (std::size_t at = 0; at < sockets.size(); ++at) {
            if (sockets[at].revents != 0) {
                senders[at]->send_piece();
            }
        }
    }
}

std::size_t peak_mb(pid_t pid)
{
    std::ifstream status(fmt::format("/proc/{}/status", pid));
    std::string name;
    while (status >> name) {
        std::size_t kilobytes = 0;
        if (name == "VmHWM:" && status >> kilobytes) {
            return kilobytes / 1024;
        }
    }
    ADD_FAILURE() << "the process has ended";
    return 0;
}

unsigned open_descriptors(pid_t pid)
{
    const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", pid));
    return static_cast<unsigned>(std::distance(begin(files), end(files)));
}

// Lowers the limit of the processes that are started meanwhile.
class lowered_descriptor_limit {
public:
    explicit lowered_descriptor_limit(rlim_t limit)
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lowered{.rlim_cur = limit, .rlim_max = before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    lowered_descriptor_limit(const lowered_descriptor_limit&) = delete;
    lowered_descriptor_limit& operator=(const lowered_descriptor_limit&) = delete;
    ~lowered_descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

class crowd_fleet : public testing::TestWithParam<crowd> {
protected:
    static std::unique_ptr<local_fleet> start()
    {
        const lowered_descriptor_limit limit(descriptor_limit);
        return std::make_unique<local_fleet>(
            local_fleet_options{.entries = 1, .engines = 1, .plain_servers = 1});
    }

    void run_against(local_fleet::fleet_member& member, unsigned port)
    {
        std::list<client> clients;
        for (unsigned number = 0; number < GetParam().clients; ++number) {
            clients.emplace_back(GetParam(),
                                 net_address{"127.0.0.1", static_cast<std::uint16_t>(port)});
        }
        send_all(clients);
        const call_result result = port == member.operator_port
                                       ? fleet->get(port, "/state", local_fleet::operator_key)
                                       : fleet->pay(0, "", "one");
        const pid_t pid = member.process->pid();
        const std::size_t peak = peak_mb(pid);
        const unsigned descriptors = open_descriptors(pid);
        fmt::print("{} at {}: peak {} MB, {} descriptors, status {}\n", GetParam().name,
                   member.name, peak, descriptors, result.status);
        EXPECT_LE(peak, max_peak_mb);
        EXPECT_LE(descriptors, max_descriptors);
        EXPECT_EQ(result.status, 200) << result.body;
        EXPECT_FALSE(member.process->wait(std::chrono::milliseconds(0))) << fleet->logs();
    }

    std::unique_ptr<local_fleet> fleet = start();
};

} // namespace

// Guards against memory and descriptors that clients without an account occupy at an entry.
TEST_P(crowd_fleet, is_bounded_at_the_callers_address)
{
    run_against(fleet->entry(0), fleet->entry(0).port);
}

// The same at the operators' address of an agent, whose memory its requests need.
TEST_P(crowd_fleet, is_bounded_at_the_operators_address_of_an_agent)
{
    run_against(fleet->plain_server(0), fleet->plain_server(0).operator_port);
}

INSTANTIATE_TEST_SUITE_P(crowds, crowd_fleet, testing::ValuesIn(all_crowds()),
                         [](const auto& info) { return std::string(info.param.name); });
