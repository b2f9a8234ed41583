#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "anchorage/cables.hpp"
#include "anchorage/http_calls.hpp"
#include "anchorage/http_door.hpp"
#include "bosun/machine_limits.hpp"
#include "bosun/options.hpp"
#include "helm/metrics.hpp"
#include "helm/wires.hpp"
#include "json_limits/json_limits.hpp"
#include "storage/disk_worker.hpp"

namespace wharf {

struct ControlRuntimeOptions {
  ControlOptions control;
  Span tick = milliseconds(20);
  /// How often the platform's lists are read by the leader.
  Span list_runners = milliseconds(300), list_workers = seconds(1);
  Span call_within = seconds(1), operator_within = milliseconds(900);
  /// How long a leaving process answers on at least, and how long it waits at most until its lead and its
  /// vote are with others.
  Span leave_least = milliseconds(700), leave_most = seconds(4);
  Span count_every = seconds(5);
};

/// A control process of two duties: one event loop for all links and decisions, one for the disk.
class ControlRuntime final : public HttpDoorSink {
public:
  ControlRuntime(const ProcessOptions &options, ControlRuntimeOptions helm, NodeId id,
                 std::unique_ptr<LogStorage> storage, const Recovered &recovered, OperatorsWire &operators,
                 PlatformWire &platform);
  ~ControlRuntime() override;
  int run();
  void set_seeds(std::vector<std::string> seeds);
  void set_watch(std::function<void()> watch) { watch_ = std::move(watch); }

  void asked(LinkId link, HttpMessage &&request) override;
  void left(LinkId link) override;

private:
  struct Talk {
    LinkId link = 0;
    HttpMessage request;
    Instant until = 0;
    /// What the request and the order read of it take.
    std::shared_ptr<const MemoryCharge> charge;
  };
  void build(const Recovered &recovered);
  bool is_over(Instant now) const;
  void disk_said(DiskEvent &&word);
  void carry_out();
  void answered(const OperatorSay &say);
  /// The answer to an order that would take more memory than there is, or nests too deep; none where it fits.
  std::optional<HttpMessage> refusal_of(const JsonShape &shape, std::size_t bytes);
  void maintain_talks(Instant now);
  void maintain_lists(Instant now);
  void list_runners(const std::string &page, const std::shared_ptr<PlatformView> &snapshot);
  void give_order(const PlatformOrder &order);
  HttpCall platform_call(HttpMessage request);
  Metrics metrics(Instant now) const;
  void tell_counters(Instant now);

  ProcessOptions options_;
  ControlRuntimeOptions helm_;
  OperatorsWire &operators_;
  PlatformWire &platform_;
  SteadyTide tide_;
  Member self_;
  std::vector<std::string> seeds_;
  std::unique_ptr<ControlNode> control_;
  ControlOutput out_;
  /// All that operators and peers make this process hold.
  MemoryAccount memory_;
  DescriptorShares shares_;
  Loop loop_;
  Cables cables_;
  HttpCalls calls_;
  HttpDoor door_;
  std::map<std::uint64_t, Talk> talks_;
  std::uint64_t next_ticket_ = 1;
  std::vector<WorkerSeen> workers_;
  Instant runners_at_ = 0, workers_at_ = 0, listing_until_ = 0, leaving_at_ = 0, count_at_ = 0;
  std::uint64_t platform_calls_ = 0, platform_away_ = 0;
  bool has_workers_ = false;
  std::function<void()> watch_;
  std::unique_ptr<DiskWorker> disk_;
  TrafficMeter traffic_meter_;
  LoopMeter loop_meter_;
};

ControlRuntimeOptions control_runtime_options(const ProcessOptions &options);

} // namespace wharf
