#pragma once

#include "settings_schema.h"

namespace cyclamen {

class kernel;

/// Runs an entry with validated settings until it is stopped; returns the exit status.
int serve_entry(const settings_values& values);

/// Runs an agent with validated settings until it is stopped; returns the exit status.
int serve_agent(const settings_values& values);

} // namespace cyclamen
