#include "delta/delta.hpp"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <unordered_map>
#include <vector>
#include <zlib.h>

namespace wharf {

namespace {
/// Layout: mark, checksum of the base, checksum and size of the target, size of the operations, and these
/// compressed.
constexpr char delta_mark = '\x02';
constexpr std::size_t head_size = 1 + 4 * 4;
/// The shortest run of bytes that is looked for in the base.
constexpr std::size_t block_size = 32;
/// No configuration is larger; a claim beyond it is damage.
constexpr std::uint32_t target_most = 64u << 20;
/// Fast compression: it is done on the event loop of a small machine.
constexpr int compression_level = 4;
constexpr std::uint64_t hash_factor = 0x100000001B3ull;

std::uint32_t sum_of(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32_z(0, reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size()));
}

void put_number(std::string &into, std::uint64_t number) {
  for (; number >= 0x80; number >>= 7) into.push_back(static_cast<char>(number | 0x80));
  into.push_back(static_cast<char>(number));
}

bool get_number(std::string_view &from, std::uint64_t &number) {
  number = 0;
  for (int shift = 0; shift < 63 && !from.empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(from.front());
    from.remove_prefix(1);
    number |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
    if (byte < 0x80) return true;
  }
  return false;
}

void put_word(std::string &into, std::uint32_t word) {
  char bytes[4];
  std::memcpy(bytes, &word, 4);
  into.append(bytes, 4);
}

std::uint32_t get_word(std::string_view from, std::size_t at) {
  std::uint32_t word = 0;
  std::memcpy(&word, from.data() + at, 4);
  return word;
}

/// A polynomial hash over a window of `block_size` bytes that moves one byte at a time.
class RollingHash {
public:
  RollingHash() {
    for (std::size_t at = 1; at < block_size; ++at) first_factor_ *= hash_factor;
  }
  void start(std::string_view block) {
    hash_ = 0;
    for (unsigned char byte : block.substr(0, block_size)) hash_ = hash_ * hash_factor + byte;
  }
  void roll(unsigned char leaves, unsigned char enters) {
    hash_ = (hash_ - leaves * first_factor_) * hash_factor + enters;
  }
  std::uint64_t value() const { return hash_; }

private:
  std::uint64_t hash_ = 0, first_factor_ = 1;
};

std::unordered_map<std::uint64_t, std::size_t> index_blocks(std::string_view base) {
  std::unordered_map<std::uint64_t, std::size_t> index;
  index.reserve(base.size() / block_size + 1);
  RollingHash hash;
  for (std::size_t at = 0; at + block_size <= base.size(); at += block_size) {
    hash.start(base.substr(at));
    index.emplace(hash.value(), at);
  }
  return index;
}

std::size_t same_length(std::string_view left, std::string_view right) {
  const auto length = std::min(left.size(), right.size());
  const auto ends =
      std::mismatch(left.begin(), left.begin() + static_cast<std::ptrdiff_t>(length), right.begin());
  return static_cast<std::size_t>(ends.first - left.begin());
}

/// Collects operations: a literal run, then a run copied from the base; either may be empty.
class Operations {
public:
  void add(std::string_view literal, std::size_t offset, std::size_t length) {
    put_number(bytes_, literal.size());
    bytes_ += literal;
    put_number(bytes_, length);
    if (length != 0) put_number(bytes_, offset);
  }
  const std::string &bytes() const { return bytes_; }

private:
  std::string bytes_;
};

std::string operations_for(std::string_view base, std::string_view target) {
  Operations operations;
  std::size_t at = same_length(base, target), literal_from = at;
  if (at > 0) operations.add({}, 0, at);
  if (at == target.size()) return operations.bytes();
  const auto index = index_blocks(base);
  RollingHash hash;
  bool is_hashed = false;
  while (!index.empty() && at + block_size <= target.size()) {
    if (!is_hashed) hash.start(target.substr(at));
    is_hashed = true;
    const auto found = index.find(hash.value());
    const std::size_t length =
        found == index.end() ? 0 : same_length(base.substr(found->second), target.substr(at));
    if (length >= block_size) {
      operations.add(target.substr(literal_from, at - literal_from), found->second, length);
      at += length;
      literal_from = at;
      is_hashed = false;
      continue;
    }
    if (at + block_size < target.size())
      hash.roll(static_cast<unsigned char>(target[at]), static_cast<unsigned char>(target[at + block_size]));
    ++at;
  }
  operations.add(target.substr(literal_from), 0, 0);
  return operations.bytes();
}

std::string compress_bytes(const std::string &bytes) {
  uLongf size = compressBound(bytes.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef *>(packed.data()), &size, reinterpret_cast<const Bytef *>(bytes.data()),
            bytes.size(), compression_level);
  packed.resize(size);
  return packed;
}

std::optional<std::string> uncompress_bytes(std::string_view packed, std::size_t size) {
  std::string bytes(size, '\0');
  uLongf written = size;
  const int result = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &written,
                                reinterpret_cast<const Bytef *>(packed.data()), packed.size());
  if (result != Z_OK || written != size) return std::nullopt;
  return bytes;
}

std::optional<std::string> apply_operations(std::string_view base, std::string_view operations,
                                            std::size_t size) {
  std::string target;
  target.reserve(size);
  while (!operations.empty()) {
    std::uint64_t literal = 0, length = 0, offset = 0;
    if (!get_number(operations, literal) || literal > operations.size()) return std::nullopt;
    target += operations.substr(0, literal);
    operations.remove_prefix(literal);
    if (!get_number(operations, length)) return std::nullopt;
    if (length == 0) continue;
    if (!get_number(operations, offset) || offset > base.size() || length > base.size() - offset)
      return std::nullopt;
    if (target.size() + length > size) return std::nullopt;
    target += base.substr(offset, length);
  }
  return target;
}
} // namespace

std::string encode_delta(std::string_view base, std::string_view target) {
  const std::string operations = operations_for(base, target);
  std::string delta(1, delta_mark);
  put_word(delta, sum_of(base));
  put_word(delta, sum_of(target));
  put_word(delta, static_cast<std::uint32_t>(target.size()));
  put_word(delta, static_cast<std::uint32_t>(operations.size()));
  return delta + compress_bytes(operations);
}

bool is_delta(std::string_view bytes) { return bytes.size() > head_size && bytes.front() == delta_mark; }

std::optional<std::string> decode_delta(std::string_view base, std::string_view delta) {
  if (!is_delta(delta) || get_word(delta, 1) != sum_of(base)) return std::nullopt;
  const std::uint32_t sum = get_word(delta, 5), size = get_word(delta, 9), packed_size = get_word(delta, 13);
  if (size > target_most || packed_size > target_most) return std::nullopt;
  const auto operations = uncompress_bytes(delta.substr(head_size), packed_size);
  if (!operations) return std::nullopt;
  auto target = apply_operations(base, *operations, size);
  if (!target || target->size() != size || sum_of(*target) != sum) return std::nullopt;
  return target;
}

} // namespace wharf
