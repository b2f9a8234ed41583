// An operator has two changes under way at once, the second built on the first (its If-Match is the first's
// generation). Both are acknowledged, and the first one's content is gone.
// With TROUBLE=0 the second is sent once the first is acknowledged.
#include "lab.hpp"

using namespace lab;

int main(int count, char **words) {
  if (count < 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(words[2]);
  Deployment deployment(record, words[1], 3, 1);
  Platform platform(record, deployment.platform_ip(), deployment.runner_ip(), 78, 300);
  if (!platform.start()) return 2;
  deployment.start_all();

  std::vector<string> routes{route_json("r-first", "huvo11a")};
  const std::vector<string> services{service_json("huvo11a", 300)};
  int generation = 5;
  if (deployment.order("PUT", config_json(generation, routes, services), "0", 20).status != 200)
    deployment.end(2);
  if (!deployment.wait_ready(15)) deployment.end(2);
  record.line("generation 5 is acknowledged, all fronts are ready");
  if (client_try(deployment.machines[0].ip, "r-first", "warm", 4000).status() == 0) deployment.end(2);

  bool is_broken = false, was_shown = false;
  const int rounds = 6;
  for (int round = 0; round < rounds; ++round) {
    const bool is_put_first = round % 2 == 0;
    const int base = generation, first = base + 2, second = base + 4;
    const string first_route = "r-a" + std::to_string(first), second_route = "r-b" + std::to_string(second);
    std::vector<string> whole = routes;
    whole.push_back(route_json(first_route, "huvo11a"));
    const string first_body = is_put_first ? config_json(first, whole, services)
                                           : "{\"generation\":" + std::to_string(first) +
                                                 ",\"upsert\":{\"routeTable\":[" +
                                                 route_json(first_route, "huvo11a") + "]}}";
    const string second_body = "{\"generation\":" + std::to_string(second) + ",\"upsert\":{\"routeTable\":[" +
                               route_json(second_route, "huvo11a") + "]}}";
    const string first_method = is_put_first ? "PUT" : "PATCH";
    Deployment::Answer first_answer, second_answer;
    const auto send_first = [&] {
      record.line("operator sends " + first_method + " generation " + std::to_string(first) + ", If-Match " +
                  std::to_string(base) + ", adds route " + first_route);
      first_answer = deployment.order(first_method, first_body, std::to_string(base));
      record.line("generation " + std::to_string(first) + " is answered with " +
                  std::to_string(first_answer.status));
    };
    const auto send_second = [&] {
      record.line("operator sends PATCH generation " + std::to_string(second) + ", If-Match " +
                  std::to_string(first) + ", adds route " + second_route);
      second_answer = deployment.order("PATCH", second_body, std::to_string(first));
      record.line("generation " + std::to_string(second) + " is answered with " +
                  std::to_string(second_answer.status));
    };
    if (has_trouble()) {
      std::thread other(send_first);
      sleep_ms(is_put_first ? 20 : 100);
      send_second();
      other.join();
    } else {
      send_first();
      send_second();
    }
    if (first_answer.status != 200) deployment.end(2);
    const double acknowledged_at = seconds_now();
    const auto read = deployment.order("GET", {}, {});
    if (read.status != 200) deployment.end(2);
    generation = std::stoi(member(read.body, "generation"));
    const bool has_first = read.body.find("\"" + first_route + "\"") != string::npos;
    record.line("read back: generation " + std::to_string(generation) + ", route " + first_route +
                (has_first ? " is there" : " is MISSING"));
    routes = whole;
    if (second_answer.status == 200) routes.push_back(route_json(second_route, "huvo11a"));
    if (has_first) continue;
    is_broken = true;
    // What a client sees of it, later than configApplyMs (4 s) after the acknowledgement.
    if (!was_shown) {
      while (seconds_now() < acknowledged_at + 5.5) sleep_ms(50);
      for (const Machine &machine : deployment.machines) {
        const int status =
            client_try(machine.ip, first_route, "c-" + first_route + machine.name, 4000).status();
        record.line("client asks " + machine.name + " on route " + first_route +
                    " of the acknowledged generation " + std::to_string(first) + ": " +
                    std::to_string(status));
      }
      was_shown = true;
    }
    // The next round begins from what is in force.
    routes.erase(std::find(routes.begin(), routes.end(), route_json(first_route, "huvo11a")));
  }
  if (!has_trouble() && !is_broken) {
    for (const Machine &machine : deployment.machines) {
      const int status = client_try(machine.ip, "r-a7", "c-" + machine.name, 4000).status();
      record.line("client asks " + machine.name + " on route r-a7: " + std::to_string(status));
      if (status != 200) is_broken = true;
    }
  }
  record.line(is_broken ? "CONFIG is broken" : "CONFIG held");
  deployment.end(is_broken ? 1 : 0);
}
