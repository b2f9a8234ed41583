#include "soak/daemon.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wharf::soak {

void Daemon::start() {
  ++life_;
  is_frozen_ = false;
  pid_ = fork();
  if (pid_ != 0) return;
  // A soak that is killed leaves no daemons behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(spec_.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv(spec_.options_variable.c_str(), spec_.options_file.c_str(), 1);
  execl(spec_.program.c_str(), spec_.program.c_str(), static_cast<char *>(nullptr));
  _exit(127);
}

void Daemon::signal(int number) {
  if (pid_ > 0) kill(pid_, number);
}

void Daemon::freeze() {
  signal(SIGSTOP);
  is_frozen_ = true;
}

void Daemon::thaw() {
  signal(SIGCONT);
  is_frozen_ = false;
}

std::optional<int> Daemon::reap() {
  int state = 0;
  if (pid_ <= 0 || waitpid(pid_, &state, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  is_frozen_ = false;
  return state;
}

void Daemon::end_now() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
  is_frozen_ = false;
}

UsageSample Daemon::usage(Instant now) const {
  UsageSample sample{spec_.name, life_, now, 0, 0, 0};
  const std::string folder = "/proc/" + std::to_string(pid_);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) sample.memory_kb = std::strtoull(line.c_str() + 6, nullptr, 10);
    if (line.starts_with("Threads:")) sample.threads = std::strtoull(line.c_str() + 8, nullptr, 10);
  }
  std::error_code error;
  for (auto item = std::filesystem::directory_iterator(folder + "/fd", error);
       !error && item != std::filesystem::directory_iterator(); item.increment(error))
    ++sample.descriptors;
  return sample;
}

} // namespace wharf::soak
