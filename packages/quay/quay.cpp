#include "quay/quay.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "hawser/hawser.hpp"

namespace wharf {

namespace {
using Json = nlohmann::json;

void set_patience(httplib::Client &client) {
  client.set_connection_timeout(0, 500'000);
  client.set_read_timeout(1, 0);
  client.set_write_timeout(1, 0);
  client.set_follow_location(false);
}

RunnerPhase phase_of(const std::string &text) {
  return text == "ready"      ? RunnerPhase::ready
         : text == "stopping" ? RunnerPhase::stopping
                              : RunnerPhase::booting;
}
} // namespace

Quay::Quay(const std::string &address) { split_address(address, ip_, port_); }

std::optional<PlatformView> Quay::list() {
  httplib::Client client(ip_, port_);
  set_patience(client);
  const auto workers = client.Get("/v1/workers");
  if (!workers || workers->status != 200) return std::nullopt;
  const auto runners = client.Get("/v1/runners");
  if (!runners || runners->status != 200) return std::nullopt;
  PlatformView snapshot;
  try {
    for (const Json &item : Json::parse(workers->body))
      snapshot.workers.push_back(
          {item.at("worker"), item.at("zone"), item.at("memory_mb"), item.at("draining")});
    for (const Json &item : Json::parse(runners->body))
      snapshot.runners.push_back({item.at("runner"), item.value("service", ""), item.at("worker"),
                                  item.value("address", ""), phase_of(item.at("state"))});
  } catch (const std::exception &) {
    return std::nullopt;
  }
  return snapshot;
}

bool Quay::order(const PlatformOrder &order) {
  httplib::Client client(ip_, port_);
  set_patience(client);
  if (!order.is_start) {
    const auto done = client.Delete("/v1/runners/" + order.runner.id +
                                    "?grace_ms=" + std::to_string(order.grace / 1'000'000));
    return done && done->status < 300;
  }
  const Json body{{"runner", order.runner.id},           {"service", order.runner.service},
                  {"worker", order.runner.worker},       {"image", order.runner.image},
                  {"memory_mb", order.runner.memory_mb}, {"slots", order.runner.slots},
                  {"seal_key", order.seal_key}};
  const auto done = client.Post("/v1/runners", body.dump(), "application/json");
  return done && done->status < 300;
}

} // namespace wharf
