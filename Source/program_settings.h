#pragma once

#include "settings_schema.h"

#include <map>
#include <string>

namespace cyclamen {

/// Settings of an entry; docs/SETTINGS.md is generated from the schemas.
settings_schema entry_schema();
/// Settings of an agent.
settings_schema agent_schema();

/// Credentials in the `[operators]` section: operator name to SHA-256 of the key, in hex.
std::map<std::string, std::string> operator_credentials(const settings_values& values);

} // namespace cyclamen
