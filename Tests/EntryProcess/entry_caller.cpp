#include "entry_caller.h"

#include "http_reader.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <thread>

namespace cyclamen::test {

namespace {

constexpr millis answer_limit = 15000ms;
constexpr int poll_ms = 2;

} // namespace

struct entry_caller::connection {
    int socket = -1;
    int number = 0;
    unsigned entry = 0;
    unsigned requests = 0;
    bool connected = false;
    // The entry is ready for the next request no earlier than this.
    test_clock::time_point ready_since;

    explicit connection(const net_address& address)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), ready_since(test_clock::now())
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
        connected = ::connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0;
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { ::close(socket); }

    // True if the peer closed the connection, or sent bytes that nobody asked for.
    bool readable_within(millis time) const
    {
        pollfd input{.fd = socket, .events = POLLIN, .revents = 0};
        return ::poll(&input, 1, static_cast<int>(time.count())) != 0;
    }
};

entry_caller::entry_caller(caller_plan& plan, unsigned number, unsigned seed)
    : plan_(plan), number_(number), random_(seed), habit_(static_cast<caller_habit>(number % 3)),
      cutover_(plan.listener_closes + millis(uniform(-500, 100)))
{
}

entry_caller::~entry_caller() = default;

void entry_caller::run()
{
    while (!plan_.finished) {
        if (connection_ == nullptr && !connect()) {
            std::this_thread::sleep_for(millis(poll_ms));
            continue;
        }
        rest();
        if (connection_ != nullptr) {
            send_request();
        }
    }
}

bool entry_caller::connect()
{
    const unsigned preferred = test_clock::now() < cutover_ ? 0 : 1;
    for (unsigned entry = preferred; entry < plan_.entries.size(); ++entry) {
        auto opened = std::make_unique<connection>(plan_.entries[entry]);
        if (opened->connected) {
            opened->entry = entry;
            opened->number = next_connection_++;
            connection_ = std::move(opened);
            return true;
        }
        cutover_ = test_clock::now();
    }
    return false;
}

void entry_caller::rest()
{
    const auto now = test_clock::now();
    millis time(chance(30) ? 0 : uniform(0, 120));
    if (habit_ == caller_habit::rests && connection_->entry == 0 && now > plan_.stop - 500ms) {
        const auto end = plan_.listener_closes + millis(uniform(-150, 170));
        time = std::max(0ms, std::chrono::duration_cast<millis>(end - now));
        habit_ = caller_habit::keeps_sending;
    }
    if (connection_->readable_within(time)) {
        char byte = 0;
        if (recv(connection_->socket, &byte, sizeof byte, MSG_DONTWAIT) > 0) {
            ++stray_answers_;
        }
        ended_connections_.push_back({.entry = connection_->entry,
                                      .connection = connection_->number,
                                      .requests = connection_->requests,
                                      .ready_since = connection_->ready_since,
                                      .seen = test_clock::now()});
        connection_.reset();
    }
}

std::chrono::milliseconds entry_caller::choose_service_time(test_clock::time_point now)
{
    if (habit_ == caller_habit::awaits_a_response && now > plan_.stop - 150ms) {
        const auto end = plan_.listener_closes + millis(uniform(-400, 600));
        habit_ = caller_habit::keeps_sending;
        return std::max(1ms, std::chrono::duration_cast<millis>(end - now));
    }
    return millis(uniform(2, 80));
}

bool entry_caller::send_text(const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t count =
            ::send(connection_->socket, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

void entry_caller::send_request()
{
    constexpr std::array kinds{"get", "post", "stream"};
    caller_request request;
    request.attempt = fmt::format("{:02}-{:05}", number_, next_request_++);
    request.kind = refused_key_ ? "post" : kinds.at(static_cast<std::size_t>(uniform(0, 2)));
    request.key = refused_key_.value_or(request.attempt);
    refused_key_.reset();
    request.entry = connection_->entry;
    request.connection = connection_->number;
    request.on_connection = connection_->requests++;
    request.ready_since = connection_->ready_since;
    request.began = test_clock::now();
    http_head head;
    head.method = request.kind == "get" ? "GET" : "POST";
    head.target = fmt::format("/{}/{}", request.kind, request.attempt);
    head.add("Host", "shop.example");
    head.add("Attempt-Id", request.attempt);
    head.add("Request-Key", request.key);
    const millis service_time = choose_service_time(request.began);
    head.add("Deadline-Ms", std::to_string(service_time.count() + (chance(50) ? 4500 : 14000)));
    head.add("Serve-Ms", std::to_string(service_time.count()));
    std::string body;
    if (request.kind != "get") {
        body.assign(static_cast<std::size_t>(uniform(1, 3000)), 'b');
        head.length = body.size();
    }
    const std::string text = request_text(head) + body;
    const std::size_t first_part =
        chance(20) ? static_cast<std::size_t>(uniform(1, static_cast<int>(text.size()))) : 0;
    request.sent_whole = send_text(text.substr(0, first_part));
    request.first_sent = test_clock::now();
    if (first_part > 0) {
        std::this_thread::sleep_for(millis(uniform(0, 40)));
    }
    request.sent_whole = request.sent_whole && send_text(text.substr(first_part));
    request.sent = test_clock::now();
    if (first_part == 0) {
        request.first_sent = request.sent;
    }
    receive(request);
    request.ended = test_clock::now();
    const bool refused = request.status == 503 || request.status == 429;
    if (refused && request.kind == "post") {
        refused_key_ = request.key;
    }
    if (refused) {
        cutover_ = std::min(cutover_, request.ended);
    }
    if (request.end != call_end::answered || request.close_announced) {
        connection_.reset();
    }
    requests_.push_back(std::move(request));
}

void entry_caller::receive(caller_request& request)
{
    std::string body;
    bool same_attempt = false;
    http_reader reader(http_message_type::response,
                       {.on_head =
                            [&](http_head& head) {
                                request.status = head.status;
                                request.close_announced = !head.keep_alive;
                                same_attempt = head.header_or("Attempt-Id", "") == request.attempt;
                            },
                        .on_body = [&](std::string_view data) { body.append(data); }});
    std::array<char, 65536> part{};
    while (!reader.complete()) {
        const auto tried_at = test_clock::now();
        const ssize_t count = recv(connection_->socket, part.data(), part.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            // What arrives later was sent later, so the entry was not idle before.
            connection_->ready_since = tried_at;
            connection_->readable_within(millis(poll_ms));
            if (tried_at > request.sent + answer_limit) {
                request.end = call_end::timed_out;
                return;
            }
            continue;
        }
        if (count <= 0) {
            request.end = reader.message_started() ? call_end::cut : call_end::lost;
            return;
        }
        const auto length = static_cast<std::size_t>(count);
        const std::size_t used = reader.feed({part.data(), length});
        if (reader.parse_error() != http_parse_error::none ||
            (reader.complete() && used < length)) {
            request.end = call_end::malformed;
            return;
        }
    }
    const std::string_view end = request.kind == "stream" ? "\nend\n\n" : "\nend\n";
    const bool from_backend = same_attempt && body.ends_with(end);
    request.end = request.status == 200 && !from_backend ? call_end::malformed : call_end::answered;
}

} // namespace cyclamen::test
