#include "TimedWriter.h"

#include <telemetry/Metrics.h>

namespace waxwingyoke::requests {

namespace {

void
AddSample(telemetry::Distribution& aDistribution, utils::Millis aTime)
{
  aDistribution.Add(static_cast<double>(aTime.value));
}

} // namespace

TimedWriter::TimedWriter(net::ResponseWriter& aInner)
  : inner_(aInner)
  , startedAt_(clock_.Now())
{
}

TimedWriter::~TimedWriter()
{
  static auto& sRequest =
    telemetry::Metrics::Get().GetDistribution("entry_request_ms");
  AddSample(sRequest, clock_.Now() - startedAt_);
}

void
TimedWriter::RecordFirstPart()
{
  static auto& sFirstPart =
    telemetry::Metrics::Get().GetDistribution("entry_first_part_ms");
  if (!hasFirstPart_) {
    hasFirstPart_ = true;
    AddSample(sFirstPart, clock_.Now() - startedAt_);
  }
}

bool
TimedWriter::Send(const net::HttpResponse& aResponse)
{
  RecordFirstPart();
  return inner_.Send(aResponse);
}

bool
TimedWriter::Start(int aStatus, const net::HttpFields& aFields)
{
  return inner_.Start(aStatus, aFields);
}

bool
TimedWriter::Write(std::string_view aPart)
{
  RecordFirstPart();
  return inner_.Write(aPart);
}

bool
TimedWriter::Finish()
{
  return inner_.Finish();
}

} // namespace waxwingyoke::requests
