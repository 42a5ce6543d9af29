#pragma once

#include "command_parser.h"
#include "kernel.h"
#include "result_table.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <wire.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cyclamen {

class configuration_feed;
class entry_dispatcher;
class instance_directory;
class peer_exchange;

/// A command received from an operator.
struct operator_command {
    std::string text;
    std::string body; // configuration file of `put configuration into force`
    std::string id;   // idempotency id; if empty, a random one is generated
    std::string by;   // name of the operator
};

/// `unknown`: the command was not read back from the log in time and may still take effect.
enum class command_reply_kind { done, refused, conflict, unknown };

struct command_reply {
    command_reply_kind kind = command_reply_kind::done;
    std::string text;
};

struct command_executor_options {
    millis commit_timeout = 5000ms;    // time limit for reading a change back from the log
    millis load_query_timeout = 400ms; // time that agents have to report their load
};

/// Executes the operators' commands.  Owned by the kernel as "commands".
class command_executor : public service {
public:
    command_executor(kernel& core, command_executor_options options);

    std::string_view name() const override { return "commands"; }
    void start() override;
    bool idle() const override { return pending_changes_ == 0; }
    nlohmann::json describe() const override;

    void submit(const operator_command& command,
                const std::function<void(command_reply)>& on_reply);

private:
    struct timed_load_report {
        wire::load_report report;
        millis received_at{0};
    };

    void submit_change(const operator_command& command, const change_command& change,
                       const std::function<void(command_reply)>& on_reply);
    void show(const show_query& query, const std::function<void(command_reply)>& on_reply);
    void query_load();
    result_table build_table(const show_query& query) const;
    result_table backend_servers() const;
    result_table availability_zones() const;
    result_table client_accounts() const;
    result_table services(bool models) const; // only models if true, else all services
    result_table requests() const;
    result_table configuration_table() const;
    result_table commands(const std::string& id) const; // all recent commands if `id` is empty

    kernel& core_;
    command_executor_options options_;
    configuration_feed* configuration_ = nullptr;
    instance_directory* directory_ = nullptr;
    peer_exchange* peers_ = nullptr;
    entry_dispatcher* dispatcher_ = nullptr;
    std::map<std::string, timed_load_report> load_reports_; // latest report by instance name
    std::map<std::uint64_t, kernel::timer> load_query_timers_;
    std::uint64_t next_timer_id_ = 1;
    unsigned pending_changes_ = 0;
};

} // namespace cyclamen
