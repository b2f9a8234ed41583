// The account of what clients hold, and the bounds on JSON from outside.
#include "json_limits/json_limits.hpp"
#include "memory/memory_account.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
constexpr std::size_t kib = 1024;

/// Holds pieces, and gives the largest back when it is asked.
class Pieces final : public MemoryHolder {
public:
  explicit Pieces(MemoryAccount &account) : account_(account) { account_.add_holder(*this); }
  ~Pieces() override { account_.remove_holder(*this); }
  void hold(std::size_t bytes) { charges_.emplace_back(&account_, bytes); }
  std::size_t count() const { return charges_.size(); }
  std::size_t largest_reclaimable() override {
    std::size_t most = 0;
    for (const MemoryCharge &charge : charges_) most = std::max(most, charge.bytes());
    return most;
  }
  void reclaim_largest() override {
    const std::size_t most = largest_reclaimable();
    std::erase_if(charges_, [most](const MemoryCharge &charge) { return charge.bytes() == most; });
  }

private:
  MemoryAccount &account_;
  std::vector<MemoryCharge> charges_;
};
} // namespace

TEST_GROUP(Memory){};

TEST(Memory, a_charge_counts_in_its_account_and_in_the_whole_until_it_ends) {
  MemoryAccount whole(1000 * kib);
  MemoryAccount part(400 * kib, &whole);
  {
    MemoryCharge first(&part, 100 * kib), second(&whole, 50 * kib);
    LONGS_EQUAL(100 * kib, part.used());
    LONGS_EQUAL(150 * kib, whole.used());
    MemoryCharge moved = std::move(first);
    moved.set(30 * kib);
    LONGS_EQUAL(30 * kib, part.used());
    second = std::move(moved);
    LONGS_EQUAL(30 * kib, whole.used());
  }
  LONGS_EQUAL(0, part.used());
  LONGS_EQUAL(0, whole.used());
  LONGS_EQUAL(150 * kib, whole.peak());
}

TEST(Memory, a_part_has_no_room_where_the_whole_has_none) {
  MemoryAccount whole(400 * kib);
  MemoryAccount part(400 * kib, &whole);
  const MemoryCharge other(&whole, 390 * kib);
  CHECK(!part.has_room_for(20 * kib));
  CHECK(part.has_room_for(10 * kib));
}

TEST(Memory, large_pieces_leave_a_quarter_to_small_ones) {
  MemoryAccount account(400 * kib);
  const MemoryCharge held(&account, 290 * kib);
  CHECK(!account.has_room_for(64 * kib));
  CHECK(account.has_room_for(63 * kib));
}

TEST(Memory, room_is_made_by_the_largest_pieces_first_and_no_more_than_needed) {
  MemoryAccount account(400 * kib);
  Pieces some(account), others(account);
  for (const std::size_t size : {100, 20, 10}) some.hold(size * kib);
  for (const std::size_t size : {200, 30, 10}) others.hold(size * kib);
  CHECK(account.make_room_for(50 * kib));
  LONGS_EQUAL(3, some.count());
  LONGS_EQUAL(2, others.count());
  CHECK(!account.make_room_for(401 * kib));
  LONGS_EQUAL(0, account.used());
}

TEST(Memory, without_an_account_nothing_is_counted) {
  MemoryCharge charge;
  charge.set(100);
  LONGS_EQUAL(0, MemoryCharge(nullptr, 100).bytes());
  LONGS_EQUAL(0, charge.bytes());
}

TEST(Memory, nesting_and_values_are_counted_outside_of_texts_only) {
  const JsonShape shape = shape_of_json(R"({"a": [1, 2, {"b": "[[[,,\"[["}], "c": []})");
  LONGS_EQUAL(3, shape.depth);
  LONGS_EQUAL(8, shape.values);
  CHECK(!nesting_fault(shape).has_value());
  CHECK(!nesting_fault(shape_of_json(std::string(json_depth_most, '['))).has_value());
  CHECK(nesting_fault(shape_of_json(std::string(json_depth_most + 1, '['))).has_value());
  LONGS_EQUAL(0, shape_of_json("\"never ends [[").depth);
  LONGS_EQUAL(0, shape_of_json("]]]").depth);
}
