#include "soak/platform_standin.hpp"

#include <algorithm>

namespace wharf::soak {

/// One runner: a server whose work ends by the clock, or when its caller goes away.
class PlatformStandin::Runner final : public HttpDoorSink {
public:
  Runner(PlatformStandin &platform, RunnerEntry entry, const ServiceSpec &service, Instant up_at)
      : platform_(platform), entry_(std::move(entry)), service_(service), up_at_(up_at) {
    entry_.address = port_.address();
  }
  const RunnerEntry &entry() const { return entry_; }
  const ServiceSpec &service() const { return service_; }
  bool is_up() const { return door_ != nullptr; }
  bool is_over() const { return is_stopped_ && work_.empty(); }

  void asked(LinkId link, HttpMessage &&request) override {
    const auto ask = platform_.wire_.read_run(request);
    const Instant now = platform_.tide_.now();
    if (!ask) {
      door_->answer(link, platform_.wire_.refused(400), false);
      return;
    }
    if (!ask->expected_runner.empty() && ask->expected_runner != entry_.id) {
      door_->answer(link, platform_.wire_.wrong_runner_answer(entry_.id), true);
      return;
    }
    RunRecord record{ask->id, entry_.id, service_.name, now, 0, now + milliseconds(ask->work_ms), false};
    record.is_refused = work_.size() >= static_cast<std::size_t>(service_.slots);
    if (record.is_refused) record.ended = now;
    platform_.records_.push_back(record);
    if (record.is_refused)
      door_->answer(link, platform_.wire_.full_answer(*ask), true);
    else
      work_[link] = {*ask, platform_.records_.size() - 1};
  }

  void left(LinkId link) override {
    const auto found = work_.find(link);
    if (found == work_.end()) return;
    platform_.records_[found->second.record].ended = platform_.tide_.now();
    work_.erase(found);
  }

  void tick(Instant now) {
    if (!door_ && now >= up_at_ && !is_stopped_)
      door_ = std::make_unique<HttpDoor>(platform_.loop_, entry_.address, *this, HttpDoorOptions{});
    if (!door_) return;
    std::vector<LinkId> done;
    for (const auto &[link, work] : work_)
      if (now >= platform_.records_[work.record].would_end) done.push_back(link);
    for (LinkId link : done) {
      const auto work = work_.extract(link).mapped();
      platform_.records_[work.record].ended = now;
      door_->answer(link, platform_.wire_.run_answer(work.ask), true);
    }
    door_->tick(now);
  }

  void stop() {
    is_stopped_ = true;
    if (door_) door_->close_listener();
  }

private:
  struct Work {
    RunAsk ask;
    std::size_t record = 0;
  };
  PlatformStandin &platform_;
  RunnerEntry entry_;
  ServiceSpec service_;
  Instant up_at_;
  bool is_stopped_ = false;
  std::map<LinkId, Work> work_;
  HeldPort port_;
  std::unique_ptr<HttpDoor> door_;
};

PlatformStandin::PlatformStandin(Loop &loop, const Wire &wire, PlatformOptions options,
                                 std::vector<RunRecord> &records, std::vector<OrderRecord> &orders)
    : loop_(loop), wire_(wire), options_(std::move(options)), records_(records), orders_(orders),
      door_(loop, port_.address(), *this, HttpDoorOptions{}) {
  for (int at = 0; at < options_.workers; ++at) {
    const std::string &zone = options_.zones[static_cast<std::size_t>(at) % options_.zones.size()];
    workers_.push_back({"w" + std::to_string(at), zone, options_.worker_mb, options_.worker_mb});
  }
}

PlatformStandin::~PlatformStandin() = default;

void PlatformStandin::asked(LinkId link, HttpMessage &&request) {
  door_.answer(link, answer(wire_.read_platform_call(request), tide_.now()), true);
}

HttpMessage PlatformStandin::answer(const PlatformCall &call, Instant now) {
  if (std::holds_alternative<ListRunners>(call)) return list_runners();
  if (std::holds_alternative<ListWorkers>(call)) return list_workers();
  if (const auto *begun = std::get_if<StartRunner>(&call)) return start(*begun, now);
  if (const auto *ended = std::get_if<StopRunner>(&call)) return stop(*ended, now);
  return wire_.refused(404);
}

const ServiceSpec *PlatformStandin::service_named(const std::string &name) const {
  const auto found = std::find_if(options_.services.begin(), options_.services.end(),
                                  [&](const ServiceSpec &service) { return service.name == name; });
  return found == options_.services.end() ? nullptr : &*found;
}

int PlatformStandin::used_mb(const std::string &worker) const {
  int used = 0;
  for (const auto &[id, runner] : runners_)
    if (runner->entry().worker == worker) used += runner->service().memory_mb;
  return used;
}

HttpMessage PlatformStandin::start(const StartRunner &call, Instant now) {
  note_order(true, call.service, call.sender, now);
  const auto known = runner_of_nonce_.find(call.service + "/" + call.nonce);
  if (known != runner_of_nonce_.end()) {
    const auto runner = runners_.find(known->second);
    return runner == runners_.end() ? wire_.refused(409) : wire_.started(runner->second->entry());
  }
  const ServiceSpec *service = service_named(call.service);
  if (service == nullptr) return wire_.refused(400);
  const auto worker = std::find_if(workers_.begin(), workers_.end(),
                                   [&](const WorkerEntry &item) { return item.name == call.worker; });
  const bool has_room = worker != workers_.end() && runners_.size() < options_.runners_most &&
                        used_mb(call.worker) + service->memory_mb <= worker->memory_mb;
  if (!has_room) return wire_.refused(409);
  RunnerEntry entry{"run-" + std::to_string(next_++), service->name, worker->name, worker->zone, {}, false};
  const std::string id = entry.id;
  runner_of_nonce_[call.service + "/" + call.nonce] = id;
  auto runner =
      std::make_unique<Runner>(*this, std::move(entry), *service, now + milliseconds(service->boot_ms));
  return wire_.started(runners_.emplace(id, std::move(runner)).first->second->entry());
}

void PlatformStandin::note_order(bool is_start, const std::string &service, const OrderSender &sender,
                                 Instant now) {
  orders_.push_back({now, is_start, service, sender.holder, sender.fence});
}

HttpMessage PlatformStandin::stop(const StopRunner &call, Instant now) {
  const auto found = runners_.find(call.id);
  if (found != runners_.end()) note_order(false, found->second->service().name, call.sender, now);
  if (found != runners_.end()) found->second->stop();
  return found != runners_.end() || call.id.starts_with("run-") ? wire_.done() : wire_.refused(404);
}

HttpMessage PlatformStandin::list_runners() const {
  std::vector<RunnerEntry> list;
  for (const auto &[id, runner] : runners_)
    if (runner->is_up()) list.push_back(runner->entry());
  return wire_.runner_list(list);
}

HttpMessage PlatformStandin::list_workers() const {
  std::vector<WorkerEntry> list = workers_;
  for (WorkerEntry &worker : list) worker.free_mb = worker.memory_mb - used_mb(worker.name);
  return wire_.worker_list(list);
}

void PlatformStandin::tick(Instant now) {
  door_.tick(now);
  for (auto &[id, runner] : runners_) runner->tick(now);
  std::erase_if(runners_, [](const auto &item) { return item.second->is_over(); });
}

} // namespace wharf::soak
