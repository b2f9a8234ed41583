#include "storage/disk_worker.hpp"

#include <algorithm>
#include <optional>
#include <thread>

namespace wharf {

DiskWorker::DiskWorker(std::unique_ptr<LogStorage> storage, std::function<void(DiskEvent &&)> say)
    : storage_(std::move(storage)), say_(std::move(say)), duty_("disk", [this] { run(); }) {}

DiskWorker::~DiskWorker() {
  is_stopping_ = true;
  ring_.close();
  duty_.join();
}

void DiskWorker::run() {
  std::deque<WriteBatch> jobs;
  bool is_broken = false;
  while (ring_.drain(jobs, seconds(5)) || !jobs.empty()) {
    std::optional<WriteBatch> group;
    for (WriteBatch &save : jobs) {
      if (is_broken) break;
      const bool is_joinable = group && !group->snapshot && !save.snapshot && save.cut_from == 0;
      if (is_joinable) {
        group->ticket = save.ticket;
        if (save.hard) group->hard = save.hard;
        std::move(save.append.begin(), save.append.end(), std::back_inserter(group->append));
        continue;
      }
      if (group) is_broken = !write(*group);
      group = std::move(save);
    }
    if (group && !is_broken) is_broken = !write(*group);
    jobs.clear();
    while (is_broken && !is_stopping_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      auto opened = storage_->open();
      auto *recovered = std::get_if<Recovered>(&opened);
      if (recovered == nullptr) continue;
      std::deque<WriteBatch> stale;
      ring_.drain(stale, 0);
      is_broken = false;
      say_(DiskOpened{std::move(*recovered)});
    }
    if (is_stopping_ && is_broken) return;
  }
}

bool DiskWorker::write(const WriteBatch &save) {
  const Instant started = tide_.now();
  auto written = storage_->write(save);
  microseconds_ += static_cast<std::uint64_t>((tide_.now() - started) / 1000);
  ++writes_;
  if (const auto *error = std::get_if<StorageError>(&written)) {
    say_(DiskRefused{error->what});
    return false;
  }
  say_(DiskDone{save.ticket});
  return true;
}

} // namespace wharf
