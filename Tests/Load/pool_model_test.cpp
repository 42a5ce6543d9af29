// Tests the production choice of backend servers on a simulated pool, under the load patterns
// of `load_pattern`.

#include "load_experiment.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

pool_options pool_with_pattern(load_pattern pattern)
{
    std::vector<finding> findings;
    const settings_file file = settings_file::parse("", "none", findings);
    pool_options pool = make_pool_options(experiment_schema().check(file, findings));
    pool.pattern = pattern;
    pool.seconds = 30;
    pool.pattern_start_s = 8;
    return pool;
}

pool_result run_with(pool_options pool, placement_policy policy, bool copies)
{
    pool.chooser.policy = policy;
    pool.chooser.copies_prompts = copies;
    return pool_model(std::move(pool)).run();
}

pool_result run_default(const pool_options& pool)
{
    return run_with(pool, placement_policy::kept, true);
}

double in_target_share(const pool_result& result)
{
    return static_cast<double>(result.in_target) / result.requests;
}

} // namespace

TEST(engine_model, reads_a_prompt_once_and_makes_a_token_a_step)
{
    std::vector<std::pair<std::uint64_t, double>> first;
    std::vector<std::pair<std::uint64_t, double>> ends;
    unsigned prefilled_tokens = 0;
    engine_model engine(
        {}, {.on_first_token = [&](std::uint64_t id, double at) { first.emplace_back(id, at); },
             .on_end = [&](std::uint64_t id, double at) { ends.emplace_back(id, at); },
             .on_prefilled = [&](const prefix_segment& segment,
                                 double /*at*/) { prefilled_tokens += segment.tokens; },
             .on_copied = [](unsigned /*tokens*/) {}});
    const simulated_request request{.id = 1,
                                    .prefix_segments = {{.hash = 7, .tokens = 6620}},
                                    .unique_tokens = 662,
                                    .output_tokens = 10};
    engine.start(request, nullptr, 0);
    engine.advance(1000);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_NEAR(first[0].second, 110 + 2 * 3.9, 1); // 7,282 tokens are prefilled in two steps
    EXPECT_NEAR(ends.at(0).second - first[0].second, 9 * 3.9, 1);
    EXPECT_EQ(prefilled_tokens, 6620U);
    simulated_request repeated_request = request;
    repeated_request.id = 2;
    engine.start(repeated_request, nullptr, 1000);
    engine.advance(2000);
    EXPECT_EQ(prefilled_tokens, 6620U);
    EXPECT_NEAR(first.at(1).second - 1000, 10 + 3.9, 1);
}

TEST(engine_model, copies_a_part_that_another_engine_keeps)
{
    unsigned prefilled_tokens = 0;
    unsigned copied = 0;
    const engine_model::hooks hooks{
        .on_first_token = [](std::uint64_t /*id*/, double /*at*/) {},
        .on_end = [](std::uint64_t /*id*/, double /*at*/) {},
        .on_prefilled = [&](const prefix_segment& segment,
                            double /*at*/) { prefilled_tokens += segment.tokens; },
        .on_copied = [&](unsigned tokens) { copied += tokens; }};
    engine_model first({}, hooks);
    engine_model second({}, hooks);
    const simulated_request request{.id = 1, .prefix_segments = {{.hash = 7, .tokens = 1000}}};
    first.start(request, nullptr, 0);
    first.advance(500);
    second.start(request, &first, 500);
    second.advance(1000);
    EXPECT_EQ(prefilled_tokens, 1000U);
    EXPECT_EQ(copied, 1000U);
    EXPECT_TRUE(second.has_cached(7));
    EXPECT_EQ(second.crash().size(), 0U);
    EXPECT_FALSE(second.has_cached(7));
}

TEST(pool_model, is_the_same_with_the_same_seed)
{
    const pool_options pool = pool_with_pattern(load_pattern::crash);
    const pool_result first = run_default(pool);
    const pool_result second = run_default(pool);
    EXPECT_EQ(first.requests, second.requests);
    EXPECT_EQ(first.in_target, second.in_target);
    EXPECT_EQ(first.read_again_ktokens, second.read_again_ktokens);
}

TEST(pool_model, every_request_ends_in_one_way)
{
    for (const auto& row : load_pattern_names) {
        const pool_result result = run_default(pool_with_pattern(row.value));
        EXPECT_LE(result.in_target + result.late + result.lost + result.refused, result.requests)
            << row.name;
        EXPECT_GE(in_target_share(result), 0.7) << row.name;
    }
}

// Pattern hot_key: guards against repeated prefills of one popular prompt.
TEST(pool_model, a_hot_prompt_is_not_read_again_and_again)
{
    const pool_options pool = pool_with_pattern(load_pattern::hot_key);
    const pool_result result = run_default(pool);
    const pool_result random = run_with(pool, placement_policy::random, false);
    EXPECT_LT(result.read_again_ktokens * 5, random.read_again_ktokens);
    EXPECT_GE(in_target_share(result), 0.97);
}

// Patterns release and scale_out: engines join and leave the pool.
TEST(pool_model, prompts_of_engines_that_leave_are_copied)
{
    const pool_options pool = pool_with_pattern(load_pattern::release);
    const pool_result result = run_default(pool);
    const pool_result without = run_with(pool, placement_policy::kept, false);
    EXPECT_GT(result.copied_ktokens, 0);
    EXPECT_LT(result.read_again_ktokens, without.read_again_ktokens);
}

TEST(pool_model, engines_that_join_draw_no_prompts_away)
{
    const pool_options pool = pool_with_pattern(load_pattern::scale_out);
    const pool_result kept = run_with(pool, placement_policy::kept, false);
    const pool_result home = run_with(pool, placement_policy::home, false);
    EXPECT_LT(kept.read_again_ktokens, home.read_again_ktokens);
}

// Pattern grey: when a few engines fail half of their requests, only a small share of all
// requests may fail.
TEST(pool_model, few_requests_meet_engines_that_fail)
{
    pool_options pool = pool_with_pattern(load_pattern::grey);
    pool.pattern_strength = 5;
    const pool_result result = run_default(pool);
    EXPECT_LE(result.lost, result.requests / 25);
}

// Pattern burst: entries that each see only a part of the load must together keep the load
// bound.
TEST(pool_model, entries_with_partial_views_keep_the_load_multiple)
{
    for (const unsigned entries : {5U, 25U}) {
        pool_options pool = pool_with_pattern(load_pattern::burst);
        pool.entries = entries;
        const pool_result result = run_default(pool);
        EXPECT_LE(result.over_bound, result.requests * 3 / 100) << entries;
    }
}

TEST(load_experiment, reports_all_faults_of_a_file_together)
{
    std::vector<finding> findings;
    const settings_file file = settings_file::parse(
        "[pool]\nengines = many\n[pattern]\nkind = storm\n", "x.ini", findings);
    experiment_schema().check(file, findings);
    ASSERT_EQ(findings.size(), 2U);
    EXPECT_EQ(findings[0].line, 2);
    EXPECT_EQ(findings[1].line, 4);
}

TEST(load_experiment, writes_a_line_for_each_placement_and_seed)
{
    pool_options pool = pool_with_pattern(load_pattern::calm);
    pool.seconds = 1;
    const auto rows = run_experiment("calm", pool, 3, 2);
    EXPECT_EQ(rows.size(), placement_variants().size() * 2);
    const std::string text = to_csv(rows);
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'),
              static_cast<std::ptrdiff_t>(rows.size()) + 1);
    EXPECT_NE(to_svg(rows).find("calm shipped"), std::string::npos);
}
