#include <doctest/doctest.h>

#include "CallerRequest.h"
#include "CrashAttribution.h"
#include "RetryBudget.h"
#include "RetryRule.h"
#include "SuspectRegistry.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::ErrorKind;
using utils::Millis;

TEST_CASE("a request that may have run is retried only if it is idempotent")
{
  for (int i = 1; i < static_cast<int>(ErrorKind::Count); ++i) {
    auto kind = static_cast<ErrorKind>(i);
    CAPTURE(utils::GetName(kind));
    auto run = utils::GetErrorTraits(kind).run;
    if (run != utils::RunOutcome::No) {
      CHECK(DecideNext(kind, false) == NextStep::GiveUp);
      CHECK(DecideNext(kind, true) != NextStep::Retry);
    }
    auto error = MakeFinalError({ kind, "" }, true);
    CHECK(utils::GetErrorTraits(error.kind).run != utils::RunOutcome::No);
    CHECK(MakeFinalError({ kind, "" }, false).kind == kind);
  }
}

TEST_CASE("refused attempts are retried, errors of the request itself are not")
{
  CHECK(DecideNext(ErrorKind::Leaving, false) == NextStep::Retry);
  CHECK(DecideNext(ErrorKind::Barred, false) == NextStep::Retry);
  CHECK(DecideNext(ErrorKind::Overloaded, false) ==
        NextStep::RetryWithinBudget);
  CHECK(DecideNext(ErrorKind::ConnectionLost, true) ==
        NextStep::RetryWithinBudget);
  CHECK(DecideNext(ErrorKind::OutcomeUnknown, true) ==
        NextStep::RetryWithinBudget);
  CHECK(DecideNext(ErrorKind::Quarantined, true) == NextStep::GiveUp);
  CHECK(DecideNext(ErrorKind::DeadlineExceeded, true) == NextStep::GiveUp);
}

TEST_CASE("retries are limited to a percentage of the requests")
{
  RetryBudget budget(20);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.Take() ? 1 : 0;
    retries += budget.Take() ? 1 : 0;
  }
  CHECK(retries >= 200);
  CHECK(retries <= 211);
  RetryBudget none(0);
  none.OnRequest();
  CHECK_FALSE(none.Take());
}

TEST_CASE("the first crash strikes all running requests, the second convicts "
          "only the suspect")
{
  CrashAttribution first;
  CHECK(first.Classify(false, Millis(0)) == schema::STRUCK);
  CHECK(first.Classify(false, Millis(1)) == schema::STRUCK);
  CrashAttribution second;
  second.EnterSuspect();
  CHECK(second.Classify(false, Millis(0)) == schema::NO_STRIKE);
  CHECK(second.Classify(true, Millis(0)) == schema::CONVICTED);
  second.LeaveSuspect(true, Millis(0));
  CHECK(second.Classify(false, Millis(100)) == schema::NO_STRIKE);
  CHECK(second.Classify(false, Millis(60000)) == schema::STRUCK);
}

TEST_CASE("a new strike does not replace a conviction, clearing removes it")
{
  SuspectRegistry suspects;
  suspects.RecordStrike("d", schema::STRUCK, Millis(0));
  CHECK(suspects.Find("d", Millis(1)) == Suspicion::Suspect);
  CHECK(suspects.Find("e", Millis(1)) == Suspicion::None);
  suspects.RecordStrike("d", schema::CONVICTED, Millis(2));
  suspects.RecordStrike("d", schema::STRUCK, Millis(3));
  CHECK(suspects.Find("d", Millis(4)) == Suspicion::Convicted);
  suspects.Clear("d");
  CHECK(suspects.Find("d", Millis(5)) == Suspicion::None);
}

TEST_CASE("only a canonical path under a declared prefix is idempotent")
{
  schema::RequestRules rules;
  auto* rule = rules.add_idempotent();
  rule->set_method("GET");
  rule->set_path_prefix("/status");
  struct Row
  {
    const char* method;
    const char* path;
    bool idempotent;
  };
  for (const auto& row : { Row{ "GET", "/status", true },
                           Row{ "GET", "/status/7?full=1", true },
                           Row{ "POST", "/status", false },
                           Row{ "GET", "/statuses", false },
                           Row{ "GET", "/status/../orders", false },
                           Row{ "GET", "/status/%2e%2e/orders", false },
                           Row{ "GET", "/status//orders", false },
                           Row{ "GET", "/", false } }) {
    CAPTURE(row.path);
    CHECK(IsIdempotent(rules, row.method, row.path) == row.idempotent);
  }
}

TEST_CASE("a key starts with its issue time and is refused outside the window")
{
  utils::Error reason;
  Millis now(100 * 60 * 1000);
  CHECK(ReadKey("6000000-abc", now, reason)->issued == now);
  CHECK_FALSE(ReadKey("abc", now, reason));
  CHECK(reason.kind == ErrorKind::BadRequest);
  CHECK_FALSE(ReadKey("1000-abc", now, reason));
  CHECK(reason.kind == ErrorKind::KeyExpired);
  CHECK_FALSE(ReadKey("9000000-abc", now, reason));
  CHECK(reason.kind == ErrorKind::KeyExpired);
}

TEST_CASE("a chat request names its profile and must not set request_id")
{
  utils::Error reason;
  net::HttpRequest request;
  request.method = "POST";
  request.body = R"({"model":"llm-pool","messages":[]})";
  request.fields.Set("X-Priority", "2");
  auto chat = ReadChatRequest(request, Millis(500), reason);
  REQUIRE(chat);
  CHECK(chat->profile == "llm-pool");
  CHECK(chat->priority == 2);
  CHECK(chat->timeout == Millis(500));
  request.fields.Set("X-Priority", "12");
  CHECK_FALSE(ReadChatRequest(request, Millis(500), reason));
  request.fields.Set("X-Priority", "2");
  request.body = R"({"model":"llm-pool","request_id":"x"})";
  CHECK_FALSE(ReadChatRequest(request, Millis(500), reason));
  request.body = "[";
  CHECK_FALSE(ReadChatRequest(request, Millis(500), reason));
}

TEST_CASE("a service request keeps its path and query, the digest covers them")
{
  utils::Error reason;
  net::HttpRequest request;
  request.method = "PUT";
  request.target = "/services/frilanstorg/orders/7?x=1";
  auto service = ReadServiceRequest(request, Millis(500), reason);
  REQUIRE(service);
  CHECK(service->profile == "frilanstorg");
  CHECK(service->path == "/orders/7?x=1");
  auto digest = service->digest;
  request.target = "/services/frilanstorg/orders/8";
  CHECK(ReadServiceRequest(request, Millis(500), reason)->digest != digest);
}
