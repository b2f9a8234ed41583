#include "storage/log_storage.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

#include "signals/pack.hpp"

namespace wharf {

namespace {
namespace fs = std::filesystem;
constexpr std::string_view segment_mark = "WHJSEG02";
constexpr std::string_view file_mark = "WHJFIL02";
constexpr std::size_t segment_limit = 8u << 20;

std::string record(char kind, std::string_view body) {
  std::string payload(1, kind);
  payload += body;
  std::string whole(8, '\0');
  const auto size = static_cast<std::uint32_t>(payload.size());
  const std::uint32_t sum = checksum(payload);
  std::memcpy(whole.data(), &size, 4);
  std::memcpy(whole.data() + 4, &sum, 4);
  return whole + payload;
}

/// The payload of the record at `at`, or nothing when none is whole there.
std::optional<std::string_view> record_at(std::string_view bytes, std::size_t at) {
  if (bytes.size() < at + 8) return std::nullopt;
  std::uint32_t size = 0, sum = 0;
  std::memcpy(&size, bytes.data() + at, 4);
  std::memcpy(&sum, bytes.data() + at + 4, 4);
  if (size == 0 || bytes.size() - at - 8 < size) return std::nullopt;
  const std::string_view payload = bytes.substr(at + 8, size);
  if (checksum(payload) != sum) return std::nullopt;
  return payload;
}

bool write_all(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::write(descriptor, bytes.data(), bytes.size());
    if (count < 0) {
      if (errno == EINTR) continue;
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

StorageError trouble(const std::string &what) { return {what + ": " + std::strerror(errno)}; }

/// Names what is wrong with a file that does not begin with our mark.
StorageError wrong_mark(const std::string &path, std::string_view bytes, std::string_view mark) {
  const std::size_t kind = mark.size() - 2;
  if (bytes.size() < mark.size() || bytes.substr(0, kind) != mark.substr(0, kind))
    return {path + ": not a wharfjunction file", StorageFault::damaged};
  const bool is_newer = bytes.substr(kind, 2) > mark.substr(kind);
  return {path + ": written in the " + (is_newer ? "newer" : "older") + " format " +
              std::string(bytes.substr(kind, 2)) + "; this program reads " + std::string(mark.substr(kind)),
          StorageFault::wrong_format};
}

std::optional<std::string> slurp(const fs::path &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

std::vector<std::uint64_t> numbers(const std::string &folder, std::string_view prefix) {
  std::vector<std::uint64_t> found;
  for (const auto &item : fs::directory_iterator(folder)) {
    const std::string name = item.path().filename().string();
    if (!name.starts_with(prefix) || name.ends_with(".new")) continue;
    found.push_back(std::strtoull(name.c_str() + prefix.size(), nullptr, 10));
  }
  std::sort(found.begin(), found.end());
  return found;
}

/// Makes sure that what a file holds is on disk, so that nothing is believed that a loss of power takes away.
bool sync_file(const std::string &path) {
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) return false;
  const bool is_synced = fsync(descriptor) == 0;
  close(descriptor);
  return is_synced;
}

/// Entries are kept in the order of their index, so those to be cut stand at the end.
void cut_entries(Recovered &recovered, std::uint64_t cut_from) {
  while (!recovered.entries.empty() && recovered.entries.back().index >= cut_from)
    recovered.entries.pop_back();
}

void take_entry(Recovered &recovered, Entry entry) {
  if (entry.index <= recovered.snapshot.index) return;
  cut_entries(recovered, entry.index);
  recovered.entries.push_back(std::move(entry));
}

/// True when a segment's first write was torn: it bears no mark of any format of ours, and no batch follows.
bool is_torn_head(std::string_view bytes);

/// True when a later batch begins after a damaged place, so that the place was synced once. A batch begins
/// with a record of its own (in segments of builds before that, any record counts); what else is whole there
/// may belong to the batch that was torn.
bool finds_batch_after(std::string_view bytes, std::size_t at, bool marks_batches) {
  for (std::size_t next = at + 1; next + 8 < bytes.size(); ++next)
    if (const auto payload = record_at(bytes, next); payload && (!marks_batches || payload->front() == 'S'))
      return true;
  return false;
}
bool is_torn_head(std::string_view bytes) {
  if (bytes.size() < segment_mark.size()) return true;
  const std::size_t kind = segment_mark.size() - 2;
  return bytes.substr(0, kind) != segment_mark.substr(0, kind) && !finds_batch_after(bytes, 0, true);
}
} // namespace

FaultyStorage::FaultyStorage(std::unique_ptr<LogStorage> inner, std::string mood_file)
    : inner_(std::move(inner)), mood_file_(std::move(mood_file)) {}

std::string FaultyStorage::mood() const {
  std::ifstream file(mood_file_);
  std::string word;
  file >> word;
  return word;
}

std::variant<std::monostate, StorageError> FaultyStorage::write(const WriteBatch &save) {
  const std::string first = mood();
  if (first == "full") return StorageError{"the disk is full, as " + mood_file_ + " says"};
  if (first == "slow") std::this_thread::sleep_for(std::chrono::milliseconds(150));
  while (mood() == "stalled") std::this_thread::sleep_for(std::chrono::milliseconds(20));
  return inner_->write(save);
}

NodeId new_identity() {
  std::random_device source;
  return ((static_cast<NodeId>(source()) << 32) | source()) | 1;
}

DiskStorage::DiskStorage(std::string folder) : folder_(std::move(folder)) {}

DiskStorage::~DiskStorage() {
  if (segment_ >= 0) close(segment_);
}

bool DiskStorage::sync_folder() {
  const int descriptor = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return false;
  const bool is_synced = fsync(descriptor) == 0;
  close(descriptor);
  return is_synced;
}

std::variant<std::monostate, StorageError> DiskStorage::write_file(const std::string &name,
                                                                   std::string_view bytes) {
  const std::string path = folder_ + "/" + name, fresh = path + ".new";
  const int descriptor = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (descriptor < 0) return trouble("cannot open " + fresh);
  const bool is_written =
      write_all(descriptor, file_mark) && write_all(descriptor, record('F', bytes)) && fsync(descriptor) == 0;
  close(descriptor);
  if (!is_written) return trouble("cannot write " + fresh);
  if (rename(fresh.c_str(), path.c_str()) != 0 || !sync_folder()) return trouble("cannot place " + path);
  return std::monostate{};
}

namespace {
std::variant<std::string, StorageError> read_file(const std::string &path) {
  const auto bytes = slurp(path);
  if (!bytes) return StorageError{"cannot read " + path};
  if (!bytes->starts_with(file_mark)) return wrong_mark(path, *bytes, file_mark);
  const auto payload = record_at(*bytes, file_mark.size());
  if (!payload) return StorageError{path + ": damaged (checksum)", StorageFault::damaged};
  return std::string(payload->substr(1));
}
} // namespace

std::variant<NodeId, StorageError> DiskStorage::identity() {
  std::error_code fault;
  fs::create_directories(folder_, fault);
  if (fault) return StorageError{"cannot make " + folder_ + ": " + fault.message()};
  const std::string path = folder_ + "/identity";
  if (fs::exists(path)) {
    auto read = read_file(path);
    if (auto *error = std::get_if<StorageError>(&read)) return *error;
    NodeId id = 0;
    if (!unpack(std::get<std::string>(read), id) || id == 0)
      return StorageError{path + ": holds no identity", StorageFault::damaged};
    return id;
  }
  const NodeId id = new_identity();
  auto written = write_file("identity", pack(id));
  if (auto *error = std::get_if<StorageError>(&written)) return *error;
  return id;
}

std::variant<Recovered, StorageError> DiskStorage::open() {
  if (segment_ >= 0) close(segment_);
  segment_ = -1;
  std::error_code fault;
  fs::create_directories(folder_, fault);
  if (fault) return StorageError{"cannot make " + folder_ + ": " + fault.message()};
  for (const auto &item : fs::directory_iterator(folder_))
    if (item.path().extension() == ".new") fs::remove(item.path(), fault);
  std::size_t torn = 0;
  auto read = read_all(folder_, torn);
  if (auto *error = std::get_if<StorageError>(&read)) return *error;
  const auto segments = numbers(folder_, "seg-");
  if (torn > 0) {
    const std::string path = folder_ + "/seg-" + std::to_string(segments.back());
    const auto size = fs::file_size(path, fault);
    if (fault || truncate(path.c_str(), static_cast<off_t>(size - torn)) != 0)
      return trouble("cannot cut " + path);
  }
  for (const std::uint64_t number : segments)
    if (const std::string path = folder_ + "/seg-" + std::to_string(number); !sync_file(path))
      return trouble("cannot sync " + path);
  segment_number_ = segments.empty() ? 0 : segments.back();
  hard_ = std::get<Recovered>(read).hard;
  auto started = start_segment();
  if (auto *error = std::get_if<StorageError>(&started)) return *error;
  return read;
}

std::variant<OpenedFolder, StorageError> DiskStorage::open_as_is() {
  const bool has_identity = fs::exists(folder_ + "/identity");
  if (!has_identity && fs::is_directory(folder_) && !numbers(folder_, "seg-").empty())
    return StorageError{folder_ + ": holds a log but no identity", StorageFault::damaged};
  auto identity = this->identity();
  if (auto *error = std::get_if<StorageError>(&identity)) return *error;
  auto opened = open();
  if (auto *error = std::get_if<StorageError>(&opened)) return *error;
  return OpenedFolder{std::get<NodeId>(identity), std::get<Recovered>(std::move(opened)), {}};
}

std::variant<OpenedFolder, StorageError> DiskStorage::open_folder() {
  auto opened = open_as_is();
  const auto *error = std::get_if<StorageError>(&opened);
  if (error == nullptr || error->fault != StorageFault::damaged) return opened;
  const std::string why = error->what;
  auto moved = set_aside();
  if (auto *fault = std::get_if<StorageError>(&moved)) return *fault;
  opened = open_as_is();
  if (auto *fresh = std::get_if<OpenedFolder>(&opened)) fresh->set_aside_because = why;
  return opened;
}

std::variant<std::monostate, StorageError> DiskStorage::set_aside() {
  if (segment_ >= 0) close(segment_);
  segment_ = -1;
  const std::string aside = folder_ + "/damaged";
  std::error_code fault;
  fs::remove_all(aside, fault);
  if (!fault) fs::create_directory(aside, fault);
  if (fault) return StorageError{"cannot make " + aside + ": " + fault.message()};
  std::vector<fs::path> files;
  for (const auto &item : fs::directory_iterator(folder_))
    if (item.is_regular_file()) files.push_back(item.path());
  for (const fs::path &file : files) {
    fs::rename(file, aside / file.filename(), fault);
    if (fault) return StorageError{"cannot move " + file.string() + ": " + fault.message()};
  }
  if (!sync_folder()) return trouble("cannot sync " + folder_);
  return std::monostate{};
}

std::variant<DiskStorage::Findings, StorageError> DiskStorage::verify(const std::string &folder) {
  Findings findings;
  if (!fs::is_directory(folder)) return StorageError{folder + ": not a folder"};
  if (!fs::exists(folder + "/identity"))
    return StorageError{folder + ": holds no identity, so no data of a harbourd"};
  auto identity = read_file(folder + "/identity");
  if (auto *error = std::get_if<StorageError>(&identity)) return *error;
  if (!unpack(std::get<std::string>(identity), findings.identity) || findings.identity == 0)
    return StorageError{folder + "/identity: holds no identity"};
  auto read = read_all(folder, findings.torn_bytes);
  if (auto *error = std::get_if<StorageError>(&read)) return *error;
  findings.recovered = std::get<Recovered>(std::move(read));
  findings.segments = numbers(folder, "seg-").size();
  for (const auto &item : fs::directory_iterator(folder))
    if (item.is_regular_file()) findings.bytes += item.file_size();
  return findings;
}

std::variant<Recovered, StorageError> DiskStorage::read_all(const std::string &folder, std::size_t &torn) {
  torn = 0;
  Recovered recovered;
  const auto snapshots = numbers(folder, "pic-");
  if (!snapshots.empty()) {
    const std::string path = folder + "/pic-" + std::to_string(snapshots.back());
    auto read = read_file(path);
    if (auto *error = std::get_if<StorageError>(&read)) return *error;
    if (!unpack(std::get<std::string>(read), recovered.snapshot))
      return StorageError{path + ": cannot be read", StorageFault::damaged};
  }
  const auto segments = numbers(folder, "seg-");
  for (std::size_t which = 0; which < segments.size(); ++which) {
    const std::string path = folder + "/seg-" + std::to_string(segments[which]);
    const bool is_last = which + 1 == segments.size();
    const auto bytes = slurp(path);
    if (!bytes) return StorageError{"cannot read " + path};
    if (bytes->empty()) continue;
    const bool is_blank = bytes->find_first_not_of('\0') == std::string::npos;
    if (is_last && (is_blank || is_torn_head(*bytes))) {
      torn = bytes->size();
      continue;
    }
    if (!bytes->starts_with(segment_mark)) return wrong_mark(path, *bytes, segment_mark);
    std::size_t at = segment_mark.size();
    bool marks_batches = false;
    while (at < bytes->size()) {
      const auto payload = record_at(*bytes, at);
      if (!payload) {
        if (!is_last || finds_batch_after(*bytes, at, marks_batches))
          return StorageError{path + ": damaged record at byte " + std::to_string(at), StorageFault::damaged};
        torn = bytes->size() - at;
        break;
      }
      at += 8 + payload->size();
      const std::string_view body = payload->substr(1);
      if (payload->front() == 'H') {
        if (!unpack(body, recovered.hard))
          return StorageError{path + ": damaged hard state", StorageFault::damaged};
        continue;
      }
      if (payload->front() == 'C') {
        std::uint64_t cut_from = 0;
        if (!unpack(body, cut_from)) return StorageError{path + ": damaged cut", StorageFault::damaged};
        cut_entries(recovered, cut_from);
        continue;
      }
      if (payload->front() == 'S') {
        marks_batches = true;
        continue;
      }
      Entry entry;
      if (payload->front() != 'E' || !unpack(body, entry))
        return StorageError{path + ": damaged entry", StorageFault::damaged};
      take_entry(recovered, std::move(entry));
    }
  }
  std::uint64_t expected = recovered.snapshot.index + 1;
  for (const Entry &entry : recovered.entries)
    if (entry.index != expected++)
      return StorageError{folder + ": entry " + std::to_string(expected - 1) + " is missing",
                          StorageFault::damaged};
  return recovered;
}

std::variant<std::monostate, StorageError> DiskStorage::start_segment() {
  if (segment_ >= 0) close(segment_);
  const std::string path = folder_ + "/seg-" + std::to_string(++segment_number_);
  segment_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (segment_ < 0) return trouble("cannot open " + path);
  const std::string head = std::string(segment_mark) + record('H', pack(hard_)) + record('S', {});
  if (!write_all(segment_, head) || fsync(segment_) != 0 || !sync_folder())
    return trouble("cannot write " + path);
  segment_size_ = head.size();
  return std::monostate{};
}

std::variant<std::monostate, StorageError> DiskStorage::write(const WriteBatch &save) {
  if (save.hard) hard_ = *save.hard;
  if (save.snapshot) {
    auto written = write_file("pic-" + std::to_string(save.snapshot->index), pack(*save.snapshot));
    if (std::holds_alternative<StorageError>(written)) return written;
  }
  if (segment_ < 0 || save.snapshot || segment_size_ > segment_limit) {
    auto started = start_segment();
    if (std::holds_alternative<StorageError>(started)) return started;
  }
  if (save.hard || save.cut_from != 0 || !save.append.empty()) {
    std::string bytes = record('S', {});
    if (save.hard) bytes += record('H', pack(*save.hard));
    if (save.cut_from != 0) bytes += record('C', pack(save.cut_from));
    for (const Entry &entry : save.append) bytes += record('E', pack(entry));
    if (!write_all(segment_, bytes) || fdatasync(segment_) != 0)
      return trouble("cannot write the log in " + folder_);
    segment_size_ += bytes.size();
  }
  if (save.snapshot) {
    for (std::uint64_t number : numbers(folder_, "seg-"))
      if (number < segment_number_) unlink((folder_ + "/seg-" + std::to_string(number)).c_str());
    for (std::uint64_t number : numbers(folder_, "pic-"))
      if (number < save.snapshot->index) unlink((folder_ + "/pic-" + std::to_string(number)).c_str());
  }
  return std::monostate{};
}

} // namespace wharf
