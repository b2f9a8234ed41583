#include "helm/pilot_helm.hpp"

#include <algorithm>
#include <random>

#include "bosun/door.hpp"
#include "bosun/log.hpp"

namespace wharf {

namespace {
/// What the pilot keeps of a request besides the message itself.
constexpr std::size_t plan_bytes = 4096;
/// The target stands in the plan, in its trace and in the message.
constexpr std::size_t target_copies = 3;
/// When a request that there was no memory for should come again.
constexpr Span memory_retry_after = seconds(1);

std::size_t bytes_of(const HttpMessage &request) {
  return plan_bytes + request.held_bytes() + (target_copies - 1) * request.target.size();
}

HttpDoorOptions front_options(MemoryAccount &memory, const DescriptorShares &shares) {
  HttpDoorOptions made;
  made.links_most = shares.clients;
  made.memory = &memory;
  return made;
}

/// Who asks whether a process is ready sends a few bytes.
HttpDoorOptions readiness_options(MemoryAccount &memory, const DescriptorShares &shares) {
  HttpDoorOptions made;
  made.bounds = {8192, 1024};
  made.links_most = shares.readiness;
  made.memory = &memory;
  return made;
}

HttpCallOptions runner_call_options(MemoryAccount &memory, const DescriptorShares &shares) {
  HttpCallOptions made;
  made.links_most = shares.calls;
  made.memory = &memory;
  return made;
}

CableOptions cable_options(MemoryAccount &memory, const DescriptorShares &shares) {
  CableOptions made;
  made.accepted_most = shares.inner;
  made.memory = &memory;
  return made;
}
} // namespace

class PilotHelm::ReadinessSink final : public HttpDoorSink {
public:
  ReadinessSink(PilotHelm &helm, const std::string &address)
      : helm_(helm), door_(helm.loop_, address, *this, readiness_options(helm.memory_, helm.shares_)) {}
  void asked(LinkId link, HttpMessage &&request) override {
    if (asks_for_metrics(request))
      door_.answer(link, metrics_response(helm_.metrics(helm_.tide_.now())), true);
    else
      door_.answer(link, helm_.callers_.readiness(request, helm_.is_ready()), true);
  }
  void left(LinkId) override {}
  void tick(Instant now) { door_.tick(now); }

private:
  PilotHelm &helm_;
  HttpDoor door_;
};

Member make_pilot_member(const ProcessOptions &options) {
  std::random_device source;
  Member self;
  self.id = ((static_cast<NodeId>(source()) << 32) | source()) | 1;
  self.address = options.address;
  self.http = options.http;
  self.zone = options.zone;
  self.role = static_cast<std::uint8_t>(Role::pilot);
  return self;
}

PilotHelm::PilotHelm(const ProcessOptions &options, PilotHelmOptions helm, CallersWire &callers,
                     RunnersWire &runners)
    : options_(options), helm_(helm), callers_(callers), runners_(runners), self_(make_pilot_member(options)),
      pilot_(self_, options.seed_list(), helm.pilot, tide_.now()),
      memory_(client_memory_bound(memory_mb_of(options))), requests_memory_(memory_.bound() / 2, &memory_),
      shares_(descriptor_shares(descriptors_of(options))),
      cables_(
          loop_, options.listen.empty() ? options.address : options.listen,
          [this](Envelope &&envelope) { pilot_.receive(envelope, tide_.now(), out_); },
          cable_options(memory_, shares_)),
      calls_(loop_, runner_call_options(memory_, shares_)),
      door_(loop_, options.http, *this, front_options(memory_, shares_)) {
  if (!options.readiness.empty()) readiness_ = std::make_unique<ReadinessSink>(*this, options.readiness);
  errand_prefix_ = random_id().substr(0, 8) + "-";
  log_line("up, id " + std::to_string(self_.id) + ", callers at " + options_.http + ", " +
           std::to_string(memory_.bound() >> 20) + " MiB and " + std::to_string(shares_.clients) +
           " connections for them");
}

PilotHelm::~PilotHelm() = default;

PilotHelmOptions pilot_helm_options(const ProcessOptions &options) {
  PilotHelmOptions made;
  made.pilot.capacity = {thousandths_of(options.link_mbps), thousandths_of(options.cpu_share)};
  made.pilot.is_beside_control = options.beside_control != 0;
  made.pilot.prices = prices_of(options.start_price, options.memory_price);
  made.pilot.must_trace_calls = must_trace(options);
  made.pilot.purser.life = seconds(1);
  // Links here may be narrow: what is late there must not be sent ever more often.
  made.pilot.permit_again_most = milliseconds(240);
  made.pilot.purser.copy_again_most = milliseconds(640);
  made.pilot.purser.fallback_taken = milliseconds(1500);
  made.pilot.purser.start_slack = 0.08;
  made.pilot.fallback_as_before = 1;
  made.pilot.fallback_burst_s = 0.3;
  made.pilot.fallback_after = milliseconds(200);
  made.pilot.duty = helm_duty;
  made.pilot.membership.told_each = helm_told_each;
  made.pilot.report_again = milliseconds(250);
  made.pilot.switch_gap = milliseconds(300);
  made.pilot.sound_again = seconds(10);
  made.pilot.soundings_most = 60;
  return made;
}

std::string PilotHelm::next_errand() { return errand_prefix_ + std::to_string(++errands_); }

bool PilotHelm::is_ready() const {
  return leaving_at_ == 0 && pilot_.in_force().charter && pilot_.may_serve(tide_.now());
}

bool PilotHelm::has_memory_for(std::size_t request) {
  const bool fits = requests_memory_.used() + request <= requests_memory_.bound_for(request);
  return fits && memory_.make_room_for(request);
}

void PilotHelm::turn_away(LinkId link) {
  ++turned_away_;
  Reply reply;
  reply.fate = Fate::no_runner;
  reply.retry_after = memory_retry_after;
  reply.why = "no memory";
  door_.answer(link, callers_.tell(reply, nullptr), true);
}

void PilotHelm::asked(LinkId link, HttpMessage &&request) {
  const std::size_t bytes = bytes_of(request);
  if (!has_memory_for(bytes)) {
    turn_away(link);
    return;
  }
  auto read = callers_.read(request);
  if (auto *answer = std::get_if<HttpMessage>(&read)) {
    door_.answer(link, std::move(*answer), true);
    return;
  }
  ErrandHead &head = std::get<ErrandHead>(read);
  head.id = next_errand();
  head.begun_at = request.begun_at;
  const Instant now = tide_.now();
  auto planned = pilot_.front(head, now);
  if (const auto *fate = std::get_if<Fate>(&planned)) {
    Reply reply;
    reply.errand = head.id;
    reply.fate = *fate;
    reply.retry_after = pilot_.retry_when_stale();
    door_.answer(link, callers_.tell(reply, nullptr), true);
    return;
  }
  errand_of_[link] = head.id;
  cargo_[head.id] = {link, std::move(request), std::nullopt, MemoryCharge(&requests_memory_, bytes), {}};
  pilot_.arrive(std::get<Waybill>(std::move(planned)), now, out_);
}

void PilotHelm::left(LinkId link) {
  const auto found = errand_of_.find(link);
  if (found == errand_of_.end()) return;
  const std::string errand = found->second;
  errand_of_.erase(found);
  pilot_.caller_gone(errand, tide_.now(), out_);
}

void PilotHelm::start_call(const Carry &carry) {
  const auto found = cargo_.find(carry.errand);
  if (found == cargo_.end()) {
    pilot_.call_ended({carry.errand, CallKind::unreached, 0, {}, {}, {}}, tide_.now(), out_);
    return;
  }
  HttpCall call;
  call.address = carry.address;
  call.peer = carry.handle.empty() ? carry.address : carry.handle;
  call.deadline = carry.deadline;
  call.request = runners_.call(carry, found->second.request, carry.deadline - tide_.now());
  if (!carry.is_repeatable) call.rested_most = helm_.rested_for_once;
  call.name = carry.errand;
  call.is_mine = [this, carry](const HttpMessage &response, bool is_first) {
    const auto cargo = cargo_.find(carry.errand);
    return cargo != cargo_.end() && runners_.is_answer_to(carry, cargo->second.request, response, is_first);
  };
  call.done = [this, carry](CallAnswer &&answer) { end_call(carry, std::move(answer)); };
  calls_.call(std::move(call));
}

void PilotHelm::end_call(const Carry &carry, CallAnswer &&answer) {
  CallEnd end;
  end.errand = carry.errand;
  switch (answer.fate) {
  case CallFate::answered:
    end.kind = runners_.judge(carry, answer.response);
    break;
  case CallFate::unreached:
    end.kind = CallKind::unreached;
    break;
  case CallFate::lost:
    end.kind = CallKind::lost;
    break;
  case CallFate::garbled:
    end.kind = CallKind::bad_seal;
    break;
  case CallFate::late:
    end.kind = CallKind::timed_out;
    break;
  }
  end.status = answer.response.status;
  const auto found = cargo_.find(carry.errand);
  if (found != cargo_.end() && end.kind == CallKind::answered) {
    found->second.returned = std::move(answer.response);
    found->second.answer_charge = MemoryCharge(&memory_, found->second.returned->held_bytes());
  }
  pilot_.call_ended(end, tide_.now(), out_);
}

void PilotHelm::send_reply(const Reply &reply) {
  const auto found = cargo_.find(reply.errand);
  if (found == cargo_.end()) return;
  Cargo cargo = std::move(found->second);
  cargo_.erase(found);
  errand_of_.erase(cargo.link);
  HttpMessage response = callers_.tell(reply, cargo.returned ? &*cargo.returned : nullptr);
  cargo = {cargo.link, {}, std::nullopt, {}, {}};
  door_.answer(cargo.link, std::move(response), true);
}

void PilotHelm::knock(const Knock &knock) {
  const std::string peer = knock.handle.empty() ? knock.address : knock.handle;
  calls_.knock(knock.address, peer, tide_.now() + milliseconds(200), [this, knock](bool is_up) {
    if (is_up) pilot_.knock_answered(knock, tide_.now(), out_);
  });
}

void PilotHelm::carry_out() {
  for (int round = 0; round < 16; ++round) {
    if (out_.mail.empty() && out_.carries.empty() && out_.replies.empty() && out_.knocks.empty() &&
        out_.cancels.empty() && out_.lines.empty())
      break;
    PilotOutput taken;
    std::swap(taken, out_);
    for (Posted &posted : taken.mail) {
      const std::string address = posted.to == 0 ? posted.address : pilot_.membership().address_of(posted.to);
      if (address.empty()) continue;
      const Envelope envelope{self_.id, self_.address, std::move(posted.signal)};
      const std::string bytes = frame(envelope);
      traffic_meter_.sent(envelope.signal, bytes.size());
      cables_.send(address, bytes);
    }
    for (const Reply &reply : taken.replies) send_reply(reply);
    for (const Carry &carry : taken.carries) start_call(carry);
    for (const std::string &errand : taken.cancels) calls_.cancel(errand);
    for (const Knock &one : taken.knocks) knock(one);
    for (const std::string &line : taken.lines) log_line(line);
  }
  cables_.flush();
}

void PilotHelm::take_limits() {
  const InForce force = pilot_.in_force();
  if (!force.charter || force.version == limits_of_) return;
  limits_of_ = force.version;
  const Limits &limits = force.charter->limits;
  HttpDoorOptions made = door_.options();
  made.bounds.head_most = static_cast<std::size_t>(limits.head_most_bytes);
  made.bounds.body_most = static_cast<std::size_t>(limits.body_most_bytes);
  made.head_within = milliseconds(limits.head_within_ms);
  made.idle = milliseconds(limits.idle_ms);
  door_.set_options(made);
}

void PilotHelm::leave(Instant now) {
  if (leaving_at_ == 0) {
    leaving_at_ = now;
    log_line("draining");
    pilot_.set_leaving();
    door_.drain();
  }
  if (now - leaving_at_ > helm_.listen_on) door_.close_listener();
  const bool is_quiet =
      now - leaving_at_ > helm_.listen_on + milliseconds(200) && door_.serving() == 0 && pilot_.is_quiet(now);
  is_over_ = is_quiet || now - leaving_at_ > helm_.leave_most;
  if (is_over_) log_line(is_quiet ? "drained" : "drain cut short");
}

Metrics PilotHelm::metrics(Instant now) const {
  Metrics figures = pilot_.counters();
  figures.merge(pilot_.gauges(now));
  figures.insert(door_.counters().begin(), door_.counters().end());
  figures["door_links"] = door_.links();
  figures["door_no_memory"] = turned_away_;
  figures["client_bytes"] = memory_.used();
  figures["client_bytes_peak"] = memory_.peak();
  figures["client_bytes_bound"] = memory_.bound();
  figures["answers_held_back"] = calls_.held_back();
  figures["runner_links"] = calls_.opened();
  figures["frames_dropped"] = cables_.dropped();
  figures["frame_bytes"] = cables_.bytes_sent();
  traffic_meter_.report(figures);
  loop_meter_.report(figures);
  return figures;
}

void PilotHelm::tell_counters(Instant now) {
  if (now < count_at_) return;
  count_at_ = now + helm_.count_every;
  log_line(metrics_line(metrics(now)));
  loop_meter_.begin_span(now);
}

int PilotHelm::run() {
  while (!is_over_) {
    const Instant before = tide_.now();
    loop_.turn(std::clamp<Span>(tick_at_ - before, 0, helm_.tick_idle));
    const Instant now = tide_.now();
    if (now >= tick_at_) {
      loop_meter_.tick_ran(tick_at_, now);
      pilot_.tick(now, out_);
      calls_.tick(now);
      door_.tick(now);
      if (readiness_) readiness_->tick(now);
      take_limits();
      tell_counters(now);
      if (watch_) watch_();
      if (stops_caught() > 0) leave(now);
      const bool is_busy = pilot_.afloat() > 0 || calls_.under_way() > 0;
      tick_at_ = now + (is_busy ? helm_.tick_busy : helm_.tick_idle);
      if (is_ready() != was_ready_) {
        was_ready_ = !was_ready_;
        log_line(was_ready_ ? "ready" : "not ready");
      }
    }
    carry_out();
  }
  return 0;
}

} // namespace wharf
