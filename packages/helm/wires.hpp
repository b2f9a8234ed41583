#pragma once
#include <optional>
#include <string>
#include <variant>

#include "anchorage/http.hpp"
#include "control/control_node.hpp"
#include "pilot/pilot.hpp"

namespace wharf {

/// How long owners may act on one permit where pilots serve on while cut off: as long as the permit, as nodes
/// go on as they did while an owner is silent, and successors of slots need not wait.
constexpr Span helm_duty = seconds(2);
/// Members told at each beat, where bytes between zones are dear.
constexpr std::size_t helm_told_each = 4;

/// What callers speak, as a seam: a translation and nothing more.
class CallersWire {
public:
  virtual ~CallersWire() = default;
  /// Reads a request; an errand's head, or the answer where it holds none. The request keeps what goes on to
  /// a runner.
  virtual std::variant<ErrandHead, HttpMessage> read(HttpMessage &request) = 0;
  /// Puts a fate into an answer; `returned` is the runner's own, for errands that were answered, and is used
  /// up.
  virtual HttpMessage tell(const Reply &reply, HttpMessage *returned) = 0;
  /// Answers whoever asks whether this process is ready.
  virtual HttpMessage readiness(const HttpMessage &request, bool is_ready) = 0;
};

/// What runners speak.
class RunnersWire {
public:
  virtual ~RunnersWire() = default;
  /// The request as it goes to a runner, with `left` until its deadline.
  virtual HttpMessage call(const Carry &carry, const HttpMessage &request, Span left) = 0;
  /// True when a response on the link answers this errand's call.
  /// `is_first` tells that nothing else was asked on the link before.
  virtual bool is_answer_to(const Carry &carry, const HttpMessage &request, const HttpMessage &response,
                            bool is_first) = 0;
  /// What a whole response comes to.
  virtual CallKind judge(const Carry &carry, const HttpMessage &response) = 0;
};

/// What operators speak.
class OperatorsWire {
public:
  virtual ~OperatorsWire() = default;
  /// Reads a request: what to ask of the group, or the answer at once.
  virtual std::variant<OperatorAsk, HttpMessage> read(const HttpMessage &request) = 0;
  /// Puts the group's answer into words.
  virtual HttpMessage tell(const HttpMessage &request, const OperatorSay &say) = 0;
  /// The answer when the group gave none in time.
  virtual HttpMessage silent(const HttpMessage &request) = 0;
};

/// What the platform speaks.
class PlatformWire {
public:
  virtual ~PlatformWire() = default;
  virtual HttpMessage ask_workers() = 0;
  virtual bool read_workers(const HttpMessage &response, std::vector<WorkerSeen> &into) = 0;
  /// Asks for a page of runners; an empty page for the first.
  virtual HttpMessage ask_runners(const std::string &page) = 0;
  /// Reads a page; `next` is empty after the last.
  virtual bool read_runners(const HttpMessage &response, std::vector<RunnerSeen> &into,
                            std::string &next) = 0;
  /// A start or a stop; the term in which it was decided is its fencing token.
  virtual HttpMessage order(const PlatformOrder &order) = 0;
  virtual PlatformSay read_order(const PlatformOrder &order, const HttpMessage *response) = 0;
};

} // namespace wharf
