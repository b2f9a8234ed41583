#include <atomic>
#include <memory>
#include <vector>

#include "capstan/duty.hpp"
#include "purse/purse.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Purse){std::uint32_t spend_all(Purse & purse, Instant now, int threads,
                                          int tries){std::atomic<std::uint32_t> spent{0};
std::vector<std::unique_ptr<Duty>> crew;
for (int at = 0; at < threads; ++at)
  crew.push_back(std::make_unique<Duty>("spender", [&] {
    for (int number = 0; number < tries; ++number)
      if (purse.spend(now)) ++spent;
  }));
crew.clear();
return spent;
}
}
;

TEST(Purse, it_starts_empty_and_never_gives_more_than_its_permit) {
  Purse purse(150);
  CHECK(!purse.spend(seconds(1)));
  purse.install({1, 40, seconds(1), milliseconds(100), milliseconds(250)}, seconds(1));
  LONGS_EQUAL(1, spend_all(purse, seconds(1), 8, 1000));
  LONGS_EQUAL(20, spend_all(purse, seconds(1) + milliseconds(50), 8, 1000));
  LONGS_EQUAL(19, spend_all(purse, seconds(1) + milliseconds(100), 8, 1000));
  LONGS_EQUAL(0, spend_all(purse, seconds(1) + milliseconds(200), 8, 1000));
}

TEST(Purse, tokens_die_with_their_window) {
  Purse purse(150);
  purse.install({1, 40, seconds(1), milliseconds(100), milliseconds(250)}, seconds(1));
  CHECK(purse.spend(seconds(1) + milliseconds(249)));
  CHECK(!purse.spend(seconds(1) + milliseconds(250)));
  LONGS_EQUAL(0, purse.left(seconds(1) + milliseconds(250)));
}

TEST(Purse, replacing_a_permit_under_spending_threads_accounts_for_every_token) {
  Purse purse(1e6);
  std::atomic<bool> is_over{false};
  std::atomic<std::uint64_t> spent{0};
  std::vector<std::unique_ptr<Duty>> crew;
  for (int at = 0; at < 6; ++at)
    crew.push_back(std::make_unique<Duty>("spender", [&] {
      while (!is_over)
        if (purse.spend(seconds(2))) ++spent;
    }));
  std::uint64_t told = 0;
  for (std::uint64_t permit = 1; permit <= 3000; ++permit)
    told += purse.install({permit, 50, seconds(1), milliseconds(100), seconds(1000)}, seconds(2)).spent;
  is_over = true;
  crew.clear();
  told += purse.install({}, seconds(2)).spent;
  LONGS_EQUAL(told, spent.load());
}

TEST(Purse, capacity_bounds_what_waits_in_the_bucket) {
  Purse purse(10);
  purse.install({1, 40, seconds(1), milliseconds(100), milliseconds(250)}, seconds(1));
  LONGS_EQUAL(10, spend_all(purse, seconds(1) + milliseconds(120), 4, 100));
}
