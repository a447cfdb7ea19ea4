#include "bundle/signing.h"

#include <openssl/evp.h>

#include <array>
#include <memory>
#include <set>

#include "base/digest.h"

namespace quaytrack {
namespace {

constexpr std::size_t kKeyLength = 32;
constexpr std::size_t kSignatureLength = 64;

struct KeyDeleter {
  void operator()(EVP_PKEY* it) const { EVP_PKEY_free(it); }
};
struct ContextDeleter {
  void operator()(EVP_MD_CTX* it) const { EVP_MD_CTX_free(it); }
};
using Key = std::unique_ptr<EVP_PKEY, KeyDeleter>;
using Context = std::unique_ptr<EVP_MD_CTX, ContextDeleter>;

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// The message that a signature covers.
std::string SignedText(std::uint64_t version, std::string_view text) {
  return "quaytrack-bundle " + std::to_string(version) + " " + Sha256Hex(text);
}

bool Verify(const std::string& public_key, const std::string& message,
            const std::string& signature_text) {
  const auto raw = Base64Decode(public_key);
  const auto signature = Base64Decode(signature_text);
  if (!raw || raw->size() != kKeyLength) return false;
  if (!signature || signature->size() != kSignatureLength) return false;
  const Key key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                            Bytes(*raw), raw->size()));
  const Context context(EVP_MD_CTX_new());
  if (!key || EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                                   key.get()) != 1) {
    return false;
  }
  return EVP_DigestVerify(context.get(), Bytes(*signature), signature->size(),
                          Bytes(message), message.size()) == 1;
}

std::string EncodeRawKey(EVP_PKEY* key,
                         int (*get)(const EVP_PKEY*, unsigned char*,
                                    std::size_t*)) {
  std::array<unsigned char, kKeyLength> buf{};
  std::size_t n = buf.size();
  get(key, buf.data(), &n);
  return Base64Encode({reinterpret_cast<const char*>(buf.data()), n});
}

}  // namespace

OperatorKeyPair MakeOperatorKeyPair() {
  const Key key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  OperatorKeyPair out;
  out.private_key = EncodeRawKey(key.get(), EVP_PKEY_get_raw_private_key);
  out.public_key = EncodeRawKey(key.get(), EVP_PKEY_get_raw_public_key);
  return out;
}

std::optional<std::string> SignBundle(const std::string& private_key,
                                      std::uint64_t version,
                                      std::string_view text) {
  const auto raw = Base64Decode(private_key);
  if (!raw || raw->size() != kKeyLength) return std::nullopt;
  const Key key(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                             Bytes(*raw), raw->size()));
  const Context context(EVP_MD_CTX_new());
  if (!key || EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr,
                                 key.get()) != 1) {
    return std::nullopt;
  }
  const std::string message = SignedText(version, text);
  std::array<unsigned char, kSignatureLength> buf{};
  std::size_t n = buf.size();
  if (EVP_DigestSign(context.get(), buf.data(), &n, Bytes(message),
                     message.size()) != 1) {
    return std::nullopt;
  }
  return Base64Encode({reinterpret_cast<const char*>(buf.data()), n});
}

std::size_t CountValidSignatures(
    const OperatorKeys& keys, std::uint64_t version, std::string_view text,
    const std::vector<BundleSignature>& signatures) {
  const std::string message = SignedText(version, text);
  std::set<std::string> signers;
  for (const BundleSignature& it : signatures) {
    auto key = keys.find(it.operator_name);
    if (key == keys.end()) continue;
    if (!Verify(key->second, message, it.signature)) continue;
    // Two names with the same key count as one operator.
    signers.insert(key->second);
  }
  return signers.size();
}

}  // namespace quaytrack
