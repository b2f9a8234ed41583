#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anchorage/http.hpp"
#include "anchorage/loop.hpp"
#include "anchorage/outgoing_bytes.hpp"
#include "memory/memory_account.hpp"

namespace wharf {

struct HttpCallOptions {
  Span connect_within = milliseconds(400);
  /// Sent bytes unacknowledged this long end a call.
  Span silent_most = seconds(1);
  /// How long a link may rest when its peer names no time, and the most of what it names.
  Span rest_unnamed = milliseconds(400), rest_most = seconds(10);
  /// Links at rest kept for one peer.
  std::size_t resting_most = 8;
  std::size_t body_most = 16u << 20;
  /// Links to all peers together; beyond them those at rest are ended first.
  std::size_t links_most = 4096;
  /// What calls and their answers hold is counted here; without an account nothing is.
  MemoryAccount *memory = nullptr;
};

/// How a call ended: `unreached` sent nothing; `lost` may have been read; `garbled` got no proper answer.
enum class CallFate : std::uint8_t { answered, unreached, lost, garbled, late };

struct CallAnswer {
  CallFate fate = CallFate::lost;
  HttpMessage response;
  bool was_reused = false;
};

/// One call to a peer.
struct HttpCall {
  std::string address;
  /// Links are shared only among calls of the same peer.
  std::string peer;
  HttpMessage request;
  Instant deadline = 0;
  /// How long a link may have rested to be taken for this call; 0 for a fresh one.
  Span rested_most = seconds(60);
  /// Names the call, so that it can be cancelled; calls without a name cannot.
  std::string name{};
  /// True for the answer to this very request; others on the link are passed over. `is_first` tells that
  /// nothing else was ever asked or answered on the link, so that what comes cannot belong to an earlier
  /// request.
  std::function<bool(const HttpMessage &, bool is_first)> is_mine;
  /// Asked before bytes are sent, at the latest moment; once it says no, the call ends, as `unreached` where
  /// none were sent. Calls without it are always sent.
  std::function<bool()> may_send;
  std::function<void(CallAnswer &&)> done;
};

/// Outgoing HTTP/1.1 calls on a loop, over links kept for reuse. A link that brought anything but one whole
/// answer to one request is ended, never reused. Nothing is ever sent twice.
class HttpCalls {
public:
  HttpCalls(Loop &loop, HttpCallOptions options);
  ~HttpCalls();
  void call(HttpCall call);
  /// Tells whether anything listens at an address, without sending a byte.
  void knock(const std::string &address, const std::string &peer, Instant deadline,
             std::function<void(bool)> done);
  /// Ends the call of this name, if it is under way, as `lost` or `unreached`; its link is closed.
  void cancel(const std::string &name);
  /// Ends links at rest of a peer.
  void forget(const std::string &peer);
  void tick(Instant now);
  std::uint64_t opened() const { return opened_; }
  std::size_t under_way() const { return busy_.size(); }
  /// Answers that waited for memory to be read on.
  std::uint64_t held_back() const { return held_back_; }

private:
  class Link;
  /// Ends the link that has rested longest; false when none rests.
  bool end_oldest_at_rest();
  void rest(Link &link);
  void end(Link &link, CallFate fate);
  std::shared_ptr<Link> open(const std::string &address, const std::string &peer);
  Loop &loop_;
  HttpCallOptions options_;
  SteadyTide tide_;
  std::map<Link *, std::shared_ptr<Link>> busy_;
  std::map<std::string, std::deque<std::shared_ptr<Link>>> resting_;
  Instant tick_at_ = 0;
  std::size_t links_ = 0;
  std::uint64_t opened_ = 0, held_back_ = 0;
};

} // namespace wharf
