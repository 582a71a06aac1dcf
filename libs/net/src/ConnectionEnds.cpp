#include "ConnectionEnds.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

#include <telemetry/Logger.h>
#include <telemetry/Metrics.h>
#include <utils/Time.h>

namespace waxwingyoke::net {

namespace {

// Between two lines about the same kind of end.
constexpr utils::Millis kLineInterval(1000);

struct EndName
{
  ConnectionEnd end;
  const char* metric;
  const char* text;
  /** Ordinary ends, with no part of a request read. */
  bool isOrdinary;
};

constexpr std::array<EndName, 9> kEnds{ {
  { ConnectionEnd::IdleLimit,
    "http_closed_idle_total",
    "connection closed: idle limit reached",
    true },
  { ConnectionEnd::RequestLate,
    "http_requests_late_total",
    "connection closed: request not in time",
    false },
  { ConnectionEnd::PeerClosed,
    "http_closed_by_peer_total",
    "connection closed by its caller before the response's end",
    false },
  { ConnectionEnd::RequestRefused,
    "http_broken_requests_total",
    "connection closed: broken request refused",
    false },
  { ConnectionEnd::NoMemory,
    "http_memory_refusals_total",
    "connection closed: no memory for the request's body",
    false },
  { ConnectionEnd::RefusalUnwritten,
    "http_refusals_unwritten_total",
    "connection closed: refusal could not be written",
    false },
  { ConnectionEnd::ResponseUnfinished,
    "http_responses_unfinished_total",
    "connection closed: response left unfinished",
    false },
  { ConnectionEnd::Shutdown,
    "http_closed_at_shutdown_total",
    "connection closed at shutdown",
    true },
  { ConnectionEnd::TooMany,
    "http_connections_refused_total",
    "connection refused: too many connections",
    false },
} };

struct EndState
{
  telemetry::Counter& counter;
  std::atomic<std::int64_t> loggedAtMs{ -kLineInterval.value };
  /** Ends since the last line. */
  std::atomic<std::uint64_t> unlogged{ 0 };
};

EndState&
GetState(const EndName& aRow)
{
  auto make = [](std::size_t aIndex) -> EndState {
    return { telemetry::Metrics::Get().GetCounter(kEnds[aIndex].metric) };
  };
  static std::array<EndState, kEnds.size()> sStates{
    make(0), make(1), make(2), make(3), make(4),
    make(5), make(6), make(7), make(8)
  };
  return sStates[static_cast<std::size_t>(&aRow - kEnds.data())];
}

/** Whether the caller is to write the line of this interval. */
bool
StartInterval(EndState& aState)
{
  auto now = utils::Clock().Now().value;
  auto last = aState.loggedAtMs.load();
  return now - last >= kLineInterval.value &&
         aState.loggedAtMs.compare_exchange_strong(last, now);
}

} // namespace

void
RecordEnd(ConnectionEnd aEnd, const EndedRequest& aRequest)
{
  static const telemetry::Logger sLogger("http");
  static auto& sUnread =
    telemetry::Metrics::Get().GetCounter("http_closed_unread_total");
  const auto& row = *std::ranges::find(kEnds, aEnd, &EndName::end);
  auto& state = GetState(row);
  state.counter.Add();
  bool hasUnread = aRequest.unreadBytes > 0;
  if (hasUnread) {
    sUnread.Add();
  }
  if (!StartInterval(state)) {
    ++state.unlogged;
    return;
  }
  std::vector<telemetry::Field> fields{
    { "target", std::string(aRequest.target) },
    { "read_bytes", std::to_string(aRequest.bytes) },
    { "unread_bytes", std::to_string(aRequest.unreadBytes) },
    { "reason", aRequest.reason },
    { "unlogged", std::to_string(state.unlogged.exchange(0)) }
  };
  if (row.isOrdinary && !hasUnread) {
    sLogger.Debug(row.text, fields);
  } else {
    sLogger.Info(row.text, fields);
  }
}

} // namespace waxwingyoke::net
