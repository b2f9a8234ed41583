#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "anchorage/http.hpp"
#include "anchorage/loop.hpp"
#include "memory/memory_account.hpp"

namespace wharf {

struct HttpDoorOptions {
  HttpBounds bounds;
  /// How long a request may take to arrive, how long a link may rest between two, and how long a client may
  /// take none of the bytes that wait for it.
  Span head_within = seconds(3), body_within = seconds(8), idle = seconds(15), write_within = seconds(10);
  std::size_t links_most = 3000;
  int backlog = 511;
  /// What links hold is counted here; without an account nothing is.
  MemoryAccount *memory = nullptr;
};

/// A link at the door; never reused for another.
using LinkId = std::uint64_t;

/// Who serves what comes in at a door.
class HttpDoorSink {
public:
  virtual ~HttpDoorSink() = default;
  /// A whole request; it must be answered exactly once, now or later.
  virtual void asked(LinkId link, HttpMessage &&request) = 0;
  /// The client of a request that is not answered yet has gone, or has ended its half of the link. The
  /// request must be answered all the same; the answer goes nowhere where the link is gone.
  virtual void left(LinkId link) = 0;
};

/// An HTTP/1.1 server on a loop: a request is handed on once it is whole, one at a time on each link, and
/// only after the answer before it has been sent. When memory or links run out, those go first that hold most
/// for requests that aren't whole and for answers that nobody reads.
class HttpDoor final : public MemoryHolder {
public:
  HttpDoor(Loop &loop, const std::string &address, HttpDoorSink &sink, HttpDoorOptions options);
  ~HttpDoor() override;
  void set_options(const HttpDoorOptions &options) { options_ = options; }
  const HttpDoorOptions &options() const { return options_; }
  /// Answers the request under way on a link; nothing happens when the link is gone.
  void answer(LinkId link, HttpMessage response, bool keeps_link);
  /// Ends links that rest or are too slow.
  void tick(Instant now);
  /// Every answer from now on ends its link, and resting links are ended.
  void drain();
  /// Takes no more links.
  void close_listener() { listener_.reset(); }
  std::size_t links() const { return links_.size(); }
  std::size_t serving() const;
  const std::map<std::string, std::uint64_t> &counters() const { return counters_; }

  std::size_t largest_reclaimable() override;
  void reclaim_largest() override;

private:
  class Link;
  class Listener;
  void lose(Link &link);
  /// Takes in a connection that was accepted.
  void take(int descriptor);
  /// Ends the link that is worth least: one that rests, else one whose request takes longest to come, else
  /// one whose answer is read too slowly. False when there is none.
  bool close_one_for_room();
  /// Gives memory back after a link has come to hold more, until the account is within its bound again.
  void keep_within_memory(const Link &link);

  Loop &loop_;
  HttpDoorSink &sink_;
  HttpDoorOptions options_;
  SteadyTide tide_;
  std::map<LinkId, std::shared_ptr<Link>> links_;
  std::shared_ptr<Listener> listener_;
  LinkId next_ = 1;
  Instant tick_at_ = 0;
  bool is_draining_ = false;
  std::map<std::string, std::uint64_t> counters_;
};

} // namespace wharf
