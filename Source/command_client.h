#pragma once

#include "net_address.h"
#include "time_types.h"

#include <optional>
#include <string>

namespace cyclamen {

struct command_client_options {
    net_address operator_address; // operator port of an entry
    std::string operator_key;     // the operator's secret key, sent as a bearer token
    millis timeout{15000};
};

/// An entry's response to a command.
struct command_response {
    int status = 0; // HTTP status; 0 if no complete response was received
    std::string text;
};

/// Sends a command to an entry and blocks until the response or the timeout.  `body` is the
/// configuration file of `put configuration into force`.  `id` identifies the command, so that
/// it can be retried safely: a command that was already applied has no further effect.
command_response send_command(const command_client_options& options, const std::string& command,
                              const std::string& body, const std::string& id);

} // namespace cyclamen
