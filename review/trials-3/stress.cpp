// A trial, no case: two entries, six workers that answer wrongly in many ways and start again under
// their ids, 24 callers, a store that is down at times, signals.  Usage: stress SECONDS RECORD
#include "chat.h"

#include <csignal>
#include <cstdio>
#include <iostream>
#include <random>
using namespace review;
struct rng {
    std::mt19937_64 g{std::random_device{}()};
    std::mutex m;
    unsigned operator()(unsigned n)
    {
        std::lock_guard h(m);
        return g() % n;
    }
} R;
static std::mutex L;
static std::map<std::string, int> runs;
static std::map<std::string, std::string> kinds;
static std::map<std::string, bool> refused;
static std::set<std::string> sent;
static std::map<std::string, std::set<std::string>>
    bodies; // id -> whole bodies with 2xx from workers
static std::atomic<int> viol{0};
static void bad(recorder& r, const std::string& t)
{
    ++viol;
    r.line("VIOLATION " + t);
}
static std::atomic<bool> stop{false};
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    recorder rec(argc > 2 ? argv[2] : "record.txt");
    scratch_folder folder;
    int secs = argc > 1 ? atoi(argv[1]) : 30;
    store p(rec, {loopback(1), 8223});
    p.put("keyed.op", "config", configuration(3));
    auto serve = [&](const run_request& run, stream_socket& c) -> bool {
        std::string id = run.request.header("Attempt-Id");
        std::string path = run.request.target();
        auto H = [&](const std::string& more) {
            return std::string("Attempt-Id: ") + id + "\r\nServer-Signature: s-" + run.worker +
                   "-" + id + "\r\nInstance-Load: " + std::to_string(R(20)) + ",0,64\r\n" + more;
        };
        unsigned what = R(100);
        {
            std::lock_guard h(L);
            if (!sent.count(id))
                bad(rec, "UNASKED " + id);
        }
        if (what < 6) {
            c.send("HTTP/1.1 503 Busy\r\n" + H("Not-Executed: 1\r\n") +
                   (R(3) == 0 ? "Retry-After: 0." + std::to_string(1 + R(9)) + "\r\n" : "") +
                   "Content-Length: 0\r\n\r\n");
            return true;
        }
        if (what < 8) {
            c.send("HTTP/1.1 421 Mis\r\n" + H("Not-Executed: 1\r\n") + "Content-Length: 0\r\n\r\n");
            return true;
        }
        if (what < 9) {
            c.send("HTTP/1.1 429 Many\r\n" + H("Not-Executed: 1\r\n") +
                   "Content-Length: 3\r\n\r\nabc");
            return true;
        }
        {
            std::lock_guard h(L);
            int n = ++runs[id];
            if (n > 1 && (kinds[id] == "pay" || kinds[id] == "letter"))
                bad(rec, "TWICE " + id);
            if (refused[id] && (kinds[id] == "pay" || kinds[id] == "letter"))
                bad(rec, "REFUSED-late " + id);
        }
        std::this_thread::sleep_for(millis(R(60)));
        std::string extra;
        if (R(400) == 0)
            extra += "Server-Limit: " + std::to_string(R(50)) + ".5\r\n";
        if (R(6000) == 0)
            extra += "Server-Leaving: 1\r\n";
        if (R(15) == 0)
            extra += "Keep-Alive: timeout=" + std::to_string(R(6)) + "\r\n";
        if (R(20) == 0)
            extra += "Connection: close\r\n";
        bool ev = path.rfind("/chat", 0) == 0 || path.rfind("/letter", 0) == 0;
        if (what < 12) {
            return false;
        }
        if (what < 15) {
            c.reset();
            return false;
        }
        if (what < 18) {
            c.send("\x01\x02 garbage not http\r\n\r\n");
            return true;
        }
        if (what < 19) {
            std::string g = "HTTP/1.1 200 OK\r\n";
            if (!c.send(g))
                return false;
            while (!stop && c.send("X-" + std::to_string(R(100000)) + ": " +
                                   std::string(1000, 'a') + "\r\n"))
                ;
            return false;
        }
        if (what < 20) {
            if (!c.send("HTTP/1.1 200 OK\r\n" + H(extra) +
                        (ev ? "Content-Type: text/event-stream\r\n" : "") + "\r\n"))
                return false;
            while (!stop && c.send(std::string(20000, 'z')))
                ;
            return false;
        }
        if (what < 21) {
            for (int i = 0; i < 20; i++)
                if (!c.send("HTTP/1.1 100 Continue\r\n\r\n"))
                    return false;
        }
        if (what < 22) {
            c.send("HTTP/1.1 500 Err\r\n" + H(extra) + "Content-Length: 4\r\n\r\nfail");
            return true;
        }
        if (what < 23) {
            if (!c.send("HTTP/1.1 503 odd\r\n" + H(extra) + "Content-Length: 4\r\n\r\nbusy"))
                return false;
            return true;
        }
        if (what < 24) {
            if (!c.send("HTTP/1.1 500 Err\r\n" + H(extra) + "Transfer-Encoding: chunked\r\n\r\n"))
                return false;
            while (!stop && c.send("5\r\nabcde\r\n"))
                std::this_thread::sleep_for(millis(1));
            return false;
        }
        if (ev) {
            unsigned from = atoi(run.request.header("Last-Event-Id").c_str());
            unsigned n = 5 + R(20);
            if (n < from)
                n = from;
            bool unframed = R(6) == 0;
            bool len = R(8) == 0;
            std::string all;
            auto E = [&](unsigned e) {
                return "id: " + std::to_string(e) + "\ndata: run " + id + " " +
                       std::string(R(30) == 0 ? 30000 : 20, 'x') + "\n\n";
            };
            if (len) {
                for (unsigned e = from + 1; e <= n; e++)
                    all += E(e);
                c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + H(extra) +
                       "Content-Length: " + std::to_string(all.size()) + "\r\n\r\n" +
                       all.substr(0, R(5) == 0 ? all.size() / 2 : all.size()));
                return R(2);
            }
            if (!c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + H(extra) +
                        (unframed ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n")))
                return false;
            for (unsigned e = from + 1; e <= n; e++) {
                std::this_thread::sleep_for(millis(R(25)));
                std::string t = E(e);
                if (R(60) == 0) {
                    t = t.substr(0, t.size() / 2);
                }
                char b[20];
                snprintf(b, 20, "%zx\r\n", t.size());
                if (!c.send(unframed ? t : b + t + "\r\n"))
                    return false;
                if (R(50) == 0) {
                    c.reset();
                    return false;
                }
                if (R(70) == 0)
                    return false;
            }
            if (!unframed)
                c.send("0\r\n\r\n");
            if (R(12) == 0 && !unframed)
                c.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
            return !unframed;
        }
        std::string body =
            "answer to " + id + " " + std::string(R(20) == 0 ? R(400000) : R(900), 'b');
        {
            std::lock_guard h(L);
            bodies[id].insert(body);
        }
        unsigned fr = R(4);
        if (fr == 0) {
            c.send("HTTP/1.1 200 OK\r\n" + H(extra) + "\r\n" + body);
            if (R(10) == 0)
                c.reset();
            return false;
        }
        if (fr == 1) {
            char b[20];
            snprintf(b, 20, "%zx\r\n", body.size());
            c.send("HTTP/1.1 200 OK\r\n" + H(extra) + "Transfer-Encoding: chunked\r\n\r\n" + b +
                   body + (R(10) == 0 ? "" : "\r\n0\r\n\r\n"));
            return true;
        }
        std::string x;
        unsigned ex = R(12);
        if (ex == 0)
            x = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                "\r\nServer-Signature: x\r\nContent-Length: 5\r\n\r\nEXTRA";
        if (ex == 1)
            x = "JUNK JUNK";
        if (ex == 2)
            x = "HTTP/1.1 200 OK\r\nServer-Signature: x\r\nContent-Length: 5\r\n\r\nEXTRA";
        std::string m = "HTTP/1.1 200 OK\r\n" + H(extra) +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                        ((x.empty() && R(15) == 0) ? body.substr(0, body.size() / 2) : body);
        c.send(m);
        if (!x.empty()) {
            std::this_thread::sleep_for(millis(R(30)));
            c.send(x);
        }
        return R(15) != 0;
    };
    std::vector<std::unique_ptr<worker>> pool;
    for (unsigned n = 1; n <= 6; n++) {
        pool.push_back(
            std::make_unique<worker>(rec, p,
                                     worker::options{.id = "i-" + std::to_string(n),
                                                     .service = "llm",
                                                     .version = "A",
                                                     .address = {loopback(100 + n), 8463}},
                                     serve));
        pool.back()->start("A");
    }
    entry_process e1(rec, "edge-a-1", loopback(11), "zone-a", p.address(),
                     {loopback(11), loopback(12)}, folder.path()),
        e2(rec, "edge-b-1", loopback(12), "zone-b", p.address(), {loopback(11), loopback(12)},
           folder.path());
    e1.start();
    e2.start();
    if (!wait_until([&] { return e1.ready() && e2.ready(); }, millis(20000))) {
        rec.line("not ready");
        return 2;
    }
    std::vector<std::thread> T;
    std::atomic<int> done{0};
    std::map<int, int> st;
    for (int t = 0; t < 24; t++)
        T.emplace_back([&, t] {
            while (!stop) {
                stream_socket s;
                endpoint to = (t % 2 ? e1 : e2).callers();
                if (!s.connect(to)) {
                    std::this_thread::sleep_for(millis(50));
                    continue;
                }
                unsigned many = 1 + R(8);
                for (unsigned q = 0; q < many && !stop; q++) {
                    std::string id = new_attempt_id();
                    const char* ks[] = {"chat", "letter", "look", "pay"};
                    std::string k = ks[R(4)];
                    {
                        std::lock_guard h(L);
                        sent.insert(id);
                        kinds[id] = k;
                    }
                    bool get = k == "look" && R(2);
                    std::string body = get ? "" : std::string(R(20) == 0 ? R(60000) : R(600), 'q');
                    std::string h = (get ? "GET /" : "POST /") + k + "/a HTTP/1." +
                                    (R(20) == 0 ? "0" : "1") +
                                    "\r\nHost: chat.example\r\nAttempt-Id: " + id +
                                    "\r\nModel: m\r\nToken-Usage: 10,10\r\nPrefix-Hash: 5c1e:119," +
                                    std::to_string(R(30)) + ":580," + id +
                                    ":10\r\nDeadline-Ms: " + std::to_string(300 + R(3000)) +
                                    "\r\nAuthorization: Bearer " + chat_key + "\r\n";
                    if (k == "chat" && R(5) == 0)
                        h += "Resumes: " + new_attempt_id() + "\r\nLast-Event-Id: 3\r\n";
                    if (R(15) == 0)
                        h += "Connection: close, Model\r\n";
                    if (R(15) == 0 && !get)
                        h += "Expect: 100-continue\r\n";
                    bool ch = !get && R(4) == 0;
                    std::string msg;
                    if (ch) {
                        char b[20];
                        snprintf(b, 20, "%zx\r\n", body.size());
                        msg = h + "Transfer-Encoding: chunked\r\n\r\n" +
                              (body.empty() ? "" : b + body + "\r\n") + "0\r\n\r\n";
                    }
                    else
                        msg =
                            h +
                            (get ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                            "\r\n" + body;
                    if (R(30) == 0) {
                        s.send(msg.substr(0, R(msg.size())));
                        std::this_thread::sleep_for(millis(R(300)));
                        break;
                    }
                    if (!s.send(msg))
                        break;
                    if (R(25) == 0) {
                        std::this_thread::sleep_for(millis(R(100)));
                        if (R(2))
                            s.reset();
                        break;
                    }
                    std::optional<message> a;
                    do {
                        a = s.receive(millis(R(40) == 0 ? 50 : 5000));
                    } while (a && a->status() == 100);
                    if (!a)
                        break;
                    int code = a->status();
                    ++done;
                    std::lock_guard hh(L);
                    st[a->complete ? code : -code]++;
                    if (code == 503 || code == 429 || code == 408 || code == 421) {
                        if (a->complete) {
                            refused[id] = true;
                            if (runs[id] && (k == "pay" || k == "letter"))
                                bad(rec, "REFUSED " + id + " " + std::to_string(code));
                        }
                    }
                    std::string sig = a->header("Server-Signature");
                    if (code / 100 == 2) {
                        if (sig.find(id) == std::string::npos)
                            bad(rec, "MIXED signature " + id + " got " + sig + " " + a->start);
                        if ((k == "look" || k == "pay") && a->complete &&
                            !a->header("Content-Length").empty() && !bodies[id].count(a->body))
                            bad(rec, "MIXED body " + id + " len " + std::to_string(a->body.size()));
                        if ((k == "chat" || k == "letter") && a->complete &&
                            a->header("Transfer-Encoding") == "chunked") {
                            unsigned last = 0;
                            size_t at = 0;
                            while ((at = a->body.find("id: ", at)) != std::string::npos) {
                                unsigned v = atoi(a->body.c_str() + at + 4);
                                if (last && v != last + 1) {
                                    bad(rec, "ORDER " + id + " " + std::to_string(last) + "->" +
                                                 std::to_string(v));
                                }
                                last = v;
                                at += 4;
                            }
                        }
                    }
                    if (!a->complete || a->header("Connection") == "close" ||
                        (a->header("Content-Length").empty() &&
                         a->header("Transfer-Encoding").empty()))
                        break;
                }
            }
        });
    auto end = clock::now() + std::chrono::seconds(secs);
    unsigned ver = 4;
    while (clock::now() < end) {
        std::this_thread::sleep_for(millis(200 + R(600)));
        unsigned w = R(12);
        if (w == 0)
            p.set_down(!p.down());
        else if (w == 1)
            p.put("keyed.op", "config", configuration(++ver));
        else if (w < 4) {
            auto& x = *pool[R(6)];
            x.crash();
            std::this_thread::sleep_for(millis(R(400)));
            x.start(R(2) ? "A" : "B");
        }
        else if (w == 4)
            e1.signal(SIGHUP);
        else if (w == 5)
            p.put("keyed.servers", "odd-" + std::to_string(R(5)),
                  R(2) ? "{\"Service\":3}" : std::string("\xff\xfe garbage"));
        else if (w == 6)
            p.put("keyed.op", "evacuate/zone-b", R(2) ? "{}" : "");
        else if (w == 7 && R(3) == 0) {
            e2.signal(SIGKILL);
            wait_until([&] { return !e2.running(); }, millis(2000));
            e2.start();
        }
        else if (w == 8 && R(3) == 0) {
            e2.signal(SIGTERM);
            if (!wait_until([&] { return !e2.running(); }, millis(9000)))
                bad(rec, "no exit");
            e2.start();
        }
        if (p.down() && R(2))
            p.set_down(false);
        if (!e1.running()) {
            bad(rec, "e1 died");
            e1.start();
            wait_until([&] { return e1.ready(); }, millis(5000));
        }
        if (!e2.running()) {
            bad(rec, "e2 died");
            e2.start();
        }
    }
    stop = true;
    for (auto& t : T)
        t.join();
    e1.signal(SIGTERM);
    e2.signal(SIGTERM);
    if (!wait_until([&] { return !e1.running() && !e2.running(); }, millis(15000)))
        bad(rec, "no exit at the end");
    std::cout << "answers " << done << " violations " << viol << "\n";
    for (auto& [k, v] : st)
        std::cout << k << ":" << v << " ";
    std::cout << "\nlogs " << folder.path() << "\n";
    return viol > 0;
}
