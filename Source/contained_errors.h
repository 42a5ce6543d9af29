#pragma once

#include <exception>
#include <string_view>

namespace cyclamen {

/// Logs event 1005 for an error whose exception was caught.
void report_contained_error(std::string_view where, std::string_view what);

/// Runs `action`, and returns false if it threw an exception.  To be used in the callbacks of C
/// libraries, which exceptions must not pass: an unexpected error in one request, message or timer
/// is logged and ends neither the event loop nor the process.
template <typename Action>
bool contain_errors(std::string_view where, const Action& action)
{
    try {
        action();
        return true;
    }
    catch (const std::exception& error) {
        report_contained_error(where, error.what());
    }
    catch (...) {
        report_contained_error(where, "an exception of unknown type");
    }
    return false;
}

} // namespace cyclamen
