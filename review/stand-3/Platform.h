#ifndef waxwingyoke_review_stand3_Platform_h
#define waxwingyoke_review_stand3_Platform_h

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Http.h"

namespace review {

// Stand-ins of the platform, as PROTOCOL.md and the letters describe it.

/** Lines of what was sent, answered and run, with their time. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& aLine);
  /** Milliseconds since the record began. */
  std::int64_t Now() const { return NowMs() - begunAt_; }

private:
  std::mutex mutex_;
  int file_;
  std::int64_t begunAt_ = NowMs();
};

/** The store: a log of keyed topics with one partition each. */
class Store
{
public:
  explicit Store(const Address& aAddress);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  bool Start() { return server_.Start(); }
  /** An empty value drops the key. */
  void Append(const std::string& aTopic,
              const std::string& aKey,
              const std::string& aValue);

private:
  struct Row
  {
    std::string key;
    std::string value;
  };

  void Handle(const Message& aRequest, Connection& aConnection);
  void AnswerRead(const Message& aRequest, Connection& aConnection);
  void AnswerNewest(const Message& aRequest, Connection& aConnection);

  std::mutex mutex_;
  std::condition_variable appended_;
  bool hasEnded_ = false;
  std::map<std::string, std::vector<Row>> topics_;
  Server server_;
};

/** The weights of one model: version by version the same pieces. */
struct Weights
{
  static constexpr int kChunks = 48;
  static constexpr int kLayers = 16;
  static constexpr std::size_t kChunkBytes = 4096;

  static std::string MakePiece(std::uint64_t aVersion, int aNum);
  /** SHA-256 in hexadecimal. */
  static std::string MakeDigest(const std::string& aBytes);
};

/** The service with all weights. */
class Origin
{
public:
  explicit Origin(const Address& aAddress, Record& aRecord);

  bool Start() { return server_.Start(); }
  /** Spoils one digit of one digest in the next lists that it sends. */
  void SpoilLists(int aCount);
  int GetAnswers() const { return answers_; }
  int GetSpoilt() const { return spoilt_; }

private:
  void Handle(const Message& aRequest, Connection& aConnection);
  std::string MakeList(std::uint64_t aVersion);

  Record& record_;
  std::mutex mutex_;
  int spoil_ = 0;
  std::atomic<int> spoilt_{ 0 };
  std::atomic<int> answers_{ 0 };
  Server server_;
};

/** What differs between runners. */
struct RunnerOptions
{
  std::string id;
  std::string service;
  Address address;
  /** Runs a model, whose weights it takes from what is staged there. */
  bool hasModel = false;
  /** How long a run takes. */
  std::int64_t workMs = 20;
};

/**
 * A runner: registers itself in the store, runs requests that are meant for it
 * and records each arrival and run.
 */
class Runner
{
public:
  struct Run
  {
    std::string id;
    std::string path;
    std::string body;
    std::int64_t at = 0;
  };

  Runner(Store& aStore, Record& aRecord, RunnerOptions aOptions);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  bool Start();
  /** Ends as a process that crashes; what is staged survives. */
  void Crash();
  /** The machine loses power: what is staged is lost, too. */
  void LosePower();
  /** Starts a new incarnation. */
  void Restart();

  std::uint64_t GetVersion();
  std::vector<Run> ListRuns();
  /** All requests of clients that reached it, also those it turned away. */
  std::vector<Run> ListArrivals();
  const std::string& GetId() const { return options_.id; }

  /** Asked at the begin of each run; true: it crashes the runner. */
  std::function<bool(const Message&)> crashes;
  /** Seconds of the Retry-After with which it turns everything away. */
  std::string retryAfter;
  /** While false its heartbeats don't reach the store. */
  std::atomic<bool> reachesStore{ true };

private:
  void Beat();
  std::string MakeEntry();
  std::string MakeState();
  void Handle(const Message& aRequest, Connection& aConnection);
  bool HandleControl(const Message& aRequest, Connection& aConnection);
  void HandleOrder(const Message& aRequest, Connection& aConnection);
  void RunRequest(const Message& aRequest, Connection& aConnection);
  void RunStream(const std::string& aFields, Connection& aConnection) const;

  Store& store_;
  Record& record_;
  RunnerOptions options_;
  std::mutex mutex_;
  bool isUp_ = false;
  std::int64_t born_ = 0;
  int orders_ = 0;
  std::uint64_t version_ = 0;
  std::int64_t loadedAt_ = 0;
  std::map<int, std::string> staged_;
  std::vector<Run> runs_;
  std::vector<Run> arrivals_;
  std::atomic<bool> hasEnded_{ false };
  std::int64_t beats_ = 0;
  Server server_;
  std::thread beatThread_;
};

} // namespace review

#endif // waxwingyoke_review_stand3_Platform_h
