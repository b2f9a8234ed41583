#include <cstdio>
#include <fstream>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <set>

#include "bosun/door.hpp"
#include "bosun/flags.hpp"
#include "capstan/ring.hpp"
#include "hawser/hawser.hpp"
#include "seal/seal.hpp"

namespace {
using namespace wharf;
using Json = nlohmann::json;

/// What the stand-in platform is told on its command line.
struct YardOptions {
  std::string address = "127.0.0.1:0", journal;
  long workers = 12, zones = 4, memory_mb = 6144, pace = 80, boot_ms = 300, late_ms = 300;
};

/// Misbehaviour a runner shows, as shares of its errands.
struct Mischief {
  double lose = 0, garbage = 0, truncate = 0, foreign = 0, refuse = 0, hang = 0, crash = 0;
};

/// Runners' own records, one JSON line a visit.
class Journal {
public:
  explicit Journal(const std::string &path) {
    if (!path.empty()) file_.open(path, std::ios::app);
  }
  void add(const Json &line) {
    std::lock_guard guard(mutex_);
    if (file_) file_ << line.dump() << "\n" << std::flush;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
};

bool never(std::size_t, std::size_t, httplib::DataSink &) { return false; }

struct HalfBody {
  std::string body;
  bool operator()(std::size_t offset, std::size_t, httplib::DataSink &sink) const {
    if (offset > 0) return false;
    sink.write(body.data(), body.size() / 2);
    return true;
  }
};

/// One runner: a small server of its own with its own seal key.
class Runner {
public:
  Runner(Json order, Journal &journal, std::string ip) : order_(std::move(order)), journal_(journal) {
    id_ = order_.at("runner");
    service_ = order_.value("service", "");
    seal_key_ = order_.value("seal_key", "");
    slots_ = order_.value("slots", 1);
    const std::string image = order_.value("image", "");
    const auto at = image.find("ms=");
    if (at != std::string::npos) serve_ms_ = std::atoi(image.c_str() + at + 3);
    const auto size_at = image.find("bytes=");
    if (size_at != std::string::npos) answer_bytes_ = std::strtoull(image.c_str() + size_at + 6, nullptr, 10);
    set_up_door(server_, static_cast<std::size_t>(slots_) + 2, 16u << 20,
                [this](const httplib::Request &request, const httplib::Headers &original,
                       httplib::Response &response) { serve(request, original, response); });
    server_.set_keep_alive_max_count(1);
    const int port = server_.bind_to_any_port(ip);
    address_ = ip + ":" + std::to_string(port);
    duty_ = std::make_unique<Duty>("runner", [this] { server_.listen_after_bind(); });
  }
  ~Runner() {
    is_gone_ = true;
    while (!server_.is_running() && !has_crashed_) std::this_thread::yield();
    server_.stop();
  }
  void crash() {
    is_gone_ = true;
    has_crashed_ = true;
    server_.stop();
  }
  const std::string &address() const { return address_; }
  bool has_crashed() const { return has_crashed_; }
  void set_mischief(const Mischief &mischief) {
    std::lock_guard guard(mutex_);
    mischief_ = mischief;
  }

private:
  std::string pick() {
    std::lock_guard guard(mutex_);
    double roll = dice_.unit();
    for (const auto &[name, share] : {std::pair<const char *, double>{"lose", mischief_.lose},
                                      {"garbage", mischief_.garbage},
                                      {"truncate", mischief_.truncate},
                                      {"foreign", mischief_.foreign},
                                      {"refuse", mischief_.refuse},
                                      {"hang", mischief_.hang},
                                      {"crash", mischief_.crash}}) {
      if (roll < share) return name;
      roll -= share;
    }
    return {};
  }

  void serve(const httplib::Request &request, const httplib::Headers &original, httplib::Response &response) {
    const auto header = [&](const char *name) {
      const auto found = original.find(name);
      return found == original.end() ? std::string() : found->second;
    };
    const int running = ++running_;
    const std::string errand = header("X-Wharf-Errand"), mischief = pick();
    const Instant begun = tide_.now();
    const bool is_refusal = mischief == "refuse" || is_gone_;
    if (!is_refusal) {
      const Instant until = begun + milliseconds(mischief == "hang" ? 60'000 : serve_ms_);
      while (tide_.now() < until && !is_gone_)
        std::this_thread::sleep_for(std::chrono::milliseconds(std::min(5, std::max(1, serve_ms_))));
    }
    Json line{{"errand", errand},
              {"tenant", header("X-Wharf-Tenant")},
              {"service", service_},
              {"runner", id_},
              {"method", request.method},
              {"target", request.target},
              {"begun_ns", begun},
              {"ended_ns", tide_.now()},
              {"body_digest", digest_hex(request.body)},
              {"running", running},
              {"slots", slots_},
              {"has_run", !is_refusal},
              {"has_key", original.count("Authorization") > 0}};
    journal_.add(line);
    --running_;
    std::string body = is_refusal
                           ? "{\"refused\": true}\n"
                           : Json{{"errand", errand}, {"service", service_}, {"ran", true}}.dump() + "\n";
    if (!is_refusal) body.resize(std::max(body.size(), answer_bytes_), ' ');
    const std::string type = "application/json";
    response.status = is_refusal ? 503 : 200;
    response.set_header("X-Wharf-Outcome", is_refusal ? "refusal" : "answer");
    response.set_header("X-Wharf-Seal", seal_of(seal_key_, errand, is_refusal, response.status, type, body));
    response.set_content(body, type);
    if (mischief == "crash") crash();
    if (mischief == "lose" || mischief == "hang" || mischief == "crash") {
      response.body.clear();
      response.set_content_provider(body.size(), type, never);
    } else if (mischief == "garbage") {
      response.body = "@#$%";
    } else if (mischief == "truncate") {
      response.body.clear();
      response.set_content_provider(body.size(), type, HalfBody{body});
    } else if (mischief == "foreign") {
      response.headers.erase("X-Wharf-Seal");
      response.set_header("X-Wharf-Seal", seal_of(seal_key_, errand + "x", false, 200, type, body));
    }
  }

  Json order_;
  Journal &journal_;
  SteadyTide tide_;
  std::string id_, service_, seal_key_, address_;
  int slots_ = 1, serve_ms_ = 5;
  /// The least size of an answer.
  std::size_t answer_bytes_ = 0;
  std::mutex mutex_;
  Mischief mischief_;
  Dice dice_{stable_hash(id_.data(), id_.size())};
  std::atomic<int> running_{0};
  std::atomic<bool> is_gone_{false}, has_crashed_{false};
  httplib::Server server_;
  std::unique_ptr<Duty> duty_;
};

/// The stand-in platform: caps the pace, lists late, drains workers.
class Yard {
public:
  explicit Yard(YardOptions options) : options_(std::move(options)), journal_(options_.journal) {
    for (long at = 0; at < options_.workers; ++at) {
      const std::string id = "w" + std::to_string(at + 1);
      workers_[id] = {id, std::string(1, static_cast<char>('a' + at % options_.zones)), false, false};
    }
    split_address(options_.address, ip_, port_);
    tokens_ = static_cast<double>(options_.pace);
    pace_at_ = tide_.now();
  }

  int run() {
    set_up_door(server_, 16, 1u << 20,
                [this](const httplib::Request &request, const httplib::Headers &,
                       httplib::Response &response) { serve(request, response); });
    if (!server_.bind_to_port(ip_, port_)) {
      std::cerr << "dockyard: cannot listen on " << options_.address << "\n";
      return 1;
    }
    Duty tending("tend", [this] { tend(); });
    Duty listening("listen", [this] { server_.listen_after_bind(); });
    while (stops_caught() == 0) std::this_thread::sleep_for(std::chrono::milliseconds(20));
    server_.stop();
    is_stopping_ = true;
    listening.join();
    tending.join();
    std::_Exit(0);
  }

private:
  struct Worker {
    std::string id, zone;
    bool is_draining = false, is_down = false;
  };
  struct Berthed {
    Json order;
    std::string state = "booting";
    Instant ready_at = 0, stop_at = 0;
    std::shared_ptr<Runner> runner;
  };

  bool take_pace() {
    const Instant now = tide_.now();
    tokens_ = std::min<double>(static_cast<double>(options_.pace),
                               tokens_ + static_cast<double>(options_.pace) *
                                             static_cast<double>(now - pace_at_) / 1e9);
    pace_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  void tend() {
    while (!is_stopping_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      std::vector<std::shared_ptr<Runner>> dropped;
      std::vector<std::pair<std::string, Json>> booted;
      {
        std::lock_guard guard(mutex_);
        const Instant now = tide_.now();
        for (auto item = runners_.begin(); item != runners_.end();) {
          Berthed &berthed = item->second;
          const bool is_down = workers_[berthed.order.at("worker")].is_down;
          if ((berthed.stop_at != 0 && now >= berthed.stop_at) || is_down ||
              (berthed.runner && berthed.runner->has_crashed())) {
            if (berthed.runner) dropped.push_back(berthed.runner);
            item = runners_.erase(item);
            continue;
          }
          if (berthed.state == "booting" && now >= berthed.ready_at && !berthed.runner)
            booted.emplace_back(item->first, berthed.order);
          ++item;
        }
      }
      for (auto &runner : dropped) {
        runner->crash();
        graveyard_.push_back(runner);
      }
      for (auto &[id, order] : booted) {
        auto runner = std::make_shared<Runner>(order, journal_, ip_);
        std::lock_guard guard(mutex_);
        runner->set_mischief(mischief_[order.value("service", "")]);
        const auto found = runners_.find(id);
        if (found == runners_.end()) continue;
        found->second.runner = runner;
        if (found->second.state == "booting") found->second.state = "ready";
      }
      remember_listing();
    }
  }

  void remember_listing() {
    std::lock_guard guard(mutex_);
    Json runners = Json::array(), workers = Json::array();
    for (const auto &[id, berthed] : runners_)
      runners.push_back({{"runner", id},
                         {"service", berthed.order.value("service", "")},
                         {"worker", berthed.order.at("worker")},
                         {"state", berthed.state},
                         {"address", berthed.runner ? berthed.runner->address() : ""}});
    for (const auto &[id, worker] : workers_)
      if (!worker.is_down)
        workers.push_back({{"worker", id},
                           {"zone", worker.zone},
                           {"memory_mb", options_.memory_mb},
                           {"draining", worker.is_draining}});
    const Instant now = tide_.now();
    listings_.push_back({now, runners.dump(), workers.dump()});
    while (listings_.size() > 1 && listings_[1].at <= now - milliseconds(options_.late_ms))
      listings_.pop_front();
  }

  void serve(const httplib::Request &request, httplib::Response &response) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    std::lock_guard guard(mutex_);
    const auto say = [&](int status, const std::string &body) {
      response.status = status;
      response.set_content(body, "application/json");
    };
    if (request.method == "GET" && path == "/v1/workers")
      return say(200, listings_.empty() ? "[]" : listings_.front().workers);
    if (request.method == "GET" && path == "/v1/runners")
      return say(200, listings_.empty() ? "[]" : listings_.front().runners);
    if (request.method == "POST" && path == "/v1/runners") return start(request.body, say);
    if (request.method == "DELETE" && path.starts_with("/v1/runners/"))
      return stop(path.substr(12), request, say);
    if (request.method == "POST" && path == "/v1/mischief") return set_mischief(request.body, say);
    if (request.method == "POST" && path.starts_with("/v1/workers/"))
      return touch_worker(path.substr(12), say);
    say(404, "{}");
  }

  template <typename Say> void start(const std::string &body, Say say) {
    const Json order = Json::parse(body, nullptr, false);
    if (!order.is_object() || !order.contains("runner") || !order.contains("worker")) return say(400, "{}");
    const std::string id = order.at("runner"), worker = order.at("worker");
    if (runners_.contains(id)) return say(200, "{\"why\": \"exists\"}");
    if (!workers_.contains(worker) || workers_[worker].is_down || workers_[worker].is_draining)
      return say(409, "{\"why\": \"no such worker\"}");
    long used = order.value("memory_mb", 0);
    for (const auto &[other, berthed] : runners_)
      if (berthed.order.at("worker") == worker) used += berthed.order.value("memory_mb", 0);
    if (used > options_.memory_mb) return say(409, "{\"why\": \"no memory\"}");
    if (!take_pace()) return say(429, "{\"why\": \"too fast\"}");
    runners_[id] = {order, "booting", tide_.now() + milliseconds(options_.boot_ms), 0, nullptr};
    say(202, "{}");
  }

  template <typename Say> void stop(const std::string &id, const httplib::Request &request, Say say) {
    const auto found = runners_.find(id);
    if (found == runners_.end()) return say(404, "{}");
    if (found->second.state != "stopping" && !take_pace()) return say(429, "{\"why\": \"too fast\"}");
    const long grace =
        request.has_param("grace_ms") ? std::atol(request.get_param_value("grace_ms").c_str()) : 0;
    found->second.state = "stopping";
    if (found->second.stop_at == 0)
      found->second.stop_at = tide_.now() + milliseconds(std::min(grace, 10'000L));
    say(202, "{}");
  }

  template <typename Say> void set_mischief(const std::string &body, Say say) {
    const Json item = Json::parse(body, nullptr, false);
    if (!item.is_object()) return say(400, "{}");
    Mischief mischief;
    mischief.lose = item.value("lose", 0.0);
    mischief.garbage = item.value("garbage", 0.0);
    mischief.truncate = item.value("truncate", 0.0);
    mischief.foreign = item.value("foreign", 0.0);
    mischief.refuse = item.value("refuse", 0.0);
    mischief.hang = item.value("hang", 0.0);
    mischief.crash = item.value("crash", 0.0);
    const std::string service = item.value("service", "");
    mischief_[service] = mischief;
    for (auto &[id, berthed] : runners_)
      if (berthed.runner && berthed.order.value("service", "") == service)
        berthed.runner->set_mischief(mischief);
    say(200, "{}");
  }

  template <typename Say> void touch_worker(const std::string &rest, Say say) {
    const auto slash = rest.find('/');
    const auto found = workers_.find(rest.substr(0, slash));
    if (found == workers_.end() || slash == std::string::npos) return say(404, "{}");
    const std::string what = rest.substr(slash + 1);
    found->second.is_draining = what == "drain";
    found->second.is_down = what == "crash";
    if (what == "drain")
      for (auto &[id, berthed] : runners_)
        if (berthed.order.at("worker") == found->first && berthed.stop_at == 0) {
          berthed.state = "stopping";
          berthed.stop_at = tide_.now() + seconds(6);
        }
    say(200, "{}");
  }

  struct Listing {
    Instant at = 0;
    std::string runners, workers;
  };
  YardOptions options_;
  Journal journal_;
  SteadyTide tide_;
  std::string ip_;
  int port_ = 0;
  std::mutex mutex_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, Berthed> runners_;
  std::map<std::string, Mischief> mischief_;
  std::deque<Listing> listings_;
  std::list<std::shared_ptr<Runner>> graveyard_;
  double tokens_ = 0;
  Instant pace_at_ = 0;
  httplib::Server server_;
  std::atomic<bool> is_stopping_{false};
};
} // namespace

int main(int count, char **words) {
  YardOptions options;
  Flags flags("dockyard", "");
  flags.text("address", options.address, "Address of the platform's API");
  flags.text("journal", options.journal, "File the runners' records go to");
  flags.whole("workers", options.workers, "Workers");
  flags.whole("zones", options.zones, "Zones the workers are spread over");
  flags.whole("memory-mb", options.memory_mb, "Memory of one worker");
  flags.whole("pace", options.pace, "Starts and stops a second");
  flags.whole("boot-ms", options.boot_ms, "How long a runner boots");
  flags.whole("late-ms", options.late_ms, "How late lists are");
  const auto read_flags = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read_flags)) return end->say();
  catch_stops();
  Yard yard(options);
  return yard.run();
}
