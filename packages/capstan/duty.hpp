#pragma once
#include <functional>
#include <pthread.h>
#include <string>

namespace wharf {

/// One POSIX thread with one duty; joined when it goes out of scope.
class Duty {
public:
  Duty(const std::string &name, std::function<void()> work);
  ~Duty();
  Duty(const Duty &) = delete;
  Duty &operator=(const Duty &) = delete;
  /// Waits for the duty to end.
  void join();

private:
  std::function<void()> work_;
  pthread_t thread_{};
  bool is_joined_ = false;
};

} // namespace wharf
