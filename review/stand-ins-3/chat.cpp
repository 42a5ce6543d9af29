#include "chat.h"

#include <cstdio>
#include <cstdlib>
#include <random>

namespace review {

namespace {

std::mutex served_lock;
std::map<std::string, std::set<const chat*>> served; // callers, by software version

} // namespace

std::size_t callers_with_events_of(const std::string& version)
{
    const std::lock_guard hold(served_lock);
    return served[version].size();
}

std::string configuration(std::uint64_t version)
{
    const auto route = [](const std::string& name, const std::string& rest) {
        return R"({"Name":")" + name + R"(","Hostname":"chat.example","PathPrefix":"/)" + name +
               R"(/","Service":"llm",)" + rest + "}";
    };
    const std::string stream =
        R"("Type":"streaming","TimeoutMs":12000,"TargetLatencyMs":500,"GapTargetMs":500,"Priority":0,"MaxAttempts":2,"SessionAffinity":true)";
    const std::string plain = R"("TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,)";
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
           route("chat", stream + R"(,"StreamResume":true)") + "," + route("letter", stream) + "," +
           route("look", plain + R"("Type":"safe","MaxAttempts":2)") + "," +
           route("pay", plain + R"("Type":"unsafe","MaxAttempts":1)") +
           R"(],"Services":[{"Name":"llm","ColdPerS":11,"HealthPath":"/healthz"}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":20000},)"
           R"("Tenants":[{"Name":"hule930","ApiKeys":[")" +
           chat_key + R"("]}]})";
}

bool chat_server::operator()(const run_request& run, stream_socket& caller) const
{
    const std::string id = run.request.header("Attempt-Id");
    const unsigned from =
        static_cast<unsigned>(std::atoi(run.request.header("Last-Event-Id").c_str()));
    record.line("worker " + run.worker + " (software " + run.version + ") runs " + id +
                " after event " + std::to_string(from));
    if (!caller.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                     "chunked\r\nWeight-Versions: 1\r\nInstance-Load: 1,0,64\r\nAttempt-Id: " +
                     id + "\r\nServer-Signature: sig-" + run.worker + "-" + id + "\r\n\r\n")) {
        return false;
    }
    for (unsigned event = from + 1; event <= events; ++event) {
        std::this_thread::sleep_for(pause);
        const std::string text = "id: " + std::to_string(event) + "\ndata: software " +
                                 run.version + " worker " + run.worker + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!caller.send(size + text + "\r\n")) {
            return false;
        }
    }
    return caller.send("0\r\n\r\n");
}

void chat::run(recorder& record, const endpoint& entry, const std::string& path,
               const std::string& prefix, const std::string& resumes)
{
    stream_socket connection;
    attempt = new_attempt_id();
    whole = false;
    status = 0;
    partial_.clear();
    const std::string body = "{\"prompt\":\"" + prefix + "\"}";
    std::string head = "POST " + path +
                       " HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: " + attempt +
                       "\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:119," +
                       prefix + ":580," + attempt +
                       ":130\r\nDeadline-Ms: 12000\r\nAuthorization: "
                       "Bearer " +
                       chat_key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!resumes.empty()) {
        head += "Resumes: " + resumes + "\r\nLast-Event-Id: " + std::to_string(last_event) + "\r\n";
    }
    if (!connection.connect(entry) || !connection.send(head + "\r\n" + body)) {
        record.line("caller: " + attempt + " finds no entry");
        return;
    }
    const auto answer =
        connection.receive(millis(13000), [this](const std::string& part) { take(part); });
    status = answer ? answer->status() : 0;
    whole = status == 200 && answer->complete;
    retry_after = millis(
        answer ? static_cast<int>(1000 * std::atof(answer->header("Retry-After").c_str())) : 200);
    std::string made_by;
    for (const auto& [version, count] : made) {
        made_by += " " + version + ":" + std::to_string(count);
    }
    record.line("caller: " + attempt + (resumes.empty() ? "" : " (takes up " + resumes + ")") +
                " gets " + std::to_string(status) + (whole ? ", whole" : ", not whole") +
                "; events by software" + made_by);
}

void chat::take(const std::string& text)
{
    partial_ += text;
    std::size_t end = 0;
    while ((end = partial_.find("\n\n")) != std::string::npos) {
        const std::string event = partial_.substr(0, end);
        partial_.erase(0, end + 2);
        const std::size_t id = event.find("id: ");
        const std::size_t software = event.find("software ");
        if (id == std::string::npos || software == std::string::npos) {
            continue;
        }
        last_event = static_cast<unsigned>(std::atoi(event.c_str() + id + 4));
        events.push_back(last_event);
        const std::size_t name = software + 9;
        const std::string version = event.substr(name, event.find(' ', name) - name);
        ++made[version];
        const std::lock_guard hold(served_lock);
        served[version].insert(this);
    }
}

std::string new_attempt_id()
{
    static std::mutex lock;
    static std::mt19937_64 source(std::random_device{}());
    const std::lock_guard hold(lock);
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(source()));
    return text;
}

} // namespace review
