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

/** Where and from which level on a process logs. */
struct LogOptions
{
  utils::LogLevel level = utils::LogLevel::Info;
  /** Empty: standard error. */
  std::string file;
  /** Stands in each line as "vm". */
  std::string vm;
  /**
   * Lines go to a buffer of that size, which WriteBufferedLogs empties to
   * standard output; what does not fit is dropped and counted. 0: each line
   * is written at once to `file` or standard error.
   */
  std::size_t bufferBytes = 0;
};

/** Writes buffered lines without waiting; to be called now and then. */
void
WriteBufferedLogs();

/** Sets up logging; to be called once, before any Logger is used. */
void
StartLogging(const LogOptions& aOptions);

/** Writes what is buffered and closes; the last call of a process. */
void
StopLogging();

/** The level with that name; Info for any other. */
utils::LogLevel
ParseLogLevel(std::string_view aName);

/**
 * Writes JSON lines under the name of one part of the program.
 *
 *     Logger logger("weights");
 *     logger.Info("chunk fetched", { { "peer", peer } });
 */
class Logger
{
public:
  explicit Logger(std::string_view aPart);

  void Debug(std::string_view aText,
             const std::vector<Field>& aFields = {}) const;
  void Info(std::string_view aText,
            const std::vector<Field>& aFields = {}) const;
  void Warn(std::string_view aText,
            const std::vector<Field>& aFields = {}) const;

  /** An error at the level that its kind's row gives. */
  void Report(const utils::Error& aError,
              std::vector<Field> aFields = {}) const;

private:
  void Write(utils::LogLevel aLevel,
             std::string_view aText,
             const std::vector<Field>& aFields) const;

  std::string part_;
};

/** aText as a JSON string with its quotes. */
std::string
QuoteJson(std::string_view aText);

} // namespace waxwingyoke::telemetry

#endif // waxwingyoke_telemetry_Logger_h
