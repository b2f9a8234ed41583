// Several orders of operators under way at once, through the translation of the platform's words and a whole
// control group: what an acknowledged one holds stays in force until another order takes it out.
#include "operator_door_rig.hpp"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
using Rig = OperatorDoorRig;
using Names = std::set<std::string>;

/// Gaps between two orders, over several heartbeats of the leader.
constexpr Span gap_most = milliseconds(250), gap_step = milliseconds(10);

/// Rounds of orders under way at once, drawn by lot: chains, each order built on the one before, rivals on
/// one version, and changes that name none; sent again until their answers are clear.
class RoundsOfOrders {
public:
  RoundsOfOrders(std::uint64_t seed, bool has_troubles)
      : dice_(seed), has_troubles_(has_troubles), label_("seed " + std::to_string(seed)) {
    rig_.send(Rig::put(1, 0, {"r"}));
    finish();
  }
  void play() {
    const nlohmann::json before = rig_.read_back();
    const Version base = before.at("generation").get<Version>();
    rig_.orders.clear();
    intents_.clear();
    const bool is_chain = dice_.chance(0.75);
    const std::uint64_t count = 2 + dice_.below(7);
    const std::uint64_t trouble_at = has_troubles_ && dice_.chance(0.5) ? dice_.below(count) : count;
    const std::string struck = rig_.group.wait_leader();
    const auto trouble = static_cast<int>(dice_.below(3));
    Names whole = Rig::names_of(before);
    for (std::uint64_t at = 0; at < count; ++at) {
      const Version generation = base + 1 + at;
      const Version built_on = is_chain ? base + at : base;
      send(generation, built_on, is_chain, whole);
      if (at == trouble_at) strike(struck, trouble);
      rig_.pass(static_cast<Span>(dice_.below(161)) * milliseconds(1));
    }
    if (trouble_at < count) {
      rig_.pass(static_cast<Span>(dice_.below(3000)) * milliseconds(1));
      heal(struck, trouble);
    }
    finish();
    check(is_chain, Rig::names_of(before));
  }

private:
  /// What an order makes of the routes in force.
  struct Intent {
    std::string name;
    bool is_whole = false;
    Names whole;
  };

  void send(Version generation, Version built_on, bool is_chain, Names &whole) {
    const std::string name = "n" + std::to_string(generation);
    const bool names_version = !is_chain || dice_.chance(0.8);
    if (is_chain) whole.insert(name);
    Names held = whole;
    held.insert(name);
    const bool is_put = names_version && dice_.chance(0.4);
    intents_.push_back({name, is_put, held});
    if (is_put)
      rig_.send(Rig::put(generation, built_on, held));
    else
      rig_.send(Rig::patch(generation, names_version ? std::optional(built_on) : std::nullopt, name));
  }
  /// Cuts the leader off, freezes it or ends its process.
  void strike(const std::string &machine, int trouble) {
    if (trouble == 0) rig_.group.machines.at(machine).is_cut = true;
    if (trouble == 1) rig_.group.machines.at(machine).is_frozen = true;
    if (trouble == 2) rig_.group.stop(machine);
  }
  void heal(const std::string &machine, int trouble) {
    if (trouble == 0) rig_.group.machines.at(machine).is_cut = false;
    if (trouble == 1) rig_.group.machines.at(machine).is_frozen = false;
    if (trouble == 2) rig_.group.start(machine);
  }
  void finish() {
    const auto is_clear = [](const Rig::Order &order) {
      return order.status() != 0 && order.status() != 503;
    };
    for (int round = 0; round < 300; ++round) {
      if (std::all_of(rig_.orders.begin(), rig_.orders.end(), is_clear)) return;
      rig_.pass(milliseconds(100));
      rig_.send_unclear_again();
    }
    FAIL((label_ + ": orders got no clear answer").c_str());
  }
  /// What is in force must be what the acknowledged orders make of what was, in the order of their
  /// generations, to the last route.
  void check(bool is_chain, Names expected) {
    const std::vector<Rig::Order> answered = rig_.orders;
    std::string told;
    std::size_t taken = 0;
    for (std::size_t at = 0; at < answered.size(); ++at) {
      const Intent &intent = intents_[at];
      told += ", " + intent.name + " " + std::to_string(answered[at].status());
      if (answered[at].status() != 200) continue;
      ++taken;
      if (intent.is_whole) expected = intent.whole;
      expected.insert(intent.name);
    }
    CHECK_TEXT(Rig::names_of(rig_.read_back()) == expected, (label_ + told).c_str());
    CHECK_TEXT(is_chain ? taken >= 1 : taken == 1, (label_ + told).c_str());
  }

  Rig rig_;
  Dice dice_;
  bool has_troubles_;
  std::string label_;
  std::vector<Intent> intents_;
};

/// How many seeds are played: a few, or as many as the environment asks for.
std::uint64_t seeds() {
  constexpr std::uint64_t usual = 20;
  const char *wanted = std::getenv("WHARF_TEST_SEEDS");
  return wanted == nullptr ? usual : std::stoull(wanted);
}
constexpr int rounds = 6;
} // namespace

TEST_GROUP(OperatorOrders){};

// Guards against: a change that names the version under way in If-Match was merged into the version before
// that, and took its place.
TEST(OperatorOrders, a_change_built_on_an_order_under_way_keeps_what_that_one_holds) {
  for (const bool is_put_first : {true, false}) {
    for (Span gap = 0; gap <= gap_most; gap += gap_step) {
      Rig rig;
      LONGS_EQUAL(200, rig.status_of(Rig::put(5, 0, {"r"})));
      const std::size_t first = rig.send(is_put_first ? Rig::put(7, 5, {"r", "a"}) : Rig::patch(7, 5, "a"));
      rig.pass(gap);
      const std::size_t second = rig.send(Rig::patch(9, 7, "b"));
      rig.settle();
      LONGS_EQUAL(200, rig.orders[first].status());
      const int status = rig.orders[second].status();
      CHECK(status == 200 || status == 412);
      const auto names = Rig::names_of(rig.read_back());
      CHECK(names.contains("r"));
      CHECK_TEXT(names.contains("a"),
                 ("lost with a gap of " + std::to_string(gap / 1'000'000) + " ms").c_str());
      CHECK_EQUAL(status == 200, names.contains("b"));
    }
  }
}

// Guards against: an order that builds on one under way is refused, though the other is taken before it.
TEST(OperatorOrders, orders_under_way_that_build_on_each_other_are_taken_one_after_the_other) {
  Rig rig;
  LONGS_EQUAL(200, rig.status_of(Rig::put(1, 0, {"r"})));
  rig.orders.clear();
  Names all{"r"};
  for (Version generation = 2; generation < 10; ++generation) {
    const std::string name = "n" + std::to_string(generation);
    all.insert(name);
    rig.send(generation % 2 == 0 ? Rig::put(generation, generation - 1, all)
                                 : Rig::patch(generation, generation - 1, name));
  }
  rig.settle();
  for (const Rig::Order &order : rig.orders) LONGS_EQUAL(200, order.status());
  CHECK(Rig::names_of(rig.read_back()) == all);
}

// Guards against: a change that cannot be merged is called invalid though another version than the one it
// builds on is in force.
TEST(OperatorOrders, a_change_that_cannot_be_merged_is_refused_and_changes_nothing) {
  Rig rig;
  LONGS_EQUAL(200, rig.status_of(Rig::put(5, 0, {"r"})));
  const nlohmann::json broken{{"generation", 7}, {"upsert", {{"routeTable", {{{"name", "a"}}}}}}};
  const nlohmann::json behind{{"generation", 5}, {"upsert", {{"routeTable", Rig::routes({"a"})}}}};
  LONGS_EQUAL(400, rig.status_of(Rig::order("PATCH", 5, broken)));
  LONGS_EQUAL(412, rig.status_of(Rig::order("PATCH", 3, broken)));
  LONGS_EQUAL(400, rig.status_of(Rig::order("PATCH", 5, behind)));
  CHECK(Rig::names_of(rig.read_back()) == Names{"r"});
}

// Guards against: a change takes the place of a manifest that was written without a text to merge it into.
TEST(OperatorOrders, a_change_needs_the_text_that_it_is_merged_into) {
  Rig rig;
  LONGS_EQUAL(200, rig.group.put(5, 0, "mark-of-a-manifest"));
  const nlohmann::json change{
      {"generation", 7}, {"upsert", {{"serviceTable", Rig::services()}, {"routeTable", Rig::routes({"a"})}}}};
  LONGS_EQUAL(400, rig.status_of(Rig::order("PATCH", 5, change)));
  LONGS_EQUAL(5, rig.group.machines.at(rig.group.leader()).node->registry().version());
}

// Guards against: a change that names no version was merged into one version and took the place of a later
// one.
TEST(OperatorOrders, changes_that_name_no_version_keep_what_others_under_way_hold) {
  for (Span gap = 0; gap <= gap_most; gap += gap_step) {
    Rig rig;
    LONGS_EQUAL(200, rig.status_of(Rig::put(5, 0, {"r"})));
    const std::size_t first = rig.send(Rig::patch(7, std::nullopt, "a"));
    rig.pass(gap);
    const std::size_t second = rig.send(Rig::patch(9, std::nullopt, "b"));
    rig.settle();
    LONGS_EQUAL(200, rig.orders[first].status());
    LONGS_EQUAL(200, rig.orders[second].status());
    const std::set<std::string> expected{"a", "b", "r"};
    CHECK_TEXT(Rig::names_of(rig.read_back()) == expected,
               ("lost with a gap of " + std::to_string(gap / 1'000'000) + " ms").c_str());
  }
}

// Guards against: of orders under way at once one is acknowledged, and what it holds is gone or was never
// taken; or one is refused and its content is there.
TEST(OperatorOrders, what_is_acknowledged_is_in_force_and_what_is_refused_is_not) {
  for (const bool has_troubles : {false, true}) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
      RoundsOfOrders orders(seed, has_troubles);
      for (int round = 0; round < rounds; ++round) orders.play();
    }
  }
}
