#pragma once
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "anchorage/cables.hpp"
#include "anchorage/http_calls.hpp"
#include "anchorage/http_door.hpp"
#include "bosun/machine_limits.hpp"
#include "bosun/options.hpp"
#include "helm/metrics.hpp"
#include "helm/wires.hpp"

namespace wharf {

struct PilotHelmOptions {
  PilotOptions pilot;
  /// How often the pilot's clock is moved while something is under way, and while nothing is.
  Span tick_busy = milliseconds(10), tick_idle = milliseconds(30);
  /// After being told to stop: how long new links are still taken, and how long at most this may take.
  Span listen_on = milliseconds(2500), leave_most = milliseconds(5500);
  /// How long a link to a runner may have rested to carry what must not run twice.
  Span rested_for_once = milliseconds(150);
  Span count_every = seconds(5);
};

/// A pilot as a process of one duty: its door, its links to other processes and its calls to runners are all
/// served by one event loop, so that waiting holds no thread.
class PilotHelm final : public HttpDoorSink {
public:
  PilotHelm(const ProcessOptions &options, PilotHelmOptions helm, CallersWire &callers, RunnersWire &runners);
  ~PilotHelm() override;
  /// Serves until told to stop; the code to end with.
  int run();
  void set_seeds(std::vector<std::string> seeds) { pilot_.membership().set_seeds(std::move(seeds)); }
  /// Called once a turn; where a process looks for signals.
  void set_watch(std::function<void()> watch) { watch_ = std::move(watch); }

  void asked(LinkId link, HttpMessage &&request) override;
  void left(LinkId link) override;

private:
  struct Cargo {
    LinkId link = 0;
    HttpMessage request;
    std::optional<HttpMessage> returned;
    /// What the request, its plan and its answer take until the reply.
    MemoryCharge charge, answer_charge;
  };
  class ReadinessSink;
  /// Whether a request of so many bytes may wait here; takes memory back from clients that hold it for
  /// nothing.
  bool has_memory_for(std::size_t request);
  /// Answers a request that there is no memory for: it has not run, and may come again.
  void turn_away(LinkId link);
  bool is_ready() const;
  void carry_out();
  void start_call(const Carry &carry);
  void end_call(const Carry &carry, CallAnswer &&answer);
  void send_reply(const Reply &reply);
  void knock(const Knock &knock);
  void leave(Instant now);
  void take_limits();
  Metrics metrics(Instant now) const;
  void tell_counters(Instant now);
  std::string next_errand();

  ProcessOptions options_;
  PilotHelmOptions helm_;
  CallersWire &callers_;
  RunnersWire &runners_;
  SteadyTide tide_;
  Member self_;
  Pilot pilot_;
  PilotOutput out_;
  /// All that clients and peers make this process hold, and the part of it that is held for requests under
  /// way.
  MemoryAccount memory_, requests_memory_;
  DescriptorShares shares_;
  Loop loop_;
  Cables cables_;
  HttpCalls calls_;
  HttpDoor door_;
  std::unique_ptr<ReadinessSink> readiness_;
  TrafficMeter traffic_meter_;
  LoopMeter loop_meter_;
  std::unordered_map<std::string, Cargo> cargo_;
  std::unordered_map<LinkId, std::string> errand_of_;
  std::function<void()> watch_;
  std::string errand_prefix_;
  std::uint64_t errands_ = 0, turned_away_ = 0;
  Version limits_of_ = 0;
  Instant tick_at_ = 0, leaving_at_ = 0, count_at_ = 0;
  bool is_over_ = false, was_ready_ = false;
};

PilotHelmOptions pilot_helm_options(const ProcessOptions &options);
/// A daemon's own identity among processes, made anew at each start.
Member make_pilot_member(const ProcessOptions &options);

} // namespace wharf
