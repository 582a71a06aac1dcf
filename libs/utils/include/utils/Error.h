#ifndef waxwingyoke_utils_Error_h
#define waxwingyoke_utils_Error_h

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingyoke::utils {

/**
 * The closed list of the kinds of error that callers, operators and the
 * processes among themselves can receive. GetErrorTraits returns the fixed
 * properties of each kind.
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

/** Whether a request that ended with an error may have been executed. */
enum class RunOutcome
{
  No,
  Yes,
  Unknown
};

/** The severity of a log line. */
enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error
};

/** The fixed properties of an error kind. */
struct ErrorTraits
{
  ErrorKind kind;
  /** The name in responses, logs and metrics. */
  std::string_view name;
  int httpStatus;
  /** JSON-RPC error code, in the range reserved for server errors. */
  int rpcCode;
  /** Whether the request may have been executed. */
  RunOutcome run;
  /** Whether a retry of an idempotent request may succeed. */
  bool retry;
  /** Exit code of the command-line tool. */
  int exitCode;
  LogLevel level;
};

/**
 * The reason why a function failed, as by returning an empty std::optional.
 *
 * The caller owns it and passes it in. It is not kept per thread, because
 * fibers share threads and another request would overwrite it.
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

/** The kind with JSON-RPC code aCode; empty if no kind has it. */
std::optional<ErrorKind>
FindErrorKindByRpcCode(int aCode);

/** The kind with name aName; empty if no kind has it. */
std::optional<ErrorKind>
ParseErrorKind(std::string_view aName);

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Error_h
