#include "seal/seal.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace wharf {

namespace {
std::string hex(const unsigned char *bytes, unsigned size) {
  constexpr char digits[] = "0123456789abcdef";
  std::string text;
  for (unsigned at = 0; at < size; ++at) {
    text.push_back(digits[bytes[at] >> 4]);
    text.push_back(digits[bytes[at] & 15]);
  }
  return text;
}
} // namespace

std::string hmac_hex(std::string_view key, std::string_view bytes) {
  unsigned char sum[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), sum, &size);
  return hex(sum, size);
}

std::string digest_hex(std::string_view bytes) {
  unsigned char sum[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(bytes.data(), bytes.size(), sum, &size, EVP_sha256(), nullptr);
  return hex(sum, size);
}

std::string seal_of(std::string_view seal_key, std::string_view errand, bool is_refusal, int status,
                    std::string_view type, std::string_view body) {
  std::string text;
  for (std::string_view part : {errand, std::string_view(is_refusal ? "refusal" : "answer"), type}) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
  }
  text += std::to_string(status) + ':';
  text += body;
  return hmac_hex(seal_key, text);
}

bool same_text(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned char difference = 0;
  for (std::size_t at = 0; at < left.size(); ++at)
    difference |= static_cast<unsigned char>(left[at] ^ right[at]);
  return difference == 0;
}

} // namespace wharf
