#ifndef waxwingyoke_fakes_ProxyLink_h
#define waxwingyoke_fakes_ProxyLink_h

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <poll.h>

#include <fakes.pb.h>

#include <net/Endpoint.h>
#include <utils/Time.h>

namespace waxwingyoke::fakes {

/** A file descriptor that closes itself. */
class Descriptor
{
public:
  explicit Descriptor(int aNumber = -1);
  ~Descriptor();
  Descriptor(Descriptor&& aOther) noexcept;
  Descriptor& operator=(Descriptor&& aOther) noexcept;

  int Get() const { return number_; }
  bool IsOpen() const { return number_ >= 0; }

  /** Closes so that the peer sees a reset. */
  void Reset();

private:
  int number_;
};

/** One direction of a connection: blocks of bytes on their way. */
struct Pipe
{
  struct Block
  {
    utils::Millis due;
    std::string bytes;
  };

  std::deque<Block> blocks;
  std::size_t queuedBytes = 0;
  utils::Millis lastDue;
  bool ended = false;
  bool endPassedOn = false;
};

/** A client's connection with the one made for it to the target. */
struct Connection
{
  /** The client's address. */
  std::string from;
  Descriptor client;
  Descriptor target;
  Pipe toTarget;
  Pipe toClient;
  bool connecting = true;
  bool silent = false;
  bool closed = false;
};

/**
 * One listening point and the target that it stands before. Everything runs
 * on the proxy's one thread.
 */
class ProxyLink
{
public:
  ProxyLink(net::Endpoint aListen, net::Endpoint aTarget, std::uint64_t aSeed);

  bool Listen();

  const std::string& GetListen() const { return listenText_; }
  void SetFaults(const LinkFaults& aFaults);
  const LinkCounters& GetCounters() const { return counters_; }

  /** Adds what to wait for, as of aNow. */
  void AddPolls(std::vector<pollfd>& aPolls, utils::Millis aNow) const;

  /** Moves what can be moved now; returns the time of the next block due. */
  utils::Millis Move(utils::Millis aNow);

private:
  /** The faults for a client's address. */
  const LinkFaults& FindFaults(const std::string& aFrom) const;
  bool IsHeld(const Connection& aConnection, bool aToTarget) const;
  void Accept();
  bool IsTargetOpen() const;
  void FollowTarget(utils::Millis aNow);
  void CloseIfTargetClosed();
  void CheckConnected(Connection& aConnection);
  void Read(Connection& aConnection, bool aToTarget, utils::Millis aNow);
  void Write(Connection& aConnection, bool aToTarget, utils::Millis aNow);
  void Enqueue(Pipe& aPipe, std::string aBytes, utils::Millis aNow);
  bool Draw(std::uint32_t aPerMille);
  void Cut(Connection& aConnection);

  net::Endpoint listen_;
  net::Endpoint target_;
  std::string listenText_;
  // Closed while the target's port is: a client then meets a refusal, as it
  // would without the proxy.
  Descriptor listener_;
  utils::Millis nextProbe_;
  LinkFaults faults_;
  /** Holds and cuts by the beginning of the client's address. */
  std::map<std::string, LinkFaults> faultsFrom_;
  LinkCounters counters_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_ProxyLink_h
