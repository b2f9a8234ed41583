#include "seatrial/seatrial.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Seatrial) {
  std::shared_ptr<const Charter> charter(const std::string &services, const std::string &rules,
                                         const std::string &more = {}, int base = 100,
                                         const std::string &keys = R"("key-a-00000000", "key-b-00000000")") {
    auto read =
        read_charter(R"({"tenants": {"t": {"keys": [)" + keys + R"(], "base": )" + std::to_string(base) +
                     R"(}}, "services": {)" + services + R"(}, "rules": {)" + rules + "}" + more + "}");
    CHECK(std::holds_alternative<std::shared_ptr<const Charter>>(read));
    return std::get<std::shared_ptr<const Charter>>(read);
  }
  const std::string wide = R"("hold": {"image": "i", "slots": 4, "most": 8, "memory_mb": 256},
                              "other": {"image": "i", "slots": 1, "most": 1, "memory_mb": 256})";
  const std::string to_hold = R"("r": "* /hold/** to hold")", to_other = R"("r": "* /hold/** to other")";

  /// `per_second` errands of a tenth of a second each, over ten seconds.
  Measured mix(double per_second) {
    Almanac almanac;
    for (int at = 0; at < 10; ++at) {
      Sounding one;
      one.tenant = "t";
      one.rule = "r";
      one.service = "hold";
      one.arrived = one.done = static_cast<std::uint32_t>(per_second);
      one.busy_us = one.done * 100'000ull;
      one.samples = {"POST /hold/1", "POST /hold/2?x=1"};
      almanac.add({one}, seconds(100) + at * seconds(1));
    }
    return almanac.measured(seconds(110));
  }
  Yard yard(std::uint64_t memory_mb = 8192) {
    Yard made;
    made.is_known = true;
    made.memory_mb = memory_mb;
    made.largest_worker_mb = 4096;
    made.runners["hold"] = 3;
    return made;
  }
};

TEST(Seatrial, what_is_measured_comes_back_as_rates) {
  const Measured measured = mix(40);
  LONGS_EQUAL(400, measured.errands);
  LONGS_EQUAL(1, measured.lines.size());
  DOUBLES_EQUAL(40, measured.lines[0].per_second, 0.1);
  DOUBLES_EQUAL(0.1, measured.lines[0].seconds_each, 0.001);
}

TEST(Seatrial, a_change_that_would_starve_a_tenant_is_refused_and_taken_under_light_load) {
  const auto now = charter(wide, to_hold), next = charter(wide, to_other);
  const Trial heavy = try_change(now.get(), *next, mix(40), yard());
  CHECK(heavy.is_measured);
  LONGS_EQUAL(1, heavy.breaches.size());
  STRCMP_EQUAL("tenants.t.refused_percent", heavy.breaches[0].what.c_str());
  DOUBLES_EQUAL(75, heavy.breaches[0].figure, 1);
  DOUBLES_EQUAL(0, heavy.now.tenants.at("t").refused_percent, 0.01);
  const Trial light = try_change(now.get(), *next, mix(8), yard());
  LONGS_EQUAL(0, light.breaches.size());
}

TEST(Seatrial, too_few_measurements_are_said_and_only_the_static_checks_count) {
  const auto now = charter(wide, to_hold), next = charter(wide, to_other);
  const Trial trial = try_change(now.get(), *next, mix(10), yard());
  CHECK(!trial.is_measured);
  LONGS_EQUAL(0, trial.breaches.size());
  STRCMP_CONTAINS("too few", trial_json(trial).c_str());
  const auto fat = charter(R"("hold": {"image": "i", "least": 40, "most": 40, "memory_mb": 256})", to_hold);
  const Trial overfull = try_change(now.get(), *fat, mix(10), yard());
  LONGS_EQUAL(1, overfull.breaches.size());
  STRCMP_EQUAL("memory_mb", overfull.breaches[0].what.c_str());
}

TEST(Seatrial, a_change_that_would_overfill_the_workers_is_refused) {
  const auto now = charter(wide, to_hold);
  const auto next = charter(R"("hold": {"image": "i", "slots": 1, "most": 8, "memory_mb": 2000})", to_hold);
  const Trial trial = try_change(now.get(), *next, mix(40), yard());
  LONGS_EQUAL(1, trial.breaches.size());
  STRCMP_EQUAL("memory_mb", trial.breaches[0].what.c_str());
  const auto huge = charter(R"("hold": {"image": "i", "slots": 8, "most": 1, "memory_mb": 5000})", to_hold);
  const Trial misfit = try_change(now.get(), *huge, mix(40), yard());
  LONGS_EQUAL(1, misfit.breaches.size());
  STRCMP_EQUAL("services.hold.memory_mb", misfit.breaches[0].what.c_str());
}

TEST(Seatrial, withdrawing_a_key_or_lowering_an_allowance_is_never_held_up) {
  const auto now = charter(wide, to_hold);
  for (const char *keys : {R"("key-a-00000000")", ""}) {
    const auto next = charter(wide, to_hold, "", 1, keys);
    LONGS_EQUAL(0, try_change(now.get(), *next, mix(40), yard()).breaches.size());
  }
  const auto lower = charter(wide, to_hold, "", 10);
  const Trial trial = try_change(now.get(), *lower, mix(40), yard());
  LONGS_EQUAL(0, trial.breaches.size());
  DOUBLES_EQUAL(75, trial.next.tenants.at("t").over_quota_percent, 1);
}

TEST(Seatrial, a_rule_taken_away_under_load_is_told_and_refused_where_the_manifest_says_so) {
  const auto now = charter(wide, to_hold);
  const std::string elsewhere = R"("r": "* /else/** to hold")";
  const Trial told = try_change(now.get(), *charter(wide, elsewhere), mix(40), yard());
  LONGS_EQUAL(0, told.breaches.size());
  DOUBLES_EQUAL(100, told.next.tenants.at("t").unruled_percent, 0.1);
  const auto careful = charter(wide, elsewhere, R"(, "trial": {"unruled_most_percent": 20})");
  const Trial refused = try_change(now.get(), *careful, mix(40), yard());
  LONGS_EQUAL(1, refused.breaches.size());
  STRCMP_EQUAL("tenants.t.unruled_percent", refused.breaches[0].what.c_str());
}

TEST(Seatrial, a_change_that_mends_a_starving_tenant_is_taken_though_not_enough) {
  const auto now = charter(wide, to_other);
  const auto next = charter(R"("hold": {"image": "i", "slots": 1, "most": 2, "memory_mb": 256})", to_hold);
  LONGS_EQUAL(0, try_change(now.get(), *next, mix(40), yard()).breaches.size());
  LONGS_EQUAL(1, try_change(next.get(), *now, mix(40), yard()).breaches.size());
}
