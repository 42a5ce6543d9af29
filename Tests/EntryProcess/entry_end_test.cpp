// Ends the platform's entry in each way while it passes on responses that are delimited by the end
// of the connection, and checks that no caller can take the part that it has for the whole.

#include "entry_process.h"
#include "kernel.h"
#include "raw_socket.h"
#include "stand_in_store.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <thread>

using namespace cyclamen;
using namespace cyclamen::test;

namespace {

constexpr std::size_t caller_count = 6;
constexpr std::string_view line = "id: 1\ndata: a line of the response\n\n";

// Sends each caller the head of a response without a length or chunks, and then lines until the
// entry has gone, or until `end_responses` is set.
class unmarked_backend {
public:
    explicit unmarked_backend(const net_address& listen)
    {
        if (!listener_.listen(listen)) {
            ADD_FAILURE() << "cannot listen at " << listen.text();
            return;
        }
        threads_.emplace_back([this] {
            for (std::size_t count = 0; count < caller_count; ++count) {
                const int accepted = accept(listener_.handle(), nullptr, nullptr);
                if (accepted < 0) {
                    return;
                }
                threads_for_calls_.emplace_back([this, accepted] { serve(accepted); });
            }
        });
    }
    unmarked_backend(const unmarked_backend&) = delete;
    unmarked_backend& operator=(const unmarked_backend&) = delete;
    ~unmarked_backend()
    {
        end_responses = true;
        shutdown(listener_.handle(), SHUT_RDWR);
        for (auto* group : {&threads_, &threads_for_calls_}) {
            for (std::thread& thread : *group) {
                thread.join();
            }
        }
    }

    std::atomic<bool> end_responses = false;

private:
    void serve(int accepted)
    {
        const raw_socket connection(accepted);
        std::string request(4096, '\0');
        const ssize_t length = recv(connection.handle(), request.data(), request.size(), 0);
        request.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
        const std::size_t at = request.find("Attempt-Id: ");
        const std::string id = request.substr(at, request.find("\r\n", at) - at);
        bool open = at != std::string::npos &&
                    connection.send(fmt::format(
                        "HTTP/1.1 200 OK\r\n{}\r\nContent-Type: text/event-stream\r\n\r\n", id));
        while (open && !end_responses) {
            open = connection.send(line);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    raw_socket listener_;
    std::vector<std::thread> threads_;
    std::vector<std::thread> threads_for_calls_;
};

// What a caller has seen of its response.
struct caller_view {
    std::atomic<std::size_t> received = 0;
    bool reset = false;
    bool ended_in_order = false;
    std::string text;
};

enum class end_way { killed, stopped, stopped_twice, server_ends };

constexpr std::array end_way_names{"killed", "stopped", "stopped_twice", "server_ends"};

class entry_end : public testing::TestWithParam<std::tuple<end_way, int>> {
protected:
    entry_end() : folder(make_folder())
    {
        store = &core.add(std::make_unique<stand_in_store>(core, net_address{ip(1), 8002}));
        entry = std::make_unique<entry_process>(
            entry_process_options{.name = "entry",
                                  .ip = ip(3),
                                  .store = {.host = ip(1), .port = 8002},
                                  .folder = folder,
                                  .grace = std::chrono::seconds(2)});
    }

    void TearDown() override
    {
        if (!HasFailure()) {
            std::filesystem::remove_all(folder);
        }
    }

    static std::filesystem::path make_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "entry-end-XXXXXX";
        return mkdtemp(pattern.data());
    }
    // Processes that run at the same time get addresses of their own.
    static std::string ip(unsigned host)
    {
        const auto pid = static_cast<unsigned>(getpid());
        return fmt::format("127.{}.{}.{}", 1 + pid / 8192 % 50, pid / 32 % 256,
                           pid % 32 * 8 + host);
    }

    void call(std::size_t number, caller_view& view) const
    {
        const raw_socket connection;
        ASSERT_TRUE(connection.connect(entry->address(callers_port)));
        ASSERT_TRUE(connection.send(
            fmt::format("GET /stream/x HTTP/1.{}\r\nHost: shop.example\r\nAttempt-Id: a{}\r\n"
                        "Deadline-Ms: 15000\r\n\r\n",
                        std::get<1>(GetParam()), number)));
        std::array<char, 4096> buffer{};
        while (true) {
            const ssize_t length = recv(connection.handle(), buffer.data(), buffer.size(), 0);
            if (length <= 0) {
                view.reset = length < 0 && errno == ECONNRESET;
                view.ended_in_order = length == 0;
                return;
            }
            view.text.append(buffer.data(), static_cast<std::size_t>(length));
            view.received = view.text.size();
        }
    }

    void end_entry(unmarked_backend& backend)
    {
        switch (std::get<0>(GetParam())) {
        case end_way::killed:
            entry->process().signal(SIGKILL);
            return;
        case end_way::stopped:
            entry->process().signal(SIGTERM); // the responses do not end before the grace period
            return;
        case end_way::stopped_twice:
            entry->process().signal(SIGTERM);
            // Signals of one kind that are not yet handled count once.
            while (entry->readiness() == 200) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            entry->process().signal(SIGTERM);
            return;
        case end_way::server_ends:
            backend.end_responses = true;
            return;
        }
    }

    void run()
    {
        unmarked_backend backend({.host = ip(2), .port = 8100});
        store->put(orders_topic, "config", entry_configuration(1, 0));
        std::uint64_t sequence = 0;
        const auto write = [&] {
            store->put(backends_topic, "i-0",
                       backend_record({.host = ip(2), .port = 8100}, ++sequence));
        };
        write();
        const kernel::timer heartbeat = core.every(1000ms, write);
        const kernel::timer limit = core.after(std::chrono::seconds(30), [this] {
            ADD_FAILURE() << "the round did not end within 30 s; logs in " << folder;
            entry->process().kill();
            core.stop();
        });
        std::thread control([&] {
            while (entry->readiness() != 200 && !core.stopping()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            std::vector<std::thread> threads;
            for (std::size_t number = 0; number < caller_count; ++number) {
                threads.emplace_back([this, number] { call(number, views.at(number)); });
            }
            const auto all_have_lines = [this] {
                return std::all_of(views.begin(), views.end(), [](const caller_view& view) {
                    return view.received > 500; // a head and some lines
                });
            };
            while (!all_have_lines() && !core.stopping()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            end_entry(backend);
            for (std::thread& thread : threads) {
                thread.join();
            }
            core.stop();
        });
        core.run();
        control.join();
    }

    std::filesystem::path folder;
    kernel core{{.program = "entry-end-test", .instance = "test"}};
    stand_in_store* store = nullptr;
    std::unique_ptr<entry_process> entry;
    std::array<caller_view, caller_count> views;
};

} // namespace

// Guards against parts of responses that look whole to their callers, because the system closes the
// connections of a process that ends in order.
TEST_P(entry_end, shows_callers_that_a_response_without_a_length_is_not_whole)
{
    run();
    const bool whole = std::get<0>(GetParam()) == end_way::server_ends;
    for (const caller_view& view : views) {
        EXPECT_TRUE(view.text.starts_with("HTTP/1.1 200")) << view.text;
        EXPECT_NE(view.text.find(line), std::string::npos);
        EXPECT_EQ(view.reset, !whole) << "logs in " << folder;
        EXPECT_EQ(view.ended_in_order, whole) << "logs in " << folder;
    }
}

INSTANTIATE_TEST_SUITE_P(
    ways, entry_end,
    testing::Combine(testing::Values(end_way::killed, end_way::stopped, end_way::stopped_twice,
                                     end_way::server_ends),
                     testing::Values(0, 1)),
    [](const auto& given) {
        return fmt::format("{}_http_1_{}",
                           end_way_names.at(static_cast<std::size_t>(std::get<0>(given.param))),
                           std::get<1>(given.param));
    });
