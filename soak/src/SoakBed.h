#ifndef waxwingyoke_soak_SoakBed_h
#define waxwingyoke_soak_SoakBed_h

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <FakePlatform.h>
#include <bed/AddressBlock.h>
#include <bed/Process.h>
#include <fakes.pb.h>
#include <net/HttpClient.h>

namespace waxwingyoke::soak {

/** The seed and the number of processes and upstreams. */
struct BedOptions
{
  std::uint64_t seed = 1;
  unsigned entries = 3;
  /** Sides, each with one engine. */
  unsigned sides = 3;
  /** Upstreams of the plain service. */
  unsigned plain = 2;
};

/** One process of the daemon; its role, host number and settings file. */
struct Daemon
{
  std::string role;
  unsigned host = 0;
  std::string settings;
  std::unique_ptr<bed::Process> process;
};

/**
 * Entries and sides as processes, fakes of the platform in this process, and
 * one proxy process that injects link faults in front of each fake, all on
 * loopback addresses.
 */
class SoakBed
{
public:
  /** Starts everything; null with a reason if a part can't start. */
  static std::unique_ptr<SoakBed> Make(net::Runtime& aRuntime,
                                       const BedOptions& aOptions,
                                       utils::Error& aReason);
  ~SoakBed();

  /** Starts or restarts the daemon; its log file is appended to. */
  bool StartDaemon(Daemon& aDaemon, utils::Error& aReason);

  net::Endpoint GetCallerEndpoint(const Daemon& aEntry) const;

  /** Publishes a new configuration with activeKeys. */
  void Publish();
  /** Publishes the next version of the model. */
  void NameVersion();
  std::uint64_t GetVersion() const { return namedVersion_; }

  /**
   * Writes the newest configuration, the newest version and all upstream
   * records, as their writers do after the log was restored from a copy.
   */
  void WriteAgain();

  /** Appends changed upstream records to the directory. */
  void RegisterChanged();
  /**
   * Makes an upstream announce its exit or, if it had, replaces it by a new
   * incarnation: one that has announced it never takes work again.
   */
  void SetDraining(std::size_t aUpstream, bool aDraining);

  /** The addresses that the proxy's links listen on. */
  const std::vector<std::string>& GetLinks() const { return links_; }
  /**
   * Sets the faults of the link that aFaults.listen names, or of all links if
   * it is empty. False if the proxy does not accept them.
   */
  bool SetLink(const fakes::LinkFaults& aFaults);

  /** Runs of an attempt at all upstreams together. */
  int CountRuns(const std::string& aId) const;

  adapter::FakeLog log;
  adapter::FakeOrigin origin;
  /** Engines first, then plain services. */
  std::vector<std::unique_ptr<adapter::FakeUpstream>> upstreams;
  std::vector<Daemon> entries;
  std::vector<Daemon> sides;
  /** The organisation's keys, oldest first. */
  std::vector<std::string> activeKeys;
  const BedOptions options;

private:
  SoakBed(const BedOptions& aOptions, utils::Error& aReason);

  net::Endpoint MakeEndpoint(unsigned aHost, std::uint16_t aPort) const;
  bool StartUpstreams(net::Runtime& aRuntime);
  bool StartProxy(utils::Error& aReason);
  bool StartDaemons(utils::Error& aReason);
  void AddLink(const net::Endpoint& aTarget);
  void AppendConfig();

  std::unique_ptr<bed::AddressBlock> block_;
  std::filesystem::path folder_;
  net::HttpClient client_;
  std::unique_ptr<bed::Process> proxy_;
  std::vector<std::string> links_;
  std::vector<std::string> linkArguments_;
  std::vector<std::string> registeredRecords_;
  std::vector<bool> draining_;
  int configVersion_ = 0;
  std::uint64_t namedVersion_ = 1;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_SoakBed_h
