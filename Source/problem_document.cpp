#include "problem_document.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cyclamen {

namespace {

struct refusal_text {
    wire::refusal reason;
    int status;
    int retry_after_seconds;
    const char* detail;
};

constexpr std::array refusal_texts{
    refusal_text{wire::over_account_share, 429, 1,
                 "the client account has its share of the backend servers in use"},
    refusal_text{wire::over_load_bound, 503, 1, "every backend server is at its load bound"},
    refusal_text{wire::over_ramp, 503, 1, "the backend servers are in cold start"},
    refusal_text{wire::over_capacity, 503, 1, "every backend server is full"},
    refusal_text{wire::deadline_passed, 504, 0, "the deadline passed"},
    refusal_text{wire::quarantined, 422, 0,
                 "this request crashed backend servers and is not run again"},
    refusal_text{wire::log_unavailable, 503, 5,
                 "idempotency keys cannot be recorded while the platform's log is away"},
    refusal_text{wire::claims_not_read, 503, 1, "recorded idempotency keys are still being read"},
    refusal_text{wire::key_expired, 400, 0,
                 "the idempotency key is older than keys are remembered; use a new one"},
    refusal_text{wire::key_reused, 422, 0,
                 "the idempotency key was used before with another request"},
    refusal_text{wire::key_in_progress, 409, 1,
                 "a request with this idempotency key was begun and its answer is not known"},
    refusal_text{wire::backend_down, 503, 1, "the backend server is not reachable"},
    refusal_text{wire::configuration_behind, 503, 1, "the configuration is still being read"},
};

} // namespace

std::string problem_document::text() const
{
    nlohmann::json document{{"title", title},
                            {"status", status},
                            {"reason", reason},
                            {"detail", detail},
                            {"outcome", outcome}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

problem_document problem_document::of(enum outcome result, wire::refusal reason)
{
    problem_document document;
    document.outcome = name_of(outcome_names, result);
    document.reason = refusal_name(reason);
    document.status = 503;
    document.retry_after_seconds = 1;
    document.detail = "no backend server takes this request now";
    for (const refusal_text& row : refusal_texts) {
        if (row.reason == reason) {
            document.status = row.status;
            document.retry_after_seconds = row.retry_after_seconds;
            document.detail = row.detail;
        }
    }
    document.title =
        result == outcome::not_run ? "The request did not run" : "The request may have run";
    if (result == outcome::unknown && document.status == 503) {
        document.status = 502;
        document.retry_after_seconds = 0;
    }
    return document;
}

problem_document problem_document::refused(int status, std::string title, std::string reason,
                                           std::string detail)
{
    return {.status = status,
            .title = std::move(title),
            .reason = std::move(reason),
            .detail = std::move(detail),
            .outcome = std::string(name_of(outcome_names, outcome::not_run))};
}

} // namespace cyclamen
