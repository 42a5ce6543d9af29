#pragma once

#include <string>
#include <vector>

namespace cyclamen {

/// An error in an input file, with its location and how to fix it.
struct finding {
    std::string file;
    int line = 0; // 0 if the error has no line, for example a missing key
    std::string subject;
    std::string message;
    std::string remedy;
};

/// Formats findings as `file:line: subject: message; remedy`, one per line.
std::string format_findings(const std::vector<finding>& findings);

} // namespace cyclamen
