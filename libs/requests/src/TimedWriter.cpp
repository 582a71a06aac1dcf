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
  , begun_(clock_.Now())
{
}

TimedWriter::~TimedWriter()
{
  static auto& sRequest =
    telemetry::Metrics::Get().GetDistribution("entry_request_ms");
  AddSample(sRequest, clock_.Now() - begun_);
}

void
TimedWriter::NoteFirstPart()
{
  static auto& sFirstPart =
    telemetry::Metrics::Get().GetDistribution("entry_first_part_ms");
  if (!hasPart_) {
    hasPart_ = true;
    AddSample(sFirstPart, clock_.Now() - begun_);
  }
}

bool
TimedWriter::Send(const net::HttpResponse& aResponse)
{
  NoteFirstPart();
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
  NoteFirstPart();
  return inner_.Write(aPart);
}

bool
TimedWriter::Finish()
{
  return inner_.Finish();
}

} // namespace waxwingyoke::requests
