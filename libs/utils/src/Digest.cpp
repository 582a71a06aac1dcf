#include <utils/Digest.h>

#include <algorithm>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

namespace waxwingyoke::utils {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::optional<std::uint8_t>
ParseHexDigit(char aDigit)
{
  auto position = kHexDigits.find(aDigit);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(position);
}

} // namespace

Digest
Digest::Of(std::string_view aBytes)
{
  Digest digest;
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.bytes_.data());
  return digest;
}

std::optional<Digest>
Digest::Parse(std::string_view aHex)
{
  if (aHex.size() != 2 * kBytes) {
    return std::nullopt;
  }
  Digest digest;
  for (std::size_t i = 0; i < kBytes; ++i) {
    auto high = ParseHexDigit(aHex[2 * i]);
    auto low = ParseHexDigit(aHex[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    digest.bytes_[i] = static_cast<std::uint8_t>(*high << 4 | *low);
  }
  return digest;
}

std::string
Digest::ToHex() const
{
  std::string hex;
  hex.reserve(2 * kBytes);
  std::ranges::for_each(bytes_, [&hex](std::uint8_t aByte) {
    hex += kHexDigits[aByte >> 4];
    hex += kHexDigits[aByte & 0xf];
  });
  return hex;
}

std::uint64_t
Digest::GetPrefix() const
{
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i < sizeof(prefix); ++i) {
    prefix = prefix << 8 | bytes_[i];
  }
  return prefix;
}

struct DigestBuilder::Impl
{
  Impl()
    : context(EVP_MD_CTX_new())
  {
    EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
  }
  ~Impl() { EVP_MD_CTX_free(context); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  EVP_MD_CTX* context;
};

DigestBuilder::DigestBuilder()
  : impl_(std::make_unique<Impl>())
{
}

DigestBuilder::~DigestBuilder() = default;
DigestBuilder::DigestBuilder(DigestBuilder&&) noexcept = default;
DigestBuilder&
DigestBuilder::operator=(DigestBuilder&&) noexcept = default;

void
DigestBuilder::Add(std::string_view aPart)
{
  EVP_DigestUpdate(impl_->context, aPart.data(), aPart.size());
}

Digest
DigestBuilder::Finish()
{
  Digest digest;
  EVP_DigestFinal_ex(impl_->context, digest.bytes_.data(), nullptr);
  return digest;
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace waxwingyoke::utils
