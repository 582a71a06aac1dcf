#ifndef waxwingyoke_telemetry_Span_h
#define waxwingyoke_telemetry_Span_h

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingyoke::telemetry {

/** Opens the file that spans go to as JSON lines; empty: none are kept. */
void
StartSpans(const std::string& aFile);

/**
 * One hop of a request, written when it ends, with OTLP's field names.
 *
 *     Span span("side.attempt", request.traceparent());
 *     span.Set("profile", name);
 *     Call(next, span.GetTraceparent());
 */
class Span
{
public:
  /**
   * aTraceparent is the W3C header of the hop before; anything that does
   * not read as one starts a new trace.
   */
  Span(std::string_view aName, std::string_view aTraceparent);
  ~Span();

  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;

  void Set(std::string_view aName, std::string_view aValue);

  /** The header for the next hop. */
  std::string GetTraceparent() const;

private:
  std::string name_;
  std::string traceId_;
  std::string parentId_;
  std::string spanId_;
  std::string attributes_;
  std::int64_t startNanos_;
};

} // namespace waxwingyoke::telemetry

#endif // waxwingyoke_telemetry_Span_h
