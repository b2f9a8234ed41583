#include "drydock/scenarios.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Drydock){
    /// True when some seed of the scenario trips a checker with the defect in, and none does without it.
    void trips(const char *name, Defect defect, std::uint64_t seeds,
               const char *fault){bool has_tripped = false;
for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
  const RunResult sound = run_scenario(*find_scenario(name), seed);
  CHECK_TEXT(sound.audit.faults.empty(), "the sound build tripped a checker");
  const RunResult broken = run_scenario(*find_scenario(name), seed, defect);
  has_tripped = has_tripped || broken.audit.counts.contains(std::string("fault_") + fault);
}
CHECK_TEXT(has_tripped, fault);
}
}
;

TEST(Drydock, one_seed_is_one_run) {
  const Scenario &scenario = *find_scenario("everything");
  const std::string first = run_scenario(scenario, 7).fingerprint;
  STRCMP_EQUAL(first.c_str(), run_scenario(scenario, 7).fingerprint.c_str());
  CHECK(first != run_scenario(scenario, 8).fingerprint);
}

TEST(Drydock, a_repeated_dispatch_is_caught) { trips("calm", Defect::repeat_dispatch, 1, "ran-twice"); }
TEST(Drydock, a_permit_believed_too_long_is_caught) {
  trips("cut-one", Defect::stale_permit, 4, "revoked-key-ran");
}
TEST(Drydock, a_slot_freed_under_a_running_errand_is_caught) {
  trips("bad-runners", Defect::ignore_slots, 4, "slots");
}
TEST(Drydock, a_leaving_runner_given_work_is_caught) {
  trips("lose-workers", Defect::leaving_unseen, 4, "leaving-got-work");
}
TEST(Drydock, second_tries_without_a_budget_are_caught) {
  trips("bad-runners", Defect::free_seconds, 3, "second-tries");
}
TEST(Drydock, an_allowance_stretched_by_half_is_caught) {
  trips("crowd", Defect::loose_quota, 1, "over-allowance");
}
TEST(Drydock, an_early_acknowledgement_is_caught) {
  trips("calm", Defect::early_acknowledge, 2, "revoked-key-ran");
}
