#ifndef waxwingyoke_fleet_PeerLink_h
#define waxwingyoke_fleet_PeerLink_h

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <net/Datagram.h>
#include <net/Runtime.h>
#include <platform/FleetSettings.h>
#include <platform/KeyedLog.h>
#include <schema/fleet.pb.h>
#include <telemetry/Logger.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** The role of a process in the fleet; see Entry and Side. */
enum class PeerRole
{
  Entry,
  Side
};

/** Which peers a notice is for. */
enum class PeerScope
{
  All,
  /** Those in the sender's region. */
  LocalRegion,
  /** Those in other regions. */
  RemoteRegion
};

/** Another process of the fleet. */
struct Peer
{
  std::string vm;
  net::Endpoint endpoint;
  PeerRole role = PeerRole::Entry;
  std::string dataCentre;
  std::string region;
  /** Process start and sequence of its last notice; they order notices. */
  std::uint64_t startedMs = 0;
  std::uint64_t sequence = 0;
  utils::Millis receivedAt;

  /**
   * Whether a notice of it was received recently. The members' topic also has
   * VMs that no longer exist.
   */
  bool IsAlive(utils::Millis aNow) const;
};

/**
 * Holds the list of the other processes and exchanges notices with them by
 * datagrams. Processes that started earlier are read from the members' topic;
 * later ones send a hello. A peer whose process has ended stays in the list,
 * which costs a datagram now and then.
 */
class PeerLink
{
public:
  using Handler =
    std::function<void(const Peer& aFrom, const schema::FleetNotice& aNotice)>;

  PeerLink(net::Runtime& aRuntime,
           const platform::FleetSettings& aSettings,
           platform::KeyedLog& aLog,
           PeerRole aRole);

  /**
   * Opens the socket and starts the background fibers. aHandler receives every
   * notice but hellos.
   */
  bool Start(Handler aHandler, utils::Error& aReason);

  /** Fills in the sender and sends to every peer of that role and scope. */
  void Send(PeerRole aTo,
            schema::FleetNotice& aNotice,
            PeerScope aScope = PeerScope::All);

  /** All later notices state that this process is about to end. */
  void SetLeaving() { isLeaving_ = true; }

  std::vector<Peer> List(PeerRole aRole) const;
  void Visit(PeerRole aRole,
             const std::function<void(const Peer&)>& aVisitor) const;

  bool IsInScope(const Peer& aPeer, PeerScope aScope) const;

  const net::Endpoint& GetOwnEndpoint() const { return ownEndpoint_; }

private:
  void MembersLoop();
  void HelloLoop();
  void SendHello();
  void Register();
  /** Sleeps for aTime, or until the log turns out to have been restored. */
  void SleepInEpoch(utils::Millis aTime);
  std::uint64_t GetLogEpoch() const;
  schema::FleetMember MakeMember() const;
  void SendToAll(schema::FleetNotice& aNotice);
  void FillSender(schema::FleetNotice& aNotice);
  void ApplyMember(const std::string& aKey, const schema::FleetMember& aMember);
  void Apply(const platform::KeyedRecord& aRecord);
  void Receive(const net::Endpoint& aFrom, std::string_view aBytes);

  net::Runtime& runtime_;
  const platform::FleetSettings& settings_;
  platform::KeyedLog& log_;
  PeerRole role_;
  net::Endpoint ownEndpoint_;
  std::uint64_t startedMs_;
  std::uint64_t sequence_ = 0;
  bool isLeaving_ = false;
  /** The newest epoch of the log that peers have reported. */
  std::uint64_t peerLogEpoch_ = 0;
  /** Epoch in which this process's own record was last written. */
  std::uint64_t registeredEpoch_ = 0;
  Handler handler_;
  std::unique_ptr<net::DatagramSocket> socket_;
  std::map<std::string, Peer> peers_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "peers" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PeerLink_h
