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

/** The role of a process in the fleet. */
enum class PeerRole
{
  Entry,
  Side
};

/** Which peers a notice is for. */
enum class Reach
{
  All,
  /** In the sender's region. */
  Near,
  /** In other regions. */
  Far
};

/** Another process of ours. */
struct Peer
{
  std::string vm;
  net::Endpoint endpoint;
  PeerRole role = PeerRole::Entry;
  std::string dataCentre;
  std::string region;
  /** Of the last notice; with the sequence it orders notices. */
  std::uint64_t startedMs = 0;
  std::uint64_t sequence = 0;
  utils::Millis heardAt;

  /** Whether it can be counted on: the topic also names VMs that are gone. */
  bool IsAlive(utils::Millis aNow) const;
};

/**
 * Knows the other processes and exchanges notices with them: those that were
 * there before from the members' topic, later ones by the greeting that they
 * send. A peer that is gone costs a datagram now and then.
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

  bool Start(Handler aHandler, utils::Error& aReason);

  /** Sends to every peer of that role and reach; fills in who sends. */
  void Send(PeerRole aTo,
            schema::FleetNotice& aNotice,
            Reach aReach = Reach::All);

  /** Peers of that role. */
  std::vector<Peer> List(PeerRole aRole) const;
  void Visit(PeerRole aRole,
             const std::function<void(const Peer&)>& aVisitor) const;

  bool IsWithin(const Peer& aPeer, Reach aReach) const;

  const net::Endpoint& GetOwnEndpoint() const { return own_; }

private:
  void MembersLoop();
  void HelloLoop();
  void SayHello();
  void Register();
  schema::FleetMember MakeMember() const;
  void SendToAll(schema::FleetNotice& aNotice);
  void Stamp(schema::FleetNotice& aNotice);
  void TakeMember(const std::string& aKey, const schema::FleetMember& aMember);
  void Apply(const platform::KeyedRecord& aRecord);
  void Receive(const net::Endpoint& aFrom, std::string_view aBytes);

  net::Runtime& runtime_;
  const platform::FleetSettings& settings_;
  platform::KeyedLog& log_;
  PeerRole role_;
  net::Endpoint own_;
  std::uint64_t startedMs_;
  std::uint64_t sequence_ = 0;
  Handler handler_;
  std::unique_ptr<net::DatagramSocket> socket_;
  std::map<std::string, Peer> peers_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "peers" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PeerLink_h
