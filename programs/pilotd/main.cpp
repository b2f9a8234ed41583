#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "bosun/log.hpp"
#include "bosun/machine_limits.hpp"
#include "bosun/options.hpp"
#include "capstan/ring.hpp"
#include "gangway/gangway.hpp"
#include "hawser/hawser.hpp"

namespace {
using namespace wharf;

struct CallerGone {
  std::string errand;
};
using PilotEvent = std::variant<Envelope, Waybill, CallEnd, CallerGone>;
constexpr Span drain_grace = milliseconds(5500);

/// The daemon round one pilot: duties for links, door and core, joined by a bounded ring.
class PilotDaemon final : public PilotDesk {
public:
  explicit PilotDaemon(const ProcessOptions &options)
      : options_(options), self_(make_self(options)),
        pilot_(self_, options.seed_list(), pilot_options(options), tide_.now()), ring_(16384),
        gangway_(*this, door_), memory_(client_memory_bound(memory_mb_of(options))),
        server_(mooring_options(options, memory_)),
        hawser_(options.listen.empty() ? options.address : options.listen,
                [this](Envelope &&envelope) { take(std::move(envelope)); },
                {descriptor_shares(descriptors_of(options)).inner, &memory_}) {}

  int run() {
    set_up_door(server_, 16u << 20,
                [this](const httplib::Request &request, const httplib::Headers &original,
                       httplib::Response &response) { gangway_.serve(request, original, response); });
    std::string ip;
    int port = 0;
    split_address(options_.http, ip, port);
    if (!server_.bind_to_port(ip, port)) {
      std::cerr << "pilotd: cannot listen on " << options_.http << "\n";
      return 1;
    }
    server_.widen();
    Duty core("core", [this] { run_core(); });
    Duty listening("listen", [this] {
      server_.listen_after_bind();
      is_door_closed_ = true;
    });
    log_line("up, id " + std::to_string(self_.id) + ", callers at " + options_.http);
    while (stops_caught() == 0) std::this_thread::sleep_for(std::chrono::milliseconds(20));
    log_line("draining");
    const Instant until = tide_.now() + drain_grace;
    is_leaving_ = true;
    server_.stop();
    while (tide_.now() < until && stops_caught() < 2 && !(is_door_closed_ && is_core_quiet_))
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const bool is_clean = is_door_closed_ && is_core_quiet_;
    log_line(is_clean ? "drained" : "drain cut short");
    if (!is_clean) std::_Exit(stops_caught() >= 2 ? 130 : 3);
    is_stopping_ = true;
    ring_.close();
    core.join();
    listening.join();
    return 0;
  }

  std::variant<Waybill, Fate> front(const ErrandHead &head) override {
    return pilot_.front(head, tide_.now());
  }
  bool hand_in(Waybill bill) override { return ring_.offer(std::move(bill)); }
  void call_ended(CallEnd end) override {
    while (!ring_.offer(end) && !is_stopping_) std::this_thread::yield();
  }
  void caller_gone(const std::string &errand) override { ring_.offer(CallerGone{errand}); }
  std::size_t body_most() const override {
    const InForce force = pilot_.in_force();
    return force.charter ? static_cast<std::size_t>(force.charter->limits.body_most_bytes) : 0;
  }
  std::string story_json(const std::string &errand) override {
    std::lock_guard guard(published_mutex_);
    const auto found = stories_.find(errand);
    if (found == stories_.end()) return {};
    const Reply &reply = found->second;
    nlohmann::json root{{"errand", errand},
                        {"pilot", options_.http},
                        {"service", reply.service},
                        {"rule", reply.rule},
                        {"manifest_version", reply.version},
                        {"runner", reply.runner},
                        {"reason", outcome_of(reply.fate).reason},
                        {"verdict", verdict_name(outcome_of(reply.fate).verdict)},
                        {"story", nlohmann::json::array()}};
    for (const StoryLine &line : reply.story)
      root["story"].push_back({{"after_us", line.after / 1000}, {"what", line.text}});
    return root.dump(2) + "\n";
  }
  std::string counters_json() override {
    std::lock_guard guard(published_mutex_);
    return published_;
  }

private:
  static PilotOptions pilot_options(const ProcessOptions &options) {
    PilotOptions made;
    made.errands_most = static_cast<std::size_t>(options.threads);
    return made;
  }
  static MooringOptions mooring_options(const ProcessOptions &options, MemoryAccount &memory) {
    MooringOptions made;
    made.memory = &memory;
    made.threads = static_cast<std::size_t>(options.threads);
    made.links_most = descriptor_shares(descriptors_of(options)).clients;
    return made;
  }
  static Member make_self(const ProcessOptions &options) {
    std::random_device source;
    Member self;
    self.id = ((static_cast<NodeId>(source()) << 32) | source()) | 1;
    self.address = options.address;
    self.http = options.http;
    self.zone = options.zone;
    self.role = static_cast<std::uint8_t>(Role::pilot);
    return self;
  }

  void take(Envelope &&envelope) {
    if (!ring_.offer(std::move(envelope))) ++ring_full_;
  }

  void run_core() {
    std::deque<PilotEvent> events;
    Instant tick_at = 0;
    while (!is_stopping_) {
      ring_.drain(events, milliseconds(3));
      PilotOutput out;
      for (PilotEvent &event : events) {
        const Instant now = tide_.now();
        if (auto *envelope = std::get_if<Envelope>(&event))
          pilot_.receive(*envelope, now, out);
        else if (auto *bill = std::get_if<Waybill>(&event))
          pilot_.arrive(std::move(*bill), now, out);
        else if (const auto *gone = std::get_if<CallerGone>(&event))
          pilot_.caller_gone(gone->errand, now, out);
        else
          pilot_.call_ended(std::get<CallEnd>(event), now, out);
      }
      const Instant now = tide_.now();
      if (is_leaving_ && !has_left_) {
        has_left_ = true;
        left_at_ = now;
        pilot_.set_leaving();
        tick_at = 0;
      }
      if (now >= tick_at) {
        pilot_.tick(now, out);
        tick_at = now + milliseconds(3);
      }
      carry_out(out);
      if (now >= publish_at_) publish(now);
      if (has_left_) is_core_quiet_ = pilot_.is_quiet(now) && now - left_at_ > milliseconds(500);
    }
  }

  void carry_out(PilotOutput &out) {
    for (Posted &posted : out.mail) {
      const std::string address = posted.to == 0 ? posted.address : pilot_.membership().address_of(posted.to);
      if (!address.empty()) hawser_.send(address, frame({self_.id, self_.address, std::move(posted.signal)}));
    }
    for (Carry &carry : out.carries) {
      const std::string errand = carry.errand;
      door_.give(errand, std::move(carry));
    }
    for (Reply &reply : out.replies) {
      const std::string errand = reply.errand;
      remember(reply);
      door_.give(errand, std::move(reply));
    }
    for (const std::string &line : out.lines) log_line(line);
  }

  /// Keeps what `story_json` tells, and nothing of the answer itself.
  void remember(const Reply &reply) {
    constexpr std::size_t stories_most = 8192;
    Reply kept;
    kept.errand = reply.errand;
    kept.service = reply.service;
    kept.rule = reply.rule;
    kept.runner = reply.runner;
    kept.fate = reply.fate;
    kept.version = reply.version;
    kept.story = reply.story;
    std::lock_guard guard(published_mutex_);
    stories_[reply.errand] = std::move(kept);
    story_order_.push_back(reply.errand);
    if (story_order_.size() <= stories_most) return;
    stories_.erase(story_order_.front());
    story_order_.pop_front();
  }

  void publish(Instant now) {
    publish_at_ = now + milliseconds(100);
    nlohmann::json root;
    for (const auto &[name, value] : pilot_.counters()) root[name] = value;
    for (const auto &[name, value] : pilot_.gauges(now)) root[name] = value;
    for (const auto &[name, value] : server_.counters()) root[name] = value;
    root["frames_dropped"] = hawser_.dropped();
    root["ring_full"] = ring_full_.load();
    root["door_waiting"] = door_.size();
    root["is_settled"] = pilot_.is_settled(now) ? 1 : 0;
    std::lock_guard guard(published_mutex_);
    published_ = root.dump(2) + "\n";
  }

  ProcessOptions options_;
  SteadyTide tide_;
  Member self_;
  Pilot pilot_;
  Ring<PilotEvent> ring_;
  WaitingDoor door_;
  Gangway gangway_;
  /// All that callers make this process hold.
  MemoryAccount memory_;
  Moorings server_;
  std::mutex published_mutex_;
  std::string published_ = "{}\n";
  std::map<std::string, Reply> stories_;
  std::deque<std::string> story_order_;
  Instant publish_at_ = 0, left_at_ = 0;
  bool has_left_ = false;
  std::atomic<bool> is_stopping_{false}, is_leaving_{false}, is_door_closed_{false}, is_core_quiet_{false};
  std::atomic<std::uint64_t> ring_full_{0};
  Hawser hawser_;
};
} // namespace

int main(int count, char **words) {
  auto read = read_launch(ProgramKind::pilotd, count, words);
  if (const auto *end = std::get_if<EndNow>(&read)) return end->say();
  const ProcessOptions options = std::get<Launch>(read).options;
  start_log("pilotd", options.log_level);
  catch_stops();
  return_freed_memory_at_once();
  try {
    PilotDaemon daemon(options);
    return daemon.run();
  } catch (const std::exception &error) {
    std::cerr << "pilotd: " << error.what() << "\n";
    return 1;
  }
}
