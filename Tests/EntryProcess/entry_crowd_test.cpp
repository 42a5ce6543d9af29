// Checks that the platform's entry, as a separate process with little memory, survives crowds of
// clients that break off, exceed the limits or read nothing.

#include "entry_process.h"
#include "kernel.h"
#include "raw_socket.h"
#include "stand_in_store.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <list>
#include <thread>

using namespace cyclamen;
using namespace cyclamen::test;

namespace {

constexpr std::size_t memory_mb = 112;
constexpr std::size_t max_peak_mb = 100; // leaves a tenth of `memory_mb` for the system
constexpr std::size_t max_fds = 420;
constexpr std::size_t max_open_fds = max_fds - 200; // the rest is for files
constexpr unsigned crowd_size = 150;
constexpr unsigned idle_crowd_size = 300; // more than `max_open_fds`
constexpr std::size_t body_bytes = 4194304;
constexpr std::size_t over_limit_bytes = 2 * body_bytes;
constexpr std::size_t block_bytes = 65536;
constexpr std::size_t large_answer_bytes = 1048576;
constexpr std::chrono::seconds stalled_time{2};   // without progress of any client
constexpr std::chrono::seconds max_send_time{20}; // of one crowd
constexpr std::chrono::seconds max_answer_time{20};

std::string request_head(const std::string& path, const std::string& framing)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: 60000\r\n" +
           framing + "\r\n\r\n";
}

std::string plain_request(std::size_t announced, std::size_t sent)
{
    return request_head("/post/ok", fmt::format("Content-Length: {}", announced)) +
           std::string(sent, 'x');
}

// `size_of` returns the size of a chunk by its number.
std::string chunked_request(std::size_t sent, const std::function<std::size_t(unsigned)>& size_of)
{
    std::string text = request_head("/post/ok", "Transfer-Encoding: chunked");
    unsigned number = 0;
    while (sent > 0) {
        const std::size_t size = std::min(sent, size_of(number++));
        text += fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
        sent -= size;
    }
    return text;
}

std::size_t large_chunk(unsigned /*number*/)
{
    return block_bytes;
}

std::size_t small_chunk(unsigned number)
{
    constexpr unsigned sizes = 16;
    return 1 + number % sizes;
}

// Connections that stay open until the object is destroyed, and read nothing.
class crowd {
public:
    explicit crowd(const net_address& entry, unsigned size = crowd_size)
    {
        for (unsigned number = 0; number < size; ++number) {
            EXPECT_TRUE(clients_.emplace_back().socket.connect(entry));
        }
    }

    // Sends the text on all connections, up to `piece` bytes of each in turn, until the entry
    // takes no more.
    void send(std::string_view text, std::size_t piece)
    {
        const auto begin = std::chrono::steady_clock::now();
        auto progress = begin;
        auto now = begin;
        while (now < progress + stalled_time && now < begin + max_send_time) {
            std::size_t open = 0;
            for (client& each : clients_) {
                if (each.closed || each.sent == text.size()) {
                    continue;
                }
                ++open;
                if (send_piece(each, text.substr(each.sent, piece))) {
                    progress = now;
                }
            }
            if (open == 0) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            now = std::chrono::steady_clock::now();
        }
    }

private:
    struct client {
        raw_socket socket;
        std::size_t sent = 0;
        bool closed = false;
    };

    static bool send_piece(client& from, std::string_view piece)
    {
        const ssize_t count =
            ::send(from.socket.handle(), piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        from.closed = count < 0 && errno != EAGAIN;
        from.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        return count > 0;
    }

    std::list<client> clients_;
};

class entry_crowd : public testing::Test {
protected:
    entry_crowd() : folder(make_folder())
    {
        store = &core.add(std::make_unique<stand_in_store>(core, net_address{ip(1), 8002}));
        entry = std::make_unique<entry_process>(
            entry_process_options{.name = "entry",
                                  .ip = ip(3),
                                  .store = {.host = ip(1), .port = 8002},
                                  .folder = folder,
                                  .memory_mb = memory_mb,
                                  .max_fds = max_fds});
        constexpr std::size_t threads = 256;
        server.new_task_queue = [] { return new httplib::ThreadPool(threads); };
        server.Post("/post/ok", [](const httplib::Request& request, httplib::Response& response) {
            response.set_header("Attempt-Id", request.get_header_value("Attempt-Id"));
            response.set_content("ok", "text/plain");
        });
        server.Post("/post/large",
                    [](const httplib::Request& request, httplib::Response& response) {
                        response.set_header("Attempt-Id", request.get_header_value("Attempt-Id"));
                        response.set_content(std::string(large_answer_bytes, 'x'), "text/plain");
                    });
    }

    void TearDown() override
    {
        if (!HasFailure()) {
            std::filesystem::remove_all(folder);
        }
    }

    static std::filesystem::path make_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "entry-crowd-XXXXXX";
        return mkdtemp(pattern.data());
    }
    static std::string ip(unsigned host)
    {
        const auto pid = static_cast<unsigned>(getpid());
        return fmt::format("127.{}.{}.{}", 64 + pid / 8192 % 13, pid / 32 % 256,
                           pid % 32 * 8 + host);
    }
    net_address callers() const { return entry->address(callers_port); }

    std::size_t peak_mb() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", entry->process().pid()));
        std::string name;
        while (status >> name) {
            std::size_t kilobytes = 0;
            if (name == "VmHWM:" && status >> kilobytes) {
                return kilobytes / 1024;
            }
        }
        ADD_FAILURE() << "the entry has ended; logs in " << folder;
        return 0;
    }

    std::size_t open_fds() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator files(
            fmt::format("/proc/{}/fd", entry->process().pid()), error);
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    // An ordinary client that tries again until it is served.
    bool served(const std::string& body)
    {
        const auto until = std::chrono::steady_clock::now() + max_answer_time;
        while (std::chrono::steady_clock::now() < until) {
            httplib::Client client(ip(3), callers_port);
            client.set_read_timeout(max_answer_time);
            const auto result = client.Post(
                "/post/ok",
                {{"Host", "shop.example"}, {"Attempt-Id", "ordinary"}, {"Deadline-Ms", "15000"}},
                body, "text/plain");
            if (result && result->status == 200) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }

    // Runs `load` against the entry; the crowds that it adds to `crowds` stay open meanwhile.
    void run_under(const std::function<void()>& load)
    {
        std::thread serving([this] { server.listen(ip(2), 8100); });
        store->put(orders_topic, "config", entry_configuration(1, 0));
        std::uint64_t sequence = 0;
        const auto write = [&] {
            store->put(backends_topic, "i-0",
                       backend_record({.host = ip(2), .port = 8100}, ++sequence));
        };
        write();
        const kernel::timer heartbeat = core.every(1000ms, write);
        std::thread control([&] {
            while (entry->readiness() != 200) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            load();
            const std::size_t descriptors = open_fds();
            EXPECT_TRUE(served(std::string(2000, 'x')));
            const std::size_t peak = peak_mb();
            fmt::print("peak {} MB, {} descriptors\n", peak, descriptors);
            EXPECT_LE(peak, max_peak_mb);
            EXPECT_LE(descriptors, max_open_fds);
            entry->process().kill();
            crowds.clear();
            server.stop();
            core.stop();
        });
        core.run();
        control.join();
        serving.join();
    }

    void run_crowd(const std::string& request, std::size_t piece)
    {
        run_under([&] { crowds.emplace_back(callers()).send(request, piece); });
    }

    std::filesystem::path folder;
    kernel core{{.program = "entry-crowd-test", .instance = "test"}};
    stand_in_store* store = nullptr;
    std::unique_ptr<entry_process> entry;
    httplib::Server server;
    std::list<crowd> crowds;
};

} // namespace

// Guards against bodies of legal size that together exceed the memory and never end.
TEST_F(entry_crowd, bodies_stop_short_whole)
{
    run_crowd(plain_request(body_bytes, body_bytes - 1), body_bytes);
}

TEST_F(entry_crowd, bodies_stop_short_in_pieces)
{
    run_crowd(plain_request(body_bytes, body_bytes - 1), block_bytes);
}

// Guards against memory that grows with the body, whose length is not known.
TEST_F(entry_crowd, bodies_stop_short_in_large_chunks)
{
    run_crowd(chunked_request(body_bytes - 1, large_chunk), block_bytes);
}

TEST_F(entry_crowd, bodies_stop_short_in_small_chunks)
{
    run_crowd(chunked_request(body_bytes - 1, small_chunk), block_bytes);
}

// Guards against reading bodies that are refused in any case.
TEST_F(entry_crowd, bodies_over_the_limit_announced)
{
    run_crowd(plain_request(256 * body_bytes, over_limit_bytes), block_bytes);
}

TEST_F(entry_crowd, bodies_over_the_limit_unannounced)
{
    run_crowd(chunked_request(over_limit_bytes, large_chunk), block_bytes);
}

// Guards against answers held for clients that do not read them.
TEST_F(entry_crowd, clients_read_nothing)
{
    run_crowd(request_head("/post/large", "Content-Length: 1") + "x", block_bytes);
}

// Guards against running out of descriptors for files, the store and servers.
TEST_F(entry_crowd, connections_stay_idle)
{
    run_under([&] { crowds.emplace_back(callers(), idle_crowd_size); });
}

// Guards against giving up a body that is slow but moves, with pauses that count as stalled.
TEST_F(entry_crowd, slow_body_is_served)
{
    run_under([&] {
        const raw_socket client;
        ASSERT_TRUE(client.connect(callers()));
        const std::string request = plain_request(body_bytes, body_bytes);
        constexpr std::size_t pieces = 4;
        for (std::size_t piece = 0; piece <= pieces; ++piece) {
            const std::size_t size = request.size() / pieces;
            ASSERT_TRUE(client.send(std::string_view(request).substr(piece * size, size)));
            std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        }
        std::array<char, 12> status{};
        EXPECT_EQ(recv(client.handle(), status.data(), status.size(), MSG_WAITALL),
                  static_cast<ssize_t>(status.size()));
        EXPECT_EQ(std::string_view(status.data(), status.size()), "HTTP/1.1 200");
    });
}

TEST_F(entry_crowd, all_together)
{
    constexpr unsigned part = crowd_size / 5;
    run_under([&] {
        const auto add = [&](const std::string& request) {
            crowds.emplace_back(callers(), part).send(request, block_bytes);
        };
        add(plain_request(body_bytes, body_bytes - 1));
        add(chunked_request(body_bytes - 1, large_chunk));
        add(chunked_request(over_limit_bytes, large_chunk));
        add(request_head("/post/large", "Content-Length: 1") + "x");
        crowds.emplace_back(callers(), part);
    });
}
