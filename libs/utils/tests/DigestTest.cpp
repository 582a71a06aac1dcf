#include <doctest/doctest.h>

#include <utils/Digest.h>

using namespace waxwingyoke::utils;

TEST_CASE("a digest is the published SHA-256 of its bytes")
{
  CHECK(Digest::Of("abc").ToHex() ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a digest parses its own hex text and rejects any other")
{
  auto digest = Digest::Of("chunk");
  CHECK(Digest::Parse(digest.ToHex()) == digest);
  CHECK_FALSE(Digest::Parse("abc"));
  CHECK_FALSE(Digest::Parse(std::string(64, 'x')));
}

TEST_CASE("secrets are compared by content and length")
{
  CHECK(EqualConstantTime("secret", "secret"));
  CHECK_FALSE(EqualConstantTime("secret", "secreT"));
  CHECK_FALSE(EqualConstantTime("secret", "secrets"));
}

TEST_CASE("the digest of parts equals the digest of their concatenation")
{
  DigestBuilder builder;
  builder.Add("ab");
  builder.Add("");
  builder.Add("c");
  CHECK(builder.Finish() == Digest::Of("abc"));
}
