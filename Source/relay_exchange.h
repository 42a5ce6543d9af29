#pragma once

#include "backend_chooser.h"
#include "caller_connection.h"
#include "client_connection.h"
#include "direct_attempts.h"
#include "event_stream_cutter.h"
#include "kernel.h"
#include "relay_dialect.h"
#include "route_table.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cyclamen {

class backend_connections;
class relay_knowledge;
class retry_budgets;

struct relay_exchange_options {
    // A backend server answers by itself when the time that it was given is over; the
    // relay leaves it so long to do so.
    millis answer_slack = 120ms;
    millis default_deadline = 60000ms; // where neither caller nor route sets one
    // A request that no server may take now waits for this share of its route's target; a
    // longer wait would take the chance of a return in time.
    double wait_share = 0.125;
    millis wait_step = 20ms; // between two choices of a waiting request
    // For refused callers; spread from half of it to one and a half times.
    millis retry_after = 300ms;
    // Of the time left, at most: callers honour a third of it.
    double retry_after_share = 0.3;
    // Of the time left, for callers of an entry that knows no configuration yet: they have few
    // tries, and a source is away for seconds.  Spread from two thirds of it on.
    double unknowing_share = 0.3;
    std::size_t most_unsent = 262144; // bytes that wait for a slow caller
};

/// What an exchange works with; all of it outlives the exchange.
struct relay_context {
    kernel& core;
    relay_knowledge& knowledge;
    backend_chooser& chooser;
    backend_connections& connections;
    retry_budgets& retries;
    const relay_dialect& dialect;
    const relay_exchange_options& options;
};

/// One request of a caller, from its admission to the last byte of its answer.  Owned by
/// the relay's port.
class relay_exchange {
public:
    /// `on_end` is called once; the exchange may be destroyed from the loop then.
    relay_exchange(const relay_context& context, caller_connection& caller,
                   std::function<void(relay_exchange&)> on_end);
    relay_exchange(const relay_exchange&) = delete;
    relay_exchange& operator=(const relay_exchange&) = delete;
    ~relay_exchange();

    void begin();
    /// Ends it at once, for the process stops.
    void abort(const std::string& why);

private:
    enum class body_mode { pass, events, discard };

    bool admit_request();
    void attempt();
    void wait_for_backend(const backend_choice& choice);
    void send(const backend_choice& choice);
    bool answer_head(const http_head& head);
    void begin_caller_answer(const http_head& head);
    void answer_body(std::string_view data);
    void call_ended(http_end end);
    void attempt_ended(attempt_end end);
    void finish_answer();
    std::uint64_t fingerprint();
    void refuse(int status, const std::string& reason);
    millis retry_after() const;
    void give_up(const std::string& reason);
    void deadline_passed();
    void caller_left();
    void release_call(bool abandon);
    void end(std::string_view outcome);

    millis time_left() const;
    std::string service_for_attempt();
    std::vector<std::uint64_t> shared_parts() const;
    std::uint64_t placement_part() const;
    unsigned shared_tokens() const;

    relay_context context_;
    caller_connection* caller_;
    std::function<void(relay_exchange&)> on_end_;
    std::shared_ptr<const route_table> table_;
    const relay_route* route_ = nullptr;
    const client_account* account_ = nullptr;
    request_facts facts_;
    std::string body_;
    std::optional<std::uint64_t> fingerprint_;
    std::unique_ptr<direct_attempts> attempts_;
    std::set<std::string> tried_;
    millis began_{0};
    millis deadline_{0};
    std::optional<millis> waiting_since_;
    kernel::timer deadline_timer_;
    kernel::timer wait_timer_;

    std::unique_ptr<client_connection> connection_;
    std::string backend_id_; // of the call that is open
    std::string service_;
    millis sent_at_{0};
    body_mode mode_ = body_mode::discard;
    std::optional<attempt_end> failure_; // what the answer's head said of the call
    event_stream_cutter events_;
    bool head_passed_ = false;
    bool first_byte_seen_ = false;
    int status_ = 0; // that the caller got
    bool ended_ = false;
};

} // namespace cyclamen
