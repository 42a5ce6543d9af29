#include "program_settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace cyclamen;

namespace {

std::string read_file(const std::string& name)
{
    const std::ifstream input(std::string(CYCLAMEN_TEST_FOLDER) + "/Settings/" + name);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::string findings_of(const settings_schema& schema, const std::string& name)
{
    std::vector<finding> findings;
    const settings_file file = settings_file::parse(read_file(name), name, findings);
    schema.check(file, findings);
    return format_findings(findings);
}

} // namespace

TEST(settings, five_faults_are_reported_together_with_their_lines)
{
    EXPECT_EQ(findings_of(entry_schema(), "five_faults.ini"), read_file("five_faults.expected"));
}

TEST(settings, missing_keys_are_named)
{
    std::vector<finding> findings;
    const settings_file file = settings_file::parse("", "empty.ini", findings);
    agent_schema().check(file, findings);
    const std::string text = format_findings(findings);
    EXPECT_NE(text.find("[backend] address: is missing"), std::string::npos);
    EXPECT_NE(text.find("[process] instance: is missing"), std::string::npos);
}

TEST(settings, a_contradiction_between_keys_is_found)
{
    std::vector<finding> findings;
    const std::string text = read_file("good_entry.ini") + "[links]\nheartbeat_ms = 1000\n";
    const settings_file file = settings_file::parse(text, "entry.ini", findings);
    entry_schema().check(file, findings);
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].message, "is more than half of silence_ms");
}

TEST(settings, a_line_that_is_no_setting_is_reported_with_its_number)
{
    std::vector<finding> findings;
    settings_file::parse("[process]\ninstance = a\nnonsense\n", "x.ini", findings);
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].line, 3);
}

TEST(settings, good_files_pass)
{
    EXPECT_EQ(findings_of(entry_schema(), "good_entry.ini"), "");
}

TEST(settings, the_manual_page_lists_the_keys_of_both_programs)
{
    const std::ifstream input(std::string(CYCLAMEN_TEST_FOLDER) + "/../docs/SETTINGS.md");
    std::ostringstream page;
    page << input.rdbuf();
    EXPECT_NE(page.str().find(entry_schema().markdown_table()), std::string::npos)
        << "docs/SETTINGS.md is out of date: run Utilities/update-manual.sh";
    EXPECT_NE(page.str().find(agent_schema().markdown_table()), std::string::npos)
        << "docs/SETTINGS.md is out of date: run Utilities/update-manual.sh";
}
