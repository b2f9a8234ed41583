#include "control_rig.hpp"
#include "rig.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// A control group of one that is listed one worker and written to.
struct Alone : LoneControlNode {
  std::uint64_t ticket = 0;

  Alone() { CHECK(control->is_leading()); }
  void list(std::uint32_t memory_mb) {
    ControlOutput out;
    control->platform_seen({{{"w0", "a", memory_mb, false}}, {}}, now, out);
    take(out);
  }
  OperatorSay write(OperatorVerb verb, const std::string &body, const std::string &if_match = {}) {
    ControlOutput out;
    const std::size_t before = answers.size();
    control->operate({++ticket, verb, body, if_match, "w" + std::to_string(ticket)}, now, out);
    take(out);
    pass(milliseconds(200));
    CHECK(answers.size() > before);
    return answers.back();
  }
  static std::string manifest(int least, int memory_mb) {
    return R"({"tenants": {"t": {"keys": ["key-of-t-0000"]}}, "services": {"s": {"image": "i", "least": )" +
           std::to_string(least) + R"(, "memory_mb": )" + std::to_string(memory_mb) +
           R"(}}, "rules": {"r": "* /** to s"}})";
  }
};
} // namespace

TEST_GROUP(ControlNode){};

TEST(ControlNode, of_writers_on_no_manifest_one_wins_in_every_order) {
  every_order(3, [](const std::vector<std::size_t> &order) {
    Alone alone;
    int taken = 0, lost = 0;
    for (std::size_t at : order) {
      const OperatorSay say =
          alone.write(OperatorVerb::put_manifest, Alone::manifest(0, 64 + static_cast<int>(at)),
                      at == 2 ? "*" : "\"v0\"");
      (say.status == 200 ? taken : lost) += 1;
      if (say.status != 200) LONGS_EQUAL(412, say.status);
    }
    LONGS_EQUAL(order[0] == 2 ? 1 : order[1] == 2 || order[2] == 2 ? 2 : 1, taken);
    LONGS_EQUAL(3, taken + lost);
  });
}

TEST(ControlNode, a_change_that_overfills_the_workers_gets_422_and_changes_nothing) {
  Alone alone;
  alone.list(1024);
  LONGS_EQUAL(200, alone.write(OperatorVerb::put_manifest, Alone::manifest(1, 512)).status);
  const OperatorSay refused = alone.write(OperatorVerb::put_manifest, Alone::manifest(3, 512));
  LONGS_EQUAL(422, refused.status);
  STRCMP_CONTAINS("memory_mb", refused.body.c_str());
  LONGS_EQUAL(1, alone.control->registry().version());
  LONGS_EQUAL(422, alone.write(OperatorVerb::try_manifest, Alone::manifest(3, 512)).status);
  const OperatorSay tried = alone.write(OperatorVerb::try_manifest, Alone::manifest(2, 512));
  LONGS_EQUAL(200, tried.status);
  STRCMP_CONTAINS("would-be-taken", tried.body.c_str());
  LONGS_EQUAL(1, alone.control->registry().version());
}

TEST(ControlNode, the_status_says_why_a_service_has_not_settled) {
  Alone alone;
  LONGS_EQUAL(200, alone.write(OperatorVerb::put_manifest, Alone::manifest(1, 512)).status);
  STRCMP_CONTAINS("the platform is away", alone.control->status_json(alone.now).c_str());
  alone.list(256);
  alone.pass(milliseconds(300));
  STRCMP_CONTAINS("no worker has 512 MB left", alone.control->status_json(alone.now).c_str());
  alone.list(1024);
  alone.pass(milliseconds(300));
  STRCMP_CONTAINS("runners are booting", alone.control->status_json(alone.now).c_str());
  LONGS_EQUAL(1, alone.orders.size());
  CHECK(alone.orders[0].is_start);
}
