#ifndef waxwingyoke_review_Stand_h
#define waxwingyoke_review_Stand_h

#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>

#include <sys/types.h>

#include "Http.h"

// Fakes of the log, of upstreams of a plain service and of clients, for the
// cases of this review. The daemons are started as real processes.

namespace waxwingyoke::review {

inline constexpr int kFrontendPort = 8005;
inline constexpr int kReadinessPort = 8002;
inline constexpr int kRunnerPort = 8001;
inline constexpr int kStorePort = 8007;

/** Exit codes of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/** False with TROUBLE=0: the case runs without its disruption. */
bool
HasTrouble();

/** Milliseconds since the program's start. */
std::int64_t
Now();

void
Sleep(std::int64_t aMs);

/** Writes what was sent, answered and run, one line each. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
  {
  }
  void Write(const std::string& aText);
  /** The same, also on standard output. */
  void Say(const std::string& aText);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

/** A fake of the log service: keyed topics of one partition. */
class Store
{
public:
  bool Start(const std::string& aAddress);
  /** An empty value drops the key. */
  void Append(const std::string& aTopic,
              const std::string& aKey,
              const std::string& aValue);
  void End();

private:
  struct Row
  {
    std::string key;
    std::string value;
  };

  bool Handle(int aSocket, const Message& aRequest);
  std::string Read(const Message& aRequest);
  std::string ReadNewest(const Message& aRequest);
  std::string TakeAppend(const Message& aRequest);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Row>> topics_;
  Server server_;
};

/** A fake upstream of a service, which registers itself in the log. */
class Runner
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "z1";
    int slots = 6;
    int workMs = 60;
  };

  Runner(Store& aStore, Record& aRecord, Options aOptions);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  bool Start();
  /** Reports that it leaves; serves on. */
  void Drain();
  /** Ends for good. */
  void Leave();
  const std::string& GetId() const { return options_.id; }
  /** The ids of the requests that it began to run, in order. */
  std::vector<std::string> GetRuns() const;

private:
  bool Handle(int aSocket, const Message& aRequest);
  bool Run(int aSocket, const Message& aRequest);
  void Register();
  void Beat();

  Store& store_;
  Record& record_;
  Options options_;
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  Server server_;
  bool isGone_ = false;
  bool isDraining_ = false;
  std::int64_t born_ = 0;
  int beats_ = 0;
  std::vector<std::string> runs_;
  std::thread beat_;
};

/** Starts and ends one process of the deploy file. */
class Daemon
{
public:
  struct Options
  {
    /** The command's word in the deploy file: fleet-entry or fleet-side. */
    std::string role;
    std::string name;
    std::string address;
    std::string zone = "z1";
    std::string store;
    std::vector<std::string> seeds;
    /** The upstream on its VM and that upstream's service. */
    std::string app;
    std::string service;
    int memoryMb = 260;
    /** The process's limit of descriptors. */
    int descriptors = 4100;
  };

  Daemon(std::string aFolder, Options aOptions);
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  bool Start();
  void Signal(int aSignal) const;
  void Kill();
  /** The wait status if it has ended by itself. */
  std::optional<int> FindEnd();
  bool AwaitEnd(std::int64_t aMs);
  bool AwaitReady(std::int64_t aMs) const;
  const std::string& GetAddress() const { return options_.address; }
  const std::string& GetName() const { return options_.name; }
  std::size_t CountDescriptors() const;

private:
  void WriteSettings() const;

  std::string folder_;
  Options options_;
  pid_t process_ = -1;
  std::optional<int> end_;
};

/** A route of the configuration. */
struct RouteShape
{
  std::string name;
  std::string prefix;
  std::string service;
  std::string kind;
  int timeoutMs = 3000;
  int sloMs = 300;
  int attempts = 2;
  /** Further fields, each with its comma. */
  std::string more;
};

/** The text of `op/config`. */
std::string
MakeConfig(int aVersion,
           const std::vector<RouteShape>& aRoutes,
           const std::vector<std::string>& aServices,
           int aMaxHeaderBytes = 16384);

std::string
MakePlainService(const std::string& aName);

/** A new id of a request. */
std::string
MakeAttemptId();

/** The text of a client's request. */
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            const std::string& aBody,
            const Fields& aMore = {});

/** A temporary folder that is removed in the end. */
class Folder
{
public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& GetPath() const { return path_; }

private:
  std::string path_;
};

// The cases; each returns its exit code.

int
RunTraceBody(Record& aRecord);
int
RunReplacedRunners(Record& aRecord);
int
RunLongHeader(Record& aRecord);
int
RunSmuggledRequest(Record& aRecord);

} // namespace waxwingyoke::review

#endif // waxwingyoke_review_Stand_h
