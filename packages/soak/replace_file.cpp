#include "soak/replace_file.hpp"

#include <filesystem>
#include <fstream>

namespace wharf::soak {

void replace_file(const std::string &path, const std::string &text) {
  const std::string next = path + ".next";
  std::ofstream(next, std::ios::trunc) << text;
  std::filesystem::rename(next, path);
}

} // namespace wharf::soak
