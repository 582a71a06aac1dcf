#include <doctest/doctest.h>

#include <dispatch/CrashLedger.h>

using namespace waxwingyoke::dispatch;
using waxwingyoke::utils::Millis;

TEST_CASE("two upstreams that crash under a request quarantine it")
{
  CrashLedger ledger;
  CHECK(ledger.Note({ 7, 1 }, Millis(0)));
  CHECK_FALSE(ledger.IsQuarantined(7, Millis(0)));
  CHECK_FALSE(ledger.Note({ 7, 1 }, Millis(10)));
  CHECK_FALSE(ledger.IsQuarantined(7, Millis(10)));
  CHECK(ledger.Note({ 7, 2 }, Millis(20)));
  CHECK(ledger.IsQuarantined(7, Millis(20)));
  CHECK_FALSE(ledger.IsQuarantined(8, Millis(20)));
}

TEST_CASE("a quarantine ends, and a request that runs to its end is cleared")
{
  CrashLedger ledger;
  ledger.Note({ 7, 1 }, Millis(0));
  ledger.Note({ 7, 2 }, Millis(0));
  CHECK_FALSE(ledger.IsQuarantined(7, Millis(120000)));
  ledger.Clear(7);
  CHECK_FALSE(ledger.IsQuarantined(7, Millis(0)));
}

TEST_CASE("other entries are told of fresh crashes")
{
  CrashLedger ledger;
  ledger.Note({ 7, 1 }, Millis(0));
  ledger.Note({ 8, 1 }, Millis(5000));
  CHECK(ledger.ListSince(Millis(4000)).size() == 1);
  CHECK(ledger.ListSince(Millis(0)).size() == 2);
}
