#ifndef waxwingyoke_telemetry_Logger_h
#define waxwingyoke_telemetry_Logger_h

#include <string>
#include <string_view>
#include <vector>

#include <utils/Error.h>

namespace waxwingyoke::telemetry {

/** One named value of a log line. */
struct Field
{
  std::string_view name;
  std::string value;
};

/** The destination and lowest level of a process's log. */
struct LogOptions
{
  utils::LogLevel level = utils::LogLevel::Info;
  /** Log file; if empty, standard error. */
  std::string file;
  /** Written in each line as "vm". */
  std::string vm;
  /**
   * If not 0, lines are collected in a buffer of this size, which
   * WriteBufferedLogs writes to standard output; lines that do not fit are
   * dropped and counted. If 0, each line is written at once to `file` or
   * standard error.
   */
  std::size_t bufferBytes = 0;
};

/** Writes buffered lines without blocking; to be called periodically. */
void
WriteBufferedLogs();

/** Configures logging; to be called once, before any Logger is used. */
void
StartLogging(const LogOptions& aOptions);

/** Writes the buffered lines and closes the log; no logging after it. */
void
StopLogging();

/** The level with name aName; Info if there is none. */
utils::LogLevel
ParseLogLevel(std::string_view aName);

/**
 * Writes log lines as JSON objects, each with the name of one component. Safe
 * from every thread.
 *
 *     Logger logger("weights");
 *     logger.Info("chunk fetched", { { "peer", peer } });
 */
class Logger
{
public:
  explicit Logger(std::string_view aComponent);

  void Debug(std::string_view aText,
             const std::vector<Field>& aFields = {}) const;
  void Info(std::string_view aText,
            const std::vector<Field>& aFields = {}) const;
  void Warn(std::string_view aText,
            const std::vector<Field>& aFields = {}) const;

  /** Logs an error at the level of its kind, which is added as a field. */
  void Report(const utils::Error& aError,
              std::vector<Field> aFields = {}) const;

private:
  void Write(utils::LogLevel aLevel,
             std::string_view aText,
             const std::vector<Field>& aFields) const;

  std::string component_;
};

/** Returns aText as a JSON string, with quotes and escapes. */
std::string
QuoteJson(std::string_view aText);

} // namespace waxwingyoke::telemetry

#endif // waxwingyoke_telemetry_Logger_h
