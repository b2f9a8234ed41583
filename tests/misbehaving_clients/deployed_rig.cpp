#include "misbehaving_clients/deployed_rig.hpp"

#include <filesystem>
#include <iostream>
#include <unistd.h>

#include "misbehaving_clients/process_usage.hpp"

namespace wharf {

namespace {
constexpr double patience_s = 30;
constexpr int deadline_ms = 20'000;
constexpr Span turn = milliseconds(5);
} // namespace

DeployedRig::DeployedRig(const std::string &binaries, MachineLimits limits) : limits_(limits) {
  char made[] = "/tmp/wharf-clients-XXXXXX";
  folder_ = mkdtemp(made);
  soak::PlatformOptions platform_options;
  platform_options.services = services();
  platform_options.zones = {"a"};
  platform_ = std::make_unique<soak::PlatformStandin>(loop_, wire_, platform_options, runs_, orders_);
  soak::ShapeOptions shape;
  shape.edges = shape.controls = 1;
  shape.zones = {"a"};
  shape.folder = folder_;
  shape.binaries = binaries;
  shape.platform = platform_->address();
  shape.more_options = "memory_mb=" + std::to_string(limits.memory_mb) +
                       "\nfd_limit=" + std::to_string(limits.descriptors) + "\n";
  deployment_ = std::make_unique<soak::Deployment>(wire_, shape);
  stand_ins_ = std::thread([this] { run_stand_ins(); });
  deployment_->start_all();
  call_until(
      operators(), [this] { return configuration_order(1, 0); },
      [](const HttpMessage &answer) { return answer.status == 200; }, patience_s);
  serves_an_ordinary_request();
}

DeployedRig::~DeployedRig() {
  deployment_.reset();
  is_over_ = true;
  stand_ins_.join();
  std::filesystem::remove_all(folder_);
}

void DeployedRig::run_stand_ins() {
  const SteadyTide clock;
  while (!is_over_) {
    loop_.turn(turn);
    platform_->tick(clock.now());
  }
}

std::vector<soak::ServiceSpec> DeployedRig::services() {
  return {{"again", 16, 512, 50}, {"once", 16, 512, 50}};
}

HttpMessage DeployedRig::configuration_order(std::int64_t version, std::int64_t base) const {
  soak::ConfigurationSpec spec;
  spec.version = version;
  spec.services = services();
  spec.routes = {{"again", "/again/", "again", true, deadline_ms},
                 {"once", "/once/", "once", false, deadline_ms}};
  return wire_.put_configuration(spec, base);
}

HttpMessage DeployedRig::request(bool is_repeatable, std::size_t body_bytes, std::size_t answer_bytes,
                                 int work_ms) {
  soak::RequestSpec spec;
  spec.id = "q" + std::to_string(++requests_);
  spec.path = is_repeatable ? "/again/x" : "/once/x";
  spec.is_repeatable = is_repeatable;
  spec.deadline_ms = deadline_ms;
  spec.work_ms = work_ms;
  spec.body_bytes = body_bytes;
  spec.answer_bytes = answer_bytes;
  return wire_.request(spec);
}

std::string DeployedRig::request_text(bool is_repeatable, std::size_t body_bytes, std::size_t answer_bytes,
                                      int work_ms) {
  return request_bytes(request(is_repeatable, body_bytes, answer_bytes, work_ms));
}

bool DeployedRig::serves_an_ordinary_request() {
  const HttpMessage answer = call_until(
      front(), [this] { return request(); },
      [this](const HttpMessage &given) { return given.status == 200 && wire_.read_answer(given).is_sealed; },
      patience_s);
  return answer.status == 200;
}

bool DeployedRig::answers_the_operator() {
  const HttpMessage answer = call_until(
      operators(), [this] { return wire_.read_configuration(); },
      [](const HttpMessage &given) { return given.status == 200; }, patience_s);
  return answer.status == 200;
}

std::string DeployedRig::broken_bound() {
  std::string broken;
  for (soak::Node *node : {&edge(), &control()}) {
    const pid_t process = node->daemon->process();
    const std::string name = node->daemon->name();
    if (!is_process_running(process)) broken += name + " has ended; ";
    const std::size_t memory_kb = peak_memory_kb(process), open = open_descriptors(process);
    std::cout << '\n' << name << " took " << memory_kb << " KiB at most";
    if (memory_kb > static_cast<std::size_t>(limits_.memory_mb) * 1024)
      broken += name + " took " + std::to_string(memory_kb) + " KiB; ";
    if (open > static_cast<std::size_t>(limits_.descriptors))
      broken += name + " holds " + std::to_string(open) + " descriptors; ";
  }
  return broken;
}

} // namespace wharf
