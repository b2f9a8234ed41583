#include "control/runner_views.hpp"

#include <algorithm>

namespace wharf {

namespace {
bool is_same(const RunnerView &left, const RunnerView &right) {
  return left.address == right.address && left.is_leaving == right.is_leaving &&
         left.is_booting == right.is_booting;
}
} // namespace

void RunnerViews::clear() {
  by_service_.clear();
  service_of_.clear();
  changes_.clear();
  forgotten_to_ = ++stamp_;
}

void RunnerViews::note_change(const std::string &service) {
  changes_.push_back({++stamp_, service});
  if (changes_.size() <= changes_kept) return;
  forgotten_to_ = changes_.front().stamp;
  changes_.pop_front();
}

bool RunnerViews::update(const std::string &runner, std::optional<RunnerView> view) {
  const auto known = service_of_.find(runner);
  if (!view) {
    if (known == service_of_.end()) return false;
    const std::string service = known->second;
    by_service_[service].erase(runner);
    service_of_.erase(known);
    note_change(service);
    return true;
  }
  const std::string service = view->service;
  RunnerView &kept = by_service_[service][runner];
  const bool is_news = known == service_of_.end() || !is_same(kept, *view);
  kept = std::move(*view);
  service_of_[runner] = service;
  if (is_news) note_change(service);
  return is_news;
}

std::vector<std::string> RunnerViews::changed_since(std::uint64_t stamp) const {
  std::vector<std::string> list;
  for (auto change = changes_.rbegin(); change != changes_.rend() && change->stamp > stamp; ++change)
    list.push_back(change->service);
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
  return list;
}

std::vector<std::string> RunnerViews::services() const {
  std::vector<std::string> list;
  list.reserve(by_service_.size());
  for (const auto &[service, views] : by_service_) list.push_back(service);
  return list;
}

void RunnerViews::append(const std::string &service, std::vector<RunnerView> &into) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return;
  for (const auto &[runner, view] : found->second) into.push_back(view);
}

} // namespace wharf
