#include "stand_in_list.h"

namespace cyclamen::test {

using json = nlohmann::json;

stand_in_list::stand_in_list(kernel& core, net_address listen)
    : core_(core), listen_(std::move(listen)), published_{{"instances", json::array()}}
{
}

void stand_in_list::start()
{
    server_ = std::make_unique<http_server>(
        core_.loop(), listen_, http_server_options{},
        [this](const std::shared_ptr<http_exchange>& caller) { on_request(caller); });
}

void stand_in_list::on_request(const std::shared_ptr<http_exchange>& caller)
{
    if (caller->path() == "/health") {
        caller->reply(200, "application/json", "{}");
        return;
    }
    if (caller->method() == "GET") {
        if (outage_) {
            caller->reply(503, "text/plain", "outage\n");
        }
        else {
            caller->reply(200, "application/json", published_.dump());
        }
        return;
    }
    const json document = json::parse(caller->body(), nullptr, false);
    if (!document.is_object()) {
        caller->reply(400, "text/plain", "expected a JSON object\n");
        return;
    }
    if (caller->path() == "/faults") {
        outage_ = document.value("outage", outage_);
        lag_ms_ = document.value("lag_ms", lag_ms_);
    }
    else if (lag_ms_ == 0) {
        published_ = document;
    }
    else {
        lag_ = core_.after(millis(lag_ms_), [this, document] { published_ = document; });
    }
    caller->reply(200, "application/json", "{}");
}

json stand_in_list::describe() const
{
    return published_;
}

} // namespace cyclamen::test
