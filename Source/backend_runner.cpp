#include "backend_runner.h"

#include "http_server.h"
#include "idempotency_key.h"

namespace cyclamen {

backend_runner::backend_runner(kernel& core, backend_runner_options options, handlers receivers)
    : core_(core), options_(std::move(options)), receivers_(std::move(receivers))
{
}

void backend_runner::start(attempt_id id, const wire::dispatch& request)
{
    http_client_request call{.server = options_.backend,
                             .method = request.method(),
                             .target = request.path(),
                             .content_type = request.content_type(),
                             .body = request.body(),
                             .headers = {{"X-Client-Account", request.account()}},
                             .timeout = options_.answer_timeout};
    if (!request.idempotency_key().empty()) {
        const auto key = idempotency_key::from_stored(request.idempotency_key());
        call.headers.push_back({"Idempotency-Key", "\"" + key.key + "\""});
    }
    http_call::handlers handlers{
        .on_head =
            [this, id](int status, const std::string& content_type) {
                receivers_.on_head(id, status, content_type);
            },
        .on_data = [this, id](std::string_view data) { receivers_.on_data(id, data); },
        .on_end =
            [this, id](http_call_result end) {
                // Removes the call from the table, but keeps it alive until this callback ends.
                const auto found = calls_.find(id);
                std::unique_ptr<http_call> ended;
                if (found != calls_.end()) {
                    ended = std::move(found->second);
                    calls_.erase(found);
                }
                receivers_.on_end(id, end);
            }};
    calls_[id] = std::make_unique<http_call>(core_.loop(), call, std::move(handlers));
}

} // namespace cyclamen
