#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bosun/door.hpp"
#include "bosun/flags.hpp"
#include "bosun/words.hpp"
#include "hawser/hawser.hpp"
#include "pilot/waybill.hpp"

namespace {
using namespace wharf;
using Json = nlohmann::json;

struct Heard {
  int status = 0;
  std::string body;
};

Heard ask(const std::string &place, const std::string &path, const std::string &token) {
  std::string ip;
  int port = 0;
  if (!split_address(place, ip, port)) return {};
  httplib::Client client(ip, port);
  client.set_connection_timeout(0, 500'000);
  client.set_read_timeout(3);
  httplib::Headers headers;
  if (!token.empty()) headers.emplace("Authorization", "Bearer " + token);
  const auto result = client.Get(path, headers);
  return result ? Heard{result->status, result->body} : Heard{};
}

/// Looks an errand up on every pilot; says which could not be asked.
int tell_story(const std::vector<std::string> &pilots, const std::string &errand, bool is_json) {
  std::vector<std::string> away;
  for (const std::string &place : pilots) {
    const Heard heard = ask(place, "/.wharf/errand/" + errand, "");
    if (heard.status == 0) away.push_back(place);
    if (heard.status != 200) continue;
    if (is_json) {
      std::cout << heard.body;
      return 0;
    }
    const Json root = Json::parse(heard.body, nullptr, false);
    std::cout << "errand " << errand << " at " << root.value("pilot", "") << ": " << root.value("verdict", "")
              << ", " << root.value("reason", "") << "\n";
    const Json story = root.value("story", Json::array());
    for (const Json &line : story)
      std::cout << "  " << line.value("after_us", 0) << " us  " << line.value("what", "") << "\n";
    return 0;
  }
  std::cerr << "logbook: no pilot that answered remembers " << errand << "\n";
  for (const std::string &place : away)
    std::cerr << "  " << place << " could not be asked; the errand may have ended there\n";
  return away.empty() ? 1 : 3;
}

/// Plans a request against the manifest in force without sending it.
int tell_would(const std::vector<std::string> &controls, const std::string &token, const std::string &what,
               const std::string &key, const std::string &once_key) {
  const auto space = what.find(' ');
  if (space == std::string::npos) {
    std::cerr << "logbook: --would takes \"METHOD TARGET\"\n";
    return 2;
  }
  for (const std::string &place : controls) {
    const Heard heard = ask(place, "/v1/manifest", token);
    if (heard.status == 401) {
      std::cerr << "logbook: the operators' token is missing or wrong\n";
      return 2;
    }
    if (heard.status != 200) continue;
    const auto read = read_charter(heard.body);
    const auto *charter = std::get_if<std::shared_ptr<const Charter>>(&read);
    if (charter == nullptr) continue;
    ErrandHead head;
    head.id = "would";
    head.method = what.substr(0, space);
    head.target = what.substr(space + 1);
    head.key = key;
    head.idempotency_key = once_key;
    const auto planned = plan_errand(**charter, 0, head, 0);
    if (const auto *fate = std::get_if<Fate>(&planned)) {
      std::cout << "would be answered " << outcome_of(*fate).status << " " << outcome_of(*fate).reason
                << ", verdict " << verdict_name(outcome_of(*fate).verdict) << "\n";
      return 0;
    }
    const Waybill &bill = std::get<Waybill>(planned);
    const Tenant *tenant = (*charter)->tenant_named(bill.tenant);
    std::cout << "tenant " << bill.tenant << " (base " << tenant->base << ", burst " << tenant->burst
              << "), rule " << bill.rule << ", service " << bill.service << (bill.is_once ? ", once" : "")
              << "\nsteps:";
    for (Step step : bill.steps) std::cout << " " << step_name(step);
    std::cout << "\nwaits at most " << bill.deadline / 1'000'000 << " ms\n";
    return 0;
  }
  std::cerr << "logbook: no harbourd gave the manifest\n";
  return 3;
}
} // namespace

int main(int count, char **words) {
  std::string pilots, controls, token, would, key, once_key;
  bool is_json = false;
  Flags flags("logbook", "[ERRAND]");
  flags.text("pilots", pilots, "Pilots' HTTP addresses, separated by commas");
  flags.text("at", controls, "Operators' addresses of harbourd, for --would");
  flags.text("token", token, "The operators' token, for --would");
  flags.text("would", would, "What would happen to a request: \"METHOD TARGET\"");
  flags.text("key", key, "The caller's key, for --would");
  flags.text("once-key", once_key, "The caller's Idempotency-Key, for --would");
  flags.mark("json", is_json, "Print what the pilot said");
  const auto read_flags = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read_flags)) return end->say();
  const auto &rest = std::get<std::vector<std::string>>(read_flags);
  if (!would.empty()) return tell_would(split_commas(controls), token, would, key, once_key);
  if (rest.size() != 1 || pilots.empty()) {
    std::cerr << "logbook: --pilots and one errand, or --would, are needed; see --help\n";
    return 2;
  }
  return tell_story(split_commas(pilots), rest[0], is_json);
}
