#include <set>

#include "control/registry.hpp"
#include "rig.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Registry){PutClose close(const char *errand, ClosedAs as){PutClose made;
made.close.key = "t/k";
made.close.errand = errand;
made.close.closed_as = static_cast<std::uint8_t>(as);
made.close.status = 200;
made.close.body = "done";
return made;
}
}
;

TEST(Registry, in_every_order_a_claim_that_may_have_run_is_first_for_one_errand_only) {
  for (const ClosedAs as : {ClosedAs::run, ClosedAs::unknown})
    every_order(5, [&](const std::vector<std::size_t> &order) {
      Registry registry;
      const Command deeds[] = {PutClaim{"t/k", "e1", "d"}, PutClaim{"t/k", "e2", "d"},
                               PutClaim{"t/k", "e1", "d"}, close("e1", as), close("e2", as)};
      std::set<std::string> firsts;
      for (std::size_t at : order) {
        const Applied applied = registry.apply(deeds[at]);
        if (std::holds_alternative<PutClaim>(deeds[at]) &&
            applied.claim.state == static_cast<std::uint8_t>(ClaimState::first))
          firsts.insert(applied.claim.errand);
      }
      LONGS_EQUAL(1, firsts.size());
    });
}

TEST(Registry, in_every_order_a_released_errand_never_gets_the_claim_afterwards) {
  every_order(4, [&](const std::vector<std::size_t> &order) {
    Registry registry;
    const Command deeds[] = {PutClaim{"t/k", "e1", "d"}, PutClaim{"t/k", "e1", "d"},
                             close("e1", ClosedAs::not_run), PutClaim{"t/k", "e2", "d"}};
    bool is_released = false;
    for (std::size_t at : order) {
      const Applied applied = registry.apply(deeds[at]);
      const auto *claim = std::get_if<PutClaim>(&deeds[at]);
      if (claim != nullptr && claim->errand == "e1" && is_released)
        CHECK(applied.claim.state != static_cast<std::uint8_t>(ClaimState::first));
      is_released = is_released || at == 2;
    }
  });
}

TEST(Registry, a_repeat_is_answered_from_the_record_and_another_body_is_refused) {
  Registry registry;
  registry.apply(PutClaim{"t/k", "e1", "d"});
  registry.apply(close("e1", ClosedAs::run));
  const Applied repeat = registry.apply(PutClaim{"t/k", "e2", "d"});
  LONGS_EQUAL(static_cast<int>(ClaimState::recorded), repeat.claim.state);
  STRCMP_EQUAL("done", repeat.claim.body.c_str());
  LONGS_EQUAL(static_cast<int>(ClaimState::mismatch),
              registry.apply(PutClaim{"t/k", "e3", "other"}).claim.state);
}

TEST(Registry, of_two_writes_over_one_version_one_wins_and_a_repeated_write_is_one) {
  every_order(3, [&](const std::vector<std::size_t> &order) {
    Registry registry;
    registry.apply(PutManifest{"{}", "w0", 0, false});
    const Command deeds[] = {PutManifest{"{\"tenants\": {}}", "w1", 1, true},
                             PutManifest{"{\"rules\": {}}", "w2", 1, true},
                             PutManifest{"{\"tenants\": {}}", "w1", 1, true}};
    for (std::size_t at : order) registry.apply(deeds[at]);
    LONGS_EQUAL(2, registry.version());
    CHECK((registry.version_of_write("w1") == 2) != (registry.version_of_write("w2") == 2));
  });
}

TEST(Registry, records_age_only_by_the_group_s_own_clock) {
  Registry registry;
  registry.apply(PutClaim{"t/k", "e1", "d"});
  registry.apply(close("e1", ClosedAs::run));
  registry.apply(PutClock{-1'000'000'000});
  registry.apply(PutClock{899'000});
  LONGS_EQUAL(1, registry.claims().size());
  registry.apply(PutClock{2'000});
  LONGS_EQUAL(0, registry.claims().size());
}

TEST(Registry, a_snapshot_is_the_whole_state) {
  Registry registry;
  registry.apply(PutSecret{"s"});
  registry.apply(PutManifest{"{}", "w", 0, false});
  registry.apply(PutRoster{{1, 2}, {"a", "b"}});
  registry.apply(PutRoster{{1, 2, 3}, {"a", "b", "c"}});
  registry.apply(PutClaim{"t/k", "e1", "d"});
  Registry other;
  CHECK(other.load(registry.snapshot()));
  STRCMP_EQUAL(registry.fingerprint().c_str(), other.fingerprint().c_str());
  other.apply(PutClaim{"t/j", "e2", "d"});
  CHECK(registry.fingerprint() != other.fingerprint());
}

TEST(Registry, an_answer_that_is_not_whole_is_never_replayed) {
  Registry registry;
  registry.apply(PutClaim{"t/k", "e1", "d"});
  PutClose large = close("e1", ClosedAs::run);
  large.close.body.clear();
  large.close.is_whole = false;
  registry.apply(large);
  const Applied repeat = registry.apply(PutClaim{"t/k", "e2", "d"});
  LONGS_EQUAL(static_cast<int>(ClaimState::not_kept), repeat.claim.state);
  STRCMP_EQUAL("e1", repeat.claim.first_errand.c_str());
}

TEST(Registry, kept_answers_are_bounded_and_one_too_many_is_not_cut) {
  Registry registry;
  const std::string body(65'000, 'x');
  int kept = 0, left = 0;
  for (int at = 0; at < 700; ++at) {
    const std::string errand = "e" + std::to_string(at);
    PutClose made = close(errand.c_str(), ClosedAs::run);
    made.close.key = "t/" + errand;
    made.close.body = body;
    registry.apply(PutClaim{made.close.key, errand, "d"});
    registry.apply(made);
    const ClaimSay say = registry.apply(PutClaim{made.close.key, "again", "d"}).claim;
    if (say.state == static_cast<std::uint8_t>(ClaimState::recorded)) {
      ++kept;
      LONGS_EQUAL(body.size(), say.body.size());
    } else {
      ++left;
      LONGS_EQUAL(static_cast<int>(ClaimState::not_kept), say.state);
    }
  }
  CHECK(kept > 400 && left > 100);
  CHECK(registry.answer_bytes() <= 32u << 20);
  registry.apply(PutClock{901'000});
  LONGS_EQUAL(0, registry.answer_bytes());
}

TEST(Registry, an_errand_with_no_known_end_blocks_its_repeats_for_a_day) {
  for (const bool is_told_unknown : {false, true}) {
    Registry registry;
    registry.apply(PutClaim{"t/k", "e1", "d"});
    if (is_told_unknown) registry.apply(close("e1", ClosedAs::unknown));
    registry.apply(PutClock{86'000'000});
    CHECK(registry.apply(PutClaim{"t/k", "e2", "d"}).claim.state !=
          static_cast<std::uint8_t>(ClaimState::first));
  }
}
