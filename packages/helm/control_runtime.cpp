#include "helm/control_runtime.hpp"

#include <algorithm>
#include <random>

#include "bosun/door.hpp"
#include "bosun/log.hpp"

namespace wharf {

namespace {
Member make_control_member(const ProcessOptions &options, NodeId id) {
  Member self;
  self.id = id;
  self.address = options.address;
  self.http = options.http;
  self.zone = options.zone;
  self.role = static_cast<std::uint8_t>(Role::control);
  self.is_replica = options.replica != 0;
  self.beat =
      first_beat_at(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                   std::chrono::system_clock::now().time_since_epoch())
                                                   .count()));
  return self;
}

/// Small enough for a chunk, and the heartbeat behind it, to pass a slow link between two heartbeats.
constexpr std::size_t snapshot_chunk_bytes = 128u << 10;
/// How much log is kept before a snapshot takes its place: log, snapshot and the next snapshot must fit
/// together in the memory and the disk of a small machine.
constexpr std::size_t compact_bytes = 4u << 20;

/// A call that takes longer to arrive could come after the next leader's.
HttpCallOptions platform_call_options(const RaftOptions &raft, const DescriptorShares &shares) {
  HttpCallOptions made;
  made.links_most = shares.calls;
  made.silent_most = raft.act_delivery_most;
  return made;
}

constexpr std::size_t order_bytes_most = 4u << 20, operator_links_most = 256;
/// Copies of an order's text that are held until it is decided: the request, the manifest made of it, the
/// text kept with the manifest, and the entry of the log.
constexpr std::size_t order_copies = 4;
/// What an order may take of the account, so that one leaves room for others.
constexpr std::size_t order_share_divisor = 2;

HttpDoorOptions door_options(MemoryAccount &memory, const DescriptorShares &shares) {
  HttpDoorOptions made;
  made.bounds.body_most = order_bytes_most;
  made.links_most = std::min(operator_links_most, shares.clients);
  made.memory = &memory;
  made.body_within = seconds(20);
  return made;
}
CableOptions cable_options(MemoryAccount &memory, const DescriptorShares &shares) {
  CableOptions made;
  made.accepted_most = shares.inner + shares.clients;
  made.memory = &memory;
  return made;
}

HttpMessage refusal(int status, const std::string &what) {
  HttpMessage response;
  response.status = status;
  response.set("Content-Type", "text/plain");
  if (status == 503) response.set("Retry-After", "1");
  response.body = what + "\n";
  return response;
}
} // namespace

ControlRuntime::ControlRuntime(const ProcessOptions &options, ControlRuntimeOptions helm, NodeId id,
                               std::unique_ptr<LogStorage> storage, const Recovered &recovered,
                               OperatorsWire &operators, PlatformWire &platform)
    : options_(options), helm_(helm), operators_(operators), platform_(platform),
      self_(make_control_member(options, id)), seeds_(options.seed_list()),
      memory_(client_memory_bound(memory_mb_of(options))),
      shares_(descriptor_shares(descriptors_of(options))),
      cables_(
          loop_, options.listen.empty() ? options.address : options.listen,
          [this](Envelope &&envelope) { control_->receive(envelope, tide_.now(), out_); },
          cable_options(memory_, shares_)),
      calls_(loop_, platform_call_options(helm.control.raft, shares_)),
      door_(loop_, options.http, *this, door_options(memory_, shares_)) {
  build(recovered);
  disk_ = std::make_unique<DiskWorker>(std::move(storage), [this](DiskEvent &&word) {
    loop_.post([this, kept = std::make_shared<DiskEvent>(std::move(word))] { disk_said(std::move(*kept)); });
  });
  log_line("up, id " + std::to_string(self_.id) + ", operators at " + options_.http + ", " +
           std::to_string(memory_.bound() >> 20) + " MiB for them and peers");
}

ControlRuntime::~ControlRuntime() = default;

ControlRuntimeOptions control_runtime_options(const ProcessOptions &options) {
  ControlRuntimeOptions made;
  made.control.must_trace_runners = must_trace(options);
  made.control.platform_pace = static_cast<double>(options.pace);
  made.control.may_found = options.may_found != 0;
  made.control.is_replica = options.replica != 0;
  made.control.founding_patience = seconds(2);
  made.control.raft.snapshot_chunk_bytes = snapshot_chunk_bytes;
  made.control.compact_bytes = compact_bytes;
  made.control.duty = helm_duty;
  made.control.membership.told_each = helm_told_each;
  made.control.pilot_silence = milliseconds(900);
  made.control.enrol_gather = milliseconds(150);
  made.control.must_wait_roster = false;
  made.control.clock_every = seconds(1);
  return made;
}

void ControlRuntime::build(const Recovered &recovered) {
  std::random_device source;
  Member self = self_;
  if (control_) self.beat = control_->membership().self().beat + 1;
  control_ = std::make_unique<ControlNode>(self, seeds_, helm_.control,
                                           (static_cast<std::uint64_t>(source()) << 32) | source(), recovered,
                                           tide_.now());
}

void ControlRuntime::set_seeds(std::vector<std::string> seeds) {
  seeds_ = seeds;
  control_->membership().set_seeds(std::move(seeds));
}

void ControlRuntime::disk_said(DiskEvent &&word) {
  const Instant now = tide_.now();
  if (const auto *done = std::get_if<DiskDone>(&word)) {
    control_->saved(done->ticket, now, out_);
  } else if (const auto *refused = std::get_if<DiskRefused>(&word)) {
    log_warning(refused->what);
    control_->disk_failed(now, out_);
  } else if (const auto *opened = std::get_if<DiskOpened>(&word)) {
    carry_out();
    out_ = {};
    build(opened->recovered);
    log_line("the disk is open again");
  }
}

std::optional<HttpMessage> ControlRuntime::refusal_of(const JsonShape &shape, std::size_t bytes) {
  if (const auto fault = nesting_fault(shape)) return refusal(400, *fault);
  if (bytes > memory_.bound() / order_share_divisor)
    return refusal(413, "too much for this machine's memory");
  if (!memory_.make_room_for(bytes)) return refusal(503, "no memory");
  return std::nullopt;
}

void ControlRuntime::asked(LinkId link, HttpMessage &&request) {
  if (asks_for_metrics(request)) {
    door_.answer(link, metrics_response(metrics(tide_.now())), true);
    return;
  }
  const JsonShape shape = shape_of_json(request.body);
  const std::size_t bytes = request.held_bytes() + order_copies * request.body.size() + shape.parsed_bytes();
  if (auto refused = refusal_of(shape, bytes)) {
    door_.answer(link, std::move(*refused), true);
    return;
  }
  const auto charge = std::make_shared<const MemoryCharge>(&memory_, bytes);
  auto read = operators_.read(request);
  if (auto *response = std::get_if<HttpMessage>(&read)) {
    door_.answer(link, std::move(*response), true);
    return;
  }
  auto &ask = std::get<OperatorAsk>(read);
  ask.ticket = next_ticket_++;
  ask.charge = charge;
  talks_[ask.ticket] = {link, std::move(request), tide_.now() + helm_.operator_within, charge};
  control_->operate(std::move(ask), tide_.now(), out_);
}

/// The order goes on, and its answer, or the lack of one in time, ends what is left of the link.
void ControlRuntime::left(LinkId) {}

void ControlRuntime::answered(const OperatorSay &say) {
  const auto found = talks_.find(say.ticket);
  if (found == talks_.end()) return;
  door_.answer(found->second.link, operators_.tell(found->second.request, say), true);
  talks_.erase(found);
}

void ControlRuntime::maintain_talks(Instant now) {
  std::vector<std::uint64_t> late;
  for (const auto &[ticket, talk] : talks_)
    if (now >= talk.until) late.push_back(ticket);
  for (std::uint64_t ticket : late) {
    door_.answer(talks_[ticket].link, operators_.silent(talks_[ticket].request), true);
    talks_.erase(ticket);
  }
}

HttpCall ControlRuntime::platform_call(HttpMessage request) {
  ++platform_calls_;
  HttpCall call;
  call.address = options_.platform;
  call.peer = "platform";
  call.request = std::move(request);
  call.deadline = tide_.now() + helm_.call_within;
  call.rested_most = seconds(2);
  return call;
}

void ControlRuntime::maintain_lists(Instant now) {
  if (options_.platform.empty() || !control_->is_leading() || now < listing_until_) return;
  if (now >= workers_at_) {
    workers_at_ = now + helm_.list_workers;
    HttpCall call = platform_call(platform_.ask_workers());
    call.done = [this](CallAnswer &&answer) {
      std::vector<WorkerSeen> workers;
      const bool is_read =
          answer.fate == CallFate::answered && platform_.read_workers(answer.response, workers);
      if (!is_read) {
        ++platform_away_;
        return;
      }
      workers_ = std::move(workers);
      if (!has_workers_) runners_at_ = 0;
      has_workers_ = true;
    };
    calls_.call(std::move(call));
  }
  if (!has_workers_ || now < runners_at_) return;
  runners_at_ = now + helm_.list_runners;
  listing_until_ = now + helm_.call_within;
  list_runners({}, std::make_shared<PlatformView>());
}

void ControlRuntime::list_runners(const std::string &page, const std::shared_ptr<PlatformView> &snapshot) {
  HttpCall call = platform_call(platform_.ask_runners(page));
  call.done = [this, snapshot](CallAnswer &&answer) {
    std::string next;
    const bool is_read =
        answer.fate == CallFate::answered && platform_.read_runners(answer.response, snapshot->runners, next);
    if (!is_read) {
      ++platform_away_;
      listing_until_ = 0;
      return;
    }
    if (!next.empty() && snapshot->runners.size() < 1'000'000) {
      list_runners(next, snapshot);
      return;
    }
    listing_until_ = 0;
    snapshot->workers = workers_;
    control_->platform_seen(std::move(*snapshot), tide_.now(), out_);
  };
  calls_.call(std::move(call));
}

void ControlRuntime::give_order(const PlatformOrder &order) {
  HttpCall call = platform_call(platform_.order(order));
  call.may_send = [this, order] { return control_->may_send(order, tide_.now()); };
  call.done = [this, order](CallAnswer &&answer) {
    const HttpMessage *response = answer.fate == CallFate::answered ? &answer.response : nullptr;
    control_->platform_said(platform_.read_order(order, response), tide_.now(), out_);
  };
  calls_.call(std::move(call));
}

void ControlRuntime::carry_out() {
  for (int round = 0; round < 16; ++round) {
    if (out_.mail.empty() && out_.batches.empty() && out_.answers.empty() && out_.orders.empty() &&
        out_.lines.empty())
      break;
    ControlOutput taken;
    std::swap(taken, out_);
    for (WriteBatch &save : taken.batches) disk_->give(std::move(save));
    for (Posted &posted : taken.mail) {
      const std::string address =
          posted.to == 0 ? posted.address : control_->membership().address_of(posted.to);
      if (address.empty()) continue;
      const Envelope envelope{self_.id, self_.address, std::move(posted.signal)};
      const std::string bytes = frame(envelope);
      traffic_meter_.sent(envelope.signal, bytes.size());
      cables_.send(address, bytes);
    }
    for (const PlatformOrder &order : taken.orders) give_order(order);
    for (const OperatorSay &say : taken.answers) answered(say);
    for (const std::string &line : taken.lines) log_line(line);
  }
  cables_.flush();
}

Metrics ControlRuntime::metrics(Instant now) const {
  Metrics figures = control_->gauges(now);
  figures["platform_calls"] = platform_calls_;
  figures["platform_away"] = platform_away_;
  figures["client_bytes"] = memory_.used();
  figures["client_bytes_peak"] = memory_.peak();
  figures["client_bytes_bound"] = memory_.bound();
  figures["door_links"] = door_.links();
  figures.insert(door_.counters().begin(), door_.counters().end());
  figures["disk_writes"] = disk_->writes();
  figures["frames_dropped"] = cables_.dropped();
  figures["frame_bytes"] = cables_.bytes_sent();
  traffic_meter_.report(figures);
  loop_meter_.report(figures);
  return figures;
}

void ControlRuntime::tell_counters(Instant now) {
  if (now < count_at_) return;
  count_at_ = now + helm_.count_every;
  log_line(metrics_line(metrics(now)));
  loop_meter_.begin_span(now);
}

bool ControlRuntime::is_over(Instant now) const {
  if (leaving_at_ == 0 || now - leaving_at_ < helm_.leave_least) return false;
  return control_->may_end(now) || now - leaving_at_ >= helm_.leave_most;
}

int ControlRuntime::run() {
  Instant tick_at = 0;
  while (!is_over(tide_.now())) {
    loop_.turn(std::clamp<Span>(tick_at - tide_.now(), 0, helm_.tick));
    const Instant now = tide_.now();
    if (now >= tick_at) {
      loop_meter_.tick_ran(tick_at, now);
      control_->tick(now, out_);
      calls_.tick(now);
      door_.tick(now);
      maintain_talks(now);
      maintain_lists(now);
      tell_counters(now);
      if (watch_) watch_();
      tick_at = now + helm_.tick;
      if (stops_caught() > 0 && leaving_at_ == 0) {
        leaving_at_ = now;
        log_line("draining");
        door_.drain();
        control_->set_leaving(now, out_);
      }
    }
    carry_out();
  }
  disk_.reset();
  log_line("down");
  return 0;
}

} // namespace wharf
