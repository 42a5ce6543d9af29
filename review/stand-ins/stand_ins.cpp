#include "stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>

namespace review {

namespace {

constexpr milliseconds request_limit = 30s; // for a request to arrive on an open connection
constexpr milliseconds poll_interval = 5ms;
constexpr unsigned time_limit_s = 115; // of a case

sockaddr_in socket_address(const std::string& ip, unsigned port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

std::string base64(const std::string& text)
{
    constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const bool there = at + index < text.size();
            group = (group << 8U) | (there ? static_cast<unsigned char>(text[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool there = at + index <= text.size();
            result += there ? letters[(group >> (18 - 6 * index)) & 63U] : '=';
        }
    }
    return result;
}

std::string big_endian(std::uint64_t value, unsigned bytes)
{
    std::string result;
    for (unsigned index = bytes; index > 0; --index) {
        result += static_cast<char>(value >> (8 * (index - 1)));
    }
    return result;
}

std::uint64_t number_at(const std::string& text, std::size_t at, unsigned bytes)
{
    std::uint64_t value = 0;
    for (unsigned index = 0; index < bytes; ++index) {
        value = (value << 8U) | static_cast<unsigned char>(text[at + index]);
    }
    return value;
}

// The value of a parameter of a query, decoded.
std::string parameter(const std::string& target, const std::string& name)
{
    const std::size_t question = target.find('?');
    std::istringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    std::string pair;
    while (std::getline(query, pair, '&')) {
        if (pair.rfind(name + "=", 0) != 0) {
            continue;
        }
        std::string value;
        for (std::size_t at = name.size() + 1; at < pair.size(); ++at) {
            if (pair[at] == '%' && at + 2 < pair.size()) {
                value += static_cast<char>(std::stoi(pair.substr(at + 1, 2), nullptr, 16));
                at += 2;
            }
            else {
                value += pair[at];
            }
        }
        return value;
    }
    return {};
}

std::uint64_t number_parameter(const std::string& target, const std::string& name)
{
    return std::strtoull(parameter(target, name).c_str(), nullptr, 10);
}

std::string path_of(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

void answer_with(const channel& caller, int status, const std::string& type,
                 const std::string& body)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << status << " Status\r\nContent-Type: " << type
         << "\r\nContent-Length: " << body.size() << "\r\n\r\n"
         << body;
    caller.send(text.str());
}

} // namespace

record_file::record_file(const std::string& path)
    : file_(path), start_(std::chrono::steady_clock::now())
{
}

milliseconds record_file::now() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start_);
}

void record_file::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(now().count()) / 1000);
    file_ << time << text << std::endl;
}

bool wait_until(milliseconds limit, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string loopback_address(unsigned host)
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + pid / 8192 % 128) + "." + std::to_string(pid / 32 % 256) +
           "." + std::to_string(pid % 32 * 8 + host);
}

unsigned free_port(const std::string& ip)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socket_address(ip, 0);
    socklen_t length = sizeof address;
    const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                       getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    close(probe);
    return bound ? ntohs(address.sin_port) : 0;
}

std::string http_head::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string http_head::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string http_head::target() const
{
    const std::size_t from = std::min(first_line.find(' '), first_line.size() - 1) + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
}

int http_head::status() const
{
    const std::size_t space = first_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space + 1);
}

channel::channel(int socket) : socket_(socket)
{
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

channel::~channel()
{
    close(socket_);
}

std::unique_ptr<channel> channel::connect(const std::string& ip, unsigned port)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socket_address(ip, port);
    auto result = std::make_unique<channel>(handle);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        return nullptr;
    }
    return result;
}

bool channel::send(std::string_view data) const
{
    while (!data.empty()) {
        const ssize_t sent = ::send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

read_end channel::fill(milliseconds limit)
{
    pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
    if (poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, limit.count()))) <= 0) {
        return read_end::timeout;
    }
    char bytes[16384];
    const ssize_t count = recv(socket_, bytes, sizeof bytes, 0);
    if (count > 0) {
        buffer.append(bytes, static_cast<std::size_t>(count));
        return read_end::data;
    }
    return count == 0 ? read_end::closed : read_end::reset;
}

std::optional<http_head> channel::read_head(milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::size_t stop = 0;
    while ((stop = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
        if (left <= 0ms || fill(left) != read_end::data) {
            return std::nullopt;
        }
    }
    std::istringstream lines(buffer.substr(0, stop));
    buffer.erase(0, stop + 4);
    http_head head;
    std::string line;
    while (std::getline(lines, line)) {
        line.erase(line.find_last_not_of('\r') + 1);
        const std::size_t colon = line.find(':');
        if (head.first_line.empty()) {
            head.first_line = line;
        }
        else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            head.headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
        }
    }
    return head;
}

void channel::shut_down() const
{
    shutdown(socket_, SHUT_RDWR);
}

void channel::reset()
{
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(socket_.exchange(-1));
}

http_listener::http_listener(std::string ip, unsigned port, handler on_request)
    : ip_(std::move(ip)), port_(port), on_request_(std::move(on_request))
{
}

http_listener::~http_listener()
{
    stop();
}

void http_listener::start()
{
    const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socket_address(ip_, port_);
    constexpr int backlog = 256;
    if (bind(listening, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(listening, backlog) != 0) {
        std::fprintf(stderr, "cannot listen at %s:%u: %s\n", ip_.c_str(), port_,
                     std::strerror(errno));
        std::exit(could_not_run);
    }
    listening_ = listening;
    acceptor_ = std::thread([this, listening] { accept_all(listening); });
}

void http_listener::accept_all(int listening)
{
    while (listening_ == listening) {
        pollfd waiting{.fd = listening, .events = POLLIN, .revents = 0};
        if (poll(&waiting, 1, static_cast<int>(poll_interval.count())) <= 0) {
            continue;
        }
        const int socket = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        auto caller = std::make_shared<channel>(socket);
        const std::lock_guard lock(mutex_);
        open_.insert(caller);
        std::thread([this, caller] { serve(caller); }).detach();
    }
    close(listening);
}

void http_listener::serve(const std::shared_ptr<channel>& caller)
{
    while (auto head = caller->read_head(request_limit)) {
        http_request request{.head = std::move(*head), .body = {}};
        const auto length =
            std::strtoull(request.head.header("Content-Length").c_str(), nullptr, 10);
        bool arrived = true;
        while (arrived && caller->buffer.size() < length) {
            arrived = caller->fill(request_limit) == read_end::data;
        }
        if (!arrived) {
            break;
        }
        request.body = caller->buffer.substr(0, length);
        caller->buffer.erase(0, length);
        if (!on_request_(*caller, request)) {
            break;
        }
    }
    caller->shut_down();
    const std::lock_guard lock(mutex_);
    open_.erase(caller);
    changed_.notify_all();
}

void http_listener::stop_listening()
{
    listening_ = -1;
    if (acceptor_.joinable()) {
        acceptor_.join();
    }
}

void http_listener::stop()
{
    stop_listening();
    std::unique_lock lock(mutex_);
    for (const auto& caller : open_) {
        caller->shut_down();
    }
    changed_.wait(lock, [this] { return open_.empty(); });
}

store::store(const std::string& ip)
    : listener_(ip, free_port(ip), [this](channel& caller, const http_request& request) {
          return handle(caller, request);
      })
{
    listener_.start();
}

std::string store::address() const
{
    return listener_.ip() + ":" + std::to_string(listener_.port());
}

void store::add(const std::string& topic, row added)
{
    const std::lock_guard lock(mutex_);
    logs_[topic].push_back(std::move(added));
    changed_.notify_all();
}

bool store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    {
        const std::lock_guard lock(mutex_);
        if (down_) {
            return false;
        }
    }
    add(topic, {.key = key, .value = value});
    return true;
}

void store::remove(const std::string& topic, const std::string& key)
{
    add(topic, {.key = key, .value = std::nullopt});
}

void store::set_down(bool down)
{
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

bool store::handle(channel& caller, const http_request& request)
{
    {
        const std::lock_guard lock(mutex_);
        if (down_) {
            answer_with(caller, 503, "text/plain", "");
            return true;
        }
    }
    const std::string path = path_of(request.head.target());
    if (path == "/v1/log-newest") {
        return list_newest(caller, request);
    }
    if (path == "/v1/log-read") {
        return read(caller, request);
    }
    if (path == "/v1/log-append") {
        return append(caller, request);
    }
    answer_with(caller, 404, "text/plain", "");
    return true;
}

bool store::list_newest(channel& caller, const http_request& request)
{
    const std::string topic = parameter(request.head.target(), "Topic");
    const std::string after = parameter(request.head.target(), "After");
    std::string entries;
    std::size_t end = 0;
    {
        const std::lock_guard lock(mutex_);
        const std::vector<row>& log = logs_[topic];
        end = log.size();
        std::map<std::string, std::size_t> newest;
        for (std::size_t offset = 0; offset < log.size(); ++offset) {
            newest[log[offset].key] = offset;
        }
        for (const auto& [key, offset] : newest) {
            if (!log[offset].value || key <= after) {
                continue;
            }
            entries += std::string(entries.empty() ? "" : ",") + R"({"Key":")" + key +
                       R"(","Value":")" + base64(*log[offset].value) + R"(","Offset":)" +
                       std::to_string(offset) + "}";
        }
    }
    answer_with(caller, 200, "application/json",
                R"({"Entries":[)" + entries + R"(],"HasMore":false,"EndOffset":)" +
                    std::to_string(end) + "}");
    return true;
}

bool store::read(channel& caller, const http_request& request)
{
    const std::string topic = parameter(request.head.target(), "Topic");
    const std::size_t from = number_parameter(request.head.target(), "From");
    const milliseconds wait(number_parameter(request.head.target(), "WaitMs"));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return logs_[topic].size() > from || down_; });
    if (down_) {
        lock.unlock();
        answer_with(caller, 503, "text/plain", "");
        return true;
    }
    const std::vector<row>& log = logs_[topic];
    std::string body = big_endian(log.size(), 8) + big_endian(0, 8);
    for (std::size_t offset = from; offset < log.size(); ++offset) {
        const std::string content = big_endian(log[offset].key.size(), 1) + log[offset].key +
                                    log[offset].value.value_or("");
        body += big_endian(content.size(), 4) + content;
    }
    lock.unlock();
    answer_with(caller, 200, "application/octet-stream", body);
    return true;
}

bool store::append(channel& caller, const http_request& request)
{
    const std::string topic = parameter(request.head.target(), "Topic");
    std::size_t at = 0;
    std::size_t count = 0;
    const std::string& body = request.body;
    while (at + 4 < body.size()) {
        const std::size_t length = number_at(body, at, 4);
        const std::size_t key_length = number_at(body, at + 4, 1);
        row added{.key = body.substr(at + 5, key_length), .value = std::nullopt};
        if (length > key_length + 1) {
            added.value = body.substr(at + 5 + key_length, length - key_length - 1);
        }
        add(topic, std::move(added));
        at += 4 + length;
        ++count;
    }
    std::size_t end = 0;
    {
        const std::lock_guard lock(mutex_);
        end = logs_[topic].size();
    }
    answer_with(caller, 200, "application/json",
                R"({"Offset":)" + std::to_string(end - count) + R"(,"EndOffset":)" +
                    std::to_string(end) + "}");
    return true;
}

backend::backend(store& platform, const std::string& ip, backend_options options, handler on_run)
    : store_(platform), options_(std::move(options)),
      listener_(ip, free_port(ip),
                [this, on_run = std::move(on_run)](channel& caller, const http_request& request) {
                    if (request.head.header("Expect-Instance") == options_.id) {
                        return on_run(caller, request);
                    }
                    return caller.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                                       options_.id + "\r\nContent-Length: 0\r\n\r\n");
                })
{
}

std::string backend::address() const
{
    return listener_.ip() + ":" + std::to_string(listener_.port());
}

void backend::start()
{
    {
        const std::lock_guard lock(mutex_);
        sequence_ = 0;
        born_ = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                               std::chrono::system_clock::now().time_since_epoch())
                                               .count());
    }
    listener_.start();
    write_entry("ready");
}

void backend::crash()
{
    listener_.stop();
}

void backend::report_draining()
{
    write_entry("draining");
}

void backend::leave()
{
    store_.remove("keyed.servers", options_.id);
    listener_.stop();
}

void backend::set_version(const std::string& version)
{
    const std::lock_guard lock(mutex_);
    options_.version = version;
}

std::string backend::version() const
{
    const std::lock_guard lock(mutex_);
    return options_.version;
}

bool backend::register_again()
{
    return write_entry("ready");
}

bool backend::write_entry(const std::string& state)
{
    std::ostringstream text;
    {
        const std::lock_guard lock(mutex_);
        text << R"({"Service":")" << options_.service << R"(","Address":")" << address()
             << R"(","Zone":")" << options_.zone << R"(","Version":")" << options_.version
             << R"(","Capacity":)" << options_.slots << R"(,"State":")" << state
             << R"(","ColdRemainingMs":0,"Sequence":)" << ++sequence_ << R"(,"born":)" << born_
             << "}";
    }
    return store_.put("keyed.servers", options_.id, text.str());
}

const char* const host_name = "shop.example";
const char* const api_key = "n2ctnfzs989anu6wsjnb";

std::string configuration(unsigned version, const std::vector<route_options>& routes,
                          const std::vector<std::string>& services)
{
    std::ostringstream text;
    text << std::boolalpha << R"({"Version":)" << version << R"(,"Routes":[)";
    for (const route_options& route : routes) {
        text << (&route == &routes.front() ? "" : ",") << R"({"Name":")" << route.name
             << R"(","Hostname":")" << host_name << R"(","PathPrefix":")" << route.prefix
             << R"(","Type":")" << route.type << R"(","TimeoutMs":)" << route.timeout_ms
             << R"(,"TargetLatencyMs":)" << route.target_ms << R"(,"Priority":1,"Service":")"
             << route.service << R"(","MaxAttempts":)" << route.max_attempts
             << R"(,"Public":false,"SessionAffinity":)" << route.affinity << R"(,"StreamResume":)"
             << route.resumable << R"(,"GapTargetMs":500})";
    }
    text << R"(],"Services":[)";
    for (const std::string& service : services) {
        text
            << (&service == &services.front() ? "" : ",") << R"({"Name":")" << service
            << R"(","HealthPath":"/healthz","MaxConnections":370,"ColdStartS":0.0,"ColdPerS":0.0})";
    }
    text << R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         << R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"tenant-1","ApiKeys":[")" << api_key
         << R"("],"Priority":1}]})";
    return text.str();
}

entry_process::entry_process(entry_options options) : options_(std::move(options)) {}

entry_process::~entry_process()
{
    signal(SIGKILL);
    wait_for_exit(5s);
}

void entry_process::write_settings() const
{
    std::ofstream file(options_.folder + "/" + options_.name + ".json");
    file << R"({"NodeName":")" << options_.name
         << R"(","Role":"entry","MachineClass":"edge","Serves":["edge","control"],"Ip":")"
         << options_.ip << R"(","Zone":"zone-a","Region":"area","Zones":{"zone-a":"area"},)"
         << R"("Listen":{"Frontend":")" << options_.ip << ":" << options_.callers_port
         << R"(","Readiness":")" << options_.ip << ":" << options_.readiness_port
         << R"("},"PortRange":[)" << options_.peer_port << "," << options_.peer_port + 15
         << R"(],"Seeds":[)";
    for (const std::string& seed : options_.seeds) {
        file << (&seed == &options_.seeds.front() ? "" : ",") << '"' << seed << '"';
    }
    file << R"(],"Bootstrap":true,"HeartbeatMs":1200,)"
         << R"("Bounds":{"ReuseAfterS":2,"ContactMs":3000,"DrainMs":2000,"GraceS":8,)"
         << R"("LossSlackMs":200,"ConfigApplyMs":2000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,)"
         << R"("BudgetExtra":56,"RecoverS":12,"CapMultiplier":2},"Platform":{"Address":")"
         << options_.store << R"(","form":"log","WritesPerS":400,"ReadsPerS":2000}})"
         << "\n";
}

void entry_process::start()
{
    write_settings();
    const std::string settings = options_.folder + "/" + options_.name + ".json";
    const std::string output = options_.folder + "/" + options_.name + ".out";
    std::vector<std::string> words;
    std::istringstream command(options_.program);
    for (std::string word; command >> word;) {
        words.push_back(word);
    }
    std::vector<char*> arguments;
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string variable = "CYCLAMENSHORE_CONFIG=" + settings;
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
    char* environment[] = {const_cast<char*>(variable.c_str()),
                           const_cast<char*>(path_variable.c_str()), nullptr};
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, also when that is killed
        if (getppid() != parent) {
            _exit(could_not_run);
        }
        const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execve(arguments[0], arguments.data(), environment);
        _exit(could_not_run);
    }
}

void entry_process::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

std::optional<int> entry_process::wait_for_exit(milliseconds limit)
{
    std::optional<int> result;
    wait_until(limit, [&] {
        int status = 0;
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
            result = status;
            pid_ = -1;
        }
        return pid_ <= 0;
    });
    return result;
}

bool entry_process::ready() const
{
    const auto connection = channel::connect(options_.ip, options_.readiness_port);
    if (connection == nullptr) {
        return false;
    }
    connection->send("GET /v1/readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
    const auto head = connection->read_head(1s);
    return head && head->status() == 200;
}

std::vector<entry_options> plan_entries(unsigned count, const std::string& program,
                                        const std::string& folder, const std::string& store)
{
    constexpr unsigned first_host = 3; // 1 is the store's, 2 is the backend servers'
    std::vector<entry_options> entries;
    // Ports are the same on all machines.
    const unsigned callers_port = free_port(loopback_address(first_host));
    const unsigned readiness_port = callers_port == 65535 ? callers_port - 1 : callers_port + 1;
    const unsigned peer_port = 20000 + callers_port % 10000;
    std::vector<std::string> seeds;
    for (unsigned index = 0; index < count; ++index) {
        seeds.push_back(loopback_address(first_host + index) + ":" + std::to_string(peer_port - 1));
    }
    for (unsigned index = 0; index < count; ++index) {
        entries.push_back({.program = program,
                           .folder = folder,
                           .name = "entry-" + std::to_string(index + 1),
                           .ip = loopback_address(first_host + index),
                           .callers_port = callers_port,
                           .readiness_port = readiness_port,
                           .peer_port = peer_port,
                           .seeds = seeds,
                           .store = store});
    }
    return entries;
}

const char* name_of(answer_end end)
{
    switch (end) {
    case answer_end::whole:
        return "whole";
    case answer_end::closed:
        return "orderly-close";
    case answer_end::broken_off:
        return "broken-off";
    case answer_end::reset:
        return "reset";
    case answer_end::timeout:
        return "timeout";
    case answer_end::none:
        return "none";
    }
    return "?";
}

namespace {

// Moves the body that has arrived from the channel's buffer to the answer; returns whether it is
// whole.
class body_reader {
public:
    explicit body_reader(const http_head& head)
        : chunked_(head.header("Transfer-Encoding") == "chunked")
    {
        const std::string length = head.header("Content-Length");
        if (!chunked_ && !length.empty()) {
            length_ = std::strtoull(length.c_str(), nullptr, 10);
        }
    }

    bool has_end() const { return chunked_ || length_.has_value(); }

    bool take(std::string& from, std::string& to) const
    {
        if (!chunked_) {
            to += from;
            from.clear();
            return length_ && to.size() >= *length_;
        }
        while (true) {
            const std::size_t line = from.find("\r\n");
            if (line == std::string::npos) {
                return false;
            }
            const auto size = std::strtoull(from.c_str(), nullptr, 16);
            if (from.size() < line + 2 + size + 2) {
                return false;
            }
            to += from.substr(line + 2, size);
            from.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

private:
    bool chunked_;
    std::optional<std::uint64_t> length_;
};

} // namespace

answer call(const std::string& ip, unsigned port, const caller_request& request,
            const std::function<void(const answer&)>& on_body)
{
    const auto end = std::chrono::steady_clock::now() + request.budget;
    const auto left = [&] {
        return std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
    };
    answer result;
    const auto connection = channel::connect(ip, port);
    if (connection == nullptr) {
        return result;
    }
    std::ostringstream text;
    text << request.method << " " << request.path << " HTTP/1.1\r\nHost: " << host_name
         << "\r\nAttempt-Id: " << request.attempt_id
         << "\r\nDeadline-Ms: " << request.budget.count() << "\r\nAuthorization: Bearer " << api_key
         << "\r\n";
    for (const auto& [name, value] : request.headers) {
        text << name << ": " << value << "\r\n";
    }
    if (request.method != "GET") {
        text << "Content-Length: " << request.body.size() << "\r\n";
    }
    text << "\r\n" << request.body;
    if (!connection->send(text.str())) {
        return result;
    }
    auto head = connection->read_head(left());
    if (!head) {
        return result;
    }
    result.head = std::move(*head);
    const body_reader reader(result.head);
    while (!reader.take(connection->buffer, result.body)) {
        if (on_body) {
            on_body(result);
        }
        const read_end arrived = connection->fill(left());
        if (arrived == read_end::data) {
            continue;
        }
        result.end = arrived == read_end::timeout ? answer_end::timeout
                     : arrived == read_end::reset ? answer_end::reset
                     : reader.has_end()           ? answer_end::broken_off
                                                  : answer_end::closed;
        return result;
    }
    result.end = answer_end::whole;
    if (on_body) {
        on_body(result);
    }
    return result;
}

bool send_events(const channel& caller, const http_request& request, const std::string& text,
                 unsigned last, milliseconds interval)
{
    const std::string id = request.head.header("Attempt-Id");
    bool sent = caller.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " + id +
                            ".stream\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
    const std::string after = request.head.header("Last-Event-Id");
    auto number = static_cast<unsigned>(std::atoi(after.c_str()));
    while (sent && number < last) {
        std::this_thread::sleep_for(interval);
        ++number;
        const std::string event = "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        sent = caller.send(size + event + "\r\n");
    }
    return sent && caller.send("0\r\n\r\n");
}

std::vector<stream_event> events_of(const std::string& body)
{
    std::vector<stream_event> events;
    stream_event current;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("id: ", 0) == 0) {
            current.id = static_cast<unsigned>(std::atoi(line.c_str() + 4));
        }
        else if (line.rfind("data: ", 0) == 0) {
            current.data = line.substr(6);
        }
        else if (line.empty() && !lines.eof()) {
            events.push_back(std::exchange(current, {}));
        }
    }
    return events;
}

std::string hexadecimal(std::uint64_t value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::uint64_t random_number()
{
    static std::mutex mutex;
    static std::mt19937_64 source{std::random_device{}()};
    const std::lock_guard lock(mutex);
    return source();
}

case_arguments read_arguments(int count, char** values)
{
    constexpr int expected = 4;
    if (count != expected) {
        std::fprintf(stderr, "usage: %s COMMAND FOLDER RECORD\n", values[0]);
        std::exit(could_not_run);
    }
    alarm(time_limit_s); // ends this process, and with it the entries
    const char* trouble = std::getenv("TROUBLE");
    return {.program = values[1],
            .folder = values[2],
            .record = values[3],
            .trouble = trouble == nullptr || std::string(trouble) != "0"};
}

} // namespace review
