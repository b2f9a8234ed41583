#pragma once
// One daemon of the deployment under test: started, signalled and watched as its own process.
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "soak/records.hpp"

namespace wharf::soak {

/// How to start a daemon: its program, its options file and where its output goes.
struct DaemonSpec {
  std::string name, program, options_variable, options_file, log_file;
};

class Daemon {
public:
  explicit Daemon(DaemonSpec spec) : spec_(std::move(spec)) {}
  const std::string &name() const { return spec_.name; }
  bool is_running() const { return pid_ > 0; }
  /// Its process, until its end has been seen; 0 while there is none.
  pid_t process() const { return pid_; }
  bool is_frozen() const { return is_frozen_; }
  /// How often it was started.
  int life() const { return life_; }
  void start();
  void signal(int number);
  void freeze();
  void thaw();
  /// Looks whether it has ended; its exit state once it has.
  std::optional<int> reap();
  /// Kills it, waits, and starts nothing.
  void end_now();
  /// Memory, descriptors and threads now, from /proc.
  UsageSample usage(Instant now) const;

private:
  DaemonSpec spec_;
  pid_t pid_ = 0;
  int life_ = 0;
  bool is_frozen_ = false;
};

} // namespace wharf::soak
