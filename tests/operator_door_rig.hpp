#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control_group_rig.hpp"
#include "platform/operators.hpp"

namespace wharf {

/// Operators' HTTP orders to the leader of a control group, in virtual time. Routes stand for what a
/// configuration holds: each order adds one of its own.
struct OperatorDoorRig {
  struct Order {
    HttpMessage request;
    std::uint64_t ticket = 0;
    Instant sent_at = 0;
    std::optional<HttpMessage> response;
    int status() const { return response ? response->status : 0; }
  };
  ControlGroupRig group{3};
  platform::Operators operators;
  std::vector<Order> orders;
  /// How long the daemon keeps an operator waiting.
  static constexpr Span answer_within = milliseconds(900);

  static nlohmann::json route(const std::string &name) {
    return {{"name", name},        {"authority", "shop.example"}, {"pathPrefix", "/" + name + "/"},
            {"routeKind", "pure"}, {"deadlineMs", 1000},          {"target", "s"}};
  }
  static nlohmann::json services() {
    return nlohmann::json::array({{{"name", "s"}, {"memoryMb", 64}, {"concurrency", 1}}});
  }
  static nlohmann::json routes(const std::set<std::string> &names) {
    nlohmann::json list = nlohmann::json::array();
    for (const std::string &name : names) list.push_back(route(name));
    return list;
  }
  static HttpMessage order(const std::string &method, std::optional<Version> base,
                           const nlohmann::json &body) {
    HttpMessage request;
    request.method = method;
    request.target = "/config";
    if (base) request.set("If-Match", std::to_string(*base));
    request.body = body.dump();
    return request;
  }
  /// A whole configuration of these routes.
  static HttpMessage put(Version generation, std::optional<Version> base,
                         const std::set<std::string> &names) {
    return order("PUT", base,
                 {{"generation", generation}, {"serviceTable", services()}, {"routeTable", routes(names)}});
  }
  /// A change that adds one route.
  static HttpMessage patch(Version generation, std::optional<Version> base, const std::string &name) {
    return order("PATCH", base, {{"generation", generation}, {"upsert", {{"routeTable", routes({name})}}}});
  }

  /// Sends an order to the leader, which must be there; the place of it in `orders`.
  std::size_t send(HttpMessage request) {
    orders.push_back({std::move(request), 0, 0, {}});
    send_try(orders.back());
    return orders.size() - 1;
  }
  /// Sends again, as they were, the orders that got no clear answer: none in time, or 503.
  void send_unclear_again() {
    for (Order &order : orders) {
      const bool is_late = !order.response && group.now - order.sent_at >= answer_within;
      if (is_late || order.status() == 503) send_try(order);
    }
  }
  void pass(Span span) {
    for (const Instant until = group.now + span; group.now < until;) {
      group.pass(milliseconds(10));
      for (Order &order : orders) take_answer(order);
    }
  }
  /// Passes until all orders have an answer, or for five seconds.
  void settle() {
    const auto is_answered = [](const Order &order) { return order.response.has_value(); };
    for (int round = 0; round < 50 && !std::all_of(orders.begin(), orders.end(), is_answered); ++round)
      pass(milliseconds(100));
  }
  int status_of(HttpMessage request) {
    const std::size_t at = send(std::move(request));
    settle();
    return orders[at].status();
  }
  /// The configuration read back, which must come.
  nlohmann::json read_back() {
    HttpMessage request;
    request.method = "GET";
    request.target = "/config";
    const std::size_t at = send(std::move(request));
    settle();
    return orders[at].status() == 200 ? nlohmann::json::parse(orders[at].response->body)
                                      : nlohmann::json::object();
  }
  static std::set<std::string> names_of(const nlohmann::json &config) {
    std::set<std::string> names;
    for (const auto &one : config.value("routeTable", nlohmann::json::array()))
      names.insert(one.at("name").get<std::string>());
    return names;
  }

private:
  void send_try(Order &order) {
    order.response.reset();
    order.sent_at = group.now;
    auto read = operators.read(order.request);
    if (auto *response = std::get_if<HttpMessage>(&read))
      order.response = std::move(*response);
    else
      order.ticket = group.ask(group.wait_leader(), std::get<OperatorAsk>(std::move(read)));
  }
  void take_answer(Order &order) {
    const OperatorSay *say = order.response ? nullptr : group.answer_to(order.ticket);
    if (say != nullptr) order.response = operators.tell(order.request, *say);
  }
};

} // namespace wharf
