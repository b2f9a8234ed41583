#pragma once
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <functional>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "capstan/duty.hpp"

namespace wharf {

/// A bounded set of POSIX threads for one HTTP server; a full set holds back accepting.
class DoorCrew final : public httplib::TaskQueue {
public:
  DoorCrew(std::size_t threads, std::size_t backlog);
  ~DoorCrew() override = default;
  void enqueue(std::function<void()> job) override;
  void shutdown() override;

private:
  void work();
  std::mutex mutex_;
  std::condition_variable ready_, room_;
  std::deque<std::function<void()>> jobs_;
  std::size_t backlog_;
  bool is_closing_ = false;
  std::vector<std::unique_ptr<Duty>> crew_;
};

/// What a server does with whole, well-framed requests.
using DoorHandler =
    std::function<void(const httplib::Request &, const httplib::Headers &original, httplib::Response &)>;

/// Sets a server up so that nothing of a request is interpreted, decoded or compressed on the way: the
/// handler gets raw target and body and the headers as they came. Ambiguous framing is refused.
void set_up_door(httplib::Server &server, std::size_t threads, std::size_t body_most, DoorHandler handler);
/// The same for a server that has its own threads.
void set_up_door(httplib::Server &server, std::size_t body_most, DoorHandler handler);

/// One answer waited for by a thread at the door.
template <typename Item> class Waiter {
public:
  void give(Item item) {
    {
      std::lock_guard guard(mutex_);
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
  }
  /// The next item; false when `patience_ms` ran out.
  bool take(Item &item, long patience_ms) {
    std::unique_lock guard(mutex_);
    if (!ready_.wait_for(guard, std::chrono::milliseconds(patience_ms), [this] { return !items_.empty(); }))
      return false;
    item = std::move(items_.front());
    items_.pop_front();
    return true;
  }

private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<Item> items_;
};

/// Sets SIGTERM and SIGINT to count; the count so far.
void catch_stops();
int stops_caught();

/// 32 random hexadecimal letters.
std::string random_id();

} // namespace wharf
