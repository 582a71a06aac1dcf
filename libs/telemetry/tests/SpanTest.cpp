#include <doctest/doctest.h>

#include <telemetry/Logger.h>
#include <telemetry/Span.h>

using namespace waxwingyoke::telemetry;

TEST_CASE("a span continues the trace of the previous hop")
{
  Span first("entry", "");
  Span second("side", first.GetTraceparent());
  CHECK(second.GetTraceparent().substr(0, 35) ==
        first.GetTraceparent().substr(0, 35));
  CHECK(second.GetTraceparent() != first.GetTraceparent());
}

TEST_CASE("an invalid traceparent starts a new trace")
{
  Span span("entry", "00-zz");
  CHECK(span.GetTraceparent().size() == 55);
}

TEST_CASE("QuoteJson escapes quotes, backslashes and control characters")
{
  CHECK(QuoteJson("a\"b\\c\n") == "\"a\\\"b\\\\c\\u000a\"");
}
