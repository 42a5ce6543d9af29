#pragma once

#include "enum_names.h"

#include <wire.pb.h>

#include <array>
#include <string>

namespace cyclamen {

/// What a caller can know of its request.
enum class outcome {
    answered, // the whole answer was delivered
    not_run,  // a proof exists that it did not run
    unknown,  // it may have run
};

inline constexpr std::array outcome_names{
    enum_name<outcome>{outcome::answered, "answered"},
    enum_name<outcome>{outcome::not_run, "not_run"},
    enum_name<outcome>{outcome::unknown, "unknown"},
};

/// The word for `reason` in problem documents, logs and counters.
inline std::string refusal_name(wire::refusal reason)
{
    return wire::refusal_Name(reason);
}

/// The agent takes nothing for a while.
inline bool shuts_out(wire::refusal reason)
{
    return reason == wire::stopping || reason == wire::leaving || reason == wire::backend_down ||
           reason == wire::unknown_service || reason == wire::claims_not_read;
}

/// The engine is loaded; another one may have room.
inline bool is_load(wire::refusal reason)
{
    return reason == wire::over_load_bound || reason == wire::over_ramp ||
           reason == wire::over_capacity || reason == wire::over_account_share;
}

} // namespace cyclamen
