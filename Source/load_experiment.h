#pragma once

#include "pool_model.h"
#include "settings_schema.h"

#include <string>
#include <vector>

namespace cyclamen {

/// The settings that an experiment file holds; docs/SETTINGS.md is made from it.
settings_schema experiment_schema();

/// The pool that an experiment describes.  The kinds of request are those of the users'
/// assistants: long guides, chats and labels.
pool_options experiment_pool(const settings_values& values);

/// One way of placing requests that is measured.
struct placement_variant {
    std::string name;
    placement_policy policy = placement_policy::kept;
    bool copies_prompts = true;
};

/// What is shipped first, then what it is measured against.
std::vector<placement_variant> placement_variants();

/// One line of an experiment's result.
struct experiment_row {
    std::string experiment;
    std::string placement;
    std::uint64_t seed = 0;
    pool_result result;
};

/// Runs each variant with each of the seeds `first_seed`, `first_seed + 1`, ...
std::vector<experiment_row> run_experiment(const std::string& name, const pool_options& pool,
                                           std::uint64_t first_seed, unsigned seeds);

/// Comma-separated values with a line of names.
std::string csv_of(const std::vector<experiment_row>& rows);

/// Bars of thousand tokens read again and copied, for each experiment and placement, as SVG.
std::string plot_of(const std::vector<experiment_row>& rows);

} // namespace cyclamen
