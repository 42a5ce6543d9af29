#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cyclamen::test {

/// Injected faults of the log, set with POST /faults.
struct log_faults {
    bool outage = false;         // respond to every call with status 503
    unsigned delay_ms = 0;       // delay before each call takes effect
    unsigned lose_responses = 0; // number of upcoming appends that take effect but get no response
    unsigned appends_per_second = 300;
    std::uint64_t retention_ms = 0; // 0 keeps records forever
};

/// Simulates the platform's append-only log: streams with offsets, limited retention, a rate limit
/// on appends, outages, delays and lost responses.
class stand_in_log : public service {
public:
    stand_in_log(kernel& core, net_address listen);

    std::string_view name() const override { return "log"; }
    void start() override;
    nlohmann::json describe() const override;

private:
    struct record {
        std::int64_t at_ms = 0; // wall-clock time of the append
        std::string data;
    };
    struct stream {
        std::uint64_t first = 0; // offset of the oldest record still stored
        std::deque<record> records;
    };
    using exchange = std::shared_ptr<http_exchange>;

    void on_request(const exchange& caller);
    void serve(const exchange& caller);
    void append(const exchange& caller, const std::string& name);
    void read(const exchange& caller, const std::string& name);
    void set_faults(const exchange& caller);
    void expire_records(stream& log_stream) const;
    void drop_before(const std::string& name, std::uint64_t offset);
    bool consume_append_token();

    kernel& core_;
    net_address listen_;
    std::unique_ptr<http_server> server_;
    std::map<std::string, stream> streams_;
    log_faults faults_;
    std::map<std::uint64_t, kernel::timer> delayed_;
    std::uint64_t next_delayed_ = 0;
    std::uint64_t appends_ = 0;
    double tokens_ = 0; // token bucket that limits the rate of appends
    millis last_refill_{0};
};

} // namespace cyclamen::test
