#ifndef waxwingyoke_review_stand3_Engine_h
#define waxwingyoke_review_stand3_Engine_h

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "Platform.h"

namespace review {

/** The weights of the only model, "m": version by version the same pieces. */
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
  explicit Origin(const Address& aAddress);

  bool Start() { return server_.Start(); }

private:
  static void Handle(const Message& aRequest, Connection& aConnection);

  Server server_;
};

/** The model of a runner: takes staged pieces by orders and streams answers. */
class Engine
{
public:
  Engine(Runner& aRunner, Record& aRecord);
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /** Ends the runner; what is staged is lost, too. */
  void LosePower();
  /** Starts the runner again. */
  void Restart();
  /** Of the pieces that are staged next, loses the answer to one. */
  void LoseAnswerToPut(int aNum);
  int GetOrders() const { return orders_; }
  int GetPuts() const { return puts_; }

private:
  bool HandleControl(const Message& aRequest, Connection& aConnection);
  void AnswerReport(Connection& aConnection);
  void AnswerPut(const Message& aRequest, Connection& aConnection);
  void AnswerGet(const Message& aRequest, Connection& aConnection);
  void AnswerOrder(const Message& aRequest, Connection& aConnection);
  int ApplyOrder(const std::string& aBody);
  bool Accepts(const Message& aRequest);
  void Answer(const std::string& aFields, Connection& aConnection);
  std::string MakeState();
  /** The version of which all layers are held; 0: none. */
  std::uint64_t FindVersion() const;

  Runner& runner_;
  Record& record_;
  std::mutex mutex_;
  /** The version of each layer; 0: not held. */
  std::array<std::uint64_t, Weights::kLayers> layers_{};
  std::int64_t loadedAt_ = 0;
  std::map<int, std::string> staged_;
  std::atomic<int> orders_{ 0 };
  std::atomic<int> puts_{ 0 };
  int lostPut_ = -1;
};

} // namespace review

#endif // waxwingyoke_review_stand3_Engine_h
