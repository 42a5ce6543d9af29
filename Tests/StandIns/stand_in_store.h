#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamen::test {

/// Simulates the part of the platform's metadata store that entries read: keyed logs with one
/// partition, the newest record of each key, and reads that wait for the next record.
class stand_in_store : public service {
public:
    stand_in_store(kernel& core, net_address listen);

    std::string_view name() const override { return "store"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Appends a record and answers the reads that wait for one.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// Appends a record with this content, which need not begin with a key.
    void put_bytes(const std::string& topic, const std::string& content);

    /// Called after a waiting read has been answered with new records.
    std::function<void(const std::string& topic)> on_delivered;

private:
    struct record {
        std::string content; // the length of the key (1 byte), the key and the value
        std::string key() const;
        std::string value() const;
    };
    using exchange = std::shared_ptr<http_exchange>;
    struct waiting_read {
        exchange caller;
        std::string topic;
        std::size_t from = 0;
        std::size_t max_bytes = 0;
        kernel::timer timeout;
    };

    void on_request(const exchange& caller);
    void list_newest(const exchange& caller, const std::string& topic);
    void read(const exchange& caller, const std::string& topic);
    void answer(const waiting_read& call);

    kernel& core_;
    net_address listen_;
    std::unique_ptr<http_server> server_;
    std::map<std::string, std::vector<record>> logs_; // keyed by topic
    std::list<waiting_read> waiting_;
};

} // namespace cyclamen::test
