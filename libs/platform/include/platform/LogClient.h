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

/** The stream of the log that profiles and quarantine go to. */
inline constexpr const char* kConfigStream = "config";

/** The stream of tickets for the origin and of switch-over permits. */
inline constexpr const char* kRolloutStream = "rollout";

/** Reads and appends to the platform's log; shared by all fibers. */
class LogClient
{
public:
  LogClient(net::HttpClient& aClient, net::Endpoint aService);

  /**
   * Appends one record; returns its offset. OutcomeUnknown: it may stand in
   * the log all the same, so a caller appends the same id again and reads
   * it back. LogUnavailable: it does not; so it is where the budget of the
   * record's use holds it back.
   */
  std::optional<std::uint64_t> Append(const std::string& aStream,
                                      const std::string& aPayload,
                                      utils::Error& aReason);

  /**
   * Up to aMax records from offset aFrom on; waits up to aWait for the
   * first. LogTrimmed where aFrom is no longer kept.
   */
  std::optional<schema::LogPage> Read(const std::string& aStream,
                                      std::uint64_t aFrom,
                                      std::uint32_t aMax,
                                      utils::Millis aWait,
                                      utils::Error& aReason);

  /**
   * The same, but where aFrom is no longer kept the page begins at the
   * first offset that is.
   */
  std::optional<schema::LogPage> ReadKept(const std::string& aStream,
                                          std::uint64_t aFrom,
                                          std::uint32_t aMax,
                                          utils::Millis aWait,
                                          utils::Error& aReason);

  /** What this process appended so far. */
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
