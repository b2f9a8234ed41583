#include <chrono>
#include <iostream>

#include "drydock/world.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(State){};

TEST(State, an_hour_of_load_leaves_state_and_log_bounded) {
  WorldShape shape;
  shape.rate = 8;
  World world(5, shape);
  world.at(seconds(4), [&world] { world.write(false, "", 0); });
  world.start_callers(seconds(10), seconds(3600));
  std::size_t claims_at_half = 0;
  for (const Instant moment : {seconds(1800), seconds(3600)}) {
    world.run_until(moment);
    const int leads = world.leader();
    CHECK(leads >= 0);
    const ControlNode &leader = *world.control(leads);
    const std::size_t claims = leader.registry().claims().size();
    CHECK(claims > 1000);
    CHECK(claims < 8 * 0.25 * 905 * 1.15 + 50);
    if (claims_at_half == 0) claims_at_half = claims;
    CHECK(claims < claims_at_half * 1.2);
    CHECK(leader.raft().log().size() <= 900);
    CHECK(leader.registry().snapshot().size() < 2'000'000);
    for (int at = 0; at < shape.pilots; ++at) {
      const auto gauges = world.pilot(at)->gauges(0);
      CHECK(gauges.at("afloat") < 50);
      CHECK(gauges.at("outlays") < 200);
      CHECK(gauges.at("soundings") < 100);
    }
  }
}

TEST(State, a_snapshot_of_the_largest_usual_state_is_measured) {
  Registry registry;
  registry.apply(PutManifest{"{}", "w", 0, false});
  for (int at = 0; at < 63'000; ++at) {
    const std::string errand = "0123456789abcdef01234567" + std::to_string(at);
    PutClose close;
    close.close = {"agency-1/booking-" + std::to_string(at),
                   errand,
                   static_cast<std::uint8_t>(ClosedAs::run),
                   200,
                   "application/json",
                   std::string(150, 'b'),
                   {{"ETag", "x"}},
                   true};
    registry.apply(PutClaim{close.close.key, errand, std::string(64, 'd')});
    registry.apply(close);
  }
  const auto begun = std::chrono::steady_clock::now();
  const std::string snapshot = registry.snapshot();
  const auto packed = std::chrono::steady_clock::now();
  Registry other;
  CHECK(other.load(snapshot));
  const auto loaded = std::chrono::steady_clock::now();
  LONGS_EQUAL(63'000, other.claims().size());
  const auto ms = [](auto span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  };
  std::cout << "snapshot of 63000 claims: " << snapshot.size() << " bytes, packed in " << ms(packed - begun)
            << " ms, loaded in " << ms(loaded - packed) << " ms\n";
}
