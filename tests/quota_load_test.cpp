// Quotas among many edge nodes whose links are narrow, as on the deployments of incident
// docs/incidents/quota-collapse-on-grown-sites.md: state machines of edge nodes in virtual time.
#include <deque>
#include <memory>
#include <set>

#include "helm/pilot_helm.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
constexpr NodeId leader = 1'000'000;

struct LoadOutcome {
  std::size_t arrived = 0, paid = 0;
};

/// Edge nodes that reach each other over links of their own, each as wide as `bytes_per_s`.
class NarrowLinks {
public:
  std::size_t nodes = 40;
  double bytes_per_s = 250'000;
  Span delay = milliseconds(1);
  std::int64_t base = 160, burst = 160;
  double requests_per_s = 100;

  LoadOutcome run(Span span) {
    start();
    Instant next_arrival = now_;
    std::size_t at = 0;
    for (const Instant until = now_ + span; now_ < until; now_ += milliseconds(1)) {
      for (; next_arrival <= now_; next_arrival += static_cast<Span>(1e9 / requests_per_s))
        arrive(at++ * 7 % nodes);
      deliver();
      for (std::size_t node = 0; node < nodes; ++node)
        if ((now_ / milliseconds(1) + static_cast<Instant>(node)) % 10 == 0) tick(node);
      if (now_ / milliseconds(1) % 500 == 0) renew_leases();
    }
    outcome_.paid = paid_.size();
    return outcome_;
  }

private:
  struct Message {
    NodeId to = 0;
    Envelope envelope;
  };
  struct Node {
    std::unique_ptr<Pilot> pilot;
    Instant link_free_at = 0;
  };

  void start() {
    for (std::size_t at = 0; at < nodes; ++at) {
      Member self;
      self.id = at + 1;
      self.address = "n" + std::to_string(at);
      self.role = static_cast<std::uint8_t>(Role::pilot);
      nodes_.push_back({std::make_unique<Pilot>(self, std::vector<std::string>{"seed"},
                                                pilot_helm_options(ProcessOptions{}).pilot, now_),
                        0});
    }
    renew_leases();
    now_ += milliseconds(100);
    renew_leases();
  }

  Orders orders() const {
    Orders made;
    made.sent_at = now_;
    made.term = 1;
    made.version = 1;
    made.has_manifest = true;
    made.manifest = R"({"tenants": {"t": {"keys": ["a-key-00000000000"], "base": )" + std::to_string(base) +
                    R"(, "burst": )" + std::to_string(burst) +
                    R"(}}, "services": {"s": {"image": "i", "slots": 4}}, "rules": {"r": "* /** to s"}})";
    made.roster.epoch = 1;
    for (std::size_t at = 0; at < nodes; ++at) made.roster.pilots.push_back(at + 1);
    made.roster.is_first = true;
    made.settled = 1;
    return made;
  }

  void renew_leases() {
    for (std::size_t at = 0; at < nodes; ++at) {
      PilotOutput out;
      nodes_[at].pilot->receive({leader, "leader", orders()}, now_, out);
      send(at, out);
    }
  }

  void arrive(std::size_t node) {
    ErrandHead head;
    head.id = "e" + std::to_string(outcome_.arrived++);
    head.method = "GET";
    head.target = "/x";
    head.key = "a-key-00000000000";
    head.wait_ms = 1000;
    PilotOutput out;
    auto planned = nodes_[node].pilot->front(head, now_);
    if (auto *bill = std::get_if<Waybill>(&planned)) nodes_[node].pilot->arrive(std::move(*bill), now_, out);
    send(node, out);
  }

  void tick(std::size_t node) {
    PilotOutput out;
    nodes_[node].pilot->tick(now_, out);
    send(node, out);
  }

  /// Puts messages on the sender's link, one after another. A request for a slot shows that its request has
  /// been paid for; it is not passed on, as nothing after that matters here.
  void send(std::size_t from, PilotOutput &out) {
    Node &node = nodes_[from];
    for (Posted &posted : out.mail) {
      if (const auto *slot = std::get_if<SlotAsk>(&posted.signal)) paid_.insert(slot->errand);
      const bool is_quota = std::holds_alternative<PermitAsk>(posted.signal) ||
                            std::holds_alternative<PermitSay>(posted.signal) ||
                            std::holds_alternative<LedgerCopy>(posted.signal) ||
                            std::holds_alternative<LedgerAck>(posted.signal);
      if (!is_quota || posted.to == 0 || posted.to > nodes) continue;
      Envelope envelope{from + 1, "n" + std::to_string(from), std::move(posted.signal)};
      const std::size_t size = frame(envelope).size();
      node.link_free_at = std::max(node.link_free_at, now_) +
                          static_cast<Span>(static_cast<double>(size) / bytes_per_s * 1e9);
      under_way_.emplace(node.link_free_at + delay, Message{posted.to, std::move(envelope)});
    }
  }

  void deliver() {
    while (!under_way_.empty() && under_way_.begin()->first <= now_) {
      const Message message = std::move(under_way_.begin()->second);
      under_way_.erase(under_way_.begin());
      PilotOutput out;
      nodes_[message.to - 1].pilot->receive(message.envelope, now_, out);
      send(message.to - 1, out);
    }
  }

  Instant now_ = seconds(100);
  std::vector<Node> nodes_;
  std::multimap<Instant, Message> under_way_;
  std::set<std::string> paid_;
  LoadOutcome outcome_;
};
} // namespace

TEST_GROUP(QuotaLoad){};

TEST(QuotaLoad, requests_within_the_quota_are_paid_for_over_narrow_links) {
  NarrowLinks links;
  const LoadOutcome outcome = links.run(seconds(12));
  CHECK(outcome.paid * 100 >= outcome.arrived * 95);
}

TEST(QuotaLoad, requests_within_the_quota_are_paid_for_over_links_a_quarter_as_wide) {
  NarrowLinks links;
  links.requests_per_s = 60;
  links.base = 100;
  links.burst = 100;
  links.bytes_per_s = 60'000;
  const LoadOutcome outcome = links.run(seconds(12));
  CHECK(outcome.paid * 100 >= outcome.arrived * 95);
}
