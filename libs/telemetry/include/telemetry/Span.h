#ifndef waxwingyoke_telemetry_Span_h
#define waxwingyoke_telemetry_Span_h

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingyoke::telemetry {

/**
 * Opens the file to which spans are appended as JSON lines; if aFile is empty,
 * spans are not recorded. To be called once, before the threads start.
 */
void
StartSpans(const std::string& aFile);

/**
 * One hop of a request's trace. The destructor writes it to the span file,
 * with the field names of OTLP.
 *
 *     Span span("side.attempt", request.traceparent());
 *     span.Set("profile", name);
 *     Call(next, span.GetTraceparent());
 */
class Span
{
public:
  /**
   * aTraceparent is the W3C traceparent header of the previous hop; a value
   * that is not valid starts a new trace.
   */
  Span(std::string_view aName, std::string_view aTraceparent);
  ~Span();

  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;

  /** Adds an attribute. */
  void Set(std::string_view aName, std::string_view aValue);

  /** The traceparent header for the next hop. */
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
