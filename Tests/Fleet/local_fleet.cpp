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
constexpr unsigned ports_per_block = 200;
constexpr unsigned port_blocks = 50;
constexpr unsigned poll_interval_ms = 10;

std::string program_path(const char* name)
{
    return std::string(CYCLAMEN_BINARIES) + "/" + name;
}

// Reserves a block of ports for the lifetime of this process by a file lock, because test
// processes run in parallel and must not use the same ports.
unsigned reserve_port_block()
{
    for (unsigned block = 0; block < port_blocks; ++block) {
        const std::string path =
            (std::filesystem::temp_directory_path() / fmt::format("cyclamen-ports-{}.lock", block))
                .string();
        const int descriptor = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
        if (descriptor >= 0 && flock(descriptor, LOCK_EX | LOCK_NB) == 0) {
            return block; // left open: the kernel releases the lock when the process exits
        }
        close(descriptor);
    }
    throw std::runtime_error("no free block of ports: cannot lock any cyclamen-ports-*.lock file");
}

unsigned first_reserved_port()
{
    static const unsigned port = first_port + reserve_port_block() * ports_per_block;
    return port;
}

bool is_port_free(unsigned port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(descriptor);
    return free;
}

std::string loopback(unsigned port)
{
    return fmt::format("127.0.0.1:{}", port);
}

call_result to_result(const httplib::Result& response)
{
    call_result result;
    if (!response) {
        return result;
    }
    result.status = response->status;
    result.body = response->body;
    result.complete = true;
    for (const auto& [name, value] : response->headers) {
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
    : options_(std::move(options)), folder_(temporary_folder_.path),
      next_port_(first_reserved_port())
{
    start_platform();
    const auto zone = [&](unsigned number) {
        return fmt::format("zone-{}", static_cast<char>('a' + number % options_.zones));
    };
    for (unsigned number = 0; number < options_.engines + options_.plain_servers; ++number) {
        const bool engine = number < options_.engines;
        const unsigned index = engine ? number : number - options_.engines;
        fleet_member member{.name = fmt::format("{}-{}", engine ? "engine" : "desk", index + 1),
                            .zone = zone(index),
                            .service = engine ? "chat-small" : "orders"};
        member.port = allocate_port();
        member.operator_port = allocate_port();
        member.backend_port = allocate_port();
        member.settings_path = write_settings(member, false, engine ? "model" : "plain");
        start_backend(member);
        start_member(member, false);
        if (options_.relays) {
            start_relay(member);
        }
        (engine ? engines_ : plain_servers_).push_back(std::move(member));
    }
    for (unsigned number = 0; number < options_.entries; ++number) {
        fleet_member member{.name = fmt::format("entry-{}", number + 1), .zone = zone(number)};
        member.port = allocate_port();
        member.operator_port = allocate_port();
        member.settings_path = write_settings(member, true, "");
        start_member(member, true);
        entries_.push_back(std::move(member));
    }
    publish_list();
    put_configuration();
    wait_until_ready();
}

local_fleet::~local_fleet()
{
    entries_.clear();
    engines_.clear();
    plain_servers_.clear();
    platform_.clear();
}

unsigned local_fleet::allocate_port()
{
    do {
        ++next_port_;
        if (next_port_ >= first_reserved_port() + ports_per_block) {
            next_port_ = first_reserved_port();
        }
    } while (!is_port_free(next_port_));
    return next_port_;
}

void local_fleet::start_platform()
{
    const auto start = [&](const std::string& kind) {
        const unsigned port = allocate_port();
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

std::string local_fleet::write_settings(const fleet_member& member, bool is_entry,
                                        const std::string& kind)
{
    std::map<std::string, std::string> sections{
        {"process",
         fmt::format("instance = {}\navailability_zone = {}\n", member.name, member.zone)},
        {"operator", fmt::format("listen = {}\n", loopback(member.operator_port))},
        {"platform", fmt::format("log = {}\ninstance_list = {}\nlist_poll_ms = 200\n",
                                 loopback(log_port_), loopback(list_port_))},
        {"operators", fmt::format("ada = {}\n", sha256_hex(operator_key))}};
    if (is_entry) {
        sections["caller"] =
            fmt::format("listen = {}\nstop_grace_ms = 300\n", loopback(member.port));
    }
    else {
        sections["peer"] = fmt::format("listen = {}\n", loopback(member.port));
        sections["backend"] =
            fmt::format("address = {}\nservice = {}\nkind = {}\ncapacity = {}\n",
                        loopback(member.backend_port), member.service, kind, options_.slots);
    }
    for (const auto& [section, lines] :
         is_entry ? options_.entry_settings : options_.agent_settings) {
        sections[section] += lines;
    }
    std::string path = folder_ + "/" + member.name + ".ini";
    std::ofstream file(path);
    for (const auto& [section, lines] : sections) {
        file << "[" << section << "]\n" << lines << "\n";
    }
    return path;
}

void local_fleet::start_backend(fleet_member& member)
{
    std::vector<std::string> arguments{member.service == "orders" ? "service" : "engine",
                                       loopback(member.backend_port), "--instance", member.name};
    if (member.service == "orders") {
        arguments.insert(arguments.end(),
                         {"--record", folder_ + "/" + member.name + ".executions"});
    }
    else {
        arguments.insert(arguments.end(), {"--token-ms", std::to_string(options_.token_ms),
                                           "--slots", std::to_string(options_.slots)});
    }
    member.backend = std::make_unique<child_process>(program_path("Tests/stand-in"), arguments,
                                                     folder_ + "/" + member.name + ".backend.log");
}

void local_fleet::start_relay(fleet_member& member)
{
    unsigned control_port = 0; // the relay takes control requests at relay_port + 1
    do {
        member.relay_port = allocate_port();
        control_port = allocate_port();
    } while (control_port != member.relay_port + 1);
    member.relay = std::make_unique<child_process>(
        program_path("Tests/stand-in"),
        std::vector<std::string>{"relay", loopback(member.relay_port), "--target",
                                 loopback(member.port)},
        folder_ + "/" + member.name + ".relay.log");
}

void local_fleet::start_member(fleet_member& member, bool is_entry)
{
    member.process = std::make_unique<child_process>(
        program_path(is_entry ? "Source/cyclamen-entry" : "Source/cyclamen-agent"),
        std::vector<std::string>{member.settings_path}, folder_ + "/" + member.name + ".log");
}

void local_fleet::restart(fleet_member& member)
{
    member.process.reset();
    start_member(member, member.service.empty());
}

void local_fleet::restart_backend(fleet_member& member)
{
    member.backend.reset();
    start_backend(member);
}

void local_fleet::publish_list(const std::vector<std::string>& excluded,
                               const std::vector<std::string>& leaving)
{
    nlohmann::json rows = nlohmann::json::array();
    const auto contains = [](const std::vector<std::string>& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    const auto add = [&](const std::vector<fleet_member>& members, const char* role) {
        for (const fleet_member& member : members) {
            if (contains(excluded, member.name)) {
                continue;
            }
            const unsigned port = member.relay_port != 0 ? member.relay_port : member.port;
            rows.push_back({{"name", member.name},
                            {"role", role},
                            {"availability_zone", member.zone},
                            {"service", member.service},
                            {"address", loopback(port)},
                            {"state", contains(leaving, member.name) ? "leaving" : "live"}});
        }
    };
    add(entries_, "entry");
    add(engines_, "agent");
    add(plain_servers_, "agent");
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

void local_fleet::wait_until_ready()
{
    const bool ready = wait_for([&] {
        for (fleet_member& member : entries_) {
            const auto rows = nlohmann::json::parse(
                httplib::Client("127.0.0.1", static_cast<int>(member.operator_port))
                    .Post("/commands", {{"Authorization", std::string("Bearer ") + operator_key}},
                          R"({"command":"show backend servers as json"})", "application/json")
                    ->body,
                nullptr, false);
            if (!rows.is_array() || rows.size() != options_.engines + options_.plain_servers ||
                get(member.port, "/readyz").status != 200) {
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

bool local_fleet::wait_for(const std::function<bool()>& condition,
                           std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        ::poll(nullptr, 0, poll_interval_ms);
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
    call_result result;
    request.response_handler = [&](const httplib::Response& response) {
        result.status = response.status;
        for (const auto& [name, value] : response.headers) {
            result.headers[name] = value;
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
    const auto response = client.send(request);
    result.complete = static_cast<bool>(response);
    result.body = std::move(received);
    return result;
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

nlohmann::json local_fleet::state(const fleet_member& member)
{
    return nlohmann::json::parse(get(member.operator_port, "/state", operator_key).body, nullptr,
                                 false);
}

std::vector<execution> local_fleet::executions() const
{
    std::vector<execution> rows;
    for (const fleet_member& member : plain_servers_) {
        std::ifstream record(folder_ + "/" + member.name + ".executions");
        for (std::string line; std::getline(record, line);) {
            const nlohmann::json row = nlohmann::json::parse(line);
            std::string key = row["key"];
            std::erase(key, '"');
            rows.push_back({.instance = row["instance"],
                            .key = key,
                            .body = row["body"],
                            .executed_at_ms = row["at_ms"]});
        }
    }
    std::sort(rows.begin(), rows.end(), [](const execution& left, const execution& right) {
        return left.executed_at_ms < right.executed_at_ms;
    });
    return rows;
}

std::size_t local_fleet::execution_count(const std::string& key) const
{
    const std::vector<execution> rows = executions();
    return static_cast<std::size_t>(std::count_if(
        rows.begin(), rows.end(), [&](const execution& row) { return row.key == key; }));
}

std::string local_fleet::logs() const
{
    constexpr std::streamoff tail_bytes = 3000;
    std::string text;
    for (const auto& file : std::filesystem::directory_iterator(folder_)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        std::ifstream input(file.path(), std::ios::ate);
        const std::streamoff size = input.tellg();
        input.seekg(std::max<std::streamoff>(0, size - tail_bytes));
        text += fmt::format("--- {}\n", file.path().filename().string());
        text += std::string(std::istreambuf_iterator<char>(input), {});
    }
    return text;
}

} // namespace cyclamen::test
