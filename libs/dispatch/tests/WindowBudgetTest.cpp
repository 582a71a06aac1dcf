#include <doctest/doctest.h>

#include <dispatch/WindowBudget.h>

using waxwingyoke::dispatch::WindowBudget;
using waxwingyoke::utils::Millis;

namespace {

int
TakeAll(WindowBudget& aBudget, Millis aNow)
{
  int taken = 0;
  while (aBudget.Take(aNow)) {
    ++taken;
  }
  return taken;
}

} // namespace

TEST_CASE("resends are limited to a ratio of first sends plus the slack")
{
  WindowBudget budget;
  budget.SetLimits({ 0.2, 3, Millis(10000) });
  CHECK(TakeAll(budget, Millis(1000)) == 3);
  for (int i = 0; i < 50; ++i) {
    budget.RecordFirstSend(Millis(2000));
  }
  CHECK(TakeAll(budget, Millis(3000)) == 10);
}

TEST_CASE("a resend counts against the budget for a full window")
{
  WindowBudget budget;
  budget.SetLimits({ 0, 2, Millis(10000) });
  CHECK(TakeAll(budget, Millis(1000)) == 2);
  CHECK(TakeAll(budget, Millis(10900)) == 0);
  CHECK(TakeAll(budget, Millis(13000)) == 2);
}
