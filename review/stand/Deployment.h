#ifndef waxwingyoke_review_Deployment_h
#define waxwingyoke_review_Deployment_h

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <net/HttpClient.h>
#include <net/Runtime.h>

#include "../../platform/tests/FakePlatform.h"
#include "../../tests/bed/include/bed/AddressBlock.h"
#include "../../tests/bed/include/bed/Process.h"
#include "Origin.h"
#include "Runner.h"

namespace waxwingyoke::review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** What a client saw of one request. */
struct Answer
{
  std::string attempt;
  std::string path;
  /** 0 if there was no answer. */
  int status = 0;
  bool isStamped = false;
  std::string body;
  utils::Millis sentAt;
};

/** How many entries and model runners, each with a side, a deployment has. */
struct Shape
{
  std::size_t entries = 1;
  std::size_t engines = 2;
  /** Whether there is the plain runner of this process. */
  bool hasPlain = true;
};

/**
 * A small deployment on loopback addresses: the store, the origin, two model
 * runners, a plain runner, and the project's programs as processes: entries and
 * a side beside each model runner. Writes all that happens to the record.
 */
class Deployment
{
public:
  Deployment(net::Runtime& aRuntime,
             const std::string& aRecordFile,
             const Shape& aShape);
  ~Deployment();

  /** Starts all; false if it does not serve within 30 s. */
  bool Start();

  /** Writes a configuration; aTenants is the content of its list. */
  void Publish(int aVersion, const std::string& aTenants);
  void NameVersion(std::uint64_t aVersion);
  /** With a body of that size, or a short one. */
  Answer Call(const std::string& aPath,
              const std::string& aKey,
              std::size_t aBodyBytes = 0,
              std::size_t aEntry = 0);
  /** The same request each time, but for the attempt's id. */
  Answer CallAgain(const std::string& aPath,
                   const std::string& aKey,
                   std::size_t aEntry);
  void Record(const std::string& aLine);
  bool WaitUntil(utils::Millis aTime, const std::function<bool()>& aCondition);
  utils::Millis GetElapsed() const { return clock_.Now() - startedAt_; }
  utils::Millis GetStart() const { return startedAt_; }
  bed::Process& GetEntry(std::size_t aIndex) { return *entries_[aIndex]; }
  bed::Process& GetSide(std::size_t aIndex) { return *sides_[aIndex]; }
  /** An address that only this deployment uses. */
  net::Endpoint MakeEndpoint(unsigned aHost, std::uint16_t aPort) const;
  const std::filesystem::path& GetFolder() const { return folder_; }
  /** Starts the entry again after the platform has killed it. */
  bool RestartEntry(std::size_t aIndex);
  /** Writes the runs and loads of each runner to the record. */
  void RecordRunners();

  adapter::FakeLog store;
  Origin origin;
  Runner engine1{ "i-e1", "engines", "m" };
  Runner engine2{ "i-e2", "engines", "m" };
  Runner plain{ "i-p1", "plain", "" };

private:
  Answer Send(const std::string& aPath,
              const std::string& aKey,
              const std::string& aBody,
              std::size_t aEntry);
  std::unique_ptr<bed::Process> StartProcess(const std::string& aRole,
                                             unsigned aHost);
  bool StartProcesses();
  std::string MakeSettings(const std::string& aRole, unsigned aHost) const;
  void BeatLoop();

  net::Runtime& runtime_;
  std::unique_ptr<bed::AddressBlock> block_;
  std::filesystem::path folder_;
  std::ofstream record_;
  utils::Clock clock_;
  utils::Millis startedAt_;
  net::HttpClient client_;
  Shape shape_;
  std::vector<std::unique_ptr<bed::Process>> entries_;
  std::vector<std::unique_ptr<bed::Process>> sides_;
  int calls_ = 0;
  bool isStopping_ = false;
  bool isBeating_ = false;
};

/** Whether the case runs with its disruption: not if TROUBLE is 0. */
bool
HasTrouble();

/**
 * Runs a case: aTest returns an exit code. The arguments name the record's
 * file.
 */
int
RunCase(int aCount,
        char** aArguments,
        const Shape& aShape,
        const std::function<int(Deployment&)>& aTest);

} // namespace waxwingyoke::review

#endif // waxwingyoke_review_Deployment_h
