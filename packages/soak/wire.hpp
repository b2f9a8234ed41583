#pragma once
// What a soak must say to deployed processes and hear from them, without the platform's words for it; who
// speaks these implements it.
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "anchorage/http.hpp"
#include "soak/records.hpp"

namespace wharf::soak {

/// A service of the stand-in deployment.
struct ServiceSpec {
  std::string name;
  int slots = 8, memory_mb = 512, boot_ms = 300;
};

/// A route: requests whose path begins with `prefix` go to `service`.
struct RouteSpec {
  std::string name, prefix, service;
  bool is_repeatable = true;
  int deadline_ms = 3000;
};

struct ConfigurationSpec {
  std::int64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
};

/// A request of a client.
struct RequestSpec {
  std::string id, path;
  bool is_repeatable = true;
  int deadline_ms = 3000, work_ms = 20;
  /// The size of its body, and at least that of its answer's.
  std::size_t body_bytes = 0, answer_bytes = 0;
};

/// What a client can tell of an answer.
struct AnswerSeen {
  int status = 0;
  bool is_sealed = false;
  std::string answered_for;
  /// After which to come again; 0 where the answer does not say.
  Span retry_after = 0;
};

/// What a runner is asked to do.
struct RunAsk {
  std::string id, expected_runner;
  int work_ms = 20;
  /// The answer's body is filled up to this size.
  std::size_t answer_bytes = 0;
};

/// A runner as the platform's list shows it.
struct RunnerEntry {
  std::string id, service, worker, zone, address;
  bool is_leaving = false;
};
struct WorkerEntry {
  std::string name, zone;
  int memory_mb = 4096, free_mb = 4096;
};

/// Calls to the platform.
struct ListRunners {};
struct ListWorkers {};
/// Who orders a start or stop, and under which fencing token.
struct OrderSender {
  std::string holder;
  std::uint64_t fence = 0;
};
struct StartRunner {
  std::string service, worker, nonce;
  OrderSender sender;
};
struct StopRunner {
  std::string id;
  OrderSender sender;
};
using PlatformCall = std::variant<std::monostate, ListRunners, ListWorkers, StartRunner, StopRunner>;

class Wire {
public:
  virtual ~Wire() = default;
  /// Programs of the two daemons, and the environment's variable that names their options file.
  virtual std::string edge_program() const = 0;
  virtual std::string control_program() const = 0;
  virtual std::string options_variable() const = 0;

  virtual HttpMessage request(const RequestSpec &spec) const = 0;
  virtual AnswerSeen read_answer(const HttpMessage &response) const = 0;

  virtual std::optional<RunAsk> read_run(const HttpMessage &request) const = 0;
  virtual HttpMessage run_answer(const RunAsk &ask) const = 0;
  virtual HttpMessage full_answer(const RunAsk &ask) const = 0;
  virtual HttpMessage wrong_runner_answer(const std::string &own_id) const = 0;

  virtual PlatformCall read_platform_call(const HttpMessage &request) const = 0;
  virtual HttpMessage runner_list(const std::vector<RunnerEntry> &runners) const = 0;
  virtual HttpMessage worker_list(const std::vector<WorkerEntry> &workers) const = 0;
  virtual HttpMessage started(const RunnerEntry &runner) const = 0;
  virtual HttpMessage done() const = 0;
  /// The platform refuses a call: no such thing, or no room.
  virtual HttpMessage refused(int status) const = 0;

  virtual HttpMessage put_configuration(const ConfigurationSpec &spec, std::int64_t base) const = 0;
  /// Adds one route and removes others, by name.
  virtual HttpMessage change_routes(std::int64_t version, std::int64_t base, const RouteSpec &added,
                                    const std::vector<std::string> &removed) const = 0;
  virtual HttpMessage read_configuration() const = 0;
  /// The version of a configuration that was read; 0 where it is none.
  virtual std::int64_t version_of(const HttpMessage &response) const = 0;
  /// The names of its routes.
  virtual std::vector<std::string> routes_of(const HttpMessage &response) const = 0;
};

} // namespace wharf::soak
