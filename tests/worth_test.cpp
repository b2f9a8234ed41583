#include "drydock/scenarios.hpp"
#include "rig.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Worth){/// The errand of each ask for a slot in `out`.
                  std::vector<std::string> berthed(const PilotOutput &out){std::vector<std::string> errands;
for (const Posted &posted : out.mail)
  if (const auto *ask = std::get_if<SlotAsk>(&posted.signal)) errands.push_back(ask->errand);
return errands;
}
std::uint64_t last_ask(const PilotOutput &out) {
  std::uint64_t number = 0;
  for (const Posted &posted : out.mail)
    if (const auto *ask = std::get_if<PermitAsk>(&posted.signal); ask != nullptr && ask->want > 0)
      number = ask->ask;
  return number;
}
}
;

TEST(Worth, in_every_order_of_arrival_the_only_token_goes_to_the_worthiest) {
  every_order(4, [this](const std::vector<std::size_t> &order) {
    PilotRig rig;
    PilotOutput out;
    const std::uint32_t worths[] = {1, 20, 100, 20};
    for (std::size_t at : order) {
      Waybill bill = rig.bill("e" + std::to_string(at));
      bill.is_paid = false;
      bill.worth = worths[at];
      rig.pilot.arrive(bill, rig.now, out);
    }
    PermitSay say;
    say.tenant = rig.tenant;
    say.ask = last_ask(out);
    say.permit = 1ull << 28 | 5;
    say.tokens = 1;
    say.window = milliseconds(100);
    out = {};
    rig.pilot.receive({rig_other, "q", say}, rig.now, out);
    const auto errands = berthed(out);
    LONGS_EQUAL(1, errands.size());
    STRCMP_EQUAL("e2", errands[0].c_str());
  });
}

TEST(Worth, a_low_one_never_takes_a_worthier_one_s_place_and_every_fifth_token_is_not_by_worth) {
  PilotRig rig;
  PilotOutput out;
  for (int at = 0; at < 10; ++at) {
    Waybill bill = rig.bill("e" + std::to_string(at));
    bill.is_paid = false;
    bill.worth = at < 5 ? 1 : 100;
    rig.pilot.arrive(bill, rig.now, out);
  }
  PermitSay say;
  say.tenant = rig.tenant;
  say.ask = last_ask(out);
  say.permit = 1ull << 28 | 6;
  say.tokens = 5;
  say.window = milliseconds(100);
  out = {};
  rig.pilot.receive({rig_other, "q", say}, rig.now, out);
  rig.pilot.tick(rig.now + milliseconds(100), out);
  const auto errands = berthed(out);
  LONGS_EQUAL(5, errands.size());
  LONGS_EQUAL(
      4, std::count_if(errands.begin(), errands.end(), [](const std::string &id) { return id >= "e5"; }));
}

TEST(Worth, in_a_crowd_more_worth_runs_than_by_first_come_and_no_kind_starves) {
  const Scenario &scenario = *find_scenario("crowd-in-mix");
  WorldShape plain;
  plain.is_plain = true;
  const RunResult ours = run_scenario(scenario, 3), theirs = run_scenario(scenario, 3, Defect::none, plain);
  CHECK(ours.audit.faults.empty());
  CHECK(ours.audit.counts.at("run_worth") * 10 > theirs.audit.counts.at("run_worth") * 11);
  CHECK(ours.audit.counts.at("run_rare") * 10 > ours.audit.counts.at("sent_rare"));
  CHECK(ours.audit.counts.at("run_hot") * 10 > ours.audit.counts.at("sent_hot"));
}

TEST(Worth, no_zone_takes_the_last_runner_of_a_busy_service_and_the_plain_way_shows_it) {
  WorldShape plain;
  plain.is_plain = true;
  const RunResult ours = run_scenario(*find_scenario("calm"), 2);
  const RunResult theirs = run_scenario(*find_scenario("calm"), 2, Defect::none, plain);
  LONGS_EQUAL(0, ours.audit.counts.at("left_bare"));
  CHECK(ours.audit.counts.at("zones_looked_at") > 50);
  CHECK(theirs.audit.counts.at("left_bare") > 50);
}
