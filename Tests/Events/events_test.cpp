#include "event_log.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace cyclamen;

TEST(events, the_catalogue_in_the_docs_agrees_with_the_code)
{
    std::ifstream page(std::string(CYCLAMEN_TEST_FOLDER) + "/../docs/EVENTS.md");
    std::set<std::string> documented;
    for (std::string line; std::getline(page, line);) {
        std::istringstream cells(line);
        std::string bar;
        std::string number;
        std::string name;
        std::string level;
        cells >> bar >> number >> bar >> name >> bar >> level;
        if (!number.empty() && std::isdigit(static_cast<unsigned char>(number[0])) != 0) {
            documented.insert(fmt::format("{} {} {}", number, name, level));
        }
    }
    std::set<std::string> coded;
    for (const event_description& description : event_catalogue()) {
        coded.insert(fmt::format("{} {} {}", static_cast<int>(description.id), description.name,
                                 name_of(severity_names, description.level)));
    }
    EXPECT_EQ(documented, coded);
}
