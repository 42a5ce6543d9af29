#include "finding.h"

#include <fmt/format.h>

namespace cyclamen {

std::string format_findings(const std::vector<finding>& findings)
{
    std::string text;
    for (const finding& item : findings) {
        const std::string location =
            item.line > 0 ? fmt::format("{}:{}", item.file, item.line) : item.file;
        text += fmt::format("{}: {}: {}; {}\n", location, item.subject, item.message, item.remedy);
    }
    return text;
}

} // namespace cyclamen
