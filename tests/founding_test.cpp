// The founding of a control group in every order of starts, with a seed that dies, is wiped or is cut off
// meanwhile.
#include "control_group_rig.hpp"
#include "rig.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
enum class Trouble { none, dies, wiped, cut_for_a_while, frozen_for_a_while };

struct Founding {
  ControlGroupRig rig;

  Founding() {
    rig.seeds = {"m0", "m1", "m2"};
    rig.options.founding_patience = seconds(2);
  }
  void strike(Trouble trouble, const std::string &victim) {
    if (!rig.machines.contains(victim)) return;
    ControlGroupRig::Machine &machine = rig.machines.at(victim);
    switch (trouble) {
    case Trouble::none:
      return;
    case Trouble::dies:
      rig.stop(victim);
      return;
    case Trouble::wiped:
      rig.wipe(victim);
      rig.options.may_found = true;
      return;
    case Trouble::cut_for_a_while:
      machine.is_cut = true;
      return;
    case Trouble::frozen_for_a_while:
      machine.is_frozen = true;
      return;
    }
  }
  void recover(const std::string &victim) {
    if (!rig.machines.contains(victim)) return;
    rig.machines.at(victim).is_cut = false;
    rig.machines.at(victim).is_frozen = false;
  }
  /// All running machines are in one group, one of them leads, and it takes a write.
  void check_one_group() {
    std::set<std::uint64_t> groups;
    for (const auto &[address, machine] : rig.machines)
      if (machine.node) groups.insert(machine.node->raft().group());
    LONGS_EQUAL(1, groups.size());
    CHECK(!groups.contains(0));
    CHECK(!rig.wait_leader().empty());
    LONGS_EQUAL(200, rig.put(1, 0, "first"));
  }
};
} // namespace

TEST_GROUP(Founding){};

TEST(Founding, in_every_order_of_starts_with_any_seed_in_any_trouble_there_is_one_group) {
  for (const Trouble trouble :
       {Trouble::none, Trouble::dies, Trouble::wiped, Trouble::cut_for_a_while, Trouble::frozen_for_a_while})
    for (const std::string victim : {"m0", "m1", "m2"})
      for (const std::int64_t struck_at_ms : {0, 150, 310, 330, 400, 620, 1500, 2500})
        every_order(4, [&](const std::vector<std::size_t> &order) {
          Founding founding;
          Span passed = 0;
          bool is_struck = false;
          for (const std::size_t at : order) {
            founding.rig.add("m" + std::to_string(at));
            founding.rig.pass(milliseconds(70));
            passed += milliseconds(70);
            if (is_struck || passed < milliseconds(struck_at_ms)) continue;
            is_struck = true;
            founding.strike(trouble, victim);
          }
          if (!is_struck) {
            founding.rig.pass(std::max<Span>(0, milliseconds(struck_at_ms) - passed));
            founding.strike(trouble, victim);
          }
          founding.rig.pass(seconds(7));
          founding.recover(victim);
          founding.rig.pass(seconds(7));
          founding.check_one_group();
        });
}

TEST(Founding, a_seed_that_founded_alone_in_a_cut_joins_the_group_of_the_others) {
  Founding founding;
  ControlGroupRig &rig = founding.rig;
  for (const char *const address : {"m0", "m1", "m2"}) rig.add(address);
  // The first seed founds, and is cut off before anybody hears of it.
  for (int step = 0; step < 200 && rig.machines.at("m0").node->raft().group() == 0; ++step) {
    rig.pass(milliseconds(10));
    if (rig.machines.at("m0").node->raft().group() != 0) rig.machines.at("m0").is_cut = true;
  }
  rig.machines.at("m0").is_cut = true;
  for (const char *const address : {"m1", "m2"})
    if (rig.machines.at(address).node->raft().group() != 0) rig.wipe(address);
  rig.options.may_found = true;
  for (const char *const address : {"m1", "m2"}) rig.restart(address);
  rig.pass(seconds(8));
  const std::uint64_t others = rig.machines.at("m1").node->raft().group();
  CHECK(others != 0 && others == rig.machines.at("m2").node->raft().group());
  CHECK(others != rig.machines.at("m0").node->raft().group());
  rig.machines.at("m0").is_cut = false;
  rig.pass(seconds(6));
  founding.check_one_group();
  LONGS_EQUAL(3, rig.voters());
}
