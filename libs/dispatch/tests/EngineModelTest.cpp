#include <doctest/doctest.h>

#include <dispatch/EngineModel.h>

using namespace waxwingyoke;
using namespace waxwingyoke::dispatch;

namespace {

platform::EngineTraits
MakeTraits()
{
  platform::EngineTraits traits;
  traits.slots = 16;
  traits.stepsPerPass = 5;
  traits.stepMs = 9;
  traits.stepMsPerRequest = 0.04;
  traits.stepMsPerThousandTokens = 0.02;
  traits.readTokensPerMs = 20;
  traits.usualPromptTokens = 1000;
  traits.usualAnswerTokens = 100;
  return traits;
}

} // namespace

TEST_CASE("pass time is its token steps, and grows with the batch up to full")
{
  EngineModel model(MakeTraits());
  CHECK(model.GetPassMs(0) == doctest::Approx(45));
  CHECK(model.GetPassMs(16) > model.GetPassMs(1));
  CHECK(model.GetPassMs(100) == doctest::Approx(model.GetPassMs(16)));
}

TEST_CASE("prefill time grows with the prompt")
{
  EngineModel model(MakeTraits());
  CHECK(model.GetPrefillMs(2000) == doctest::Approx(100));
  CHECK(model.GetPrefillMs(0) == doctest::Approx(0));
}

TEST_CASE("the predicted time to first event grows with load and queue")
{
  EngineModel model(MakeTraits());
  auto idle = model.PredictFirstEventMs({ 0, 0, 1 }, 1000);
  auto half = model.PredictFirstEventMs({ 8, 0, 1 }, 1000);
  auto full = model.PredictFirstEventMs({ 16, 0, 1 }, 1000);
  auto queued = model.PredictFirstEventMs({ 20, 0, 1 }, 1000);
  CHECK(idle < half);
  CHECK(half < full);
  CHECK(full < queued);
  CHECK(queued - full ==
        doctest::Approx(4 * model.GetTurnoverMs()).epsilon(0.05));
}

TEST_CASE("pending prefills and a slow pace delay the first event")
{
  EngineModel model(MakeTraits());
  auto alone = model.PredictFirstEventMs({ 4, 0, 1 }, 1000);
  CHECK(model.PredictFirstEventMs({ 4, 4000, 1 }, 1000) ==
        doctest::Approx(alone + 200));
  CHECK(model.PredictFirstEventMs({ 4, 0, 2 }, 1000) ==
        doctest::Approx(2 * alone));
}
