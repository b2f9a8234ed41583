// The leader's machine is cut off from the other core machines while a crowd's runners are being started. It
// goes on ordering starts for the function after its successor has done so with a higher fence. With
// TROUBLE=0 nothing is cut.
#include "../4/lab.hpp"

using namespace lab;

namespace {
constexpr double cut_s = 5.0, thaw_slack_s = 0.3, lease_s = 3.0;
constexpr int services_count = 4, crowd = 60;
} // namespace

int main(int count, char **words) {
  if (count < 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(words[2]);
  Deployment deployment(record, words[1], 3, 2);
  Platform platform(record, deployment.platform_ip(), deployment.runner_ip(), 78, 500);
  if (!platform.start()) return 2;

  std::vector<string> addresses;
  std::set<string> core;
  for (const Machine &machine : deployment.machines) {
    addresses.push_back(machine.ip);
    if (machine.has_disk) core.insert(machine.ip);
  }
  std::atomic<bool> is_on{false};
  string cut_off;
  const auto is_cut = [&](const string &from, const string &to) {
    return is_on && core.contains(from) && core.contains(to) && (from == cut_off) != (to == cut_off);
  };
  std::vector<std::unique_ptr<Proxy>> proxies;
  for (const Machine &machine : deployment.machines) {
    if (!machine.has_disk) continue;
    for (const auto &[port, to_port] : {std::pair{7480, 7481}, std::pair{7495, 7494}}) {
      auto proxy = std::make_unique<Proxy>(machine.ip, port, to_port);
      proxy->known = addresses;
      proxy->is_cut = is_cut;
      if (!proxy->start()) return 2;
      proxies.push_back(std::move(proxy));
    }
  }
  deployment.more = [](const string &role, const Machine &machine) {
    if (!machine.has_disk) return string();
    return "listen=" + machine.ip + (role == "control" ? ":7481\n" : ":7494\n");
  };
  deployment.start_all();

  std::vector<string> routes{route_json("r-first", "first")}, services{service_json("first", 500, 1)};
  for (int at = 0; at < services_count; ++at) {
    const string name = "xano" + std::to_string(at);
    routes.push_back(route_json("r-" + name, name));
    services.push_back(service_json(name, 500, 1));
  }
  if (deployment.order("PUT", config_json(5, routes, services, 1000), "0", 20).status != 200)
    deployment.end(2);
  if (!deployment.wait_ready(15)) deployment.end(2);
  if (client_try(deployment.machines[0].ip, "r-first", "warm", 4000).status() != 200) deployment.end(2);
  if (platform.calls().empty()) deployment.end(2);
  const string leader = platform.calls().back().holder;
  for (const Machine &machine : deployment.machines)
    if (machine.name == leader) cut_off = machine.ip;
  record.line("generation 5 is acknowledged, all fronts are ready; duties are with " + leader);
  sleep_ms(1500);

  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int service = 0; service < services_count; ++service)
    for (int one = 0; one < crowd; ++one)
      clients.emplace_back([&, service, one] {
        const string route = "r-xano" + std::to_string(service);
        const Machine &machine = deployment.machines[static_cast<std::size_t>(3 + one % 2)];
        if (client_try(machine.ip, route, "c" + std::to_string(service) + "-" + std::to_string(one), 4000)
                .status() == 200)
          ++served;
      });
  record.line("a crowd of " + std::to_string(crowd) + " clients comes to each of " +
              std::to_string(services_count) + " functions");
  sleep_ms(500);
  const double cut_at = seconds_now();
  if (has_trouble()) {
    is_on = true;
    record.line("cuts " + leader + " off from the other core machines");
  }
  sleep_ms(static_cast<int>(cut_s * 1000));
  const double healed_at = seconds_now();
  if (has_trouble()) record.line("heals the cut");
  is_on = false;
  for (std::thread &client : clients) client.join();
  sleep_ms(3000);
  record.line(std::to_string(served.load()) + " of " + std::to_string(services_count * crowd) +
              " clients were served");

  bool is_broken = false;
  std::map<string, DutyCall> highest;
  std::map<string, std::vector<DutyCall>> turns;
  for (const DutyCall &call : platform.calls()) {
    const string key = call.kind + " of " + call.subject;
    const bool is_excused = has_trouble() && call.at >= healed_at && call.at < healed_at + thaw_slack_s;
    if (is_excused) continue;
    auto &top = highest[key];
    if (call.fence < top.fence) {
      is_broken = true;
      char text[256];
      std::snprintf(
          text, sizeof text,
          "ONE: %s by %s with fence %ld at %.3f (%.3f s after the cut), after fence %ld by %s at %.3f",
          key.c_str(), call.holder.c_str(), call.fence, call.at, call.at - cut_at, top.fence,
          top.holder.c_str(), top.at);
      record.line(text);
    } else if (!top.holder.empty() && call.fence == top.fence && call.holder != top.holder) {
      is_broken = true;
      record.line("ONE: " + key + ": " + call.holder + " and " + top.holder + " send the same fence " +
                  std::to_string(call.fence));
    }
    if (call.fence >= top.fence) top = call;
    auto &seen = turns[key];
    std::erase_if(seen, [&](const DutyCall &old) { return call.at - old.at > lease_s; });
    bool has_other = false;
    for (auto old = seen.rbegin(); old != seen.rend(); ++old) {
      has_other = has_other || old->holder != call.holder;
      if (!has_other || old->holder != call.holder) continue;
      is_broken = true;
      record.line("ONE: " + key + ": holders act in turn, " + call.holder + " again at " +
                  std::to_string(call.at));
      break;
    }
    seen.push_back(call);
  }
  record.line(is_broken ? "ONE is broken" : "ONE held");
  deployment.end(is_broken ? 1 : 0);
}
