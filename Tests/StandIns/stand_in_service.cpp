#include "stand_in_service.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace cyclamen::test {

using json = nlohmann::json;

stand_in_service::stand_in_service(kernel& core, net_address listen, std::string instance,
                                   const std::string& record)
    : core_(core), listen_(std::move(listen)), instance_(std::move(instance)),
      record_(record, std::ios::app)
{
}

void stand_in_service::start()
{
    server_ = std::make_unique<http_server>(core_.loop(), listen_, http_server_options{},
                                            [this](const exchange& caller) { on_request(caller); });
}

void stand_in_service::on_request(const exchange& caller)
{
    if (caller->path() == "/health") {
        caller->reply(200, "application/json", "{\"cold\":false}");
    }
    else if (caller->path() == "/faults") {
        set_faults(caller);
    }
    else {
        execute(caller);
    }
}

void stand_in_service::execute(const exchange& caller)
{
    const json line{{"instance", instance_},      {"key", caller->header("Idempotency-Key")},
                    {"method", caller->method()}, {"path", caller->path()},
                    {"body", caller->body()},     {"at_ms", core_.wall_clock().count()}};
    record_ << line.dump() << std::endl; // flushed, so that the record survives a crash
    ++executions_;
    if (faults_.crash_next) {
        std::_Exit(70);
    }
    const std::uint64_t run = next_run_++;
    const json response{{"instance", instance_},
                        {"path", caller->path()},
                        {"echo", caller->body()},
                        {"execution", executions_}};
    running_[run] = core_.after(millis(faults_.delay_ms), [this, caller, run, response] {
        const kernel::timer ended = std::move(running_[run]);
        running_.erase(run);
        if (faults_.truncate_next) {
            faults_.truncate_next = false;
            caller->begin_stream(200, "application/json");
            caller->on_drained = [caller = std::weak_ptr<http_exchange>(caller)] {
                if (const auto open = caller.lock()) {
                    open->abort();
                }
            };
            caller->write(response.dump().substr(0, 5));
            return;
        }
        caller->reply(200, "application/json", response.dump());
    });
}

void stand_in_service::set_faults(const exchange& caller)
{
    const json faults = json::parse(caller->body(), nullptr, false);
    if (!faults.is_object()) {
        caller->reply(400, "text/plain", "expected a JSON object\n");
        return;
    }
    faults_.delay_ms = faults.value("delay_ms", faults_.delay_ms);
    faults_.crash_next = faults.value("crash_next", faults_.crash_next);
    faults_.truncate_next = faults.value("truncate_next", faults_.truncate_next);
    caller->reply(200, "application/json", "{}");
}

json stand_in_service::describe() const
{
    return {{"instance", instance_}, {"executions", executions_}};
}

} // namespace cyclamen::test
