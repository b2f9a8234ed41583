#pragma once
#include <atomic>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "bosun/door.hpp"
#include "lighter/lighter.hpp"
#include "moorings/moorings.hpp"
#include "pilot/pilot.hpp"

namespace wharf {

using PilotWord = std::variant<Carry, Reply>;
using PilotWaiter = Waiter<PilotWord>;

/// The threads waiting at the door, by errand.
class WaitingDoor {
public:
  std::shared_ptr<PilotWaiter> open(const std::string &errand);
  void close(const std::string &errand);
  void give(const std::string &errand, PilotWord word);
  std::size_t size() const;

private:
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<PilotWaiter>> waiters_;
};

/// What the gangway needs of the pilot's core duty.
class PilotDesk {
public:
  virtual ~PilotDesk() = default;
  virtual std::variant<Waybill, Fate> front(const ErrandHead &head) = 0;
  /// Hands an errand in; false when the core's ring is full.
  virtual bool hand_in(Waybill bill) = 0;
  virtual void call_ended(CallEnd end) = 0;
  /// The errand's caller has gone away.
  virtual void caller_gone(const std::string &errand) = 0;
  virtual std::size_t body_most() const = 0;
  virtual std::string counters_json() = 0;
  /// The story of an errand that ended here, as JSON; empty when it is not remembered.
  virtual std::string story_json(const std::string &errand) = 0;
};

/// The callers' adapter: reads an errand, hands it to the core, calls the runner when told to, answers.
class Gangway {
public:
  Gangway(PilotDesk &desk, WaitingDoor &door);
  void serve(const httplib::Request &request, const httplib::Headers &original, httplib::Response &response);

private:
  void answer(const std::string &errand, Fate fate, Span retry_after, const std::string &why,
              httplib::Response &response) const;
  PilotDesk &desk_;
  WaitingDoor &door_;
  Lighter lighter_;
};

} // namespace wharf
