// Checks what the platform's entry holds, as a separate process, while many connections at once
// make it hold all that they can, and that others are served meanwhile.

#include "entry_process.h"
#include "kernel.h"
#include "raw_socket.h"
#include "stand_in_store.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <thread>

using namespace cyclamen;
using namespace cyclamen::test;

namespace {

constexpr std::size_t memory_mb = 260;
// Far under the limit at which the process is ended.
constexpr std::size_t max_peak_mb = memory_mb / 2;
constexpr std::chrono::seconds loaded_time{3};
constexpr std::chrono::seconds max_loaded_time{13}; // callers wait for 15 s
constexpr unsigned min_others_served = 20;
constexpr std::size_t repeated_bytes = 65536;

std::string repeat(std::string_view text)
{
    std::string result;
    while (result.size() < repeated_bytes) {
        result += text;
    }
    return result;
}

// A backend server that answers as the last part of the path says, each connection in a thread:
// `ok` at once, `late` once `release` was called, `head`, `body` and `event` without end.
class odd_backend {
public:
    explicit odd_backend(const net_address& listen)
    {
        EXPECT_TRUE(listener_.listen(listen)) << listen.text();
        acceptor_ = std::thread([this] {
            while (true) {
                const int accepted = accept(listener_.handle(), nullptr, nullptr);
                if (accepted < 0) {
                    return;
                }
                connections_.emplace_back([this, accepted] { serve(accepted); });
            }
        });
    }
    odd_backend(const odd_backend&) = delete;
    odd_backend& operator=(const odd_backend&) = delete;
    /// To be called once the entry has ended.
    ~odd_backend()
    {
        release();
        shutdown(listener_.handle(), SHUT_RDWR);
        acceptor_.join();
        for (std::thread& connection : connections_) {
            connection.join();
        }
    }

    void release() { released_ = true; }
    bool has_run(const std::string& attempt)
    {
        const std::lock_guard lock(mutex_);
        return runs_.contains(attempt);
    }

private:
    void serve(int accepted)
    {
        const raw_socket connection(accepted);
        std::string text;
        while (true) {
            const std::size_t head_end = text.find("\r\n\r\n");
            const std::size_t length = head_end == std::string::npos ? 0 : length_of(text);
            if (head_end != std::string::npos && text.size() >= head_end + 4 + length) {
                if (!answer(connection, text.substr(0, head_end + 2))) {
                    return;
                }
                text.erase(0, head_end + 4 + length);
                continue;
            }
            std::array<char, 65536> buffer{};
            const ssize_t count = recv(accepted, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                return;
            }
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    static std::string value_of(const std::string& head, const std::string& name)
    {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    static std::size_t length_of(const std::string& text)
    {
        const std::string value = value_of(text, "Content-Length");
        return value.empty() ? 0 : std::stoul(value);
    }

    bool answer(const raw_socket& connection, const std::string& head)
    {
        const std::string attempt = value_of(head, "Attempt-Id");
        {
            const std::lock_guard lock(mutex_);
            runs_.insert(attempt);
        }
        const std::string path = head.substr(0, head.find(" HTTP/"));
        const std::string begin = fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\n", attempt);
        if (path.ends_with("/head")) {
            return connection.send(begin) && send_endlessly(connection, "a:\r\n");
        }
        if (path.ends_with("/body")) {
            return connection.send(begin + "\r\n") && send_endlessly(connection, "bytes");
        }
        if (path.ends_with("/event")) {
            return connection.send(begin + "Content-Type: text/event-stream\r\n\r\ndata: ") &&
                   send_endlessly(connection, "event");
        }
        while (path.ends_with("/late") && !released_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return connection.send(begin + "Content-Length: 2\r\n\r\nok");
    }

    static bool send_endlessly(const raw_socket& connection, std::string_view text)
    {
        const std::string block = repeat(text);
        while (connection.send(block)) {
        }
        return false;
    }

    raw_socket listener_;
    std::thread acceptor_;
    std::list<std::thread> connections_;
    std::atomic<bool> released_ = false;
    std::mutex mutex_;
    std::set<std::string> runs_;
};

class entry_memory : public testing::Test {
protected:
    entry_memory() : folder(make_folder())
    {
        store = &core.add(std::make_unique<stand_in_store>(core, net_address{ip(1), 8002}));
        entry = std::make_unique<entry_process>(
            entry_process_options{.name = "entry",
                                  .ip = ip(3),
                                  .store = {.host = ip(1), .port = 8002},
                                  .folder = folder,
                                  .memory_mb = memory_mb});
    }

    void TearDown() override
    {
        if (!HasFailure()) {
            std::filesystem::remove_all(folder);
        }
    }

    static std::filesystem::path make_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "entry-memory-XXXXXX";
        return mkdtemp(pattern.data());
    }
    // Processes that run at the same time get addresses of their own.
    static std::string ip(unsigned host)
    {
        const auto pid = static_cast<unsigned>(getpid());
        return fmt::format("127.{}.{}.{}", 51 + pid / 8192 % 13, pid / 32 % 256,
                           pid % 32 * 8 + host);
    }

    // The most that the process has held so far.
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

    // Sends requests with a small body one after another, and checks that each is answered.
    void call_others()
    {
        httplib::Client client(ip(3), callers_port);
        client.set_keep_alive(true);
        client.set_read_timeout(std::chrono::seconds(5));
        for (unsigned count = 0; !finished; ++count) {
            const auto result = client.Post("/post/ok",
                                            {{"Host", "shop.example"},
                                             {"Attempt-Id", fmt::format("other-{}", count)},
                                             {"Deadline-Ms", "5000"}},
                                            std::string(2000, 'x'), "text/plain");
            others_served += result && result->status == 200 ? 1 : 0;
            others_failed += result && result->status == 200 ? 0 : 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    // Runs `load` against the entry, and checks the peak of its memory afterwards.
    void run_under(const std::function<void()>& load)
    {
        odd_backend server({.host = ip(2), .port = 8100});
        backend = &server;
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
            std::thread others([this] { call_others(); });
            load();
            finished = true;
            others.join();
            peak = peak_mb();
            entry->process().kill();
            core.stop();
        });
        core.run();
        control.join();
        fmt::print("peak {} MB, {} others served, {} failed\n", peak, others_served.load(),
                   others_failed.load());
        EXPECT_LE(peak, max_peak_mb);
        EXPECT_GT(others_served, min_others_served);
        EXPECT_EQ(others_failed, 0U);
    }

    // Opens connections that each send `request` and read nothing.
    void open_silent_callers(unsigned count, const std::string& request)
    {
        std::list<raw_socket> callers;
        for (unsigned number = 0; number < count; ++number) {
            const raw_socket& caller = callers.emplace_back();
            ASSERT_TRUE(caller.connect(entry->address(callers_port)));
            static_cast<void>(caller.send(fmt::format(fmt::runtime(request), number)));
        }
        stay_loaded();
    }

    // Keeps the load up until others were served beside it.
    void stay_loaded() const
    {
        const auto until = std::chrono::steady_clock::now() + max_loaded_time;
        std::this_thread::sleep_for(loaded_time);
        while (others_served <= min_others_served && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::filesystem::path folder;
    kernel core{{.program = "entry-memory-test", .instance = "test"}};
    stand_in_store* store = nullptr;
    std::unique_ptr<entry_process> entry;
    odd_backend* backend = nullptr;
    std::atomic<bool> finished = false;
    std::atomic<unsigned> others_served = 0;
    std::atomic<unsigned> others_failed = 0;
    std::size_t peak = 0;
};

std::string request_for(const std::string& path)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a{}\r\nDeadline-Ms: 15000\r\n"
           "Content-Length: 1\r\n\r\nx";
}

} // namespace

// Guards against requests that are each within their limit, but together take more than the process
// may have.  Those that do not fit are refused, have not run, and say when to come back.
TEST_F(entry_memory, is_bounded_over_all_request_bodies)
{
    constexpr unsigned callers = 60;
    constexpr std::size_t body_bytes = 4194304;
    std::atomic<unsigned> served = 0;
    std::atomic<unsigned> refused = 0;
    run_under([&] {
        std::vector<std::thread> threads;
        for (unsigned number = 0; number < callers; ++number) {
            threads.emplace_back([&, number] {
                httplib::Client client(ip(3), callers_port);
                client.set_read_timeout(std::chrono::seconds(20));
                client.set_write_timeout(std::chrono::seconds(20));
                const std::string attempt = fmt::format("large-{}", number);
                const auto result = client.Post(
                    "/post/late",
                    {{"Host", "shop.example"}, {"Attempt-Id", attempt}, {"Deadline-Ms", "15000"}},
                    std::string(body_bytes, 'x'), "application/octet-stream");
                if (result && result->status == 200) {
                    ++served;
                    return;
                }
                ++refused;
                EXPECT_FALSE(backend->has_run(attempt));
                if (result) {
                    EXPECT_EQ(result->status, 503);
                    EXPECT_TRUE(result->has_header("Retry-After"));
                }
            });
        }
        stay_loaded();
        backend->release();
        for (std::thread& thread : threads) {
            thread.join();
        }
    });
    fmt::print("{} served, {} refused\n", served.load(), refused.load());
    EXPECT_GE(served, 8U);
    EXPECT_EQ(served + refused, callers);
}

// Guards against answers that wait for slow callers: each was bounded, but not their sum.
TEST_F(entry_memory, is_bounded_over_all_slow_callers)
{
    run_under([this] { open_silent_callers(600, request_for("/get/body")); });
}

// Guards against a server in trouble that writes heads without end to many requests at once.
TEST_F(entry_memory, is_bounded_over_all_endless_heads)
{
    run_under([this] { open_silent_callers(400, request_for("/get/head")); });
}

// The same for events that are held back until they are complete.
TEST_F(entry_memory, is_bounded_over_all_endless_events)
{
    run_under([this] { open_silent_callers(400, request_for("/resume/event")); });
}

// Guards against heads of callers that consist of very many short fields.
TEST_F(entry_memory, is_bounded_over_all_heads_of_callers)
{
    run_under([this] {
        open_silent_callers(400,
                            "GET /get/ok HTTP/1.1\r\nHost: shop.example\r\n" + repeat("a:\r\n"));
    });
}
