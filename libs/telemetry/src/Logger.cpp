#include <telemetry/Logger.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <mutex>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include <telemetry/Metrics.h>
#include <utils/Time.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

namespace waxwingyoke::telemetry {

namespace {

struct LevelName
{
  utils::LogLevel level;
  std::string_view name;
  log4cplus::LogLevel native;
};

constexpr std::array<LevelName, 4> kLevels{ {
  { utils::LogLevel::Debug, "debug", log4cplus::DEBUG_LOG_LEVEL },
  { utils::LogLevel::Info, "info", log4cplus::INFO_LOG_LEVEL },
  { utils::LogLevel::Warn, "warn", log4cplus::WARN_LOG_LEVEL },
  { utils::LogLevel::Error, "error", log4cplus::ERROR_LOG_LEVEL },
} };

const LevelName&
GetLevel(utils::LogLevel aLevel)
{
  return *std::ranges::find(kLevels, aLevel, &LevelName::level);
}

// The process's logging state: VM name, log4cplus and buffered appender.
std::string&
GetVm()
{
  static std::string sVm;
  return sVm;
}

log4cplus::Initializer&
GetInitializer()
{
  static log4cplus::Initializer sInitializer;
  return sInitializer;
}

/**
 * Collects lines in a bounded buffer and writes them to standard output without
 * blocking, so that a slow reader of the output causes dropped lines instead of
 * delayed requests.
 */
class BoundedAppender : public log4cplus::Appender
{
public:
  explicit BoundedAppender(std::size_t aBytes)
    : limit_(aBytes)
  {
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  }
  ~BoundedAppender() override { destructorImpl(); }

  void close() override { Write(); }
  void Write();

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  std::mutex bufferMutex_;
  std::string buffer_;
  std::size_t limit_;
};

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  static auto& sDropped = Metrics::Get().GetCounter("log_lines_dropped_total");
  std::scoped_lock lock(bufferMutex_);
  if (buffer_.size() + aEvent.getMessage().size() >= limit_) {
    sDropped.Add();
    return;
  }
  buffer_ += aEvent.getMessage();
  buffer_ += '\n';
}

void
BoundedAppender::Write()
{
  std::scoped_lock lock(bufferMutex_);
  if (buffer_.empty()) {
    return;
  }
  auto written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
  if (written > 0) {
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

BoundedAppender*&
GetBoundedAppender()
{
  static BoundedAppender* sAppender = nullptr;
  return sAppender;
}

log4cplus::SharedAppenderPtr
MakeAppender(const LogOptions& aOptions)
{
  if (aOptions.bufferBytes > 0) {
    GetBoundedAppender() = new BoundedAppender(aOptions.bufferBytes);
    return log4cplus::SharedAppenderPtr(GetBoundedAppender());
  }
  if (aOptions.file.empty()) {
    return log4cplus::SharedAppenderPtr(
      new log4cplus::ConsoleAppender(true, true));
  }
  return log4cplus::SharedAppenderPtr(
    new log4cplus::FileAppender(aOptions.file, std::ios_base::app, true));
}

} // namespace

void
StartLogging(const LogOptions& aOptions)
{
  GetInitializer();
  GetVm() = aOptions.vm;
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  auto appender = MakeAppender(aOptions);
  appender->setLayout(
    std::unique_ptr<log4cplus::Layout>(new log4cplus::PatternLayout("%m%n")));
  root.addAppender(appender);
  root.setLogLevel(GetLevel(aOptions.level).native);
}

void
WriteBufferedLogs()
{
  if (GetBoundedAppender() != nullptr) {
    GetBoundedAppender()->Write();
  }
}

void
StopLogging()
{
  WriteBufferedLogs();
  GetBoundedAppender() = nullptr;
  log4cplus::Logger::shutdown();
}

utils::LogLevel
ParseLogLevel(std::string_view aName)
{
  auto row = std::ranges::find(kLevels, aName, &LevelName::name);
  return row == kLevels.end() ? utils::LogLevel::Info : row->level;
}

Logger::Logger(std::string_view aComponent)
  : component_(aComponent)
{
  GetInitializer();
}

void
Logger::Debug(std::string_view aText, const std::vector<Field>& aFields) const
{
  Write(utils::LogLevel::Debug, aText, aFields);
}

void
Logger::Info(std::string_view aText, const std::vector<Field>& aFields) const
{
  Write(utils::LogLevel::Info, aText, aFields);
}

void
Logger::Warn(std::string_view aText, const std::vector<Field>& aFields) const
{
  Write(utils::LogLevel::Warn, aText, aFields);
}

void
Logger::Report(const utils::Error& aError, std::vector<Field> aFields) const
{
  aFields.push_back({ "error", std::string(GetName(aError.kind)) });
  Write(GetErrorTraits(aError.kind).level, aError.detail, aFields);
}

void
Logger::Write(utils::LogLevel aLevel,
              std::string_view aText,
              const std::vector<Field>& aFields) const
{
  auto native = log4cplus::Logger::getRoot();
  const auto& level = GetLevel(aLevel);
  if (!native.isEnabledFor(level.native)) {
    return;
  }
  std::string line =
    "{\"time_ms\":" + std::to_string(utils::GetWallTime().value);
  auto add = [&line](std::string_view aName, std::string_view aValue) {
    // Appended in parts: GCC 12 reports a false -Wrestrict, when optimising,
    // for a literal + a temporary string.
    line += ',';
    line += QuoteJson(aName);
    line += ':';
    line += QuoteJson(aValue);
  };
  add("level", level.name);
  add("vm", GetVm());
  add("part", component_);
  add("text", aText);
  std::ranges::for_each(
    aFields, [&add](const Field& aField) { add(aField.name, aField.value); });
  line += "}";
  native.log(level.native, line);
}

std::string
QuoteJson(std::string_view aText)
{
  std::string quoted = "\"";
  std::ranges::for_each(aText, [&quoted](char aChar) {
    if (aChar == '"' || aChar == '\\') {
      quoted += '\\';
      quoted += aChar;
    } else if (static_cast<unsigned char>(aChar) < 0x20) {
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\u%04x", aChar);
      quoted += escape.data();
    } else {
      quoted += aChar;
    }
  });
  return quoted + "\"";
}

} // namespace waxwingyoke::telemetry
