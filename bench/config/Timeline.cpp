#include "Timeline.h"

#include <algorithm>
#include <fstream>

namespace waxwingyoke::bench {

namespace {

// The lines are written by our own logger, so that searching for the field's
// name suffices instead of parsing JSON.
std::uint64_t
ReadNumber(const std::string& aLine, const std::string& aName)
{
  auto at = aLine.find("\"" + aName + "\":");
  if (at == std::string::npos) {
    return 0;
  }
  at = aLine.find_first_of("0123456789", at + aName.size() + 2);
  return at == std::string::npos ? 0 : std::stoull(aLine.substr(at));
}

bool
HasText(const std::string& aLine, const std::string& aText)
{
  return aLine.find("\"text\":\"" + aText + "\"") != std::string::npos;
}

} // namespace

std::int64_t
Timeline::FindTime(std::uint64_t aNextOffset) const
{
  auto step = std::ranges::find_if(steps, [aNextOffset](const InForce& aStep) {
    return aStep.nextOffset >= aNextOffset;
  });
  return step == steps.end() ? -1 : step->timeMs;
}

Timeline
ReadTimeline(const std::string& aLogFile)
{
  Timeline timeline;
  std::ifstream file(aLogFile);
  std::uint64_t last = 0;
  for (std::string line; std::getline(file, line);) {
    if (HasText(line, "started")) {
      last = 0;
    }
    if (!HasText(line, "config in force")) {
      continue;
    }
    InForce step;
    step.timeMs = static_cast<std::int64_t>(ReadNumber(line, "time_ms"));
    step.nextOffset = ReadNumber(line, "next_offset");
    timeline.reverts += step.nextOffset < last ? 1 : 0;
    last = step.nextOffset;
    timeline.steps.push_back(step);
  }
  return timeline;
}

} // namespace waxwingyoke::bench
