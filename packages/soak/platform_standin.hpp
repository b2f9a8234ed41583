#pragma once
// A stand-in for the platform and its runners: answers the lists, starts and stops runners, and each runner
// serves calls at a port of its own, turning away what is above its slots.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "anchorage/http_door.hpp"
#include "fault_proxy/held_port.hpp"
#include "soak/wire.hpp"

namespace wharf::soak {

struct PlatformOptions {
  std::vector<ServiceSpec> services;
  std::vector<std::string> zones;
  int workers = 6, worker_mb = 8192;
  std::size_t runners_most = 150;
};

class PlatformStandin final : public HttpDoorSink {
public:
  PlatformStandin(Loop &loop, const Wire &wire, PlatformOptions options, std::vector<RunRecord> &records,
                  std::vector<OrderRecord> &orders);
  ~PlatformStandin() override;
  std::string address() const { return port_.address(); }
  void asked(LinkId link, HttpMessage &&request) override;
  void left(LinkId) override {}
  /// Ends work that is done and lets started runners listen.
  void tick(Instant now);
  std::size_t runners() const { return runners_.size(); }

private:
  class Runner;
  HttpMessage answer(const PlatformCall &call, Instant now);
  HttpMessage start(const StartRunner &call, Instant now);
  HttpMessage stop(const StopRunner &call, Instant now);
  HttpMessage list_runners() const;
  HttpMessage list_workers() const;
  void note_order(bool is_start, const std::string &service, const OrderSender &sender, Instant now);
  int used_mb(const std::string &worker) const;
  const ServiceSpec *service_named(const std::string &name) const;

  Loop &loop_;
  const Wire &wire_;
  PlatformOptions options_;
  std::vector<RunRecord> &records_;
  std::vector<OrderRecord> &orders_;
  std::vector<WorkerEntry> workers_;
  std::map<std::string, std::unique_ptr<Runner>> runners_;
  /// Runners by the caller's nonce, so that a call that is repeated starts nothing anew.
  std::map<std::string, std::string> runner_of_nonce_;
  std::uint64_t next_ = 1;
  SteadyTide tide_;
  HeldPort port_;
  HttpDoor door_;
};

} // namespace wharf::soak
