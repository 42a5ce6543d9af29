#pragma once

#include "net_address.h"
#include "recording_backend.h"

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cyclamen::test {

enum class call_end {
    answered,  // complete and from a backend server, or a complete refusal
    lost,      // the connection ended before any byte of an answer
    cut,       // the connection ended in the middle of an answer
    malformed, // the answer is not HTTP, has excess bytes or belongs to another request
    timed_out, // no complete answer within the caller's limit
};

inline constexpr std::array call_end_names{"answered", "lost", "cut", "malformed", "timed_out"};

/// What a caller does from shortly before SIGTERM until the entry closes its listener.
enum class caller_habit {
    keeps_sending,     // short rests and short responses all the time
    rests,             // rests once until about the time at which the listener closes
    awaits_a_response, // awaits one that begins before SIGTERM and ends at about that time
};

/// One request as its caller saw it.
struct caller_request {
    std::string attempt;
    std::string key;
    std::string kind; // get, post or stream
    unsigned entry = 0;
    int connection = 0;         // number of the caller's connection
    unsigned on_connection = 0; // requests that the connection carried before
    bool sent_whole = false;
    // The entry became ready for this request no earlier than this.
    test_clock::time_point ready_since;
    test_clock::time_point began;
    test_clock::time_point first_sent; // the first bytes have been sent
    test_clock::time_point sent;       // the last ones too
    test_clock::time_point ended;
    call_end end = call_end::lost;
    int status = 0;
    bool close_announced = false;
};

/// The end of a connection whose caller was resting, although no response had announced it.
struct connection_end {
    unsigned entry = 0;
    int connection = 0;
    unsigned requests = 0; // that the connection carried
    test_clock::time_point ready_since;
    test_clock::time_point seen;
};

/// The moments of one round, planned before it starts.
struct caller_plan {
    std::array<net_address, 2> entries; // the first one is stopped
    test_clock::time_point stop;        // when SIGTERM is planned
    test_clock::time_point listener_closes;
    std::atomic<bool> finished = false;
};

/// Sends requests one after another on kept-alive connections and records them.  `run` is called
/// in a thread of its own; the records may be read after it has returned.
class entry_caller {
public:
    entry_caller(caller_plan& plan, unsigned number, unsigned seed);
    entry_caller(const entry_caller&) = delete;
    entry_caller& operator=(const entry_caller&) = delete;
    ~entry_caller();

    void run();

    const std::vector<caller_request>& requests() const { return requests_; }
    const std::vector<connection_end>& ended_connections() const { return ended_connections_; }
    /// Connections on which bytes came that answer no request.
    unsigned stray_answers() const { return stray_answers_; }

private:
    struct connection;

    void rest();
    bool connect();
    void send_request();
    bool send_text(const std::string& text);
    void receive(caller_request& request);
    std::chrono::milliseconds choose_service_time(test_clock::time_point now);
    int uniform(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }
    bool chance(int percent) { return uniform(1, 100) <= percent; }

    caller_plan& plan_;
    unsigned number_;
    std::mt19937 random_;
    caller_habit habit_;
    test_clock::time_point cutover_; // when new connections go to the second entry
    std::unique_ptr<connection> connection_;
    std::optional<std::string> refused_key_; // key of a request to repeat
    std::vector<caller_request> requests_;
    unsigned next_request_ = 0;
    int next_connection_ = 0;
    std::vector<connection_end> ended_connections_;
    unsigned stray_answers_ = 0;
};

} // namespace cyclamen::test
