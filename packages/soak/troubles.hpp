#pragma once
// Brings troubles about at the daemons of a deployment, within what it is asked to bear at once.
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "soak/deployment.hpp"
#include "soak/schedule.hpp"

namespace wharf::soak {

class Troubles {
public:
  Troubles(Deployment &deployment, std::vector<TroubleRecord> &records,
           std::vector<std::string> &ended_by_themselves);
  /// Begins a trouble; one that would take more than may be lost at once is left out, and so is one whose
  /// process is in trouble already. True where it began.
  bool begin(const Trouble &trouble, Instant now);
  /// Ends what is over, starts again what has ended, kills what takes too long to leave.
  void tick(Instant now);
  /// Ends everything now; true once all processes run.
  bool settle(Instant now);

private:
  /// Something to be done later: the end of a trouble, or more of it.
  struct Later {
    Instant at = 0;
    bool is_end = false;
    std::function<void(Instant)> act;
  };
  Node *pick(std::vector<Node *> nodes, std::size_t target);
  Node *pick_any(std::size_t target);
  bool begin_planned(const Trouble &trouble, Instant now);
  bool begin_unplanned(const Trouble &trouble, Instant now);
  bool is_well(const Node &node) const;
  /// True where one more control process may be lost now.
  bool may_lose_control(Instant now) const;
  std::size_t note(const std::string &kind, const std::vector<Node *> &nodes, bool is_planned, Instant now);
  void end_at(std::size_t record, Instant at, std::function<void(Instant)> undo);
  bool terminate(Node &node, const std::string &kind, Instant now);
  void hang_up(Node &node, const std::string &kind, Instant now);
  bool kill(const std::vector<Node *> &nodes, const std::string &kind, Span lasts, bool takes_disk,
            Instant now);
  bool freeze(Node &node, Span lasts, Instant now);
  bool cut(Node &node, TroubleKind kind, Span lasts, Instant now);
  bool reset_connections(Node &node, Instant now);
  bool cut_control_in_half(Span lasts, Instant now);
  bool fill_disk(Node &node, Span lasts, Instant now);
  bool lose_disk(std::size_t target, Span lasts, Instant now);
  /// Loses a disk, and another one once the first has been replaced.
  bool lose_two_disks(const Trouble &trouble, Instant now);
  bool restart_several(std::size_t target, Instant now);
  bool kill_several_edges(Span lasts, Instant now);
  void restart_in_turn(std::size_t target, Instant now);

  Deployment &deployment_;
  std::vector<TroubleRecord> &records_;
  std::vector<std::string> &ended_by_themselves_;
  std::vector<Later> later_;
  /// Control machines in trouble until then, so that no more than may be lost at once are.
  std::map<std::string, Instant> impaired_until_;
  std::map<std::string, std::size_t> planned_record_;
};

} // namespace wharf::soak
