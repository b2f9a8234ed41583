#include <random>

#include "delta/delta.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
std::string routes(int count, unsigned seed) {
  std::mt19937 random(seed);
  std::string text = "{";
  for (int at = 0; at < count; ++at)
    text += "\"r-" + std::to_string(random()) + "\": \"* //host/p" + std::to_string(at) +
            "/** to s within 2500\",";
  return text + "}";
}
void comes_back(const std::string &base, const std::string &target) {
  const auto decoded = decode_delta(base, encode_delta(base, target));
  CHECK(decoded.has_value());
  CHECK(*decoded == target);
}
} // namespace

TEST_GROUP(Delta){};

TEST(Delta, texts_of_every_kind_come_back) {
  const std::string text = routes(500, 1);
  std::string changed = text;
  changed.insert(3000, "\"new\": \"route\",");
  changed.erase(9000, 70);
  for (const std::string &base : {std::string(), std::string("x"), text, changed, routes(20, 2)})
    for (const std::string &target : {std::string(), std::string("y"), text, changed, text + text})
      comes_back(base, target);
}

TEST(Delta, a_small_change_of_a_large_text_is_small) {
  const std::string text = routes(5000, 1);
  std::string changed = text;
  changed.insert(100'000, "\"new\": \"route\",");
  changed.erase(200'000, 70);
  CHECK(encode_delta(text, changed).size() < 300);
  CHECK(encode_delta({}, text).size() < text.size() / 3);
}

TEST(Delta, another_base_and_damaged_bytes_give_nothing) {
  const std::string text = routes(100, 1), changed = text + "more";
  const std::string delta = encode_delta(text, changed);
  CHECK(!decode_delta(changed, delta).has_value());
  for (std::size_t at = 0; at < delta.size(); ++at) {
    std::string damaged = delta;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x41);
    const auto decoded = decode_delta(text, damaged);
    CHECK(!decoded || *decoded == changed);
  }
  for (std::size_t size = 0; size < delta.size(); ++size)
    CHECK(!decode_delta(text, std::string_view(delta).substr(0, size)).has_value());
}
