#include <telemetry/Span.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <mutex>

#include <telemetry/Logger.h>

#include <utils/Hash.h>

namespace waxwingyoke::telemetry {

namespace {

// The span file of the process; opened once, before the threads start.
struct SpanFile
{
  std::mutex mutex;
  std::ofstream stream;
};

SpanFile&
GetSpanFile()
{
  static SpanFile sFile;
  return sFile;
}

std::int64_t
GetWallNanos()
{
  using std::chrono::duration_cast;
  using std::chrono::nanoseconds;
  using std::chrono::system_clock;
  return duration_cast<nanoseconds>(system_clock::now().time_since_epoch())
    .count();
}

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// "00-" trace id "-" span id "-01"
constexpr std::size_t kTraceparentLength = 55;

bool
IsHex(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  return aText.find_first_not_of(kHexDigits) == std::string_view::npos;
}

bool
IsTraceparent(std::string_view aText)
{
  return aText.size() == kTraceparentLength && aText.starts_with("00-") &&
         IsHex(aText.substr(3, kTraceIdDigits)) && aText[35] == '-' &&
         IsHex(aText.substr(36, kSpanIdDigits)) && aText[52] == '-';
}

} // namespace

void
StartSpans(const std::string& aFile)
{
  if (!aFile.empty()) {
    GetSpanFile().stream.open(aFile, std::ios::app);
  }
}

Span::Span(std::string_view aName, std::string_view aTraceparent)
  : name_(aName)
  , spanId_(utils::MakeUniqueId().substr(0, kSpanIdDigits))
  , startNanos_(GetWallNanos())
{
  if (IsTraceparent(aTraceparent)) {
    traceId_ = aTraceparent.substr(3, kTraceIdDigits);
    parentId_ = aTraceparent.substr(36, kSpanIdDigits);
  } else {
    traceId_ = utils::MakeUniqueId();
  }
}

Span::~Span()
{
  auto& file = GetSpanFile();
  if (!file.stream.is_open()) {
    return;
  }
  std::string line =
    "{\"traceId\":\"" + traceId_ + "\",\"spanId\":\"" + spanId_ +
    "\",\"parentSpanId\":\"" + parentId_ + "\",\"name\":" + QuoteJson(name_) +
    ",\"startTimeUnixNano\":\"" + std::to_string(startNanos_) +
    "\",\"endTimeUnixNano\":\"" + std::to_string(GetWallNanos()) +
    "\",\"attributes\":[" + attributes_ + "]}\n";
  std::scoped_lock lock(file.mutex);
  file.stream << line << std::flush;
}

void
Span::Set(std::string_view aName, std::string_view aValue)
{
  if (!attributes_.empty()) {
    attributes_ += ",";
  }
  attributes_ += "{\"key\":" + QuoteJson(aName) +
                 ",\"value\":{\"stringValue\":" + QuoteJson(aValue) + "}}";
}

std::string
Span::GetTraceparent() const
{
  return "00-" + traceId_ + "-" + spanId_ + "-01";
}

} // namespace waxwingyoke::telemetry
