#pragma once
// The deployed daemons, one of each, as real processes on loopback addresses with little memory; platform,
// runners and operator are stand-ins in this process.
#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "misbehaving_clients/plain_call.hpp"
#include "platform/soak_wire.hpp"
#include "soak/deployment.hpp"
#include "soak/platform_standin.hpp"

namespace wharf {

/// What a machine gives each daemon in these tests.
struct MachineLimits {
  int memory_mb = 64, descriptors = 2048;
};

class DeployedRig {
public:
  explicit DeployedRig(const std::string &binaries, MachineLimits limits = {});
  ~DeployedRig();

  /// Doors, as "ip:port".
  std::string front() { return edge().http.address(); }
  std::string readiness() { return edge().readiness.address(); }
  std::string operators() { return control().http.address(); }
  std::string edge_inner() { return edge().inner.address(); }
  std::string control_inner() { return control().inner.address(); }
  pid_t edge_process() { return edge().daemon->process(); }
  pid_t control_process() { return control().daemon->process(); }

  /// A request of a client, with an attempt of its own.
  HttpMessage request(bool is_repeatable = true, std::size_t body_bytes = 0, std::size_t answer_bytes = 0,
                      int work_ms = 5);
  /// The bytes of such a request.
  std::string request_text(bool is_repeatable, std::size_t body_bytes, std::size_t answer_bytes, int work_ms);
  /// An order of the operator that sets the configuration these tests serve under.
  HttpMessage configuration_order(std::int64_t version, std::int64_t base) const;

  /// The mood of the control daemon's disk, as its option `disk_trial` takes it.
  void set_control_disk(const std::string &mood) { deployment_->set_disk_mood(control(), mood); }
  /// An ordinary client's request is answered by a runner, within half a minute of coming back.
  bool serves_an_ordinary_request();
  /// The operator reads the configuration, within as long.
  bool answers_the_operator();
  /// Both processes run, and never took more memory or descriptors than their machine gives; says what not.
  std::string broken_bound();

private:
  soak::Node &edge() { return *deployment_->edges().front(); }
  soak::Node &control() { return *deployment_->controls().front(); }
  static std::vector<soak::ServiceSpec> services();
  void run_stand_ins();

  MachineLimits limits_;
  platform::SoakWire wire_;
  Loop loop_;
  std::vector<soak::RunRecord> runs_;
  std::vector<soak::OrderRecord> orders_;
  std::unique_ptr<soak::PlatformStandin> platform_;
  std::unique_ptr<soak::Deployment> deployment_;
  std::string folder_;
  std::atomic<bool> is_over_{false};
  std::thread stand_ins_;
  std::uint64_t requests_ = 0;
};

} // namespace wharf
