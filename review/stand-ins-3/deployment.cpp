#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

const char* const program = "target/platform/cyclamen-platform-entry";

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

sockaddr_in socket_address(const endpoint& at)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.host.c_str(), &result.sin_addr);
    return result;
}

std::string base64(const std::string& text)
{
    static const char* const letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t next = 0; next < 3; ++next) {
            bits = bits << 8U |
                   (at + next < text.size() ? static_cast<unsigned char>(text[at + next]) : 0U);
        }
        for (std::size_t next = 0; next < 4; ++next) {
            const bool padding = at + next > text.size();
            out += padding ? '=' : letters[bits >> (18 - 6 * next) & 63U];
        }
    }
    return out;
}

std::string big_endian(std::uint64_t value, unsigned bytes)
{
    std::string text;
    for (unsigned left = bytes; left > 0; --left) {
        text += static_cast<char>(value >> 8 * (left - 1) & 255U);
    }
    return text;
}

std::string query_value(const std::string& target, const std::string& name)
{
    std::istringstream parts(target.substr(std::min(target.size(), target.find('?') + 1)));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

std::size_t number_or(const std::string& text, std::size_t fallback)
{
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

std::string http_answer(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nStore-Era: 1\r\n\r\n" + body;
}

const std::pair<unsigned, unsigned>& network()
{
    static const std::pair<unsigned, unsigned> chosen = [] {
        std::random_device source;
        return std::pair(1 + source() % 254, 1 + source() % 254);
    }();
    return chosen;
}

} // namespace

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string loopback(unsigned last)
{
    return "127." + std::to_string(network().first) + "." + std::to_string(network().second) + "." +
           std::to_string(last);
}

bool wait_until(const std::function<bool()>& condition, millis limit)
{
    const auto end = clock::now() + limit;
    while (!condition()) {
        if (clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(millis(2));
    }
    return true;
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

recorder::recorder(const std::string& path) : file_(path) {}

millis recorder::now() const
{
    return std::chrono::duration_cast<millis>(clock::now() - began_);
}

void recorder::line(const std::string& text)
{
    const std::lock_guard hold(lock_);
    file_ << std::setw(6) << now().count() << " ms  " << text << std::endl;
}

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string() : found->second;
}

int message::status() const
{
    return start.rfind("HTTP/", 0) == 0 && start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::target() const
{
    const std::size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
}

stream_socket::~stream_socket()
{
    close();
}

void stream_socket::close()
{
    if (handle_ >= 0) {
        ::close(handle_);
        handle_ = -1;
    }
}

bool stream_socket::connect(const endpoint& to)
{
    handle_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socket_address(to);
    const int on = 1;
    setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return ::connect(handle_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

bool stream_socket::send(const std::string& text) const
{
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t sent = ::send(handle_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

bool stream_socket::read(std::string& buffer, millis limit) const
{
    pollfd ready{.fd = handle_, .events = POLLIN, .revents = 0};
    if (::poll(&ready, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const ssize_t count = ::recv(handle_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<message>
stream_socket::receive(millis limit, const std::function<void(const std::string&)>& on_body)
{
    const auto end = clock::now() + limit;
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<millis>(end - clock::now());
        return left.count() > 0 && read(unread_, left);
    };
    std::size_t head_end = 0;
    while ((head_end = unread_.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return std::nullopt;
        }
    }
    message result;
    std::istringstream head(unread_.substr(0, head_end));
    unread_.erase(0, head_end + 4);
    std::string line;
    std::getline(head, result.start);
    while (!result.start.empty() && result.start.back() == '\r') {
        result.start.pop_back();
    }
    while (std::getline(head, line)) {
        const std::size_t colon = line.find(':');
        std::string value = line.substr(std::min(line.size(), colon + 1));
        value.erase(0, value.find_first_not_of(' '));
        while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
            value.pop_back();
        }
        result.headers[lower(line.substr(0, colon))] = value;
    }
    const auto take = [&](std::size_t count) {
        const std::string part = unread_.substr(0, count);
        unread_.erase(0, count);
        result.body += part;
        if (on_body && !part.empty()) {
            on_body(part);
        }
        return part.size();
    };
    if (lower(result.header("Transfer-Encoding")) == "chunked") {
        while (true) {
            std::size_t line_end = 0;
            while ((line_end = unread_.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return result;
                }
            }
            std::size_t left = std::strtoull(unread_.c_str(), nullptr, 16);
            const bool last = left == 0;
            unread_.erase(0, line_end + 2);
            while (left > 0) {
                left -= take(left);
                if (left > 0 && !more()) {
                    return result;
                }
            }
            while (unread_.size() < 2) {
                if (!more()) {
                    return result;
                }
            }
            unread_.erase(0, 2);
            if (last) {
                result.complete = true;
                return result;
            }
        }
    }
    std::size_t left = number_or(result.header("Content-Length"), 0);
    while (left > 0) {
        left -= take(left);
        if (left > 0 && !more()) {
            return result;
        }
    }
    result.complete = true;
    return result;
}

void stream_socket::reset() const
{
    if (handle_ >= 0) {
        const linger mode{.l_onoff = 1, .l_linger = 0};
        setsockopt(handle_, SOL_SOCKET, SO_LINGER, &mode, sizeof mode);
        sockaddr unspecified{};
        unspecified.sa_family = AF_UNSPEC;
        ::connect(handle_, &unspecified, sizeof unspecified);
        ::shutdown(handle_, SHUT_RDWR);
    }
}

listener::listener(endpoint at, std::function<void(stream_socket&)> handle)
    : handle_(std::move(handle)),
      socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socket_address(at);
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(socket_, 512) != 0) {
        ::close(socket_);
        throw std::runtime_error("cannot listen at " + at.text() + ": " + std::strerror(errno));
    }
    acceptor_ = std::thread([this] { accept_all(); });
}

listener::~listener()
{
    stopping_ = true;
    acceptor_.join();
    ::close(socket_);
    {
        const std::lock_guard hold(lock_);
        for (const auto& each : open_) {
            each->reset();
        }
    }
    wait_until([this] { return running_ == 0; }, millis(10000));
}

void listener::accept_all()
{
    while (!stopping_) {
        pollfd ready{.fd = socket_, .events = POLLIN, .revents = 0};
        if (::poll(&ready, 1, 5) <= 0) {
            continue;
        }
        const int handle = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto connection = std::make_shared<stream_socket>(handle);
        {
            const std::lock_guard hold(lock_);
            open_.insert(connection);
        }
        ++running_;
        std::thread([this, connection] {
            handle_(*connection);
            {
                const std::lock_guard hold(lock_);
                open_.erase(connection);
                connection->close();
            }
            --running_;
        }).detach();
    }
}

store::store(recorder& record, endpoint at) : record_(record), address_(std::move(at))
{
    listener_ = std::make_unique<listener>(address_, [this](stream_socket& from) { serve(from); });
}

store::~store()
{
    stopping_ = true;
    changed_.notify_all();
    listener_.reset();
}

bool store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    if (down_) {
        return false;
    }
    const std::lock_guard hold(lock_);
    logs_[topic].push_back({key, value});
    changed_.notify_all();
    return true;
}

bool store::holds(const std::string& topic, const std::string& key)
{
    const std::lock_guard hold(lock_);
    const std::vector<entry>& log = logs_[topic];
    return std::any_of(log.begin(), log.end(), [&](const entry& row) { return row.key == key; });
}

unsigned store::entries_read(const std::string& topic)
{
    const std::lock_guard hold(lock_);
    return static_cast<unsigned>(waiting_[topic].count(logs_[topic].size()));
}

void store::compact(const std::string& topic)
{
    const std::lock_guard hold(lock_);
    first_[topic] = logs_[topic].size();
    record_.line("store: " + topic + " has no records before offset " +
                 std::to_string(first_[topic]));
}

void store::set_down(bool down)
{
    record_.line(down ? "store: down, answers 503" : "store: serves again");
    down_ = down;
    changed_.notify_all();
}

void store::serve(stream_socket& caller)
{
    while (!stopping_) {
        const auto request = caller.receive(millis(60000));
        if (!request || !request->complete || !caller.send(answer(*request))) {
            return;
        }
    }
}

std::string store::answer(const message& request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = query_value(target, "Topic");
    std::this_thread::sleep_for(millis(4)); // the usual time of an answer
    if (down_) {
        return http_answer("503 Service Unavailable", "");
    }
    if (path == "/v1/log-newest") {
        return newest(topic);
    }
    if (path == "/v1/log-read") {
        return read(topic, number_or(query_value(target, "From"), 0),
                    millis(number_or(query_value(target, "WaitMs"), 0)));
    }
    if (path == "/v1/log-append") {
        return append(topic, query_value(target, "At"), request.body);
    }
    return http_answer("404 Not Found", "");
}

std::string store::newest(const std::string& topic)
{
    const std::lock_guard hold(lock_);
    const std::vector<entry>& log = logs_[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t offset = 0; offset < log.size(); ++offset) {
        last[log[offset].key] = offset;
    }
    std::string rows;
    for (const auto& [key, offset] : last) {
        if (log[offset].value.empty()) {
            continue;
        }
        rows += rows.empty() ? "" : ",";
        rows += R"({"Key":")" + key + R"(","Value":")" + base64(log[offset].value) +
                R"(","Offset":)" + std::to_string(offset) + "}";
    }
    return http_answer("200 OK", R"({"Entries":[)" + rows + R"(],"HasMore":false,"EndOffset":)" +
                                     std::to_string(log.size()) + "}");
}

std::string store::read(const std::string& topic, std::size_t from, millis wait)
{
    std::unique_lock hold(lock_);
    const auto own = waiting_[topic].insert(from);
    changed_.wait_for(hold, wait, [&] { return logs_[topic].size() > from || down_ || stopping_; });
    waiting_[topic].erase(own);
    if (down_) {
        return http_answer("503 Service Unavailable", "");
    }
    const std::vector<entry>& log = logs_[topic];
    if (from > log.size() || from < first_[topic]) {
        return http_answer("410 Gone", R"({"FirstOffset":)" + std::to_string(first_[topic]) + "}");
    }
    std::string body = big_endian(log.size(), 8) + big_endian(first_[topic], 8);
    for (std::size_t offset = from; offset < log.size(); ++offset) {
        const std::string content =
            static_cast<char>(log[offset].key.size()) + log[offset].key + log[offset].value;
        body += big_endian(content.size(), 4) + content;
    }
    return http_answer("200 OK", body);
}

std::string store::append(const std::string& topic, const std::string& at, const std::string& body)
{
    if (topic == "keyed.op" || topic == "keyed.servers") {
        return http_answer("403 Forbidden", "");
    }
    const std::lock_guard hold(lock_);
    std::vector<entry>& log = logs_[topic];
    const std::string end = R"("EndOffset":)" + std::to_string(log.size());
    if (!at.empty() && number_or(at, 0) != log.size()) {
        return http_answer("412 Precondition Failed", "{" + end + "}");
    }
    const std::size_t first = log.size();
    for (std::size_t from = 0; from + 4 <= body.size();) {
        std::size_t length = 0;
        for (std::size_t byte = 0; byte < 4; ++byte) {
            length = length << 8U | static_cast<unsigned char>(body[from + byte]);
        }
        const std::string content = body.substr(from + 4, length);
        from += 4 + length;
        const std::size_t key = content.empty() ? 0 : static_cast<unsigned char>(content[0]);
        log.push_back({content.substr(std::min<std::size_t>(1, content.size()), key),
                       content.substr(std::min(content.size(), key + 1))});
    }
    changed_.notify_all();
    return http_answer("200 OK", R"({"Offset":)" + std::to_string(first) + R"(,"EndOffset":)" +
                                     std::to_string(log.size()) + "}");
}

worker::worker(recorder& record, store& platform, options given, handler serve)
    : record_(record), platform_(platform), given_(std::move(given)), handle_(std::move(serve))
{
}

worker::~worker()
{
    crash();
}

std::string worker::version() const
{
    const std::lock_guard hold(lock_);
    return given_.version;
}

void worker::start(const std::string& version)
{
    {
        const std::lock_guard hold(lock_);
        given_.version = version;
        born_ = unix_ms();
        sequence_ = 0;
        alive_ = true;
        left_ = false;
        registered_ = false;
    }
    listener_ =
        std::make_unique<listener>(given_.address, [this](stream_socket& from) { serve(from); });
    record_.line("worker " + given_.id + " starts, software " + version);
    registrar_ = std::thread([this] { check_in(); });
}

void worker::leave()
{
    const std::lock_guard hold(lock_);
    left_ = true;
    platform_.put("keyed.servers", given_.id, "");
    record_.line("worker " + given_.id + " leaves without a word");
}

void worker::crash()
{
    {
        const std::lock_guard hold(lock_);
        if (!alive_) {
            return;
        }
        alive_ = false;
    }
    stopped_.notify_all();
    registrar_.join();
    listener_.reset();
    record_.line("worker " + given_.id + " ends");
}

std::string worker::entry()
{
    return R"({"Service":")" + given_.service + R"(","Address":")" + given_.address.text() +
           R"(","Zone":")" + given_.zone + R"(","Version":")" + given_.version +
           R"(","Capacity":)" + std::to_string(given_.capacity) +
           R"(,"State":"ready","ColdRemainingMs":0,"Sequence":)" + std::to_string(++sequence_) +
           R"(,"born":)" + std::to_string(born_) + "}";
}

// Writes the worker's entry at once and at each check-in, and again soon when the store refuses.
void worker::check_in()
{
    std::unique_lock hold(lock_);
    while (alive_ && !left_) {
        const std::string text = entry();
        const bool written = platform_.put("keyed.servers", given_.id, text);
        registered_ = registered_ || written;
        if (written && sequence_ < 3) {
            record_.line("worker " + given_.id + " is registered: " + text);
        }
        stopped_.wait_for(hold, written ? given_.check_in : millis(100),
                          [this] { return !alive_ || left_; });
    }
}

void worker::serve(stream_socket& caller)
{
    while (true) {
        const auto request = caller.receive(millis(60000));
        if (!request || !request->complete) {
            return;
        }
        const std::string expected = request->header("Expect-Instance");
        const std::string id = request->header("Attempt-Id");
        if (!expected.empty() && expected != given_.id) {
            caller.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nNot-Executed: 1"
                        "\r\nAttempt-Id: " +
                        id + "\r\n\r\n");
            continue;
        }
        ++running_;
        const bool keep =
            handle_({.request = *request, .worker = given_.id, .version = version()}, caller);
        --running_;
        if (!keep) {
            return;
        }
    }
}

entry_process::entry_process(recorder& record, std::string name, std::string ip, std::string zone,
                             endpoint platform, std::vector<std::string> seeds,
                             const std::string& folder)
    : record_(record), name_(std::move(name)), ip_(std::move(ip)),
      settings_(folder + "/" + name_ + ".json"), log_(folder + "/" + name_ + ".log")
{
    std::string listed;
    for (const std::string& seed : seeds) {
        listed += (listed.empty() ? "\"" : ", \"") + seed + ":8229\"";
    }
    std::ofstream(settings_)
        << R"({
  "NodeName": ")"
        << name_ << R"(", "Role": "entry", "MachineClass": "edge",
  "Serves": ["edge", "control"], "Ip": ")"
        << ip_ << R"(", "Zone": ")" << zone << R"(", "Region": "region",
  "Zones": {"zone-a": "region", "zone-b": "region"},
  "Listen": {"Frontend": ")"
        << ip_ << R"(:8227", "Readiness": ")" << ip_ << R"(:8220", "ControlPlane": ")" << ip_
        << R"(:8229"},
  "PortRange": [7340, 7355], "Seeds": [)"
        << listed << R"(], "Bootstrap": true, "InTolerance": false,
  "Limits": {"CpuShare": 0.19, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
  "DataDir": null, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
  "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"],
  "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
  "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000, "StrictRevocation": false, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 56, "ColdOverage": 1.5, "ColdTolerance": 5, "EvacuateMs": 5000, "RecoverS": 12, "PassMs": 120, "ReuseWindowS": 10, "CapMultiplier": 2},
  "Platform": {"Address": ")"
        << platform.text()
        << R"(", "form": "log", "WritesPerS": 400, "ReadsPerS": 2000, "parts": 12, "AppendMs": 2.0, "PartMbPerS": 20.0, "ReadMbPerS": 80.0, "RecordBytes": 262144, "CallBytes": 2097152, "keep_s": 300, "PartMb": 200, "TtlMinMs": 1000}
})";
}

entry_process::~entry_process()
{
    kill();
}

void entry_process::start()
{
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, also when that fails
        const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const std::string variable = "CYCLAMENSHORE_CONFIG=" + settings_;
        const std::array<const char*, 2> arguments{program, nullptr};
        const std::array<const char*, 2> environment{variable.c_str(), nullptr};
        execve(program, const_cast<char* const*>(arguments.data()),
               const_cast<char* const*>(environment.data()));
        _exit(127);
    }
    record_.line("entry " + name_ + " is started");
}

void entry_process::signal(int number) const
{
    record_.line("entry " + name_ + " gets signal " + std::to_string(number));
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool entry_process::running()
{
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
        record_.line(
            "entry " + name_ + " has ended, status " +
            std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status)));
        pid_ = -1;
    }
    return pid_ > 0;
}

void entry_process::kill()
{
    if (running()) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
        record_.line("entry " + name_ + " is killed");
    }
}

bool entry_process::ready() const
{
    stream_socket probe;
    if (!probe.connect({ip_, 8220}) ||
        !probe.send("GET /v1/readyz HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n")) {
        return false;
    }
    const auto answer = probe.receive(millis(1000));
    return answer && answer->status() == 200;
}

scratch_folder::scratch_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(path_, ignored);
    }
}

} // namespace review
