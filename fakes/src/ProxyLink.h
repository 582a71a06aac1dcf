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

/** Owns a file descriptor and closes it on destruction. */
class Descriptor
{
public:
  explicit Descriptor(int aNumber = -1);
  ~Descriptor();
  Descriptor(Descriptor&& aOther) noexcept;
  Descriptor& operator=(Descriptor&& aOther) noexcept;

  int Get() const { return number_; }
  bool IsOpen() const { return number_ >= 0; }

  /** Makes the later close send a TCP reset (RST) to the peer. */
  void ResetOnClose();

private:
  int number_;
};

/** One direction of a connection: the blocks of bytes yet to be forwarded. */
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
  bool endForwarded = false;
};

/** A client's connection and the matching connection to the target. */
struct Connection
{
  /** The client's IP address, without the port. */
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
 * Forwards TCP connections from a listening address to a target and injects
 * faults on the way. Not thread-safe: ProxyWorker guards all access by a mutex.
 */
class ProxyLink
{
public:
  ProxyLink(net::Endpoint aListen, net::Endpoint aTarget, std::uint64_t aSeed);

  bool Listen();

  const std::string& GetListen() const { return listenText_; }
  void SetFaults(const LinkFaults& aFaults);
  const LinkCounters& GetCounters() const { return counters_; }

  /** Adds the descriptors and events to poll for, as of aNow. */
  void AddPolls(std::vector<pollfd>& aPolls, utils::Millis aNow) const;

  /**
   * Accepts connections and reads and writes what is possible now. Returns when
   * the next block that is not held back is due, or the largest time if there
   * is none.
   */
  utils::Millis Transfer(utils::Millis aNow);

private:
  /** Returns the faults that apply to a client's address. */
  const LinkFaults& FindFaults(const std::string& aFrom) const;
  bool IsHeld(const Connection& aConnection, bool aToTarget) const;
  void Accept();
  bool IsTargetOpen() const;
  void ReopenListenerIfTargetOpen(utils::Millis aNow);
  void CloseListenerIfTargetClosed();
  void CheckConnected(Connection& aConnection);
  void Read(Connection& aConnection, bool aToTarget, utils::Millis aNow);
  void Write(Connection& aConnection, bool aToTarget, utils::Millis aNow);
  void Enqueue(Pipe& aPipe, std::string aBytes, utils::Millis aNow);
  bool ShouldInject(std::uint32_t aPerMille);
  void Cut(Connection& aConnection);

  net::Endpoint listen_;
  net::Endpoint target_;
  std::string listenText_;
  // Closed while the target's port is closed, so that a client's connection is
  // refused as it would be without the proxy.
  Descriptor listener_;
  utils::Millis nextProbe_;
  LinkFaults faults_;
  /** Hold and cut faults by prefix of the client's address. */
  std::map<std::string, LinkFaults> faultsFrom_;
  LinkCounters counters_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_ProxyLink_h
