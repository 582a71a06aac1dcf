#ifndef waxwingyoke_review_stand3_Platform_h
#define waxwingyoke_review_stand3_Platform_h

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
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

/** What differs between runners. */
struct RunnerOptions
{
  std::string id;
  std::string service;
  Address address;
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
  /** Ends as a process that crashes. */
  void Crash();
  /** Starts a new incarnation. */
  void Restart();

  /** Unix milliseconds of its start. */
  std::int64_t GetBorn() const { return born_; }
  /** Turns everything away with so many seconds as Retry-After. */
  void SetRetryAfter(const std::string& aSeconds);
  std::vector<Run> ListRuns();
  /** All requests of clients that reached it, also those it turned away. */
  std::vector<Run> ListArrivals();
  const std::string& GetId() const { return options_.id; }

  /** Asked at the begin of each run; true: it crashes the runner. */
  std::function<bool(const Message&)> crashes;
  /** What a model's engine adds; see Engine. */
  struct Model
  {
    /** Further fields of the runner's entry, each with its comma. */
    std::function<std::string()> makeState;
    /** True if it has answered a control call. */
    std::function<bool(const Message&, Connection&)> handleControl;
    /** Whether the request may run on what is loaded. */
    std::function<bool(const Message&)> accepts;
    /** Sends the answer of a run with these fields of its header. */
    std::function<void(const std::string&, Connection&)> answer;
  };
  std::optional<Model> model;
  /** Of so many arrivals it turns one away as not executed; 0: none. */
  std::atomic<std::size_t> shedsOneOf{ 0 };
  /** While false its heartbeats don't reach the store. */
  std::atomic<bool> reachesStore{ true };

private:
  void Beat();
  std::string MakeEntry();
  void Handle(const Message& aRequest, Connection& aConnection);
  void RunRequest(const Message& aRequest, Connection& aConnection);

  Store& store_;
  Record& record_;
  RunnerOptions options_;
  std::mutex mutex_;
  bool isUp_ = false;
  std::string retryAfter_;
  std::atomic<std::int64_t> born_{ 0 };
  std::vector<Run> runs_;
  std::vector<Run> arrivals_;
  std::atomic<bool> hasEnded_{ false };
  std::int64_t beats_ = 0;
  Server server_;
  std::thread beatThread_;
};

} // namespace review

#endif // waxwingyoke_review_stand3_Platform_h
