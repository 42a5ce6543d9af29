#include "stand_in_weights.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen::test {

stand_in_weights::stand_in_weights(kernel& core, net_address listen, double loads_per_second)
    : core_(core), listen_(std::move(listen)), loads_per_second_(loads_per_second),
      tokens_(std::max(1.0, loads_per_second))
{
}

void stand_in_weights::start()
{
    server_ = std::make_unique<http_server>(
        core_.loop(), listen_, http_server_options{},
        [this](const std::shared_ptr<http_exchange>& caller) { on_request(caller); });
}

void stand_in_weights::on_request(const std::shared_ptr<http_exchange>& caller)
{
    const millis now = core_.now();
    const double seconds = std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    tokens_ = std::min(std::max(1.0, loads_per_second_), tokens_ + seconds * loads_per_second_);
    if (tokens_ < 1) {
        caller->reply(429, "text/plain", "load rate limit exceeded\n", {{"Retry-After", "1"}});
        return;
    }
    tokens_ -= 1;
    ++loads_;
    const nlohmann::json response{{"weights", caller->path()}, {"bytes", 1024}};
    caller->reply(200, "application/json", response.dump());
}

nlohmann::json stand_in_weights::describe() const
{
    return {{"loads", loads_}};
}

} // namespace cyclamen::test
