#pragma once
#include <string>

namespace wharf::soak {

/// Gives a file another text in one step: who reads it meanwhile gets the old or the new one whole.
void replace_file(const std::string &path, const std::string &text);

} // namespace wharf::soak
