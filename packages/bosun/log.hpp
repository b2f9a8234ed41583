#pragma once
#include <string>
#include <string_view>

namespace wharf {

/// Sets up the log on standard error.
void start_log(std::string_view program, std::string_view level);
/// One line for a change of state.
void log_line(std::string_view text);
/// One line for something an operator should look at.
void log_warning(std::string_view text);

} // namespace wharf
