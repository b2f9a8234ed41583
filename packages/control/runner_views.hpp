#pragma once
// What edge nodes are told of runners: the newest view of each, by service, and which services changed when.
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "signals/signals.hpp"

namespace wharf {

/// The views of all runners of one leader. Every change of a service's views gets a stamp of its own, so that
/// a node which has all up to one stamp can be brought up to date with the services that changed since.
class RunnerViews {
public:
  /// Changes kept to bring nodes up to date; a node that has missed more gets its views whole.
  static constexpr std::size_t changes_kept = 4096;

  /// Forgets all views. Nodes are to get theirs whole again.
  void clear();
  /// Takes a runner's view as it is now, or that it has none any more; true when that is news.
  bool update(const std::string &runner, std::optional<RunnerView> view);
  /// Drops the views of runners that `is_known` denies.
  template <typename IsKnown> void retain(IsKnown is_known);

  /// The stamp of the newest change.
  std::uint64_t stamp() const { return stamp_; }
  /// True when the changes since a stamp are no longer all kept.
  bool has_forgotten_since(std::uint64_t stamp) const { return stamp < forgotten_to_; }
  /// Services changed after a stamp, each once.
  std::vector<std::string> changed_since(std::uint64_t stamp) const;
  /// Every service that has or had a view.
  std::vector<std::string> services() const;
  bool contains(const std::string &runner) const { return service_of_.contains(runner); }
  std::size_t size() const { return service_of_.size(); }
  /// Adds a service's views to a list.
  void append(const std::string &service, std::vector<RunnerView> &into) const;

private:
  struct Change {
    std::uint64_t stamp = 0;
    std::string service;
  };
  void note_change(const std::string &service);

  std::map<std::string, std::map<std::string, RunnerView>> by_service_;
  std::unordered_map<std::string, std::string> service_of_;
  std::deque<Change> changes_;
  std::uint64_t stamp_ = 0, forgotten_to_ = 0;
};

template <typename IsKnown> void RunnerViews::retain(IsKnown is_known) {
  std::vector<std::string> gone;
  for (const auto &[runner, service] : service_of_)
    if (!is_known(runner)) gone.push_back(runner);
  for (const std::string &runner : gone) update(runner, std::nullopt);
}

} // namespace wharf
