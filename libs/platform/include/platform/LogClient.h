#ifndef waxwingyoke_platform_LogClient_h
#define waxwingyoke_platform_LogClient_h

#include <cstdint>
#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <platform/AppendBudget.h>
#include <schema/platform.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/** The log's stream of profile and quarantine changes. */
inline constexpr const char* kConfigStream = "config";

/** The log's stream of origin tickets and switch-over permits. */
inline constexpr const char* kRolloutStream = "rollout";

/** Reads and appends to the platform's log; shared by all fibers. */
class LogClient
{
public:
  LogClient(net::HttpClient& aClient, net::Endpoint aService);

  /**
   * Appends one record; returns its offset. OutcomeUnknown: the record may
   * have been appended, so the caller appends the same id again and reads it
   * back. LogUnavailable: it was not appended; also returned where the budget
   * of the record's use holds it back.
   */
  std::optional<std::uint64_t> Append(const std::string& aStream,
                                      const std::string& aPayload,
                                      utils::Error& aReason);

  /**
   * Up to aMax records from offset aFrom on; waits up to aWait for the
   * first. LogTrimmed where aFrom is no longer retained.
   */
  std::optional<schema::LogPage> Read(const std::string& aStream,
                                      std::uint64_t aFrom,
                                      std::uint32_t aMax,
                                      utils::Millis aWait,
                                      utils::Error& aReason);

  /**
   * The same, but where aFrom is no longer retained, the page begins at the
   * first offset that is.
   */
  std::optional<schema::LogPage> ReadRetained(const std::string& aStream,
                                              std::uint64_t aFrom,
                                              std::uint32_t aMax,
                                              utils::Millis aWait,
                                              utils::Error& aReason);

  /** The rates and counts of this process's appends. */
  const AppendBudget& GetBudget() const { return budget_; }

private:
  std::optional<schema::LogPage> ReadPage(const std::string& aStream,
                                          std::uint64_t aFrom,
                                          std::uint32_t aMax,
                                          utils::Millis aWait,
                                          utils::Error& aReason);

  net::HttpClient& client_;
  net::Endpoint service_;
  utils::Clock clock_;
  AppendBudget budget_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_LogClient_h
