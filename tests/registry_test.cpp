#include <set>

#include "harbour/registry.hpp"
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
    registry.apply(PutManifest{"{}", "w0", 0});
    const Command deeds[] = {PutManifest{"{\"tenants\": {}}", "w1", 1},
                             PutManifest{"{\"rules\": {}}", "w2", 1},
                             PutManifest{"{\"tenants\": {}}", "w1", 1}};
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

TEST(Registry, a_picture_is_the_whole_state) {
  Registry registry;
  registry.apply(PutSecret{"s"});
  registry.apply(PutManifest{"{}", "w", 0});
  registry.apply(PutRoster{{1, 2}});
  registry.apply(PutRoster{{1, 2, 3}});
  registry.apply(PutClaim{"t/k", "e1", "d"});
  Registry other;
  CHECK(other.load(registry.picture()));
  STRCMP_EQUAL(registry.fingerprint().c_str(), other.fingerprint().c_str());
  other.apply(PutClaim{"t/j", "e2", "d"});
  CHECK(registry.fingerprint() != other.fingerprint());
}
