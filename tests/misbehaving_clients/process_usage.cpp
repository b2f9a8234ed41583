#include "misbehaving_clients/process_usage.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace wharf {

namespace {
std::string status_line(pid_t process, const std::string &name) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name)) return line.substr(name.size());
  return {};
}
} // namespace

std::size_t peak_memory_kb(pid_t process) {
  return std::strtoull(status_line(process, "VmHWM:").c_str(), nullptr, 10);
}

std::size_t open_descriptors(pid_t process) {
  std::size_t count = 0;
  std::error_code error;
  const std::string folder = "/proc/" + std::to_string(process) + "/fd";
  for (auto item = std::filesystem::directory_iterator(folder, error);
       !error && item != std::filesystem::directory_iterator(); item.increment(error))
    ++count;
  return count;
}

bool is_process_running(pid_t process) {
  const std::string state = status_line(process, "State:");
  return !state.empty() && state.find('Z') == std::string::npos;
}

} // namespace wharf
