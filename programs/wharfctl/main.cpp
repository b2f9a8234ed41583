#include <fstream>
#include <functional>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bosun/door.hpp"
#include "bosun/flags.hpp"
#include "bosun/words.hpp"
#include "charter/charter.hpp"
#include "hawser/hawser.hpp"

namespace {
using namespace wharf;
using Json = nlohmann::json;

/// Exit codes: 0 done, 1 refused, 2 wrong call, 3 outcome unknown or nobody answered.
enum Exit { done = 0, refused = 1, wrong_call = 2, unknown = 3 };

struct Control {
  std::vector<std::string> places;
  std::string token, if_match;
  bool is_json = false;
  long seconds_long = 30;
};

struct Said {
  int status = 0;
  std::string body, etag;
};

/// Calls any harbourd that answers. The same write id goes with every try, so a repeat is safe.
Said call(const Control &control, const std::string &method, const std::string &path, const std::string &body,
          const std::string &write_id) {
  Said said;
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(control.seconds_long);
  while (true) {
    for (const std::string &place : control.places) {
      std::string ip;
      int port = 0;
      if (!split_address(place, ip, port)) continue;
      httplib::Client client(ip, port);
      client.set_connection_timeout(0, 500'000);
      client.set_read_timeout(13);
      httplib::Request request;
      request.method = method;
      request.path = path;
      request.body = body;
      request.headers = {{"Authorization", "Bearer " + control.token}};
      if (!control.if_match.empty()) request.headers.emplace("If-Match", control.if_match);
      if (!write_id.empty()) request.headers.emplace("X-Wharf-Write", write_id);
      const auto result = client.send(request);
      if (!result) continue;
      said = {result->status, result->body, result->get_header_value("ETag")};
      if (result->status != 503) return said;
    }
    if (std::chrono::steady_clock::now() >= until) return said;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
}

/// What a trial foretold, beside what is.
void print_trial(const Json &trial, std::ostream &out) {
  out << "  trial over " << trial.value("measured_errands", 0) << " measured errands";
  if (trial.contains("note")) out << ": " << trial.value("note", "");
  out << "\n";
  const Json now = trial.value("now", Json::object()), foretold = trial.value("foretold", Json::object());
  for (const char *figure : {"runners", "memory_mb", "starts"})
    out << "  " << figure << ": " << now.value(figure, 0) << " -> " << foretold.value(figure, 0) << "\n";
  const Json tenants = foretold.value("tenants", Json::object());
  for (const auto &item : tenants.items())
    out << "  tenant " << item.key() << ": " << item.value().value("per_second", 0.0) << " a second, refused "
        << item.value().value("refused_percent", 0.0) << " %, without a rule "
        << item.value().value("unruled_percent", 0.0) << " %, over quota "
        << item.value().value("over_quota_percent", 0.0) << " %\n";
}

int finish(const Control &control, const Said &said, const std::string &what) {
  if (said.status == 0) {
    std::cerr << "wharfctl: no harbourd answered\n";
    return Exit::unknown;
  }
  if (control.is_json) {
    std::cout << said.body;
    return said.status < 300 ? Exit::done : said.status == 503 ? Exit::unknown : Exit::refused;
  }
  const Json answer = Json::parse(said.body, nullptr, false);
  if (said.status < 300) {
    std::cout << what << ": version " << answer.value("version", 0) << "\n";
    if (answer.contains("trial")) print_trial(answer["trial"], std::cout);
    return Exit::done;
  }
  std::cerr << "wharfctl: " << said.status << " "
            << (answer.is_object() ? answer.value("why", answer.value("outcome", "")) : said.body) << "\n";
  if (answer.is_object() && answer.contains("faults"))
    for (const Json &fault : answer["faults"])
      std::cerr << "  " << fault.value("path", "") << ": " << fault.value("what", "") << "\n";
  if (answer.is_object() && answer.contains("trial")) print_trial(answer["trial"], std::cerr);
  return said.status == 503 ? Exit::unknown : Exit::refused;
}

void print_status(const Json &root) {
  std::cout << "manifest " << root.value("version", 0) << " (held by all from "
            << root.value("settled_version", 0) << "), roster " << root.value("roster_epoch", 0)
            << " (settled " << root.value("settled_epoch", 0) << "), term " << root.value("term", 0) << "\n";
  if (root.contains("why_not_held")) std::cout << "  " << root.value("why_not_held", "") << "\n";
  for (const Json &replica : root.value("replicas", Json::array()))
    std::cout << "  harbourd " << replica.value("address", "") << " zone " << replica.value("zone", "")
              << (replica.value("is_voter", false) ? " voter" : " learner")
              << (replica.value("is_leader", false) ? " leads" : "")
              << (replica.value("is_living", false) ? "" : " SILENT") << "\n";
  for (const Json &pilot : root.value("pilots", Json::array()))
    std::cout << "  pilotd " << pilot.value("http", "") << " zone " << pilot.value("zone", "") << " manifest "
              << pilot.value("version", 0) << (pilot.value("is_fresh", false) ? "" : " NOT FRESH")
              << (pilot.value("is_enrolled", false) ? "" : " not enrolled") << "\n";
  const Json services = root.value("services", Json::object());
  for (const auto &item : services.items()) {
    const Json &service = item.value();
    std::size_t ready = 0, leaving = 0;
    const Json runners = service.value("runners", Json::array());
    for (const Json &runner : runners) {
      ready += runner.value("is_ready", false) && !runner.value("is_leaving", false) ? 1 : 0;
      leaving += runner.value("is_leaving", false) ? 1 : 0;
    }
    const auto wanted = service.value("wanted", 0);
    if (wanted == 0 && runners.empty() && !service.contains("why_unsettled")) continue;
    std::cout << "  service " << item.key() << ": wanted " << wanted << ", ready " << ready << ", leaving "
              << leaving << ", pending " << service.value("pending", 0) << ", slots taken "
              << service.value("slots_taken", 0)
              << (service.contains("why_unsettled") ? "  (" + service.value("why_unsettled", "") + ")" : "")
              << "\n";
  }
}

/// What applying a file would change in the manifest in force, a line a member; exit 1 when anything would.
int show_difference(const Control &control, const std::string &body, const std::string &file) {
  const Json wanted = Json::parse(body, nullptr, false);
  if (wanted.is_discarded()) {
    std::cerr << "wharfctl: " << file << ": not JSON\n";
    return Exit::wrong_call;
  }
  const Said said = call(control, "GET", "/v1/manifest", "", "");
  if (said.status != 200 && said.status != 404) return finish(control, said, "diff");
  const Json in_force = said.status == 404 ? Json::object() : Json::parse(said.body, nullptr, false);
  const Json changes = Json::diff(in_force, wanted);
  if (control.is_json) std::cout << changes.dump(2) << "\n";
  for (const Json &change : changes) {
    if (control.is_json) break;
    const std::string path = change.value("path", ""), deed = change.value("op", "");
    const Json::json_pointer place(path);
    std::cout << (deed == "add" ? "+ " : deed == "remove" ? "- " : "~ ") << path;
    if (deed != "add" && in_force.contains(place)) std::cout << " " << in_force.at(place).dump();
    if (deed == "replace") std::cout << " ->";
    if (change.contains("value")) std::cout << " " << change["value"].dump();
    std::cout << "\n";
  }
  if (changes.empty() && !control.is_json) std::cout << "no difference\n";
  return changes.empty() ? Exit::done : Exit::refused;
}

int wait_settled(const Control &control) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(control.seconds_long);
  Control quick = control;
  quick.seconds_long = 1;
  while (std::chrono::steady_clock::now() < until) {
    const Said said = call(quick, "GET", "/v1/status", "", "");
    const Json root = Json::parse(said.body, nullptr, false);
    if (said.status == 200 && root.is_object()) {
      bool is_settled = root.value("version", 0) > 0 &&
                        root.value("settled_version", 0) == root.value("version", -1) &&
                        root.value("settled_epoch", 0) == root.value("roster_epoch", -1) &&
                        root.value("roster_epoch", 0) > 0;
      const Json services = root.value("services", Json::object());
      for (const auto &item : services.items()) {
        int ready = 0;
        const Json runners = item.value().value("runners", Json::array());
        for (const Json &runner : runners)
          ready += runner.value("is_ready", false) && !runner.value("is_leaving", false) ? 1 : 0;
        is_settled = is_settled && ready >= item.value().value("wanted", 0);
      }
      if (is_settled) {
        std::cout << "settled: version " << root.value("version", 0) << "\n";
        return Exit::done;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  std::cerr << "wharfctl: not settled in time\n";
  return Exit::unknown;
}

} // namespace

int main(int count, char **words) {
  Control control;
  std::string places;
  Flags flags("wharfctl",
              "apply FILE | patch FILE | try FILE | try-patch FILE | diff FILE | get | version | status | "
              "wait | check FILE | options");
  flags.text("at", places, "Operators' addresses of harbourd, separated by commas");
  flags.text("token", control.token, "The operators' token");
  flags.text("if-match", control.if_match, "Write only over this version");
  flags.mark("json", control.is_json, "Print what the API said");
  flags.whole("seconds", control.seconds_long, "How long to try or wait");
  const auto read_flags = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read_flags)) return end->say();
  const auto &rest = std::get<std::vector<std::string>>(read_flags);
  const std::string verb = rest.empty() ? "" : rest[0], file = rest.size() < 2 ? "" : rest[1];
  control.places = split_commas(places);

  if (verb == "options") {
    std::cout << describe_options();
    return Exit::done;
  }
  std::string body;
  if (verb == "apply" || verb == "patch" || verb == "check" || verb == "try" || verb == "try-patch" ||
      verb == "diff") {
    const auto bytes = slurp(file);
    if (!bytes) {
      std::cerr << "wharfctl: '" << file << "' cannot be read\n";
      return Exit::wrong_call;
    }
    body = *bytes;
  }
  if (verb == "check") {
    auto read = read_charter(body);
    const auto *errors = std::get_if<CharterErrors>(&read);
    if (errors == nullptr) {
      std::cout << file << ": fine\n";
      return Exit::done;
    }
    for (const Fault &fault : errors->faults)
      std::cerr << file << ": " << fault.path << ": " << fault.what << "\n";
    return Exit::refused;
  }
  if (control.places.empty() || control.token.empty()) {
    std::cerr << "wharfctl: --at and --token are needed\n";
    return Exit::wrong_call;
  }
  if (verb == "apply")
    return finish(control, call(control, "PUT", "/v1/manifest", body, random_id()), "applied");
  if (verb == "patch")
    return finish(control, call(control, "PATCH", "/v1/manifest", body, random_id()), "patched");
  if (verb == "try" || verb == "try-patch")
    return finish(control, call(control, verb == "try" ? "PUT" : "PATCH", "/v1/trial", body, ""),
                  "would be taken");
  if (verb == "diff") return show_difference(control, body, file);
  if (verb == "wait") return wait_settled(control);
  if (verb == "get" || verb == "version" || verb == "status") {
    const Said said = call(control, "GET", verb == "get" ? "/v1/manifest" : "/v1/" + verb, "", "");
    if (said.status != 200) return finish(control, said, verb);
    const Json root = verb == "status" && !control.is_json ? Json::parse(said.body, nullptr, false) : Json();
    if (root.is_object())
      print_status(root);
    else
      std::cout << said.body;
    return Exit::done;
  }
  std::cerr << "wharfctl: say apply, patch, get, version, status, wait, check or options; see --help\n";
  return Exit::wrong_call;
}
