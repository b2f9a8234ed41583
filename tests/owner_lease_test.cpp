// Owners of tenants while the core has no leader: they go on by the word of their node set's witnesses, and
// never beside a successor.
#include "edge_and_core_rig.hpp"
#include "witness/lease_extension.hpp"
#include "witness/witness.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// Of what the machines that are up could serve, this much must be served in each two seconds.
constexpr double paid_least = 0.8;

const std::vector<NodeId> five_owners{11, 12, 13, 14, 15};

/// What is paid for in each two seconds while two of three machines of the core are dark, and after.
double paid_while_dark(std::size_t nodes, Span dark) {
  EdgeAndCoreRig rig(nodes, 1);
  const Instant since = rig.group.now;
  rig.stop_machine("m0");
  rig.stop_machine("m1");
  rig.run(dark);
  rig.start_machine("m0");
  rig.start_machine("m1");
  rig.run(seconds(6));
  return rig.worst_paid_share(since, seconds(2));
}

void trouble_core(EdgeAndCoreRig &rig) {
  const std::string first = "m" + std::to_string(rig.dice().below(3));
  const std::string second = "m" + std::to_string(rig.dice().below(3));
  rig.stop_machine(first);
  rig.stop_machine(second);
  rig.run(milliseconds(static_cast<std::int64_t>(100 + rig.dice().below(9000))));
  rig.start_machine(first);
  rig.start_machine(second);
}

/// Some nodes lose the core, or a part of it, and at times all other nodes as well.
void trouble_links(EdgeAndCoreRig &rig) {
  const bool is_from_nodes = rig.dice().chance(0.5);
  const double share = rig.dice().unit();
  const std::string kept = rig.dice().chance(0.3) ? "m" + std::to_string(rig.dice().below(3)) : "";
  std::vector<bool> is_apart;
  for (std::size_t at = 0; at < rig.size(); ++at) is_apart.push_back(rig.dice().chance(share));
  for (std::size_t at = 0; at < rig.size(); ++at) {
    if (!is_apart[at]) continue;
    for (const std::string &machine : rig.group.seeds)
      if (machine != kept) rig.cut_both(rig.address_of(at), machine);
    for (std::size_t other = 0; is_from_nodes && other < rig.size(); ++other)
      if (!is_apart[other]) rig.cut_both(rig.address_of(at), rig.address_of(other));
  }
}

void trouble_nodes(EdgeAndCoreRig &rig) {
  for (std::size_t at = 0; at < rig.size(); ++at) {
    if (rig.is_up(at) && rig.dice().chance(0.2))
      rig.freeze(at, milliseconds(static_cast<std::int64_t>(200 + rig.dice().below(6000))));
    if (rig.is_up(at) && rig.dice().chance(0.15))
      rig.stop_node(at);
    else if (!rig.is_up(at))
      rig.start_node(at);
  }
}

std::size_t owners_at_once(std::uint64_t seed, bool must_wait_for_witnesses = true) {
  EdgeAndCoreRig rig(7 + seed % 5, seed, must_wait_for_witnesses);
  for (int round = 0; round < 6; ++round) {
    if (rig.dice().chance(0.5)) trouble_links(rig);
    if (rig.dice().chance(0.5)) trouble_nodes(rig);
    if (rig.dice().chance(0.6)) trouble_core(rig);
    rig.run(milliseconds(static_cast<std::int64_t>(100 + rig.dice().below(4000))));
    if (rig.dice().chance(0.5)) rig.heal();
  }
  rig.heal();
  rig.run(seconds(5));
  return rig.owners_at_once();
}
} // namespace

TEST_GROUP(OwnerLease){};

// Guards against: a core without a majority stops the owners of tenants on all other machines.
TEST(OwnerLease, requests_are_paid_for_while_the_core_is_dark) {
  CHECK(paid_while_dark(11, seconds(5)) >= paid_least);
  CHECK(paid_while_dark(11, seconds(10)) >= paid_least);
  CHECK(paid_while_dark(11, seconds(20)) >= paid_least);
}

TEST(OwnerLease, requests_are_paid_for_while_the_core_of_many_nodes_is_dark) {
  CHECK(paid_while_dark(67, seconds(5)) >= paid_least);
  CHECK(paid_while_dark(93, seconds(10)) >= paid_least);
}

// Guards against: an owner that goes on by its witnesses' word grants beside its successor.
TEST(OwnerLease, no_two_owners_grant_one_tenants_tokens_whatever_fails) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) LONGS_EQUAL(1, owners_at_once(seed));
}

TEST(OwnerLease, a_leader_that_does_not_wait_for_witnesses_is_caught) {
  bool has_tripped = false;
  for (std::uint64_t seed = 1; seed <= 60 && !has_tripped; ++seed)
    has_tripped = owners_at_once(seed, false) > 1;
  CHECK(has_tripped);
}

TEST(OwnerLease, a_witness_vouches_only_without_a_leader_and_without_a_newer_node_set) {
  Witness witness{WitnessOptions{}};
  const Instant now = seconds(10);
  CHECK(!witness.answer({4, now}, 4, true, now).is_granted);
  CHECK(!witness.answer({4, now}, 5, false, now).is_granted);
  LONGS_EQUAL(0, witness.granted_for(now));
  CHECK(witness.answer({4, now}, 4, false, now).is_granted);
  CHECK(witness.answer({5, now}, 4, false, now).is_granted);
  CHECK(witness.granted_for(now) >= WitnessOptions{}.grant);
  LONGS_EQUAL(0, witness.granted_for(now + seconds(2)));
}

TEST(OwnerLease, an_owner_acts_on_a_majority_of_grants_of_its_own_node_set) {
  const WitnessOptions options;
  LeaseExtension extension(11, options);
  extension.set_node_set(4, five_owners);
  const Instant lease_until = seconds(10), now = seconds(11);
  Outbox out;
  extension.tick(lease_until, now, out);
  LONGS_EQUAL(5, out.size());
  extension.take(12, {4, now, true});
  extension.take(13, {4, now, true});
  extension.take(14, {4, now, false});
  extension.take(14, {3, now, true});
  extension.take(99, {4, now, true});
  LONGS_EQUAL(0, extension.until(lease_until));
  extension.take(15, {4, now + milliseconds(50), true});
  CHECK(extension.until(lease_until) == now + options.grant);
  extension.set_node_set(5, five_owners);
  LONGS_EQUAL(0, extension.until(lease_until));
}

TEST(OwnerLease, an_extension_ends_and_needs_a_lease_before_it) {
  const WitnessOptions options;
  LeaseExtension extension(11, options);
  extension.set_node_set(4, five_owners);
  const Instant lease_until = seconds(10);
  const Instant late = lease_until + options.extension_most - milliseconds(10);
  for (NodeId witness : five_owners) extension.take(witness, {4, late, true});
  CHECK(extension.until(lease_until) == lease_until + options.extension_most);
  Outbox out;
  extension.tick(lease_until, lease_until + options.extension_most, out);
  LONGS_EQUAL(0, out.size());
  extension.tick(0, late, out);
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(0, extension.until(0));
}

TEST(OwnerLease, two_nodes_have_no_witnesses) {
  CHECK(witnesses_of({11, 12}).empty());
  LONGS_EQUAL(3, witnesses_of({11, 12, 13}).size());
}
