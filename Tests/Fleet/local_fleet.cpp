#include "local_fleet.h"

#include "hashing.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <httplib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>

namespace cyclamen::test {

namespace {

constexpr unsigned first_port = 21000;
constexpr unsigned ports_in_block = 200;
constexpr unsigned port_blocks = 50;
constexpr unsigned poll_ms = 10;

std::string program_path(const char* name)
{
    return std::string(CYCLAMEN_BINARIES) + "/" + name;
}

// Reserves a block of ports for the lifetime of this process by a file lock, because test
// processes run in parallel and must not use the same ports.
unsigned own_port_block()
{
    for (unsigned block = 0; block < port_blocks; ++block) {
        const std::string path =
            (std::filesystem::temp_directory_path() / fmt::format("cyclamen-ports-{}.lock", block))
                .string();
        const int handle = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
        if (handle >= 0 && flock(handle, LOCK_EX | LOCK_NB) == 0) {
            return block; // left open: the kernel releases the lock when the process exits
        }
        close(handle);
    }
    throw std::runtime_error("no free block of ports: cannot lock any cyclamen-ports-*.lock file");
}

unsigned first_own_port()
{
    static const unsigned port = first_port + own_port_block() * ports_in_block;
    return port;
}

bool can_listen(unsigned port)
{
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(handle);
    return free;
}

std::string loopback(unsigned port)
{
    return fmt::format("127.0.0.1:{}", port);
}

call_result to_result(const httplib::Result& answer)
{
    call_result result;
    if (!answer) {
        return result;
    }
    result.status = answer->status;
    result.body = answer->body;
    result.complete = true;
    for (const auto& [name, value] : answer->headers) {
        result.headers[name] = value;
    }
    return result;
}

} // namespace

local_fleet::temporary_folder::temporary_folder()
    : path((std::filesystem::temp_directory_path() / "cyclamen-XXXXXX").string())
{
    if (mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
}

local_fleet::temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

local_fleet::local_fleet(local_fleet_options options)
    : options_(std::move(options)), folder_(temporary_.path), next_port_(first_own_port())
{
    start_platform();
    const auto zone = [&](unsigned number) {
        return fmt::format("zone-{}", static_cast<char>('a' + number % options_.zones));
    };
    for (unsigned number = 0; number < options_.engines + options_.desks; ++number) {
        const bool engine = number < options_.engines;
        const unsigned index = engine ? number : number - options_.engines;
        member part{.name = fmt::format("{}-{}", engine ? "engine" : "desk", index + 1),
                    .zone = zone(index),
                    .service = engine ? "chat-small" : "orders"};
        part.port = free_port();
        part.operator_port = free_port();
        part.backend_port = free_port();
        part.settings_path = write_settings(part, false, engine ? "model" : "plain");
        start_backend(part);
        start_member(part, false);
        if (options_.relays) {
            start_relay(part);
        }
        (engine ? engines_ : desks_).push_back(std::move(part));
    }
    for (unsigned number = 0; number < options_.entries; ++number) {
        member part{.name = fmt::format("entry-{}", number + 1), .zone = zone(number)};
        part.port = free_port();
        part.operator_port = free_port();
        part.settings_path = write_settings(part, true, "");
        start_member(part, true);
        entries_.push_back(std::move(part));
    }
    publish_list();
    put_configuration();
    wait_ready();
}

local_fleet::~local_fleet()
{
    entries_.clear();
    engines_.clear();
    desks_.clear();
    platform_.clear();
}

unsigned local_fleet::free_port()
{
    do {
        ++next_port_;
        if (next_port_ >= first_own_port() + ports_in_block) {
            next_port_ = first_own_port();
        }
    } while (!can_listen(next_port_));
    return next_port_;
}

void local_fleet::start_platform()
{
    const auto start = [&](const std::string& kind) {
        const unsigned port = free_port();
        platform_.push_back(std::make_unique<child_process>(
            program_path("Tests/stand-in"), std::vector<std::string>{kind, loopback(port)},
            folder_ + "/" + kind + ".log"));
        return port;
    };
    log_port_ = start("log");
    list_port_ = start("list");
    weights_port_ = start("weights");
    const bool up = wait_for([&] {
        return get(log_port_, "/health").status == 200 && get(list_port_, "/health").status == 200;
    });
    if (!up) {
        throw std::runtime_error(
            "the stand-ins for the log and the instance list did not become healthy in time");
    }
}

std::string local_fleet::write_settings(const member& part, bool is_entry, const std::string& kind)
{
    std::map<std::string, std::string> sections{
        {"process", fmt::format("instance = {}\navailability_zone = {}\n", part.name, part.zone)},
        {"operator", fmt::format("listen = {}\n", loopback(part.operator_port))},
        {"platform", fmt::format("log = {}\ninstance_list = {}\nlist_poll_ms = 200\n",
                                 loopback(log_port_), loopback(list_port_))},
        {"operators", fmt::format("ada = {}\n", sha256_hex(operator_key))}};
    if (is_entry) {
        sections["caller"] = fmt::format("listen = {}\nstop_grace_ms = 300\n", loopback(part.port));
    }
    else {
        sections["peer"] = fmt::format("listen = {}\n", loopback(part.port));
        sections["backend"] =
            fmt::format("address = {}\nservice = {}\nkind = {}\ncapacity = {}\n",
                        loopback(part.backend_port), part.service, kind, options_.slots);
    }
    for (const auto& [section, lines] :
         is_entry ? options_.entry_settings : options_.agent_settings) {
        sections[section] += lines;
    }
    std::string path = folder_ + "/" + part.name + ".ini";
    std::ofstream file(path);
    for (const auto& [section, lines] : sections) {
        file << "[" << section << "]\n" << lines << "\n";
    }
    return path;
}

void local_fleet::start_backend(member& part)
{
    std::vector<std::string> arguments{part.service == "orders" ? "service" : "engine",
                                       loopback(part.backend_port), "--instance", part.name};
    if (part.service == "orders") {
        arguments.insert(arguments.end(), {"--record", folder_ + "/" + part.name + ".executions"});
    }
    else {
        arguments.insert(arguments.end(), {"--token-ms", std::to_string(options_.token_ms),
                                           "--slots", std::to_string(options_.slots)});
    }
    part.backend = std::make_unique<child_process>(program_path("Tests/stand-in"), arguments,
                                                   folder_ + "/" + part.name + ".backend.log");
}

void local_fleet::start_relay(member& part)
{
    unsigned control_port = 0; // the relay takes control requests at relay_port + 1
    do {
        part.relay_port = free_port();
        control_port = free_port();
    } while (control_port != part.relay_port + 1);
    part.relay =
        std::make_unique<child_process>(program_path("Tests/stand-in"),
                                        std::vector<std::string>{"relay", loopback(part.relay_port),
                                                                 "--target", loopback(part.port)},
                                        folder_ + "/" + part.name + ".relay.log");
}

void local_fleet::start_member(member& part, bool is_entry)
{
    part.process = std::make_unique<child_process>(
        program_path(is_entry ? "Source/cyclamen-entry" : "Source/cyclamen-agent"),
        std::vector<std::string>{part.settings_path}, folder_ + "/" + part.name + ".log");
}

void local_fleet::restart(member& part)
{
    part.process.reset();
    start_member(part, part.service.empty());
}

void local_fleet::restart_backend(member& part)
{
    part.backend.reset();
    start_backend(part);
}

void local_fleet::publish_list(const std::vector<std::string>& left_out,
                               const std::vector<std::string>& leaving)
{
    nlohmann::json rows = nlohmann::json::array();
    const auto named = [](const std::vector<std::string>& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    const auto add = [&](const std::vector<member>& parts, const char* role) {
        for (const member& part : parts) {
            if (named(left_out, part.name)) {
                continue;
            }
            const unsigned port = part.relay_port != 0 ? part.relay_port : part.port;
            rows.push_back({{"name", part.name},
                            {"role", role},
                            {"availability_zone", part.zone},
                            {"service", part.service},
                            {"address", loopback(port)},
                            {"state", named(leaving, part.name) ? "leaving" : "live"}});
        }
    };
    add(entries_, "entry");
    add(engines_, "agent");
    add(desks_, "agent");
    httplib::Client list("127.0.0.1", static_cast<int>(list_port_));
    list.Put("/instances", nlohmann::json{{"instances", rows}}.dump(), "application/json");
}

void local_fleet::put_configuration()
{
    const std::string file =
        fmt::format("[service chat-small]\nkind = model\n[service orders]\nkind = plain\n"
                    "[client account villager]\ncredential_sha256 = {}\n"
                    "[client account neighbour]\ncredential_sha256 = {}\n",
                    sha256_hex(account_key), sha256_hex("key-of-neighbour"));
    const bool accepted = wait_for(
        [&] { return command(0, "put configuration into force", file, "first").status == 200; });
    if (!accepted) {
        throw std::runtime_error("the first configuration was not accepted in time\n" + logs());
    }
}

void local_fleet::wait_ready()
{
    const bool ready = wait_for([&] {
        for (member& part : entries_) {
            const auto rows = nlohmann::json::parse(
                httplib::Client("127.0.0.1", static_cast<int>(part.operator_port))
                    .Post("/commands", {{"Authorization", std::string("Bearer ") + operator_key}},
                          R"({"command":"show backend servers as json"})", "application/json")
                    ->body,
                nullptr, false);
            if (!rows.is_array() || rows.size() != options_.engines + options_.desks ||
                get(part.port, "/readyz").status != 200) {
                return false;
            }
            for (const auto& row : rows) {
                const bool accepts = row["state"] == "live" || row["state"] == "cold";
                if (!accepts || row["offset"].get<int>() < 1) {
                    return false;
                }
            }
        }
        return true;
    });
    if (!ready) {
        throw std::runtime_error("the fleet did not become ready in time\n" +
                                 command(0, "show backend servers").body + logs());
    }
}

bool local_fleet::wait_for(const std::function<bool()>& holds, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        ::poll(nullptr, 0, poll_ms);
    }
    return true;
}

call_result local_fleet::chat(unsigned entry_number, const std::string& content, bool stream,
                              unsigned max_tokens, unsigned deadline_ms,
                              const std::function<void(const std::string&)>& on_data)
{
    httplib::Client client("127.0.0.1", static_cast<int>(entries_.at(entry_number).port));
    client.set_read_timeout(60);
    const nlohmann::json body{{"model", "chat-small"},
                              {"stream", stream},
                              {"max_tokens", max_tokens},
                              {"messages",
                               {{{"role", "system"}, {"content", "You help with tasting letters."}},
                                {{"role", "user"}, {"content", content}}}}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", std::string("Bearer ") + account_key},
                       {"Content-Type", "application/json"},
                       {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    request.body = body.dump();
    std::string received;
    call_result head;
    request.response_handler = [&](const httplib::Response& answer) {
        head.status = answer.status;
        for (const auto& [name, value] : answer.headers) {
            head.headers[name] = value;
        }
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t length, std::uint64_t,
                                   std::uint64_t) {
        received.append(data, length);
        if (on_data) {
            on_data(received);
        }
        return true;
    };
    const auto answer = client.send(request);
    head.complete = static_cast<bool>(answer);
    head.body = std::move(received);
    return head;
}

call_result local_fleet::pay(unsigned entry_number, const std::string& key, const std::string& body,
                             unsigned deadline_ms)
{
    httplib::Client client("127.0.0.1", static_cast<int>(entries_.at(entry_number).port));
    client.set_read_timeout(30);
    httplib::Headers headers{{"Authorization", std::string("Bearer ") + account_key},
                             {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    if (!key.empty()) {
        headers.emplace("Idempotency-Key", "\"" + key + "\"");
    }
    return to_result(client.Post("/services/orders/pay", headers, body, "text/plain"));
}

call_result local_fleet::get(unsigned port, const std::string& path, const std::string& key)
{
    httplib::Client client("127.0.0.1", static_cast<int>(port));
    client.set_read_timeout(10);
    httplib::Headers headers;
    if (!key.empty()) {
        headers.emplace("Authorization", "Bearer " + key);
    }
    return to_result(client.Get(path, headers));
}

call_result local_fleet::post(unsigned port, const std::string& path, const nlohmann::json& body)
{
    httplib::Client client("127.0.0.1", static_cast<int>(port));
    return to_result(client.Post(path, body.dump(), "application/json"));
}

call_result local_fleet::command(unsigned entry_number, const std::string& text,
                                 const std::string& body, const std::string& id)
{
    httplib::Client client("127.0.0.1", static_cast<int>(entries_.at(entry_number).operator_port));
    client.set_read_timeout(20);
    const nlohmann::json document{{"command", text}, {"body", body}, {"id", id}};
    return to_result(client.Post("/commands",
                                 {{"Authorization", std::string("Bearer ") + operator_key}},
                                 document.dump(), "application/json"));
}

nlohmann::json local_fleet::state(const member& part)
{
    return nlohmann::json::parse(get(part.operator_port, "/state", operator_key).body, nullptr,
                                 false);
}

std::vector<execution> local_fleet::executions() const
{
    std::vector<execution> rows;
    for (const member& part : desks_) {
        std::ifstream record(folder_ + "/" + part.name + ".executions");
        for (std::string line; std::getline(record, line);) {
            const nlohmann::json row = nlohmann::json::parse(line);
            std::string key = row["key"];
            std::erase(key, '"');
            rows.push_back({.instance = row["instance"],
                            .key = key,
                            .body = row["body"],
                            .at_ms = row["at_ms"]});
        }
    }
    std::sort(rows.begin(), rows.end(), [](const execution& left, const execution& right) {
        return left.at_ms < right.at_ms;
    });
    return rows;
}

std::size_t local_fleet::executions_of(const std::string& key) const
{
    const std::vector<execution> rows = executions();
    return static_cast<std::size_t>(std::count_if(
        rows.begin(), rows.end(), [&](const execution& row) { return row.key == key; }));
}

std::string local_fleet::logs() const
{
    constexpr std::streamoff kept = 3000;
    std::string text;
    for (const auto& file : std::filesystem::directory_iterator(folder_)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        std::ifstream input(file.path(), std::ios::ate);
        const std::streamoff size = input.tellg();
        input.seekg(std::max<std::streamoff>(0, size - kept));
        text += fmt::format("--- {}\n", file.path().filename().string());
        text += std::string(std::istreambuf_iterator<char>(input), {});
    }
    return text;
}

} // namespace cyclamen::test
