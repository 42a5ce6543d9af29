#pragma once

#include <chrono>

namespace cyclamen {

using namespace std::chrono_literals;

/// Unit of all durations and of all times on the monotonic clock, whose origin is arbitrary.
using millis = std::chrono::milliseconds;

} // namespace cyclamen
