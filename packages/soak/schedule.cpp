#include "soak/schedule.hpp"

#include <algorithm>
#include <array>

namespace wharf::soak {

namespace {
struct KindInfo {
  TroubleKind kind;
  const char *name;
  bool is_planned;
  /// How often it is drawn, beside the others.
  int weight;
  Span lasts_least, lasts_most;
};

constexpr std::array kinds{
    KindInfo{TroubleKind::restart, "restart", true, 6, 0, 0},
    KindInfo{TroubleKind::hang_up, "hang-up", true, 3, 0, 0},
    KindInfo{TroubleKind::hang_up_twice, "hang-up-twice", true, 2, 0, 0},
    KindInfo{TroubleKind::hang_up_while_draining, "hang-up-while-draining", true, 2, 0, 0},
    KindInfo{TroubleKind::kill, "kill", false, 5, milliseconds(100), seconds(2)},
    KindInfo{TroubleKind::freeze, "freeze", false, 5, milliseconds(200), seconds(20)},
    KindInfo{TroubleKind::restart_in_turn, "restart-in-turn", true, 1, 0, 0},
    KindInfo{TroubleKind::restart_several, "restart-several", true, 2, 0, 0},
    KindInfo{TroubleKind::kill_all_control, "kill-all-control", false, 1, milliseconds(100), seconds(1)},
    KindInfo{TroubleKind::kill_several_edges, "kill-several-edges", false, 2, milliseconds(100), seconds(2)},
    KindInfo{TroubleKind::lose_disk, "lose-disk", false, 2, milliseconds(300), seconds(2)},
    KindInfo{TroubleKind::second_loss, "second-loss", false, 1, milliseconds(300), seconds(2)},
    KindInfo{TroubleKind::cut_machine, "cut-machine", false, 3, milliseconds(500), seconds(12)},
    KindInfo{TroubleKind::cut_one_way, "cut-one-way", false, 2, milliseconds(500), seconds(8)},
    KindInfo{TroubleKind::cut_control_in_half, "cut-control-in-half", false, 1, seconds(1), seconds(6)},
    KindInfo{TroubleKind::full_disk, "full-disk", false, 2, milliseconds(500), seconds(5)},
    // Drawn by the series of links only.
    KindInfo{TroubleKind::isolate_machine, "isolate-machine", false, 0, seconds(1), seconds(10)},
    KindInfo{TroubleKind::reset_connections, "reset-connections", false, 0, 0, 0},
};

/// How far apart the troubles of links begin, and how many of a hundred are resets.
constexpr Span links_apart_least = seconds(2), links_apart_most = seconds(9);
constexpr int resets_percent = 60;

const KindInfo &info_of(TroubleKind kind) { return kinds.at(static_cast<std::size_t>(kind)); }

const KindInfo &draw_kind(Random &random, bool is_planned_only) {
  int sum = 0;
  for (const KindInfo &info : kinds) sum += is_planned_only && !info.is_planned ? 0 : info.weight;
  std::int64_t left = random.between(1, sum);
  for (const KindInfo &info : kinds) {
    if (is_planned_only && !info.is_planned) continue;
    left -= info.weight;
    if (left <= 0) return info;
  }
  return kinds.front();
}

Trouble draw_trouble(Random &random, const KindInfo &info, Instant at, Span length) {
  Trouble trouble{info.kind, at, random.span(info.lasts_least, info.lasts_most), random.index(1 << 20)};
  trouble.lasts = std::min(trouble.lasts, length - at);
  return trouble;
}

void add_link_troubles(Random &random, Span length, std::vector<Trouble> &list) {
  for (Span at = random.span(links_apart_least, links_apart_most); at < length;
       at += random.span(links_apart_least, links_apart_most)) {
    const bool is_reset = random.percent(resets_percent);
    const KindInfo &info = info_of(is_reset ? TroubleKind::reset_connections : TroubleKind::isolate_machine);
    list.push_back(draw_trouble(random, info, at, length));
  }
  std::stable_sort(list.begin(), list.end(),
                   [](const Trouble &left, const Trouble &right) { return left.at < right.at; });
}
} // namespace

std::string name_of(TroubleKind kind) { return info_of(kind).name; }
bool is_planned(TroubleKind kind) { return info_of(kind).is_planned; }

std::vector<Trouble> make_schedule(Random &random, const ScheduleOptions &options) {
  std::vector<Trouble> list;
  for (Span at = random.span(seconds(1), seconds(2)); at < options.length;
       at += random.span(options.apart_least, options.apart_most)) {
    const KindInfo &info = draw_kind(random, options.is_planned_only);
    list.push_back(draw_trouble(random, info, at, options.length));
  }
  if (!options.is_planned_only) add_link_troubles(random, options.length, list);
  return list;
}

} // namespace wharf::soak
