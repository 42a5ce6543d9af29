#pragma once

#include "enum_names.h"

#include <wire.pb.h>

#include <array>
#include <string>

namespace cyclamen {

/// Outcome of a request as reported to its caller.
enum class outcome {
    answered, // the complete response was delivered
    not_run,  // the request provably did not run
    unknown,  // the request may have run
};

inline constexpr std::array outcome_names{
    enum_name<outcome>{outcome::answered, "answered"},
    enum_name<outcome>{outcome::not_run, "not_run"},
    enum_name<outcome>{outcome::unknown, "unknown"},
};

/// Returns the name of `reason` in problem documents, logs and counters.
inline std::string refusal_name(wire::refusal reason)
{
    return wire::refusal_Name(reason);
}

/// True if the refusal means that the agent accepts no requests for a while.
inline bool is_agent_unavailable(wire::refusal reason)
{
    return reason == wire::stopping || reason == wire::leaving || reason == wire::backend_down ||
           reason == wire::unknown_service || reason == wire::claims_not_read;
}

/// True if the refusal is due to load; another backend server may have capacity.
inline bool is_overload(wire::refusal reason)
{
    return reason == wire::over_load_bound || reason == wire::over_ramp ||
           reason == wire::over_capacity || reason == wire::over_account_share;
}

} // namespace cyclamen
