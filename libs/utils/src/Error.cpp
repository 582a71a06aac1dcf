#include <utils/Error.h>

#include <algorithm>
#include <array>
#include <utility>

namespace waxwingyoke::utils {

namespace {

using enum ErrorKind;
using Run = RunOutcome;
using Level = LogLevel;

constexpr auto kKindCount = static_cast<std::size_t>(ErrorKind::Count);

// Rows are in the order of ErrorKind, which indexes them; ErrorTest checks it.
constexpr std::array<ErrorTraits, kKindCount> kTraits{ {
  { None, "none", 200, 0, Run::Yes, false, 0, Level::Debug },
  { BadRequest, "bad_request", 400, -32001, Run::No, false, 2, Level::Info },
  { Unauthorized, "unauthorized", 401, -32002, Run::No, false, 3, Level::Warn },
  { UnknownProfile,
    "unknown_profile",
    404,
    -32003,
    Run::No,
    false,
    4,
    Level::Info },
  { NotAllowed, "not_allowed", 403, -32004, Run::No, false, 3, Level::Info },
  { Conflict, "conflict", 409, -32005, Run::No, false, 5, Level::Info },
  { KeyReused, "key_reused", 422, -32006, Run::No, false, 2, Level::Info },
  { KeyExpired, "key_expired", 400, -32007, Run::No, false, 2, Level::Info },
  { TooLarge, "too_large", 413, -32008, Run::No, false, 2, Level::Info },
  { Quarantined, "quarantined", 422, -32009, Run::No, false, 6, Level::Warn },
  { Overloaded, "overloaded", 429, -32010, Run::No, true, 7, Level::Info },
  { DeadlineExceeded,
    "deadline_exceeded",
    504,
    -32011,
    Run::Unknown,
    false,
    8,
    Level::Info },
  { NoUpstream, "no_upstream", 503, -32012, Run::No, true, 7, Level::Warn },
  { Leaving, "leaving", 503, -32013, Run::No, true, 7, Level::Info },
  { StaleRevision,
    "stale_revision",
    503,
    -32014,
    Run::No,
    true,
    7,
    Level::Info },
  { Barred, "barred", 503, -32015, Run::No, true, 7, Level::Info },
  { ConnectFailed,
    "connect_failed",
    503,
    -32016,
    Run::No,
    true,
    9,
    Level::Warn },
  { ConnectionLost,
    "connection_lost",
    502,
    -32017,
    Run::Unknown,
    true,
    9,
    Level::Warn },
  { TimedOut, "timed_out", 504, -32018, Run::Unknown, true, 8, Level::Warn },
  { OutcomeUnknown,
    "outcome_unknown",
    502,
    -32019,
    Run::Unknown,
    false,
    10,
    Level::Warn },
  { UpstreamFailed,
    "upstream_failed",
    502,
    -32020,
    Run::Unknown,
    true,
    9,
    Level::Warn },
  { AnswerBroken,
    "answer_broken",
    502,
    -32021,
    Run::Yes,
    true,
    9,
    Level::Error },
  { VersionChanged,
    "version_changed",
    502,
    -32022,
    Run::Yes,
    true,
    9,
    Level::Warn },
  { LogUnavailable,
    "log_unavailable",
    503,
    -32023,
    Run::No,
    true,
    11,
    Level::Warn },
  { LogTrimmed, "log_trimmed", 503, -32024, Run::No, true, 11, Level::Warn },
  { StoreUnavailable,
    "store_unavailable",
    503,
    -32025,
    Run::No,
    true,
    11,
    Level::Warn },
  { DigestMismatch,
    "digest_mismatch",
    502,
    -32026,
    Run::No,
    true,
    9,
    Level::Warn },
  { NotFound, "not_found", 404, -32027, Run::No, false, 4, Level::Info },
  { BadSettings, "bad_settings", 500, -32028, Run::No, false, 2, Level::Error },
  { Internal, "internal", 500, -32029, Run::Unknown, false, 1, Level::Error },
} };

constexpr std::array<std::string_view, 3> kRunNames{ "no", "yes", "unknown" };

} // namespace

void
Error::Set(ErrorKind aKind, std::string aDetail)
{
  kind = aKind;
  detail = std::move(aDetail);
}

const ErrorTraits&
GetErrorTraits(ErrorKind aKind)
{
  return kTraits.at(static_cast<std::size_t>(aKind));
}

std::string_view
GetName(ErrorKind aKind)
{
  return GetErrorTraits(aKind).name;
}

std::string_view
GetName(RunOutcome aRun)
{
  return kRunNames.at(static_cast<std::size_t>(aRun));
}

std::optional<ErrorKind>
FindErrorKindByRpcCode(int aCode)
{
  auto row = std::ranges::find(kTraits, aCode, &ErrorTraits::rpcCode);
  if (row == kTraits.end()) {
    return std::nullopt;
  }
  return row->kind;
}

std::optional<ErrorKind>
ParseErrorKind(std::string_view aName)
{
  auto row = std::ranges::find(kTraits, aName, &ErrorTraits::name);
  if (row == kTraits.end()) {
    return std::nullopt;
  }
  return row->kind;
}

} // namespace waxwingyoke::utils
