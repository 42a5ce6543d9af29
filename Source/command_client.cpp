#include "command_client.h"

#include "http_client.h"
#include "http_server.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

namespace cyclamen {

command_response send_command(const command_client_options& options, const std::string& command,
                              const std::string& body, const std::string& id)
{
    const nlohmann::json document{{"command", command}, {"body", body}, {"id", id}};
    event_base* loop = event_base_new();
    command_response result;
    http_fetcher fetcher(loop);
    fetcher.fetch({.server = options.operator_address,
                   .method = "POST",
                   .target = "/commands",
                   .content_type = "application/json",
                   .body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                   .headers = {{"Authorization", "Bearer " + options.operator_key}},
                   .timeout = options.timeout},
                  [&](const http_response& response) {
                      result.status =
                          response.end == http_call_result::complete ? response.status : 0;
                      result.text = response.body;
                      event_base_loopbreak(loop);
                  });
    event_base_dispatch(loop);
    event_base_loop(loop, EVLOOP_NONBLOCK); // runs the deferred cleanup of the connection
    event_base_free(loop);
    return result;
}

} // namespace cyclamen
