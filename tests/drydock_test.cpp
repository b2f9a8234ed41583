#include <set>

#include "drydock/scenarios.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// Seeds that are tried for each one that is asked for, as few runs meet a defect.
constexpr std::uint64_t tries_per_seed = 8;

/// Checks, once a seed, that the sound build trips no checker.
void check_sound(const char *name, std::uint64_t seed) {
  static std::set<std::pair<std::string, std::uint64_t>> checked;
  if (!checked.insert({name, seed}).second) return;
  CHECK_TEXT(run_scenario(*find_scenario(name), seed).audit.faults.empty(),
             "the sound build tripped a checker");
}

/// Checks that some seed of the scenario trips a checker with the defect in, and that none does without it.
void trips(const char *name, Defect defect, std::uint64_t seeds, const char *fault) {
  bool has_tripped = false;
  for (std::uint64_t seed = 1; seed <= seeds * tries_per_seed && !has_tripped; ++seed) {
    check_sound(name, seed);
    const RunResult broken = run_scenario(*find_scenario(name), seed, defect);
    has_tripped = broken.audit.counts.contains(std::string("fault_") + fault);
  }
  CHECK_TEXT(has_tripped, fault);
}
} // namespace

TEST_GROUP(Drydock){};

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
TEST(Drydock, an_allowance_cut_to_a_fifth_is_caught) {
  trips("calm", Defect::stingy_quota, 1, "proper-refused");
}
TEST(Drydock, an_early_acknowledgement_is_caught) {
  trips("calm", Defect::early_acknowledge, 2, "revoked-key-ran");
}
TEST(Drydock, a_key_that_does_not_hold_when_acknowledged_is_caught) {
  trips("calm", Defect::early_acknowledge, 2, "held-key-refused");
}
TEST(Drydock, a_read_from_a_mate_left_behind_is_caught) {
  trips("closing-fault", Defect::stale_read, 3, "read-older");
}
TEST(Drydock, a_manifest_read_back_in_other_bytes_is_caught) {
  trips("calm", Defect::tidied_bytes, 1, "read-differs");
}
TEST(Drydock, a_drain_that_drops_what_it_read_is_caught) {
  trips("restart-all", Defect::hasty_drain, 2, "dropped-in-drain");
}
TEST(Drydock, a_success_no_runner_gave_is_caught) {
  trips("bad-runners", Defect::trusting_seal, 1, "success-without-run");
}
TEST(Drydock, an_answer_meant_for_another_is_caught) {
  trips("calm", Defect::swapped_answers, 1, "foreign-answer");
}
TEST(Drydock, an_answer_replayed_without_its_body_is_caught) {
  trips("large-answers", Defect::emptied_record, 1, "foreign-answer");
}
TEST(Drydock, what_a_runner_gets_is_compared_with_what_callers_sent) {
  trips("calm", Defect::changed_errand, 1, "changed");
  trips("calm", Defect::invented_errand, 1, "nobody-sent");
  trips("calm", Defect::key_passed, 1, "key-leaked");
  trips("calm", Defect::other_tenant, 1, "wrong-tenant");
}
TEST(Drydock, second_tries_that_reach_no_runner_are_counted) {
  trips("platform-lists-stopped", Defect::free_seconds, 4, "second-tries");
}
TEST(Drydock, a_starving_change_that_was_not_tried_is_caught) {
  trips("starving-changes", Defect::untried, 2, "starving-change-taken");
  constexpr std::uint64_t seeds = 6;
  std::uint64_t refused = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    refused += run_scenario(*find_scenario("starving-changes"), seed).audit.counts["starving_not-taken"];
  CHECK(refused * 2 >= seeds * 5);
}
TEST(Drydock, a_disk_that_lies_about_its_syncs_is_caught) {
  trips("kill-all", Defect::lying_disk, 4, "raft");
}
TEST(Drydock, a_removed_service_that_still_runs_is_caught) {
  // One run in 25 meets a removed service at a node whose lease is stale.
  trips("manifest-moves", Defect::stale_permit, 20, "removed-service-ran");
}
