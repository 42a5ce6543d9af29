#pragma once

#include "backend_chooser.h"
#include "engine_model.h"
#include "enum_names.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

/// Temporary disturbance of a pool or of its load.
enum class load_pattern {
    calm,
    hot_key,     // a share of the requests of one class has the same subject
    burst,       // the request rate is multiplied by `pattern_strength`
    release,     // a share of the engines is replaced, one after another
    scale_out,   // the number of engines grows by a share
    crash,       // a share of the engines crashes and is down for `pattern_duration_s`
    cold_return, // all engines of one zone crash and return together, cold
    grey,        // a share of the engines fails `pattern_strength` of every ten requests
    slow,        // steps of a share of the engines take `pattern_strength` times as long
};

inline constexpr std::array load_pattern_names{
    enum_name<load_pattern>{load_pattern::calm, "calm"},
    enum_name<load_pattern>{load_pattern::hot_key, "hot_key"},
    enum_name<load_pattern>{load_pattern::burst, "burst"},
    enum_name<load_pattern>{load_pattern::release, "release"},
    enum_name<load_pattern>{load_pattern::scale_out, "scale_out"},
    enum_name<load_pattern>{load_pattern::crash, "crash"},
    enum_name<load_pattern>{load_pattern::cold_return, "cold_return"},
    enum_name<load_pattern>{load_pattern::grey, "grey"},
    enum_name<load_pattern>{load_pattern::slow, "slow"},
};

/// Class of requests with the same sizes and latency target.
struct load_class {
    std::string name;
    double per_second = 1;
    unsigned subjects = 40;             // number of subjects; their popularity is skewed
    unsigned class_prefix_tokens = 0;   // tokens shared by all requests of the class
    unsigned subject_prefix_tokens = 0; // further tokens shared within one subject
    unsigned unique_tokens = 0;
    unsigned output_tokens = 1;
    double target_ms = 500; // latency target of the first token
};

struct pool_options {
    unsigned entries = 5;
    unsigned engines = 12;
    unsigned zones = 3;
    double seconds = 40;
    std::uint64_t seed = 1;
    std::vector<load_class> classes;
    load_pattern pattern = load_pattern::calm;
    double pattern_start_s = 10;
    double pattern_duration_s = 10;
    double pattern_share = 0.25;        // share of the engines or requests that the pattern affects
    double pattern_strength = 2;        // see `load_pattern`
    double cold_starts_per_second = 11; // requests per second that a cold engine can start
    engine_profile profile;
    backend_chooser_options chooser; // its `zone` is set for each entry
};

/// Result of a run of the model.
struct pool_result {
    unsigned requests = 0;
    unsigned in_target = 0;
    unsigned late = 0;
    unsigned lost = 0;    // lost in an engine crash, or failed by an engine
    unsigned refused = 0; // no engine was available within an eighth of the latency target
    double first_token_p50_ms = 0;
    double first_token_p99_ms = 0;
    double read_again_ktokens = 0; // shared segments prefilled again by any engine within 10 s
    double copied_ktokens = 0;
    double skew = 0; // highest load of an engine divided by the mean load, averaged over time
    unsigned over_bound = 0; // requests sent to an engine with a load above 2 x mean + 3
};

/// Simulation of a pool of engines and of entries that send requests to them.  The entries use
/// the production code for decisions (backend table, health, prefix locations and chooser), and
/// each gets its data about the pool only from gossip and responses.  Deterministic: simulated
/// time, fixed seeds.
class pool_model {
public:
    explicit pool_model(pool_options options);
    pool_result run();

private:
    struct engine {
        std::string id;
        std::string zone;
        unsigned number = 0;
        std::unique_ptr<engine_model> model;
        std::uint64_t started_at = 1;
        double failure_rate = 0; // share of requests that this engine fails
        bool up = true;
        bool draining = false;
    };
    struct entry {
        std::string zone;
        backend_table table;
        prefix_locations locations;
        std::unique_ptr<backend_chooser> chooser;
        std::vector<prefix_locations::location> new_locations; // added since the last digest
        std::vector<double> last_digest_sent; // time of the last digest to each peer, ms
    };
    struct open_request {
        simulated_request request;
        std::size_t entry = 0;
        std::size_t class_index = 0; // index into `pool_options::classes`
        double arrived_at = 0;
        std::string engine;
        std::set<std::string> tried;
        unsigned* result_counter = nullptr; // counter incremented at its first token
    };
    struct event {
        double time = 0;
        std::uint64_t order = 0; // creation order; decides between events at the same time
        std::function<void()> action;
        // Reversed, because `std::priority_queue` returns the greatest element first.
        bool operator<(const event& other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    void schedule(double when, std::function<void()> action);
    millis clock() const;
    engine& add_engine(unsigned number, const std::string& id);
    void announce(const engine& subject, millis cold_for = 0ms);
    void withdraw(const std::string& id);
    void plan_pattern();
    void replace(std::size_t index);
    void crash_engine(std::size_t index, double downtime_ms);
    void arrive(std::size_t class_index);
    void place_request(std::uint64_t id);
    void send(std::uint64_t id, open_request& request_state, const backend_choice& choice);
    void finish_request(std::uint64_t id, bool success);
    void record_first_token(std::uint64_t id, double now);
    void exchange_digests();
    void send_digest(std::size_t from, std::size_t to);
    void sample_skew();
    bool pattern_active() const;
    std::size_t affected_count(std::size_t count) const;
    simulated_request make_request(std::size_t class_index);

    pool_options options_;
    std::mt19937_64 random_;
    relay_service service_;
    double now_ = 0;
    std::uint64_t next_order_ = 0;
    std::uint64_t next_request_ = 1;
    std::priority_queue<event> events_;
    std::vector<engine> engines_;
    std::vector<entry> entries_;
    std::map<std::uint64_t, open_request> open_requests_;
    std::map<std::uint64_t, double> prefilled_at_; // last prefill of each segment, on any engine
    std::vector<double> first_tokens_;
    double skew_sum_ = 0;
    unsigned skew_samples_ = 0;
    pool_result result_;
};

} // namespace cyclamen
