#ifndef waxwingyoke_utils_Digest_h
#define waxwingyoke_utils_Digest_h

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingyoke::utils {

/** A SHA-256 digest: 32 bytes, written as 64 lower-case hex digits. */
class Digest
{
public:
  static constexpr std::size_t kBytes = 32;

  /** All zero, which represents the absence of a digest. */
  Digest() = default;

  /** Computes the digest of aBytes. */
  static Digest Of(std::string_view aBytes);

  /** Parses 64 lower-case hex digits; empty for anything else. */
  static std::optional<Digest> Parse(std::string_view aHex);

  std::string ToHex() const;

  /** The first eight bytes as a big-endian number, for hashing and ranking. */
  std::uint64_t GetPrefix() const;

  auto operator<=>(const Digest&) const = default;

private:
  friend class DigestBuilder;

  std::array<std::uint8_t, kBytes> bytes_{};
};

/** Computes the digest of bytes that arrive in parts. */
class DigestBuilder
{
public:
  DigestBuilder();
  ~DigestBuilder();
  DigestBuilder(DigestBuilder&&) noexcept;
  DigestBuilder& operator=(DigestBuilder&&) noexcept;

  void Add(std::string_view aPart);

  /** Returns the digest of all parts; may be called only once. */
  Digest Finish();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Compares two secrets in time that depends only on their lengths. */
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace waxwingyoke::utils

template<>
struct std::hash<waxwingyoke::utils::Digest>
{
  std::size_t operator()(const waxwingyoke::utils::Digest& aDigest) const
  {
    return aDigest.GetPrefix();
  }
};

#endif // waxwingyoke_utils_Digest_h
