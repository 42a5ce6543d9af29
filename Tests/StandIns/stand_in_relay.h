#pragma once

#include "http_server.h"
#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <vector>

struct evconnlistener;

namespace cyclamen::test {

/// TCP relay that simulates a silent network failure: connections that are open when POST /silence
/// arrives stay open but forward no more data, while new connections work normally.
class stand_in_relay : public service {
public:
    /// Forwards connections from `listen` to `target`. The control port is the port after `listen`.
    stand_in_relay(kernel& core, net_address listen, net_address target);
    stand_in_relay(const stand_in_relay&) = delete;
    stand_in_relay& operator=(const stand_in_relay&) = delete;
    ~stand_in_relay() override;

    std::string_view name() const override { return "relay"; }
    void start() override;
    nlohmann::json describe() const override;

    struct connection;

private:
    void accept(int handle);

    kernel& core_;
    net_address listen_;
    net_address target_;
    evconnlistener* listener_ = nullptr;
    std::unique_ptr<http_server> control_;
    std::vector<std::unique_ptr<connection>> connections_;
};

} // namespace cyclamen::test
