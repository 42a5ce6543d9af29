#pragma once

#include "backend_chooser.h"
#include "caller_connection.h"
#include "client_connection.h"
#include "crash_detector.h"
#include "direct_attempts.h"
#include "event_stream_splitter.h"
#include "header_codec.h"
#include "kernel.h"
#include "route_table.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

class backend_connection_pool;
class relay_state;
class retry_budgets;
class rollout_service;

struct relay_exchange_options {
    // A backend server sends its own response when its time limit expires.  The relay waits this
    // much longer for that response to arrive.
    millis deadline_slack = 120ms;
    // Time limit of requests whose caller sends no deadline; a shorter timeout of the route takes
    // precedence.
    millis default_deadline = 60000ms;
    // Longest wait of a request while no server accepts it, as a share of the route's target
    // latency.  After a longer wait, a retry by the caller could not meet the target.
    double wait_share = 0.125;
    millis choice_retry_interval = 20ms; // interval between server choices for a waiting request
    // Mean Retry-After of refused requests; spread over 0.5 to 1.5 times this value.
    millis retry_after = 300ms;
    // Upper bound of Retry-After as a share of the time left: callers wait for at most a third of
    // that time.
    double retry_after_share = 0.3;
    // Longest Retry-After, as a share of the time left, while this entry has no configuration:
    // callers make few attempts, and outages of the source last seconds.  Values are spread from
    // two thirds of it up to all of it.
    double unconfigured_retry_after_share = 0.3;
    // Silence of a backend server after which a call that is given up counts as lost: shorter ones
    // are due to impatient callers.
    millis long_silence = 1000ms;
    // Bytes buffered for a slow caller above which reading from the backend server is paused.  Less
    // while the connections together hold much.
    std::size_t max_unsent = 262144;
    // Longest event of an event stream that is held back until it is complete.  Less while the
    // connections together hold much.
    std::size_t max_event = 1048576;
};

/// Collaborators of an exchange; all of them outlive the exchange.
struct relay_context {
    kernel& core;
    relay_state& state;
    backend_chooser& chooser;
    backend_connection_pool& connections;
    retry_budgets& retries;
    const header_codec& codec;
    std::function<bool(millis deadline)> can_finish; // false if the process may exit before
    const relay_exchange_options& options;
    rollout_service* rollouts = nullptr; // null if there are no roll-outs here
};

/// One request of a caller, from its admission to the last byte of its response.  Owned by the
/// relay server.
class relay_exchange {
public:
    /// `on_end` is called once.  It must not destroy the exchange itself, but may schedule that
    /// on the event loop.
    relay_exchange(const relay_context& context, caller_connection& caller,
                   std::function<void(relay_exchange&)> on_end);
    relay_exchange(const relay_exchange&) = delete;
    relay_exchange& operator=(const relay_exchange&) = delete;
    ~relay_exchange();

    void begin();
    /// Ends the exchange at once because the process is stopping.
    void abort(const std::string& why);
    /// Ends the exchange because of an unexpected error in `begin`.
    void end_after_error();

private:
    enum class body_mode {
        pass,   // forward all bytes
        events, // forward complete events of an event stream
        discard // forward nothing: the response is not sent to the caller
    };

    bool admit_request();
    void find_origin();
    void attempt();
    backend_criteria make_criteria() const;
    backend_choice choose_backend(const relay_service& service);
    void record_for_rollout(attempt_end how);
    void wait_for_backend(const backend_choice& choice);
    bool take_late_wait(millis now);
    void send(const backend_choice& choice);
    void announce_origin();
    void on_origin_told(bool archived);
    bool begin_again_unrecorded();
    void send_untold_head();
    bool on_response_head(const http_head& head);
    void end_trial(bool accepted);
    void note_server_words(const http_head& head, const response_metadata& metadata);
    void discard_response(attempt_outcome failure);
    void begin_caller_response(const http_head& head);
    void send_response_head(const http_head& head);
    std::string_view ready_events(std::string_view data);
    void on_response_body(std::string_view data);
    void forward_body(std::string_view ready);
    void count_memory();
    bool can_be_followed() const;
    bool is_broken_off(http_call_result outcome) const;
    void on_call_end(http_call_result end);
    void handle_failed_attempt(attempt_outcome end);
    void finish_response();
    const std::vector<suspect>& suspects();
    bool refuse_quarantined();
    attempt_end evidence_of(http_call_result outcome, std::optional<attempt_outcome> failure) const;
    attempt_end evidence_of_silence() const;
    void end_attempt(attempt_end how, std::string_view name);
    void refuse(int status, const std::string& reason);
    void refuse(const relay_refusal& why);
    millis retry_after() const;
    void give_up(const std::string& reason);
    // Delivers a response that has arrived whole; returns whether that ended the exchange.
    bool deliver_arrived_response();
    void on_deadline();
    void on_caller_disconnect();
    // Ends the call to the backend server: returns its connection to the pool, or closes it if
    // `abandon` is true.
    void release_call(bool abandon);
    void end(std::string_view outcome);

    millis time_left() const;
    std::string choose_service();
    std::vector<std::uint64_t> shared_prefix_segments() const;
    std::uint64_t placement_segment() const;
    std::uint64_t stream_id() const;
    bool records_origin() const;
    std::optional<std::string> unrecorded_version() const;
    unsigned shared_tokens() const;

    relay_context context_;
    caller_connection* caller_;
    std::function<void(relay_exchange&)> on_end_;
    std::shared_ptr<const route_table> table_; // in force at the start of the exchange; may be null
    const relay_route* route_ = nullptr;
    const client_account* account_ = nullptr;
    request_metadata metadata_;
    std::shared_ptr<const std::string> body_;
    memory_budget::share memory_;
    std::optional<std::vector<suspect>> suspects_;
    std::unique_ptr<direct_attempts> attempts_;
    std::set<std::string> tried_backends_;
    millis started_at_{0};
    millis deadline_{0};
    std::optional<millis> waiting_since_; // set while no server accepts the request
    millis wait_due_{0};                  // when the wait timer expires
    bool late_wait_taken_ = false;        // a wait timer was handled late and led to one more wait
    kernel::timer deadline_timer_;
    kernel::timer wait_timer_;

    std::unique_ptr<client_connection> connection_;
    std::string backend_id_; // the backend server of the latest attempt
    std::uint64_t backend_incarnation_ = 0;
    bool trial_ = false;           // of a server that has rested, until its answer begins
    std::string service_;          // chosen among the services of the route
    std::string software_version_; // of that server
    std::optional<std::string> stream_version_; // the only one that can continue the stream
    // Set while others can't tell where the stream began: its response is held back.
    bool origin_untold_ = false;
    std::optional<http_head> untold_head_;
    std::size_t untold_head_bytes_ = 0;
    std::string untold_events_;
    std::optional<http_call_result> untold_end_;            // of the call that brought them
    millis untold_since_{0};                                // when the first of them arrived
    millis held_time_{0};                                   // for which events were held back
    std::optional<crash_detector::attempt_number> attempt_; // open at the server
    millis sent_at_{0};
    millis heard_at_{0};                  // when bytes of its response last arrived
    std::optional<millis> answered_at_;   // when the head of its response arrived
    std::optional<millis> body_began_at_; // when the first bytes of its body arrived
    std::size_t body_bytes_ = 0;          // that arrived since
    body_mode mode_ = body_mode::discard;
    std::optional<attempt_outcome> failure_; // set if the response head reports a failure
    event_stream_splitter events_;
    bool response_head_sent_ = false;
    bool resumable_response_ = false; // an event stream that another server may continue
    bool first_byte_seen_ = false;
    std::optional<http_call_result> call_end_; // of the latest attempt
    int status_ = 0;                           // status sent to the caller; 0 before that
    bool ended_ = false;
    // Callbacks of the search for a stream's origin, and of its announcement, hold a weak
    // reference.
    std::shared_ptr<relay_exchange*> self_ = std::make_shared<relay_exchange*>(this);
    bool last_look_ = false; // makes no further attempt, begins no response that is not complete
    std::optional<http_head> held_head_; // of a response that arrives during the last look
    std::string held_body_;
};

} // namespace cyclamen
