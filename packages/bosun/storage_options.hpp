#pragma once
#include <memory>
#include <variant>

#include "bosun/options.hpp"
#include "storage/log_storage.hpp"

namespace wharf {

/// An open storage and what was read from it.
struct StartedStorage {
  std::unique_ptr<LogStorage> storage;
  OpenedFolder opened;
};

/// Opens the storage that a control process's options name: its data folder, or memory where there is no
/// disk.
std::variant<StartedStorage, StorageError> open_storage(const ProcessOptions &options);

/// Opens it as soon as the disk lets it be opened: a disk that is full or in trouble as the process starts
/// may recover, and nobody is there to start the process again. Ends at once on any other trouble, or when
/// told to stop.
std::variant<StartedStorage, StorageError> wait_for_storage(const ProcessOptions &options);

} // namespace wharf
