#include "load_experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace cyclamen {

namespace {

std::vector<std::string> pattern_names()
{
    std::vector<std::string> names;
    names.reserve(load_pattern_names.size());
    for (const auto& row : load_pattern_names) {
        names.emplace_back(row.name);
    }
    return names;
}

// Request classes of a language model service, from the users' data sheets.
std::vector<load_class> assistant_classes(double per_second)
{
    constexpr double guides = 18.3;
    constexpr double chats = 23.7;
    constexpr double labels = 25.7;
    const double unit = per_second / (guides + chats + labels);
    return {{.name = "guide",
             .per_second = guides * unit,
             .subjects = 41,
             .class_prefix_tokens = 3000,
             .subject_prefix_tokens = 7512,
             .unique_tokens = 1300,
             .output_tokens = 384,
             .target_ms = 800},
            {.name = "chat",
             .per_second = chats * unit,
             .subjects = 80,
             .class_prefix_tokens = 200,
             .subject_prefix_tokens = 499,
             .unique_tokens = 130,
             .output_tokens = 294,
             .target_ms = 500},
            {.name = "label",
             .per_second = labels * unit,
             .subjects = 87,
             .class_prefix_tokens = 600,
             .subject_prefix_tokens = 1441,
             .unique_tokens = 360,
             .output_tokens = 24,
             .target_ms = 500}};
}

} // namespace

settings_schema experiment_schema()
{
    constexpr std::int64_t max_count = 20000;
    constexpr std::int64_t max_seconds = 3600;
    constexpr std::int64_t max_percent = 1000;
    return settings_schema(
        {integer_setting("pool", "entries", 5, 1, 1000,
                         "number of entries, each with its own view of the pool"),
         integer_setting("pool", "engines", 12, 1, max_count, "number of engines"),
         integer_setting("pool", "zones", 3, 1, 100, "number of availability zones"),
         integer_setting("load", "requests_per_second", 40, 1, max_count,
                         "total request rate of all request classes"),
         integer_setting("load", "seconds", 40, 1, max_seconds, "duration of a run, s"),
         integer_setting("load", "first_seed", 1, 1, INT64_MAX, "random seed of the first run"),
         integer_setting("load", "seeds", 3, 1, 1000, "number of runs; each uses the next seed"),
         {.section = "pattern",
          .key = "kind",
          .type = setting_type::choice,
          .default_value = "calm",
          .choices = pattern_names(),
          .description = "what happens to the pool or its load"},
         integer_setting("pattern", "from_s", 10, 0, max_seconds, "start of the pattern, s"),
         integer_setting("pattern", "for_s", 10, 0, max_seconds, "duration of the pattern, s"),
         integer_setting("pattern", "share_percent", 25, 0, 100,
                         "share of the engines, or of the requests, that it affects"),
         integer_setting("pattern", "strength_percent", 200, 0, max_percent,
                         "load, or step time, relative to normal; for `grey`, a tenth of it is the "
                         "failure rate")});
}

pool_options make_pool_options(const settings_values& values)
{
    constexpr double percent = 100;
    pool_options pool;
    pool.entries = static_cast<unsigned>(values.integer("pool", "entries"));
    pool.engines = static_cast<unsigned>(values.integer("pool", "engines"));
    pool.zones = static_cast<unsigned>(values.integer("pool", "zones"));
    pool.seconds = static_cast<double>(values.integer("load", "seconds"));
    pool.classes =
        assistant_classes(static_cast<double>(values.integer("load", "requests_per_second")));
    pool.pattern = *value_of(load_pattern_names, values.text("pattern", "kind"));
    pool.pattern_start_s = static_cast<double>(values.integer("pattern", "from_s"));
    pool.pattern_duration_s = static_cast<double>(values.integer("pattern", "for_s"));
    pool.pattern_share = static_cast<double>(values.integer("pattern", "share_percent")) / percent;
    pool.pattern_strength =
        static_cast<double>(values.integer("pattern", "strength_percent")) / percent;
    return pool;
}

std::vector<placement_variant> placement_variants()
{
    std::vector<placement_variant> variants;
    for (const auto& row : placement_policy_names) {
        const bool is_default = row.value == placement_policy::kept;
        if (is_default) {
            variants.push_back({.name = "shipped", .policy = row.value, .copies_prompts = true});
        }
        variants.push_back(
            {.name = std::string(row.name), .policy = row.value, .copies_prompts = false});
    }
    return variants;
}

std::vector<experiment_row> run_experiment(const std::string& name, const pool_options& pool,
                                           std::uint64_t first_seed, unsigned seed_count)
{
    std::vector<experiment_row> rows;
    for (const placement_variant& variant : placement_variants()) {
        for (unsigned count = 0; count < seed_count; ++count) {
            pool_options options = pool;
            options.seed = first_seed + count;
            options.chooser.policy = variant.policy;
            options.chooser.copies_prompts = variant.copies_prompts;
            rows.push_back({.experiment = name,
                            .placement = variant.name,
                            .seed = options.seed,
                            .result = pool_model(std::move(options)).run()});
        }
    }
    return rows;
}

std::string to_csv(const std::vector<experiment_row>& rows)
{
    std::string text = "experiment,placement,seed,requests,in_target,late,lost,refused,"
                       "first_token_p50_ms,first_token_p99_ms,read_again_ktokens,copied_ktokens,"
                       "skew,over_bound\n";
    for (const experiment_row& row : rows) {
        const pool_result& result = row.result;
        text += fmt::format(
            "{},{},{},{},{},{},{},{},{:.1f},{:.1f},{:.1f},{:.1f},{:.2f},{}\n", row.experiment,
            row.placement, row.seed, result.requests, result.in_target, result.late, result.lost,
            result.refused, result.first_token_p50_ms, result.first_token_p99_ms,
            result.read_again_ktokens, result.copied_ktokens, result.skew, result.over_bound);
    }
    return text;
}

std::string to_svg(const std::vector<experiment_row>& rows)
{
    struct bar {
        double read_again = 0;
        double copied = 0;
        unsigned runs = 0;
    };
    std::vector<std::string> order;
    std::map<std::string, bar> bars;
    for (const experiment_row& row : rows) {
        const std::string label = row.experiment + " " + row.placement;
        if (!bars.contains(label)) {
            order.push_back(label);
        }
        bar& sum = bars[label];
        sum.read_again += row.result.read_again_ktokens;
        sum.copied += row.result.copied_ktokens;
        ++sum.runs;
    }
    double max_total = 1;
    for (const auto& [label, sum] : bars) {
        max_total = std::max(max_total, (sum.read_again + sum.copied) / sum.runs);
    }
    constexpr int line_height = 18; // sizes of the drawing, in pixels
    constexpr int label_width = 220;
    constexpr int bar_width = 500;
    constexpr int value_width = 160;
    std::string text = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
        "font-family=\"sans-serif\" font-size=\"12\">\n",
        label_width + bar_width + value_width, line_height * (static_cast<int>(order.size()) + 1));
    int top = 0;
    for (const std::string& label : order) {
        const bar& sum = bars[label];
        const double scale = bar_width / max_total / sum.runs;
        const double read = sum.read_again * scale;
        const double copied = sum.copied * scale;
        text += fmt::format("<text x=\"0\" y=\"{}\">{}</text>\n", top + line_height - 5, label);
        text += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" "
                            "fill=\"#b5485d\"/>\n",
                            label_width, top + 2, read, line_height - 4);
        text += fmt::format("<rect x=\"{:.1f}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" "
                            "fill=\"#6a9a8b\"/>\n",
                            label_width + read, top + 2, copied, line_height - 4);
        text += fmt::format("<text x=\"{:.1f}\" y=\"{}\">{:.0f} + {:.0f}</text>\n",
                            label_width + read + copied + 4, top + line_height - 5,
                            sum.read_again / sum.runs, sum.copied / sum.runs);
        top += line_height;
    }
    text += fmt::format("<text x=\"0\" y=\"{}\">thousand tokens read again + copied, mean of the "
                        "runs</text>\n</svg>\n",
                        top + line_height - 5);
    return text;
}

} // namespace cyclamen
