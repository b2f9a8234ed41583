#pragma once
#include <memory>
#include <string>
#include <vector>

#include "control/control_node.hpp"

namespace wharf {

/// A control group of one, driven by hand; its disk syncs at once.
struct LoneControlNode {
  Instant now = seconds(10);
  std::unique_ptr<ControlNode> control;
  std::vector<OperatorSay> answers;
  std::vector<PlatformOrder> orders;
  std::vector<Posted> mail;

  LoneControlNode() {
    Member self;
    self.id = 7;
    self.address = self.http = "h";
    self.role = static_cast<std::uint8_t>(Role::control);
    control = std::make_unique<ControlNode>(self, std::vector<std::string>{"h"}, ControlOptions{}, 3,
                                            Recovered{}, now);
    pass(seconds(5));
  }
  void take(ControlOutput &out) {
    while (true) {
      answers.insert(answers.end(), out.answers.begin(), out.answers.end());
      orders.insert(orders.end(), out.orders.begin(), out.orders.end());
      mail.insert(mail.end(), out.mail.begin(), out.mail.end());
      if (out.batches.empty()) return;
      ControlOutput next;
      control->saved(out.batches.back().ticket, now, next);
      out = std::move(next);
    }
  }
  void pass(Span span) {
    for (const Instant until = now + span; now < until; now += milliseconds(20)) {
      ControlOutput out;
      control->tick(now, out);
      take(out);
    }
  }
};

} // namespace wharf
