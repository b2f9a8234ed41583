#pragma once
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "capstan/duty.hpp"
#include "hawser/address.hpp"
#include "memory/memory_account.hpp"
#include "signals/signals.hpp"

namespace wharf {

struct HawserOptions {
  /// Links that others opened; beyond them the one that was silent longest is ended.
  std::size_t accepted_most = 4096;
  /// Frames that aren't whole yet are counted here; without an account nothing is.
  MemoryAccount *memory = nullptr;
};

/// Carries frames between our processes over TCP, one duty for all links. Frames that cannot go are
/// dropped and counted: every protocol above bears loss. When memory is short, the links go first that hold
/// most of a frame that isn't whole.
class Hawser {
public:
  using Sink = std::function<void(Envelope &&)>;
  /// Listens on `address` ("ip:port"); throws when it cannot.
  Hawser(std::string address, Sink sink, HawserOptions options = {});
  ~Hawser();
  /// Queues one frame for an address.
  void send(const std::string &address, std::string bytes);
  /// Frames dropped because a link was away or full.
  std::uint64_t dropped() const { return dropped_; }

private:
  struct Link {
    int descriptor = -1;
    std::string address, incoming, outgoing;
    bool is_ours = false, is_up = false;
    Instant retry_at = 0, heard_at = 0;
    MemoryCharge charge;
  };
  void run();
  void open_link(Link &link);
  void close_link(Link &link);
  bool read_link(Link &link);
  bool write_link(Link &link);
  void take_queued();
  void accept_links();
  void forget_closed();
  /// Ends links that hold most of an unfinished frame, until the account is within its bound.
  void keep_within_memory();

  std::string address_;
  Sink sink_;
  HawserOptions options_;
  SteadyTide tide_;
  int listener_ = -1, bell_ = -1;
  std::mutex mutex_;
  std::vector<std::pair<std::string, std::string>> queued_;
  std::map<std::string, Link> ours_;
  std::vector<std::unique_ptr<Link>> theirs_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::uint64_t> dropped_{0};
  std::unique_ptr<Duty> duty_;
};

} // namespace wharf
