#pragma once
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "capstan/duty.hpp"
#include "memory/memory_account.hpp"
#include "moorings/arrival.hpp"
#include "tide/tide.hpp"

namespace wharf {

/// An HTTP server whose links are watched by one duty: a link takes a thread of the crew only while a whole
/// request of it is served, so idle links, slow senders and slow readers hold up nobody. Beyond its bounds a
/// request is answered 503 at once, with Retry-After and verdict not-run. When memory or links run out, those
/// go first that hold most for requests that aren't whole and for answers that nobody reads.
class Moorings final : public httplib::Server {
public:
  explicit Moorings(MooringOptions options);
  ~Moorings() override;

  /// Lets as many links wait for being taken as a crowd may bring; once the server is bound.
  void widen();
  /// Calls `gone` once if the caller of the request that this thread serves goes away before it is answered.
  static void on_caller_gone(std::function<void()> gone);
  /// Counts so many bytes more for the request that this thread serves, until its answer has been handed
  /// over; false, and nothing is counted, where they don't fit. True on threads that serve none.
  static bool hold_more(std::size_t bytes);
  std::map<std::string, std::uint64_t> counters() const;

private:
  struct Link;
  class Pipe;
  class Inline;
  using LinkPtr = std::shared_ptr<Link>;

  bool process_and_close_socket(socket_t descriptor) override;
  void watch();
  void work();
  void take_bytes(const LinkPtr &link, Instant now);
  void hand_over(const LinkPtr &link, Instant now);
  void turn_away(const LinkPtr &link, int status, std::string_view why, Instant now);
  void tend(const LinkPtr &link, Instant now);
  void close_link(const LinkPtr &link);
  /// Sends what waits on a link whose request has been served; false when it is lost.
  bool write_out(Link &link, Instant now);
  /// The link is idle again, or over.
  void park(const LinkPtr &link, Instant now);
  void count_memory(Link &link);
  /// What a link would give back, were it ended or refused now.
  std::size_t reclaimable(const Link &link, Instant now) const;
  bool reclaim_largest(Instant now);
  bool make_room_for(std::size_t bytes, Instant now);
  bool close_one_for_room(Instant now);
  bool serve_one(Link &link);
  /// A thread is done with a link.
  void finish(const LinkPtr &link, bool may_stay);
  void drain();
  void wake();

  MooringOptions options_;
  SteadyTide tide_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::map<int, LinkPtr> links_;
  std::deque<LinkPtr> jobs_;
  std::size_t busy_ = 0, bytes_ = 0;
  std::atomic<bool> is_draining_{false}, is_over_{false};
  Instant drain_until_ = 0;
  std::map<std::string, std::uint64_t> counters_;
  int wake_[2] = {-1, -1};
  std::vector<std::unique_ptr<Duty>> crew_;
  std::unique_ptr<Duty> watch_;
};

} // namespace wharf
