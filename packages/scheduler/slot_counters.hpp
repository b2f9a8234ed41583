#pragma once
// What an owner of services counts of its slots, so that logs tell why runners refuse calls.
#include <cstdint>
#include <map>
#include <string>

namespace wharf {

/// Counts since the start of the process; all of them only grow.
struct SlotCounters {
  std::uint64_t granted = 0;
  /// Grants for requests that had already been sent to another runner.
  std::uint64_t second_granted = 0;
  /// Calls that a runner turned away though this owner counted a slot for them.
  std::uint64_t refused_by_runner = 0;
  /// Those among them that the same runner turned away shortly after another one.
  std::uint64_t refused_again = 0;
  /// Those among them shortly after this node became the owner.
  std::uint64_t refused_after_takeover = 0;
  /// Slots counted as free though nobody has told that the runner is done.
  std::uint64_t freed_in_doubt = 0;
  /// Services taken over from another owner, and those of them without an answer of all who may hold slots.
  std::uint64_t takeovers = 0, takeovers_unheard = 0;
  /// Services handed over as another node asked for their slots as the owner by a newer node set.
  std::uint64_t superseded = 0;

  void report(std::map<std::string, std::uint64_t> &values) const;
};

} // namespace wharf
