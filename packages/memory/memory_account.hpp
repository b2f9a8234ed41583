#pragma once
// What clients make this process hold, counted as the memory it takes, against one bound for the process.
#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

namespace wharf {

/// Who holds memory for clients and can give some of it back.
class MemoryHolder {
public:
  virtual ~MemoryHolder() = default;
  /// Bytes of the largest piece that can be given back now; 0 where there is none.
  virtual std::size_t largest_reclaimable() = 0;
  /// Gives that piece back; its client is refused or loses its connection.
  virtual void reclaim_largest() = 0;
};

/// An account of bytes. What is charged to a part is charged to the whole as well. Counting is safe from any
/// thread; holders are registered and asked by one thread only.
class MemoryAccount {
public:
  /// A piece from this size on is large: large pieces leave a quarter of the account to small ones.
  static constexpr std::size_t large_bytes = 64u << 10;

  explicit MemoryAccount(std::size_t bound, MemoryAccount *whole = nullptr) : bound_(bound), whole_(whole) {}
  MemoryAccount(const MemoryAccount &) = delete;
  MemoryAccount &operator=(const MemoryAccount &) = delete;

  std::size_t bound() const { return bound_; }
  std::size_t used() const { return used_.load(std::memory_order_relaxed); }
  /// The most that was ever used.
  std::size_t peak() const { return peak_.load(std::memory_order_relaxed); }
  /// Bytes that pieces of this size may use together.
  std::size_t bound_for(std::size_t piece) const { return piece >= large_bytes ? bound_ / 4 * 3 : bound_; }
  /// True while one more piece fits here and in the whole.
  bool has_room_for(std::size_t piece) const;
  bool is_over() const { return used() > bound_; }

  void add_holder(MemoryHolder &holder) { holders_.push_back(&holder); }
  void remove_holder(MemoryHolder &holder);
  /// Has holders give back their largest pieces until this many bytes fit; false when that is not enough.
  bool make_room_for(std::size_t piece);

private:
  friend class MemoryCharge;
  void add(std::size_t bytes);
  void subtract(std::size_t bytes);

  std::size_t bound_;
  MemoryAccount *whole_;
  std::atomic<std::size_t> used_{0}, peak_{0};
  std::vector<MemoryHolder *> holders_;
};

/// What one owner holds of an account; given back at its end. Without an account nothing is counted.
class MemoryCharge {
public:
  MemoryCharge() = default;
  explicit MemoryCharge(MemoryAccount *account, std::size_t bytes = 0);
  MemoryCharge(MemoryCharge &&other) noexcept;
  MemoryCharge &operator=(MemoryCharge &&other) noexcept;
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;
  ~MemoryCharge();
  /// Says how many bytes are held now, whether or not they fit.
  void set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

private:
  MemoryAccount *account_ = nullptr;
  std::size_t bytes_ = 0;
};

/// Bytes that a text takes besides itself: none while it is short enough to stand in the object.
inline const std::size_t text_within_object = std::string().capacity();
inline std::size_t heap_bytes(const std::string &text) {
  return text.capacity() > text_within_object ? text.capacity() + 1 : 0;
}

/// The bytes that clients may make a process hold whose machine gives it so much memory. The rest is left to
/// the program, its configuration, its peers, and what the allocator cannot give back at once.
std::size_t client_memory_bound(std::size_t memory_mb);

/// Has the allocator give large pieces back to the system as soon as they are freed. Called once, at the
/// start.
void return_freed_memory_at_once();

} // namespace wharf
