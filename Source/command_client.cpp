#include "command_client.h"

#include "http_client.h"
#include "http_server.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

namespace cyclamen {

command_answer send_command(const command_client_options& options, const std::string& command,
                            const std::string& body, const std::string& id)
{
    const nlohmann::json document{{"command", command}, {"body", body}, {"id", id}};
    event_base* loop = event_base_new();
    command_answer result;
    fetch(loop,
          {.server = options.entry,
           .method = "POST",
           .target = "/commands",
           .content_type = "application/json",
           .body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
           .headers = {{"Authorization", "Bearer " + options.key}},
           .timeout = options.timeout},
          [&](const http_response& answer) {
              result.status = answer.end == http_call_result::complete ? answer.status : 0;
              result.text = answer.body;
              event_base_loopbreak(loop);
          });
    event_base_dispatch(loop);
    event_base_loop(loop, EVLOOP_NONBLOCK); // runs the deferred cleanup of the connection
    event_base_free(loop);
    return result;
}

} // namespace cyclamen
