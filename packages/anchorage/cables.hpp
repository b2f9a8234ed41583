#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anchorage/loop.hpp"
#include "memory/memory_account.hpp"
#include "signals/signals.hpp"

namespace wharf {

struct CableOptions {
  /// Sent bytes unacknowledged this long end a link.
  Span silent_most = seconds(2);
  Span dial_again = milliseconds(100);
  /// A dial that is not answered for so long is given up for a new one: the opening packet is lost where a
  /// machine is down, and the kernel sends it again only after a second, though the machine may be up by
  /// then.
  Span dial_within = milliseconds(250);
  /// After so many in a row each dial may take twice as long as the one before, up to `silent_most`: on a
  /// link that is full an answer may take longer than `dial_within`.
  std::uint32_t quick_dials = 4;
  /// Bytes that may wait for a link; beyond them frames are dropped.
  std::size_t waiting_most = 8u << 20;
  /// Links that others opened; beyond them the one that was silent longest is ended.
  std::size_t accepted_most = 4096;
  /// Frames that aren't whole yet are counted here; without an account nothing is.
  MemoryAccount *memory = nullptr;
};

/// Frames between our processes over TCP, on a loop. What cannot go is dropped and counted: every protocol
/// above bears loss. What is sent within one turn leaves together. When memory is short, the links go first
/// that hold most of a frame that isn't whole.
class Cables final : public MemoryHolder {
public:
  using Sink = std::function<void(Envelope &&)>;
  /// Listens on `address`; throws when it cannot.
  Cables(Loop &loop, const std::string &address, Sink sink, CableOptions options = {});
  ~Cables() override;
  /// Queues one frame for an address; it leaves at the next flush.
  void send(const std::string &address, std::string_view bytes);
  void flush();
  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t dials_given_up() const { return dials_given_up_; }
  std::size_t largest_reclaimable() override;
  void reclaim_largest() override;

private:
  class Cable;
  class Listener;
  void open(Cable &cable, Instant now);
  void lose(Cable &cable);
  void give_up_late_dial(Cable &cable, Instant now);
  void take(int descriptor);
  /// Ends the link, of those that others opened, that was silent longest.
  void end_most_silent();
  std::shared_ptr<Cable> largest_unfinished() const;

  Loop &loop_;
  Sink sink_;
  CableOptions options_;
  SteadyTide tide_;
  std::map<std::string, std::shared_ptr<Cable>> ours_;
  std::map<int, std::shared_ptr<Cable>> theirs_;
  std::vector<std::shared_ptr<Cable>> dirty_;
  std::shared_ptr<Listener> listener_;
  std::uint64_t dropped_ = 0, bytes_sent_ = 0, dials_given_up_ = 0;
};

} // namespace wharf
