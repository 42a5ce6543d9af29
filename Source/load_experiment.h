#pragma once

#include "pool_model.h"
#include "settings_schema.h"

#include <string>
#include <vector>

namespace cyclamen {

/// Schema of an experiment file; docs/SETTINGS.md is generated from it.
settings_schema experiment_schema();

/// Converts the settings of an experiment to pool options.  The request classes are those of
/// the users' assistants: long guides, chats and labels.
pool_options make_pool_options(const settings_values& values);

/// Placement policy under test, with or without copies of cached prompt prefixes.
struct placement_variant {
    std::string name;
    placement_policy policy = placement_policy::kept;
    bool copies_prompts = true;
};

/// The shipped default first, then the variants that it is compared with.
std::vector<placement_variant> placement_variants();

/// Result of one run.
struct experiment_row {
    std::string experiment;
    std::string placement;
    std::uint64_t seed = 0;
    pool_result result;
};

/// Runs each variant `seed_count` times, with the seeds `first_seed`, `first_seed + 1`, ...
std::vector<experiment_row> run_experiment(const std::string& name, const pool_options& pool,
                                           std::uint64_t first_seed, unsigned seed_count);

/// Formats rows as comma-separated values with a header line.
std::string to_csv(const std::vector<experiment_row>& rows);

/// Draws an SVG bar chart of the tokens prefilled again and copied, in thousands per run, with
/// one bar for each experiment and placement.
std::string to_svg(const std::vector<experiment_row>& rows);

} // namespace cyclamen
