#ifndef waxwingyoke_review_Runner_h
#define waxwingyoke_review_Runner_h

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <net/HttpServer.h>
#include <net/Runtime.h>
#include <utils/Time.h>

namespace waxwingyoke::review {

/** One request that a runner ran. */
struct Run
{
  std::string attempt;
  std::string tenant;
  std::uint64_t version = 0;
  utils::Millis at;
};

/** A load order that a runner accepted. */
struct Load
{
  std::uint64_t version = 0;
  utils::Millis at;
  /** Pieces that were missing, of another version, or spoilt for over 3 s. */
  std::vector<std::uint32_t> badPieces;
  /** For how long the first of those had been spoilt; 0 if it was not. */
  utils::Millis spoiltFor;
};

/**
 * A stand-in of a model runner, or of a plain service if it has no model. It
 * starts with version 1, which is also staged.
 */
class Runner
{
public:
  Runner(std::string aId, std::string aService, std::string aModel);

  bool Start(net::Runtime& aRuntime, const net::Endpoint& aEndpoint);
  void Stop();
  bool IsIdle() const { return running_ == 0; }

  const std::string& GetId() const { return id_; }
  std::uint64_t GetVersion() const { return version_; }
  std::string MakeDirectoryRecord();
  const std::vector<Run>& GetRuns() const { return runs_; }
  const std::vector<Load>& GetLoads() const { return loads_; }

  /** Whether every staged piece is that of the version. */
  bool HasStaged(std::uint64_t aVersion) const;
  /** Turns a staged piece bad, as its storage may. */
  void Spoil(std::uint32_t aPiece);

  /** Called at each read of a staged piece, with its number. */
  std::function<void(std::uint32_t)> onStagedRead;

private:
  void Handle(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  bool HandleControl(const net::HttpRequest& aRequest,
                     net::ResponseWriter& aWriter);
  void HandleStaged(std::uint32_t aPiece, net::ResponseWriter& aWriter);
  int HandleOrder(const std::string& aBody);
  void RunRequest(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  void StreamEvents(const net::HttpFields& aFields,
                    int aFrom,
                    net::ResponseWriter& aWriter);
  std::string MakeModels() const;

  std::string id_;
  std::string service_;
  std::string model_;
  net::Endpoint endpoint_;
  std::int64_t born_ = 0;
  std::uint64_t version_ = 1;
  std::uint64_t sequence_ = 0;
  int beats_ = 0;
  bool isLoading_ = false;
  bool isStopped_ = false;
  int running_ = 0;
  utils::Clock clock_;
  std::map<std::uint32_t, std::string> staged_;
  std::map<std::uint32_t, utils::Millis> spoiltAt_;
  std::vector<Run> runs_;
  std::vector<Load> loads_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace waxwingyoke::review

#endif // waxwingyoke_review_Runner_h
