#include "memory/memory_account.hpp"

#include <algorithm>
#include <malloc.h>
#include <utility>

namespace wharf {

namespace {
/// Pieces from this size on are mapped each by itself.
constexpr int mapped_from_bytes = 64 << 10;
constexpr int kept_at_top_bytes = 128 << 10;
/// Threads share few arenas, since what is free in one cannot be used by another.
constexpr int arenas_most = 2;
constexpr std::size_t client_share_divisor = 2;
} // namespace

bool MemoryAccount::has_room_for(std::size_t piece) const {
  return used() + piece <= bound_for(piece) && (whole_ == nullptr || whole_->has_room_for(piece));
}

void MemoryAccount::remove_holder(MemoryHolder &holder) { std::erase(holders_, &holder); }

bool MemoryAccount::make_room_for(std::size_t piece) {
  while (!has_room_for(piece)) {
    MemoryHolder *largest = nullptr;
    std::size_t most = 0;
    for (MemoryHolder *holder : holders_) {
      const std::size_t bytes = holder->largest_reclaimable();
      if (bytes <= most) continue;
      most = bytes;
      largest = holder;
    }
    if (largest == nullptr) return false;
    largest->reclaim_largest();
  }
  return true;
}

void MemoryAccount::add(std::size_t bytes) {
  const std::size_t now = used_.fetch_add(bytes, std::memory_order_relaxed) + bytes;
  std::size_t most = peak_.load(std::memory_order_relaxed);
  while (now > most && !peak_.compare_exchange_weak(most, now, std::memory_order_relaxed)) {
  }
  if (whole_ != nullptr) whole_->add(bytes);
}

void MemoryAccount::subtract(std::size_t bytes) {
  used_.fetch_sub(bytes, std::memory_order_relaxed);
  if (whole_ != nullptr) whole_->subtract(bytes);
}

MemoryCharge::MemoryCharge(MemoryAccount *account, std::size_t bytes) : account_(account) { set(bytes); }

MemoryCharge::MemoryCharge(MemoryCharge &&other) noexcept
    : account_(other.account_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge &MemoryCharge::operator=(MemoryCharge &&other) noexcept {
  if (this == &other) return *this;
  set(0);
  account_ = other.account_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

MemoryCharge::~MemoryCharge() { set(0); }

void MemoryCharge::set(std::size_t bytes) {
  if (account_ == nullptr || bytes == bytes_) return;
  if (bytes > bytes_)
    account_->add(bytes - bytes_);
  else
    account_->subtract(bytes_ - bytes);
  bytes_ = bytes;
}

std::size_t client_memory_bound(std::size_t memory_mb) { return (memory_mb << 20) / client_share_divisor; }

void return_freed_memory_at_once() {
  mallopt(M_MMAP_THRESHOLD, mapped_from_bytes);
  mallopt(M_TRIM_THRESHOLD, kept_at_top_bytes);
  mallopt(M_ARENA_MAX, arenas_most);
}

} // namespace wharf
