#pragma once
// The troubles of a run: drawn from its seed before it begins, so that the same seed plays the same again.
#include <string>
#include <vector>

#include "soak/random.hpp"

namespace wharf::soak {

enum class TroubleKind : std::uint8_t {
  restart,
  hang_up,
  hang_up_twice,
  hang_up_while_draining,
  kill,
  freeze,
  restart_in_turn,
  restart_several,
  kill_all_control,
  kill_several_edges,
  lose_disk,
  second_loss,
  cut_machine,
  cut_one_way,
  cut_control_in_half,
  full_disk,
  isolate_machine,
  reset_connections
};

/// A trouble's name in reports, and whether it is planned work.
std::string name_of(TroubleKind kind);
bool is_planned(TroubleKind kind);

struct Trouble {
  TroubleKind kind = TroubleKind::restart;
  /// From the start of traffic.
  Span at = 0;
  /// How long it lasts, where it lasts.
  Span lasts = 0;
  /// Which of the processes or machines that fit, as a number to be taken modulo their count.
  std::size_t target = 0;
};

struct ScheduleOptions {
  Span length = seconds(60);
  /// Troubles begin this far apart on average; they overlap where they last longer.
  Span apart_least = milliseconds(400), apart_most = seconds(4);
  /// Nothing unplanned: all that is left must be borne without a single request lost.
  bool is_planned_only = false;
};

/// Troubles in series, some of them overlapping, sorted by time. Beside the main series, which a seed always
/// gave, a second one of the links comes: machines cut off from all others and connections that are reset.
std::vector<Trouble> make_schedule(Random &random, const ScheduleOptions &options);

} // namespace wharf::soak
