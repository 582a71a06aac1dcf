#ifndef waxwingyoke_review_stand3_Fleet_h
#define waxwingyoke_review_stand3_Fleet_h

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Engine.h"
#include "Platform.h"

namespace review {

// Bounds of the settings, those of a small site.
inline constexpr std::int64_t kStableMs = 3000;
inline constexpr std::int64_t kRecoverMs = 12000;
inline constexpr std::int64_t kGraceMs = 8000;
inline constexpr std::int64_t kTimeoutMs = 6000;
/** Above it the platform kills the process of an edge machine. */
inline constexpr std::size_t kEdgeMemory = std::size_t{ 260 } << 20;

inline constexpr std::uint16_t kFrontendPort = 8005;
inline constexpr std::uint16_t kReadinessPort = 8002;

/** The exit codes of a case. */
enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2
};

/** One answer as its client saw it. */
struct Answer
{
  /** 0: none. */
  int status = 0;
  std::map<std::string, std::string> fields;
  std::string body;
};

/**
 * A small deployment: the store and runners of a plain service as stand-ins,
 * edge machines as processes of the project, all on loopback addresses.
 */
class Fleet
{
public:
  explicit Fleet(Record& aRecord);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Address MakeAddress(int aHost, std::uint16_t aPort) const;
  /** Adds a runner of the service; null if it can't listen. */
  Runner* AddRunner(const std::string& aService, int aHost);
  void PublishConfig();
  void StartEdge(int aHost);
  /** The side of the runner on the same host. */
  void StartSide(int aHost);
  /** Resident memory of the machine's process, bytes. */
  std::size_t GetMemory(int aHost) const;
  std::size_t CountDescriptors(int aHost) const;
  /** SIGTERM, as before planned work; waits for the end. */
  void StopMachine(int aHost);
  void KillMachine(int aHost);
  bool IsReady(int aHost) const;
  /** Asks on a channel that is kept for such questions. */
  static bool AskReadiness(Connection& aChannel);
  bool WaitUntil(const std::function<bool()>& aCondition,
                 std::int64_t aTimeout) const;
  /** Sends a client's request and returns what came back. */
  Answer Call(int aHost,
              const std::string& aId,
              const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aBody,
              std::int64_t aTimeout = 6500);
  /** The head and body of a client's request. */
  static std::string MakeRequest(const std::string& aId,
                                 const std::string& aMethod,
                                 const std::string& aTarget,
                                 const std::string& aBody);

  Record& record;
  std::unique_ptr<Store> store;
  std::unique_ptr<Origin> origin;
  std::vector<std::unique_ptr<Runner>> runners;

private:
  void StartMachine(int aHost, const std::string& aRole);
  std::string MakeSettings(int aHost, const std::string& aRole) const;
  void Reap(int aHost);

  std::string network_;
  std::string folder_;
  std::map<int, pid_t> processes_;
};

} // namespace review

#endif // waxwingyoke_review_stand3_Fleet_h
