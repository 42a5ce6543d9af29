#include "command_parser.h"
#include "finding.h"
#include "result_table.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace cyclamen;

namespace {

std::string folder()
{
    return CYCLAMEN_TEST_FOLDER;
}

std::string read_file(const std::string& path)
{
    const std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

} // namespace

TEST(language, every_example_of_the_manual_is_understood)
{
    constexpr std::string_view prompt = "    cyclamen> ";
    std::ifstream page(folder() + "/../docs/LANGUAGE.md");
    unsigned examples = 0;
    for (std::string line; std::getline(page, line);) {
        if (!line.starts_with(prompt)) {
            continue;
        }
        const std::string command = line.substr(prompt.size());
        command_parser parser(command);
        EXPECT_TRUE(parser.parse()) << parser.last_error().text(command);
        ++examples;
    }
    EXPECT_GE(examples, 19U);
}

TEST(language, faults_point_at_the_place_and_name_what_was_expected)
{
    std::ifstream commands(folder() + "/Language/faults.commands");
    std::string reports;
    for (std::string line; std::getline(commands, line);) {
        command_parser parser(line);
        EXPECT_FALSE(parser.parse()) << line;
        reports += parser.last_error().text(line);
    }
    EXPECT_EQ(reports, read_file(folder() + "/Language/faults.expected"));
}

TEST(language, a_configuration_file_with_faults_reports_all_of_them)
{
    std::vector<finding> findings;
    parse_configuration_file(read_file(folder() + "/Language/bad_configuration.ini"),
                             "bad_configuration.ini", findings);
    EXPECT_EQ(format_findings(findings),
              read_file(folder() + "/Language/bad_configuration.expected"));
}

TEST(language, tables_are_filtered_sorted_and_cut)
{
    result_table table({"name", "in_flight"});
    table.add({std::string("a"), std::int64_t{1}});
    table.add({std::string("b"), std::int64_t{12}});
    table.add({std::string("c"), std::int64_t{5}});
    const std::string text = "show backend servers where in_flight > 1 sort by in_flight limit 1";
    command_parser parser(text);
    const auto query = std::get<show_query>(*parser.parse());
    std::string reason;
    ASSERT_TRUE(table.apply(query, reason));
    EXPECT_EQ(table.text(), "name  in_flight\nc     5\n");
    show_query wrong = query;
    wrong.sort_column = "colour";
    EXPECT_FALSE(table.apply(wrong, reason));
    EXPECT_EQ(reason, "unknown column `colour`; the columns are name, in_flight");
}
