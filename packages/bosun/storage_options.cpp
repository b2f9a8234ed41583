#include "bosun/storage_options.hpp"

#include <chrono>
#include <thread>

#include "bosun/door.hpp"
#include "bosun/log.hpp"

namespace wharf {

namespace {
/// How long a process waits before it tries its disk again.
constexpr std::chrono::milliseconds open_again{500};
} // namespace

std::variant<StartedStorage, StorageError> open_storage(const ProcessOptions &options) {
  StartedStorage started;
  if (options.data.empty()) {
    started.storage = std::make_unique<MemoryStorage>();
    started.opened.identity = new_identity();
    return started;
  }
  auto disk = std::make_unique<DiskStorage>(options.data);
  auto opened = disk->open_folder();
  if (const auto *error = std::get_if<StorageError>(&opened)) return *error;
  started.opened = std::get<OpenedFolder>(std::move(opened));
  started.storage = std::move(disk);
  return started;
}

std::variant<StartedStorage, StorageError> wait_for_storage(const ProcessOptions &options) {
  for (bool is_told = false;; is_told = true) {
    auto started = open_storage(options);
    const auto *error = std::get_if<StorageError>(&started);
    const bool may_recover = error != nullptr && error->fault == StorageFault::input_output;
    if (!may_recover || stops_caught() > 0) return started;
    if (!is_told) log_warning("waits for its disk: " + error->what);
    std::this_thread::sleep_for(open_again);
  }
}

} // namespace wharf
