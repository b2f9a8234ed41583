#pragma once
#include <memory>
#include <string>
#include <variant>

#include "raft/raft.hpp"

namespace wharf {

/// The kinds of trouble with a data folder; they differ in what may be done about them.
enum class StorageFault : std::uint8_t {
  /// The disk refuses to read or write; it may recover by itself.
  input_output,
  /// What was once synced cannot be read back; the folder's replica is lost.
  damaged,
  /// Another version of this program wrote the files; nobody may move them without being asked.
  wrong_format
};

/// Why a data folder cannot be used.
struct StorageError {
  std::string what;
  StorageFault fault = StorageFault::input_output;
};

/// The seam between the Raft machine and a disk.
class LogStorage {
public:
  virtual ~LogStorage() = default;
  /// Reads back all that was synced.
  virtual std::variant<Recovered, StorageError> open() = 0;
  /// Writes one batch and syncs it; an error leaves the storage unusable until opened again.
  virtual std::variant<std::monostate, StorageError> write(const WriteBatch &save) = 0;
};

/// A storage whose disk suffers what a file names before each write: `slow`, `stalled` or `full`. For trials.
class FaultyStorage final : public LogStorage {
public:
  FaultyStorage(std::unique_ptr<LogStorage> inner, std::string mood_file);
  std::variant<Recovered, StorageError> open() override { return inner_->open(); }
  std::variant<std::monostate, StorageError> write(const WriteBatch &save) override;

private:
  std::string mood() const;
  std::unique_ptr<LogStorage> inner_;
  std::string mood_file_;
};

/// A storage without a disk, for machines that have none: what it holds ends with its process.
class MemoryStorage final : public LogStorage {
public:
  std::variant<Recovered, StorageError> open() override { return Recovered{}; }
  std::variant<std::monostate, StorageError> write(const WriteBatch &) override { return std::monostate{}; }
};

/// What a process starts from: its identity, what its folder held, and why an unreadable folder was set
/// aside.
struct OpenedFolder {
  NodeId identity = 0;
  Recovered recovered;
  /// Empty unless files had to be set aside; the identity is a new one then.
  std::string set_aside_because;
};

/// A random identity that no process had before.
NodeId new_identity();

/// A data folder: segments `seg-N`, snapshots `pic-N`, the node's own `identity`. A segment begins with the
/// hard state of its time; a batch is one append and one sync.
class DiskStorage final : public LogStorage {
public:
  explicit DiskStorage(std::string folder);
  ~DiskStorage() override;
  std::variant<Recovered, StorageError> open() override;
  std::variant<std::monostate, StorageError> write(const WriteBatch &save) override;
  /// The identity kept in the folder; made and synced when there is none.
  std::variant<NodeId, StorageError> identity();
  /// Opens the folder under its identity. A damaged folder's files are moved to `damaged/` in it, in place of
  /// those that were moved there before, and the folder begins anew under a new identity, so that the process
  /// never votes or counts as the replica whose promises it has forgotten.
  std::variant<OpenedFolder, StorageError> open_folder();
  /// What a folder holds, read without changing anything in it.
  struct Findings {
    NodeId identity = 0;
    Recovered recovered;
    std::size_t segments = 0, bytes = 0, torn_bytes = 0;
  };
  static std::variant<Findings, StorageError> verify(const std::string &folder);

private:
  std::variant<std::monostate, StorageError> write_file(const std::string &name, std::string_view bytes);
  std::variant<std::monostate, StorageError> start_segment();
  /// Reads snapshots and segments; `torn` gets how many bytes of the last segment are not whole.
  static std::variant<Recovered, StorageError> read_all(const std::string &folder, std::size_t &torn);
  bool sync_folder();
  std::variant<OpenedFolder, StorageError> open_as_is();
  std::variant<std::monostate, StorageError> set_aside();
  HardState hard_;

  std::string folder_;
  int segment_ = -1;
  std::uint64_t segment_number_ = 0;
  std::size_t segment_size_ = 0;
};

} // namespace wharf
