#pragma once
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "capstan/duty.hpp"
#include "pilot/pilot.hpp"

namespace wharf {

/// What goes to a runner: the caller's own request, without key, hop-by-hop and our own headers.
struct Cargo {
  std::string method, target, body;
  httplib::Headers headers;
  /// Asked before an answer takes so many bytes more; false where there is no memory for them.
  std::function<bool(std::size_t)> may_hold{};
};
/// What came back, when it was whole and sealed.
struct Returned {
  int status = 0;
  std::string type, body;
  httplib::Headers headers;
};

/// The runners' adapter: one fresh link per call, no resend, no redirect, no decoding. A lookout duty
/// cuts calls that run past their deadline however slowly a runner drips.
class Lighter {
public:
  Lighter();
  ~Lighter();
  /// Calls a runner; `returned` is filled only for a whole answer under the right seal.
  CallEnd carry(const Carry &carry, const Cargo &cargo, std::size_t body_most, Returned &returned);

private:
  void watch();
  SteadyTide tide_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<Instant, std::weak_ptr<httplib::Client>> deadlines_;
  bool is_stopping_ = false;
  std::unique_ptr<Duty> duty_;
};

/// True for headers that belong to one link or to us and never travel on.
bool is_own_header(std::string_view name);

} // namespace wharf
