#include "bosun/storage_options.hpp"

namespace wharf {

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

} // namespace wharf
