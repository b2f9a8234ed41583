#pragma once
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "capstan/duty.hpp"
#include "hawser/hawser.hpp"

namespace wharf {

/// A relay that stands between our processes in trials: each listens elsewhere than others call it, and
/// what goes from one to another can be held back or delayed. Bytes are never changed or lost, only late.
class FaultProxy {
public:
  FaultProxy();
  ~FaultProxy();
  /// A place others call; what comes there goes to `listens`.
  std::string open(const std::string &listens);
  /// Holds back all that goes from one place to another.
  void set_cut(const std::string &from, const std::string &to, bool is_cut);
  /// Delays everything by this much and, at random, up to as much again.
  void set_delay(Span delay) { delay_ = delay; }
  /// Resets all connections to and from a place; what is under way on them is lost.
  void reset(const std::string &place);
  void heal();
  std::uint64_t bytes_held() const { return held_; }

private:
  struct Chunk {
    Instant due = 0;
    std::string bytes;
  };
  struct Connection {
    int in = -1, out = -1;
    std::string from, to, head;
    std::deque<Chunk> chunks;
    std::size_t waiting = 0;
    bool is_over = false, is_reset = false;
  };
  struct Entrance {
    int listener = -1;
    std::string place, listens;
  };
  void run();
  void take(const Entrance &entrance);
  void read_in(Connection &connection, Instant now);
  void write_out(Connection &connection, Instant now);

  std::mutex mutex_;
  std::vector<Entrance> entrances_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::atomic<Span> delay_{0};
  std::atomic<std::uint64_t> held_{0};
  std::atomic<bool> is_stopping_{false};
  SteadyTide tide_;
  Dice dice_{17};
  std::unique_ptr<Duty> duty_;
};

} // namespace wharf
