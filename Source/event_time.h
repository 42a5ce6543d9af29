#pragma once

#include "time_types.h"

#include <sys/time.h>

namespace cyclamen {

/// Converts an interval to the type that libevent expects.
inline timeval to_timeval(millis interval)
{
    return {.tv_sec = interval.count() / 1000, .tv_usec = (interval.count() % 1000) * 1000};
}

} // namespace cyclamen
