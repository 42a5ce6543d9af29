#pragma once

#include "agent_core.h"
#include "claim_batcher.h"
#include "claim_ledger.h"
#include "kernel.h"
#include "log_client.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamen {

struct claim_service_options {
    net_address log;
    std::string service;
    unsigned shards = 4; // number of claim streams that share the keys of the service
    millis log_timeout = 1500ms;
    millis poll = 250ms;              // interval of reads while no claim is pending
    millis claim_timeout = 3000ms;    // undecided claims fail after this time
    millis log_down_timeout = 2000ms; // log silence after which keyed requests are refused
    millis key_window = 3600000ms;    // maximum age of a UUIDv7 key; older ones are refused
};

/// Returns the timestamp of a UUIDv7 idempotency key (Unix time), or nothing for other keys.
std::optional<millis> key_timestamp(const std::string& key);

/// Reads and writes the claim streams of one plain service.  Owned by the kernel as service
/// "claims".
class claim_service : public service {
public:
    claim_service(kernel& core, claim_service_options options);

    std::string_view name() const override { return "claims"; }
    void start() override;
    bool idle() const override;
    nlohmann::json describe() const override;

    claim_readiness readiness() const;
    key_status lookup(const std::string& key) const;
    /// True if the key is older than the key window; nothing if the key has no timestamp.
    std::optional<bool> expired(const std::string& key) const;
    void claim(attempt_id id, key_claim item);
    void release(key_release item);
    void record(key_answer item);

    /// Called when the ledger shows whether the attempt holds its key.
    std::function<void(attempt_id, bool won)> on_decided;
    /// Called when a claim is still undecided after the claim timeout.
    std::function<void(attempt_id)> on_failed;

private:
    struct waiting_claim {
        attempt_id id;
        key_claim item;
        millis since{0};
    };

    /// One claim stream and its replayed state.
    struct shard {
        std::string stream;
        claim_ledger ledger;
        claim_batcher batcher{claim_batcher_options{}};
        std::vector<waiting_claim> waiting;
        bool reading = false;
        bool at_head = false; // the stream has been read to its end once since the start
        millis last_seen{0};  // time of the log's last response
        kernel::timer timer;
    };

    shard& shard_of(const std::string& key);
    const shard& shard_of(const std::string& key) const;
    void read(shard& part);
    void on_page(shard& part, const log_page& page);
    void append(shard& part);
    void decide(shard& part);

    kernel& core_;
    claim_service_options options_;
    log_client log_;
    std::vector<std::unique_ptr<shard>> shards_;
    kernel::timer tick_;
    bool ready_logged_ = false;
};

} // namespace cyclamen
