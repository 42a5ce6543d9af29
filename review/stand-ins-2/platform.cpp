#include "platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

namespace review {

namespace {

using nlohmann::json;

constexpr int poll_ms = 20;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string unescaped(const std::string& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
            continue;
        }
        result += text[at];
    }
    return result;
}

bool write_all(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void add_header(fields& headers, const std::string& line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
        return;
    }
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
        ++value;
    }
    headers[lower(line.substr(0, colon))] = line.substr(value);
}

// Takes the head off the input; returns its lines, or nothing if it is not complete.
std::optional<std::vector<std::string>> take_head(std::string& input)
{
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::vector<std::string> lines;
    std::istringstream text(input.substr(0, end));
    for (std::string line; std::getline(text, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        lines.push_back(line);
    }
    input.erase(0, end + 4);
    return lines;
}

void append_number(std::string& out, std::uint64_t number, unsigned bytes)
{
    for (unsigned index = bytes; index > 0; --index) {
        out += static_cast<char>(number >> (8 * (index - 1)));
    }
}

std::string base64(const std::string& text)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = (group << 8U) |
                    (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            out += at + index > text.size() ? '=' : digits[(group >> (18 - 6 * index)) & 63U];
        }
    }
    return out;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

std::string http_request::header(const std::string& name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string() : found->second;
}

std::string http_request::field(const std::string& name) const
{
    const auto found = query.find(lower(name));
    return found == query.end() ? std::string() : found->second;
}

bool server_connection::read(http_request& request)
{
    request = {};
    const auto more = [this] {
        char bytes[65536];
        const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        input_.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    auto head = take_head(input_);
    while (!head) {
        if (!more()) {
            return false;
        }
        head = take_head(input_);
    }
    std::istringstream first(head->front());
    std::string target;
    first >> request.method >> target;
    for (std::size_t line = 1; line < head->size(); ++line) {
        add_header(request.headers, head->at(line));
    }
    const std::size_t mark = std::min(target.find('?'), target.size());
    request.path = target.substr(0, mark);
    std::istringstream query(mark < target.size() ? target.substr(mark + 1) : "");
    for (std::string part; std::getline(query, part, '&');) {
        const std::size_t equals = std::min(part.find('='), part.size());
        request.query[lower(part.substr(0, equals))] =
            unescaped(equals < part.size() ? part.substr(equals + 1) : "");
    }
    const std::string length = request.header("content-length");
    const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
    while (input_.size() < wanted) {
        if (!more()) {
            return false;
        }
    }
    request.body = input_.substr(0, wanted);
    input_.erase(0, wanted);
    return true;
}

bool server_connection::write(std::string_view bytes)
{
    return write_all(socket_, bytes);
}

bool server_connection::reply(int status, const std::string& headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers +
                       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return write(text);
}

bool server_connection::closed() const
{
    pollfd waiting{.fd = socket_, .events = POLLIN | POLLRDHUP, .revents = 0};
    if (::poll(&waiting, 1, 0) <= 0) {
        return false;
    }
    char byte = 0;
    return (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 ||
           ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

http_server::http_server(std::string ip, std::uint16_t port, handler on_request)
    : ip_(std::move(ip)), on_request_(std::move(on_request))
{
    listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = address_of(ip_, port);
    if (::bind(listening_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listening_, 512) != 0) {
        throw cannot_run("cannot listen at " + ip_ + ":" + std::to_string(port));
    }
    socklen_t length = sizeof address;
    getsockname(listening_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept_connections(); });
}

void http_server::accept_connections()
{
    while (!stopped_) {
        pollfd waiting{.fd = listening_, .events = POLLIN, .revents = 0};
        if (::poll(&waiting, 1, poll_ms) <= 0) {
            continue;
        }
        const int socket = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        open_.insert(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void http_server::serve(int socket)
{
    server_connection caller(socket);
    http_request request;
    while (!stopped_ && caller.read(request)) {
        on_request_(caller, request);
    }
    const std::lock_guard lock(mutex_);
    open_.erase(socket);
    ::close(socket);
}

void http_server::stop()
{
    if (stopped_.exchange(true)) {
        return;
    }
    acceptor_.join();
    ::close(listening_);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : open_) {
            const linger reset{.l_onoff = 1, .l_linger = 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(socket, SHUT_RDWR);
        }
        threads.swap(threads_);
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

record::record(const std::string& path) : file_(path) {}

void record::note(const std::string& line)
{
    const auto at = std::chrono::duration_cast<milliseconds>(steady::now() - start_);
    const std::lock_guard lock(mutex_);
    file_ << at.count() << " ms  " << line << std::endl;
}

store::store(const std::string& ip)
    : ip_(ip), server_(ip, 0, [this](server_connection& caller, const http_request& request) {
          on_request(caller, request);
      })
{
}

std::string store::address() const
{
    return ip_ + ":" + std::to_string(server_.port());
}

void store::set_mode(store_mode mode)
{
    mode_ = mode;
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

bool store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    if (down()) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({key, value});
    changed_.notify_all();
    return true;
}

std::map<std::string, std::size_t> store::copy()
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::size_t> sizes;
    for (const auto& [topic, log] : topics_) {
        sizes[topic] = log.size();
    }
    return sizes;
}

void store::restore(const std::map<std::string, std::size_t>& from)
{
    const std::lock_guard lock(mutex_);
    for (auto& [topic, log] : topics_) {
        const auto kept = from.find(topic);
        log.resize(kept == from.end() ? 0 : kept->second);
        first_[topic] = std::min(first_[topic], log.size());
    }
    ++era_;
}

std::string store::head() const
{
    return "Store-Era: " + std::to_string(era_) + "\r\n";
}

void store::compact(const std::string& topic)
{
    const std::lock_guard lock(mutex_);
    first_[topic] = topics_[topic].size();
}

std::size_t store::appended(const std::string& topic)
{
    const std::lock_guard lock(mutex_);
    return topics_[topic].size();
}

void store::on_request(server_connection& caller, const http_request& request)
{
    std::this_thread::sleep_for(delay_.load());
    if (mode_ == store_mode::busy) {
        caller.reply(503, head(), "");
        return;
    }
    if (mode_ == store_mode::silent) {
        while (mode_ == store_mode::silent && !caller.closed()) {
            std::this_thread::sleep_for(milliseconds(poll_ms));
        }
        return; // a response that is lost never comes
    }
    const std::string topic = request.field("Topic");
    if (request.path == "/v1/log-newest") {
        list_newest(caller, topic, request.field("After"));
    }
    else if (request.path == "/v1/log-read") {
        read(caller, request, topic);
    }
    else if (request.path == "/v1/log-append") {
        append(caller, request, topic);
    }
    else {
        caller.reply(404, head(), "");
    }
}

void store::list_newest(server_connection& caller, const std::string& topic,
                        const std::string& after)
{
    constexpr std::size_t page = 500;
    json entries = json::array();
    bool more = false;
    std::size_t end = 0;
    {
        const std::lock_guard lock(mutex_);
        const std::vector<entry>& log = topics_[topic];
        end = log.size();
        std::map<std::string, std::size_t> newest;
        for (std::size_t offset = 0; offset < log.size(); ++offset) {
            newest[log[offset].key] = offset;
        }
        for (const auto& [key, offset] : newest) {
            if (log[offset].value.empty() || (!after.empty() && key <= after)) {
                continue;
            }
            if (entries.size() == page) {
                more = true;
                break;
            }
            entries.push_back(
                {{"Key", key}, {"Value", base64(log[offset].value)}, {"Offset", offset}});
        }
    }
    const json body{{"Entries", entries}, {"HasMore", more}, {"EndOffset", end}};
    caller.reply(200, head() + "Content-Type: application/json\r\n", body.dump());
}

void store::read(server_connection& caller, const http_request& request, const std::string& topic)
{
    const std::size_t from = std::stoul("0" + request.field("From"));
    const std::size_t most =
        request.field("MaxSize").empty() ? 1024 : std::stoul(request.field("MaxSize"));
    const milliseconds wait(std::stol("0" + request.field("WaitMs")));
    std::string body;
    bool gone = false;
    std::size_t first = 0;
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [&] { return topics_[topic].size() > from || down(); });
        const std::vector<entry>& log = topics_[topic];
        first = first_[topic];
        gone = from > log.size() || from < first;
        append_number(body, log.size(), 8);
        append_number(body, first, 8);
        for (std::size_t offset = from; offset < log.size() && body.size() < most; ++offset) {
            const entry& row = log[offset];
            append_number(body, 1 + row.key.size() + row.value.size(), 4);
            body += static_cast<char>(row.key.size());
            body += row.key + row.value;
        }
    }
    if (mode_ == store_mode::busy) {
        caller.reply(503, head(), "");
        return;
    }
    if (mode_ == store_mode::silent) {
        return;
    }
    if (gone) {
        caller.reply(410, head(), json{{"FirstOffset", first}}.dump());
        return;
    }
    caller.reply(200, head() + "Content-Type: application/octet-stream\r\n", body);
}

void store::append(server_connection& caller, const http_request& request, const std::string& topic)
{
    if (topic == "keyed.op" || topic == "keyed.servers") {
        caller.reply(403, head(), "");
        return;
    }
    std::size_t first = 0;
    std::size_t end = 0;
    {
        const std::lock_guard lock(mutex_);
        std::vector<entry>& log = topics_[topic];
        first = log.size();
        const std::string at = request.field("At");
        if (!at.empty() && std::stoul(at) != log.size()) {
            end = log.size();
            first = std::string::npos;
        }
        else {
            std::string_view rest = request.body;
            while (rest.size() > 4) {
                std::size_t length = 0;
                for (int index = 0; index < 4; ++index) {
                    length = length * 256 + static_cast<unsigned char>(rest[index]);
                }
                const std::string_view content = rest.substr(4, length);
                const auto key = static_cast<unsigned char>(content[0]);
                log.push_back(
                    {std::string(content.substr(1, key)), std::string(content.substr(1 + key))});
                rest.remove_prefix(4 + length);
            }
            end = log.size();
        }
        changed_.notify_all();
    }
    if (first == std::string::npos) {
        caller.reply(412, head(), json{{"EndOffset", end}}.dump());
        return;
    }
    caller.reply(200, head() + "Content-Type: application/json\r\n",
                 json{{"Offset", first}, {"EndOffset", end}}.dump());
}

worker::worker(store& platform, record& log, worker_options options)
    : platform_(platform), log_(log), options_(std::move(options))
{
}

void worker::start(const std::string& version)
{
    end();
    options_.version = version;
    born_ = unix_ms();
    sequence_ = 0;
    ended_ = false;
    server_ = std::make_unique<http_server>(
        options_.ip, port_, [this](server_connection& caller, const http_request& request) {
            on_request(caller, request);
        });
    port_ = server_->port();
    up_ = true;
    log_.note("worker " + options_.id + " starts with software " + version);
    const bool registered = write_entry();
    log_.note("worker " + options_.id +
              (registered ? " is registered" : " can't be registered: the store is down"));
    beats_ = std::thread([this] { beat(); });
}

// Checks in; once it has crashed, stands for the store, which removes the entry later.
void worker::beat()
{
    constexpr int intervals = 3;
    std::unique_lock lock(mutex_);
    while (!ended_) {
        wake_.wait_for(lock, up_ ? options_.heartbeat : milliseconds(poll_ms));
        if (ended_) {
            return;
        }
        if (up_ && !leaving_) {
            write_entry();
        }
        else if (!up_ && listed_ && steady::now() - last_beat_ > intervals * options_.heartbeat &&
                 platform_.put("keyed.servers", options_.id, "")) {
            listed_ = false;
            log_.note("the entry of worker " + options_.id + " is removed");
        }
    }
}

bool worker::write_entry()
{
    const json value{{"Service", options_.service},
                     {"Address", options_.ip + ":" + std::to_string(port_)},
                     {"Zone", options_.zone},
                     {"Version", options_.version},
                     {"Capacity", options_.capacity},
                     {"State", "ready"},
                     {"ColdRemainingMs", 0},
                     {"Sequence", ++sequence_},
                     {"born", born_}};
    if (!platform_.put("keyed.servers", options_.id, value.dump())) {
        return false;
    }
    listed_ = true;
    last_beat_ = steady::now();
    return true;
}

void worker::crash()
{
    if (up_.exchange(false)) {
        server_->stop();
        log_.note("worker " + options_.id + " with software " + options_.version + " has ended");
    }
}

void worker::leave_unsaid()
{
    leaving_ = true;
    platform_.put("keyed.servers", options_.id, "");
    listed_ = false;
    log_.note("worker " + options_.id + " leaves, its entry is removed");
}

void worker::end()
{
    crash();
    if (beats_.joinable()) {
        ended_ = true;
        wake_.notify_all();
        beats_.join();
    }
}

void worker::on_request(server_connection& caller, const http_request& request)
{
    const std::string attempt = request.header("Attempt-Id");
    const std::string echo = attempt.empty() ? std::string() : "Attempt-Id: " + attempt + "\r\n";
    if (request.path == "/healthz") {
        caller.reply(200, "Instance-Id: " + options_.id + "\r\n", "");
        return;
    }
    const std::string expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != options_.id) {
        caller.reply(421, echo + "Not-Executed: 1\r\n", "");
        return;
    }
    ++runs_;
    if (on_run) {
        on_run(attempt, options_.version);
    }
    const std::string head =
        echo + "Server-Signature: " + options_.id + "." + options_.version + "." + attempt + "\r\n";
    if (request.path.find("/plain/") != std::string::npos) {
        caller.reply(200, head, options_.id + " ran " + attempt);
        return;
    }
    ++streaming_;
    stream(caller, request, head);
    --streaming_;
}

void worker::stream(server_connection& caller, const http_request& request, const std::string& head)
{
    const std::size_t slash = request.path.rfind('/');
    const std::size_t dash = request.path.find('-', slash);
    const unsigned events = std::stoul("0" + request.path.substr(slash + 1, dash - slash - 1));
    const milliseconds gap(dash == std::string::npos ? 0
                                                     : std::stoul(request.path.substr(dash + 1)));
    const std::string last = request.header("Last-Event-Id");
    unsigned number = last.empty() ? 0 : static_cast<unsigned>(std::stoul(last));
    if (!caller.write("HTTP/1.1 200 OK\r\n" + head +
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return;
    }
    while (++number <= events) {
        const std::string text = "id: " + std::to_string(number) + "\ndata: " + options_.version +
                                 " " + options_.id + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
        if (!up_ || caller.closed() || !caller.write(chunk.str())) {
            return;
        }
        std::this_thread::sleep_for(gap);
    }
    if (up_) {
        caller.write("0\r\n\r\n");
    }
}

client_result send_request(const client_request& request)
{
    client_result result;
    const auto end = steady::now() + request.limit;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(request.ip, request.port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(socket);
        result.refused = true;
        return result;
    }
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    for (const std::string& line : request.headers) {
        text += line + "\r\n";
    }
    if (!request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    write_all(socket, text + "\r\n" + request.body);
    std::string input;
    bool head_read = false;
    bool chunked = false;
    bool until_close = false;
    std::size_t length = 0;
    const auto take_body = [&] {
        if (!chunked) {
            result.body += input;
            input.clear();
            result.complete = !until_close && result.body.size() >= length;
            return;
        }
        while (!result.complete) {
            const std::size_t line = input.find("\r\n");
            if (line == std::string::npos) {
                return;
            }
            const std::size_t size = std::stoul(input.substr(0, line), nullptr, 16);
            if (input.size() < line + 2 + size + 2) {
                return;
            }
            result.body += input.substr(line + 2, size);
            input.erase(0, line + 2 + size + 2);
            result.complete = size == 0;
        }
    };
    while (!result.complete) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - steady::now()).count();
        pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        char bytes[65536];
        const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            result.complete = head_read && until_close && count == 0;
            break;
        }
        input.append(bytes, static_cast<std::size_t>(count));
        if (!head_read) {
            const auto head = take_head(input);
            if (!head) {
                continue;
            }
            head_read = true;
            result.status = std::stoi(head->front().substr(9, 3));
            for (std::size_t line = 1; line < head->size(); ++line) {
                add_header(result.headers, head->at(line));
            }
            chunked = result.headers["transfer-encoding"] == "chunked";
            until_close = !chunked && result.headers["content-length"].empty();
            length = until_close || chunked ? 0 : std::stoul(result.headers["content-length"]);
        }
        take_body();
        if (request.on_data) {
            request.on_data(result);
        }
    }
    ::close(socket);
    return result;
}

std::vector<event> events_of(const std::string& body)
{
    std::vector<event> events;
    std::size_t begin = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos;
         end = body.find("\n\n", begin)) {
        event read;
        std::istringstream lines(body.substr(begin, end - begin));
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("id: ")) {
                read.id = line.substr(4);
            }
            if (line.starts_with("data: ")) {
                read.data = line.substr(6);
            }
        }
        events.push_back(read);
        begin = end + 2;
    }
    return events;
}

entry_process::entry_process(std::string folder, entry_options options)
    : folder_(std::move(folder)), options_(std::move(options))
{
}

void entry_process::start()
{
    const auto at = [this](std::uint16_t port) { return options_.ip + ":" + std::to_string(port); };
    const json settings{{"NodeName", options_.name},
                        {"Role", "entry"},
                        {"MachineClass", "edge"},
                        {"Serves", {"edge", "control"}},
                        {"Ip", options_.ip},
                        {"Zone", options_.zone},
                        {"Region", "area"},
                        {"Listen",
                         {{"Frontend", at(frontend_port)},
                          {"Readiness", at(readiness_port)},
                          {"ControlPlane", at(control_port)}}},
                        {"PortRange", {first_peer_port, first_peer_port + 15}},
                        {"Seeds", options_.seeds},
                        {"Bootstrap", true},
                        {"InTolerance", false},
                        {"Limits",
                         {{"CpuShare", 0.19},
                          {"Cores", 1},
                          {"MemoryMb", 260},
                          {"MaxFds", 4100},
                          {"LinkMbps", 1000.0},
                          {"DiskMb", 0}}},
                        {"DataDir", nullptr},
                        {"Discovery", "platform"},
                        {"Entry", "vip"},
                        {"HeartbeatMs", options_.heartbeat_ms},
                        {"Contracts",
                         {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "places", "platform"}},
                        {"FaultTolerance", {{"Machines", 1}, {"Zones", 1}, {"Regions", 0}}},
                        {"Bounds", {{"SeedLagS", 3},         {"ReuseAfterS", 2},
                                    {"ContactMs", 3000},     {"AckMs", 4000},
                                    {"CatchUpS", 4},         {"DrainMs", 2000},
                                    {"GraceS", 8},           {"LossSlackMs", 200},
                                    {"ConfigApplyMs", 2000}, {"RollbackSlackMs", 250},
                                    {"OuterMs", 5000},       {"StrictRevocation", false},
                                    {"RevokeMs", 5000},      {"RetryBudgetRatio", 0.2},
                                    {"BudgetWindowS", 10},   {"BudgetExtra", 56},
                                    {"ColdOverage", 1.5},    {"ColdTolerance", 5},
                                    {"EvacuateMs", 5000},    {"RecoverS", 12},
                                    {"PassMs", 120},         {"ReuseWindowS", 10},
                                    {"CapMultiplier", 2}}},
                        {"Platform",
                         {{"Address", options_.store},
                          {"form", "log"},
                          {"WritesPerS", 400},
                          {"ReadsPerS", 2000},
                          {"parts", 12},
                          {"AppendMs", 2.0},
                          {"PartMbPerS", 20.0},
                          {"ReadMbPerS", 80.0},
                          {"RecordBytes", 262144},
                          {"CallBytes", 2097152},
                          {"keep_s", 300},
                          {"PartMb", 200},
                          {"TtlMinMs", 1000}}}};
    const std::string file = folder_ + "/" + options_.name + ".json";
    std::ofstream(file) << settings.dump(2);
    const std::string output = folder_ + "/" + options_.name + ".log";
    const std::string variable = "CYCLAMENSHORE_CONFIG=" + file;
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
    std::vector<char*> environment{const_cast<char*>(variable.c_str()),
                                   const_cast<char*>(path_variable.c_str()), nullptr};
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        const int out = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        char program[] = "target/platform/cyclamen-platform-entry"; // as in deploy/system.toml
        char* arguments[] = {program, nullptr};
        execve(program, arguments, environment.data());
        _exit(127);
    }
}

void entry_process::signal(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

void entry_process::end()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = -1;
    }
}

bool entry_process::running()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ > 0;
}

bool entry_process::ready() const
{
    return send_request({.ip = options_.ip,
                         .port = readiness_port,
                         .method = "GET",
                         .path = "/v1/readyz",
                         .headers = {"Host: " + options_.ip},
                         .limit = 1000ms})
               .status == 200;
}

loopback_net::loopback_net()
{
    std::random_device random;
    for (int tries = 0; tries < 50; ++tries) {
        prefix_ = "127." + std::to_string(20 + random() % 200) + "." +
                  std::to_string(1 + random() % 250) + ".";
        bool free = true;
        for (const std::uint16_t port : {frontend_port, readiness_port, first_peer_port}) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in any = address_of(address(1), port);
            free = free && ::bind(socket, reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0;
            ::close(socket);
        }
        if (free) {
            return;
        }
    }
    throw cannot_run("no free loopback addresses");
}

std::string loopback_net::address(unsigned number) const
{
    return prefix_ + std::to_string(number);
}

temporary_folder::temporary_folder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw cannot_run("no temporary folder");
    }
    path_ = name;
}

temporary_folder::~temporary_folder()
{
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    else {
        std::cerr << "logs: " << path_ << "\n";
    }
}

bool wait_for(milliseconds limit, const std::function<bool()>& condition)
{
    const auto end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void limit_run(unsigned seconds)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { _exit(2); });
    alarm(seconds);
}

std::string random_id()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    std::ostringstream text;
    text << std::hex << (random() | (std::uint64_t{1} << 63U));
    return text.str();
}

int run_case(const std::function<bool()>& rule_held)
{
    limit_run(115);
    try {
        return rule_held() ? 0 : 1;
    }
    catch (const std::exception& fault) {
        std::cerr << "the case can't run: " << fault.what() << "\n";
        return 2;
    }
}

} // namespace review
