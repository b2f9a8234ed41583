#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "tide/tide.hpp"

namespace wharf {

/// Something with a descriptor that a loop watches.
class Watched {
public:
  virtual ~Watched() = default;
  /// The descriptor is ready for these epoll events.
  virtual void ready(std::uint32_t events) = 0;
};

/// One duty's event loop over descriptors. Everything but `post` belongs to the thread that turns it.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  void add(int descriptor, std::uint32_t events, Watched &watched);
  void change(int descriptor, std::uint32_t events, Watched &watched);
  void remove(int descriptor);
  /// Keeps something alive until this turn ends, as events for it may still be in hand.
  void bury(std::shared_ptr<Watched> watched) { graves_.push_back(std::move(watched)); }
  /// Waits at most `patience` and serves whatever is ready.
  void turn(Span patience);
  /// Hands work to the loop's thread; safe from any thread.
  void post(std::function<void()> work);

private:
  int poll_ = -1, bell_ = -1;
  std::vector<std::shared_ptr<Watched>> graves_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
};

/// A non-blocking TCP socket that connects to "ip:port"; negative when it cannot. `user_timeout` bounds how
/// long sent bytes may stay unacknowledged.
int open_call(const std::string &address, Span user_timeout);
/// A non-blocking listener at "ip:port"; throws when it cannot be had.
int open_listener(const std::string &address, int backlog);

} // namespace wharf
