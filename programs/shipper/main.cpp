#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "audit/audit.hpp"
#include "bosun/door.hpp"
#include "bosun/flags.hpp"
#include "bosun/words.hpp"
#include "hawser/hawser.hpp"
#include "seal/seal.hpp"

namespace {
using namespace wharf;
using Json = nlohmann::json;

struct MixEntry {
  double share = 1;
  std::string method = "GET", path = "/", body;
  std::int64_t wait_ms = 0;
  bool is_once = false;
};

/// Fills `{low-high}` with a number from that range, as wide as `low` is written.
std::string fill(std::string_view pattern, Dice &dice) {
  std::string text;
  while (!pattern.empty()) {
    const auto open = pattern.find('{');
    text += pattern.substr(0, open);
    if (open == std::string_view::npos) break;
    const auto close = pattern.find('}', open), dash = pattern.find('-', open);
    if (close == std::string_view::npos || dash > close) break;
    const std::string low(pattern.substr(open + 1, dash - open - 1)),
        high(pattern.substr(dash + 1, close - dash - 1));
    const std::uint64_t from = std::stoull(low), to = std::stoull(high);
    std::string number = std::to_string(from + dice.below(to - from + 1));
    while (number.size() < low.size()) number.insert(0, "0");
    text += number;
    pattern.remove_prefix(close + 1);
  }
  return text;
}

struct ShipOptions {
  std::vector<std::string> pilots;
  std::string journal;
  double rate = 300, seconds_long = 10;
  long threads = 64;
  std::uint64_t seed = 1;
};

/// Sends a mix of errands at a fixed rate and records what each caller was told.
class Shipper {
public:
  Shipper(ShipOptions options, std::vector<MixEntry> mix,
          std::vector<std::pair<std::string, std::string>> keys)
      : options_(std::move(options)), mix_(std::move(mix)), keys_(std::move(keys)) {
    if (!options_.journal.empty()) journal_.open(options_.journal, std::ios::app);
    for (const MixEntry &entry : mix_) share_sum_ += entry.share;
  }

  void run() {
    const auto count = static_cast<std::uint64_t>(options_.rate * options_.seconds_long);
    started_ = tide_.now();
    std::vector<std::unique_ptr<Duty>> crew;
    for (long at = 0; at < options_.threads; ++at)
      crew.push_back(std::make_unique<Duty>("shipper", [this, count] { work(count); }));
    crew.clear();
  }

  void report() {
    std::sort(latencies_.begin(), latencies_.end());
    const auto at = [&](double share) {
      return latencies_.empty()
                 ? 0.0
                 : latencies_[static_cast<std::size_t>(share * static_cast<double>(latencies_.size() - 1))] /
                       1e6;
    };
    std::cout << "calls " << latencies_.size() << ", late starts " << late_ << ", ms p50 " << at(0.5)
              << " p95 " << at(0.95) << " p99 " << at(0.99) << " most " << at(1.0) << "\n";
    for (const auto &[name, number] : tally_) std::cout << "  " << name << " " << number << "\n";
  }

private:
  void work(std::uint64_t count) {
    std::map<std::string, std::unique_ptr<httplib::Client>> clients;
    while (stops_caught() == 0) {
      const std::uint64_t number = next_++;
      if (number >= count) return;
      Dice dice(options_.seed * 1000003 + number);
      const Instant due = started_ + static_cast<Span>(static_cast<double>(number) / options_.rate * 1e9);
      while (tide_.now() < due)
        std::this_thread::sleep_for(
            std::chrono::nanoseconds(std::min<Span>(due - tide_.now(), milliseconds(20))));
      if (tide_.now() - due > milliseconds(100)) ++late_;
      send(dice, clients);
    }
  }

  const MixEntry &pick(Dice &dice) const {
    double roll = dice.unit() * share_sum_;
    for (const MixEntry &entry : mix_) {
      if (roll < entry.share) return entry;
      roll -= entry.share;
    }
    return mix_.back();
  }

  void send(Dice &dice, std::map<std::string, std::unique_ptr<httplib::Client>> &clients) {
    const MixEntry &entry = pick(dice);
    const auto &[tenant, key] = keys_[dice.below(keys_.size())];
    const std::string target = fill(entry.path, dice), body = fill(entry.body, dice);
    const std::string once_key = entry.is_once ? "k" + std::to_string(dice.next()) : "";
    for (int attempt = 0; attempt < 3; ++attempt) {
      const std::string &pilot = options_.pilots[dice.below(options_.pilots.size())];
      auto &client = clients[pilot];
      if (!client) {
        std::string ip;
        int port = 0;
        split_address(pilot, ip, port);
        client = std::make_unique<httplib::Client>(ip, port);
        client->set_keep_alive(true);
        client->set_connection_timeout(1);
        client->set_read_timeout(entry.wait_ms > 0 ? entry.wait_ms / 1000 + 5 : 35);
        client->set_tcp_nodelay(true);
      }
      httplib::Headers headers{{"Authorization", "Bearer " + key}};
      if (entry.wait_ms > 0) headers.emplace("X-Wharf-Wait-Ms", std::to_string(entry.wait_ms));
      if (!once_key.empty()) headers.emplace("Idempotency-Key", once_key);
      httplib::Request request;
      request.method = entry.method;
      request.path = target;
      request.headers = headers;
      if (entry.method != "GET") {
        request.body = body;
        request.headers.emplace("Content-Type", "application/json");
      }
      const Instant sent = tide_.now();
      const auto result = client->send(request);
      const Instant answered = tide_.now();
      if (record(entry, tenant, target, request.body, once_key, sent, answered, result) || once_key.empty())
        return;
    }
  }

  bool record(const MixEntry &entry, const std::string &tenant, const std::string &target,
              const std::string &body, const std::string &once_key, Instant sent, Instant answered,
              const httplib::Result &result) {
    Json line{{"tenant", tenant},        {"method", entry.method},
              {"target", target},        {"body_digest", digest_hex(body)},
              {"once_key", once_key},    {"sent_ns", sent},
              {"answered_ns", answered}, {"wait_ms", entry.wait_ms}};
    std::string name = "link-error";
    if (result) {
      line["status"] = result->status;
      line["errand"] = result->get_header_value("X-Wharf-Errand");
      line["verdict"] = result->get_header_value("X-Wharf-Verdict");
      line["reason"] = result->get_header_value("X-Wharf-Reason");
      if (result->status == 200) {
        const Json answer = Json::parse(result->body, nullptr, false);
        line["answer_errand"] = answer.is_object() ? answer.value("errand", "garbage") : "garbage";
      }
      name = std::to_string(result->status) + " " + result->get_header_value("X-Wharf-Reason") + " " +
             result->get_header_value("X-Wharf-Verdict");
    }
    std::lock_guard guard(mutex_);
    if (journal_) journal_ << line.dump() << "\n";
    ++tally_[name];
    latencies_.push_back(static_cast<double>(answered - sent));
    return result && result->get_header_value("X-Wharf-Verdict") == "run";
  }

  ShipOptions options_;
  std::vector<MixEntry> mix_;
  std::vector<std::pair<std::string, std::string>> keys_;
  SteadyTide tide_;
  double share_sum_ = 0;
  Instant started_ = 0;
  std::atomic<std::uint64_t> next_{0}, late_{0};
  std::mutex mutex_;
  std::ofstream journal_;
  std::map<std::string, std::uint64_t> tally_;
  std::vector<double> latencies_;
};

int run_audit(const Charter &charter, const std::string &calls_path, const std::string &visits_path) {
  const auto calls = slurp(calls_path), visits = slurp(visits_path);
  if (!calls || !visits) {
    std::cerr << "shipper: the records cannot be read\n";
    return 2;
  }
  const Audit found = audit(charter, read_calls(*calls), read_visits(*visits));
  for (const auto &[name, number] : found.counts) std::cout << "  " << name << " " << number << "\n";
  for (const std::string &fault : found.faults) std::cout << "FAULT " << fault << "\n";
  std::cout << (found.faults.empty() ? "audit clean\n" : "audit found faults\n");
  return found.faults.empty() ? 0 : 1;
}
} // namespace

int main(int count, char **words) {
  std::string pilots, manifest, mix_path, audit_visits;
  ShipOptions options;
  long seed = 1;
  Flags flags("shipper", "");
  flags.text("pilots", pilots, "Pilots' HTTP addresses, separated by commas");
  flags.text("manifest", manifest, "Manifest with the tenants' keys");
  flags.text("mix", mix_path, "What to send");
  flags.text("journal", options.journal, "File the callers' records go to");
  flags.real("rate", options.rate, "Errands a second");
  flags.real("seconds", options.seconds_long, "How long to send");
  flags.whole("threads", options.threads, "Callers at the same time");
  flags.whole("seed", seed, "Seed of the mix");
  flags.text("audit", audit_visits,
             "Compare --journal with the runners' records in this file instead of sending");
  const auto read_flags = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read_flags)) return end->say();
  const auto bytes = slurp(manifest);
  auto read = read_charter(bytes.value_or(""));
  const auto *charter = std::get_if<std::shared_ptr<const Charter>>(&read);
  if (charter == nullptr) {
    std::cerr << "shipper: --manifest: no good manifest\n";
    return 2;
  }
  if (!audit_visits.empty()) return run_audit(**charter, options.journal, audit_visits);
  const Json listed = Json::parse(slurp(mix_path).value_or(""), nullptr, false);
  std::vector<MixEntry> mix;
  if (listed.is_array())
    for (const Json &item : listed)
      mix.push_back({item.value("share", 1.0), item.value("method", "GET"), item.value("path", "/"),
                     item.value("body", ""), item.value("wait_ms", std::int64_t{0}),
                     item.value("once", false)});
  std::vector<std::pair<std::string, std::string>> keys;
  for (const Tenant &tenant : (*charter)->tenants)
    for (const std::string &key : tenant.keys) keys.emplace_back(tenant.name, key);
  options.pilots = split_commas(pilots);
  if (mix.empty() || keys.empty() || options.pilots.empty()) {
    std::cerr << "shipper: --pilots, --mix and a manifest with keys are needed\n";
    return 2;
  }
  options.seed = static_cast<std::uint64_t>(seed);
  catch_stops();
  Shipper shipper(options, mix, keys);
  shipper.run();
  shipper.report();
  return 0;
}
