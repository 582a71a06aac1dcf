#ifndef waxwingyoke_utils_Error_h
#define waxwingyoke_utils_Error_h

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingyoke::utils {

/**
 * The closed list of everything that can go wrong between a caller, an
 * operator and the platform. Each kind has one row in the table behind
 * GetErrorTraits.
 */
enum class ErrorKind
{
  None,
  BadRequest,
  Unauthorized,
  UnknownProfile,
  NotAllowed,
  Conflict,
  KeyReused,
  KeyExpired,
  TooLarge,
  Quarantined,
  Overloaded,
  DeadlineExceeded,
  NoUpstream,
  Leaving,
  StaleRevision,
  Barred,
  ConnectFailed,
  ConnectionLost,
  TimedOut,
  OutcomeUnknown,
  UpstreamFailed,
  AnswerBroken,
  VersionChanged,
  LogUnavailable,
  LogTrimmed,
  StoreUnavailable,
  DigestMismatch,
  NotFound,
  BadSettings,
  Internal,
  Count
};

/** Whether the request that met an error may have run. */
enum class RunOutcome
{
  No,
  Yes,
  Unknown
};

/** How loudly an error is logged. */
enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error
};

/** What follows from an error's kind, everywhere and always. */
struct ErrorTraits
{
  ErrorKind kind;
  /** As it stands in answers, logs and metrics. */
  std::string_view name;
  int httpStatus;
  /** In the range that JSON-RPC leaves to servers. */
  int rpcCode;
  RunOutcome run;
  /** Whether another attempt of an idempotent request may help. */
  bool retry;
  /** Exit code of the command-line tool. */
  int exitCode;
  LogLevel level;
};

/**
 * The last reason why a function returned an empty std::optional.
 *
 * The caller owns it and passes it in: fibers share threads, so a reason
 * kept per thread would be overwritten by another request's.
 *
 *     Error reason;
 *     auto manifest = store.GetManifest(version, reason);
 *     if (!manifest) {
 *       logger.Warn(reason);
 *     }
 */
struct Error
{
  ErrorKind kind = ErrorKind::None;
  std::string detail;

  void Set(ErrorKind aKind, std::string aDetail);
  bool IsSet() const { return kind != ErrorKind::None; }
};

const ErrorTraits&
GetErrorTraits(ErrorKind aKind);

std::string_view
GetName(ErrorKind aKind);

std::string_view
GetName(RunOutcome aRun);

/** The kind with that JSON-RPC code; empty for a code not in the list. */
std::optional<ErrorKind>
FindErrorKindByRpcCode(int aCode);

/** The kind with that name; empty for a name not in the list. */
std::optional<ErrorKind>
ParseErrorKind(std::string_view aName);

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Error_h
