#pragma once
#include <memory>
#include <string>
#include <vector>

#include "harbour/harbour.hpp"

namespace wharf {

/// A control group of one, driven by hand; its disk syncs at once.
struct LoneHarbour {
  Instant now = seconds(10);
  std::unique_ptr<Harbour> harbour;
  std::vector<OperatorSay> answers;
  std::vector<PlatformOrder> orders;

  LoneHarbour() {
    Member self;
    self.id = 7;
    self.address = self.http = "h";
    self.role = static_cast<std::uint8_t>(Role::harbour);
    harbour =
        std::make_unique<Harbour>(self, std::vector<std::string>{"h"}, HarbourOptions{}, 3, Recovered{}, now);
    pass(seconds(5));
  }
  void take(HarbourOutput &out) {
    while (true) {
      answers.insert(answers.end(), out.answers.begin(), out.answers.end());
      orders.insert(orders.end(), out.orders.begin(), out.orders.end());
      if (out.saves.empty()) return;
      HarbourOutput next;
      harbour->saved(out.saves.back().ticket, now, next);
      out = std::move(next);
    }
  }
  void pass(Span span) {
    for (const Instant until = now + span; now < until; now += milliseconds(20)) {
      HarbourOutput out;
      harbour->tick(now, out);
      take(out);
    }
  }
};

} // namespace wharf
