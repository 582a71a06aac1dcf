#ifndef waxwingyoke_bed_Bed_h
#define waxwingyoke_bed_Bed_h

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <bed/AddressBlock.h>
#include <bed/Process.h>
#include <fakes.pb.h>
#include <net/HttpClient.h>
#include <schema/control.pb.h>
#include <schema/log.pb.h>
#include <schema/platform.pb.h>

namespace waxwingyoke::bed {

inline constexpr std::uint16_t kCallerPort = 7000;
inline constexpr std::uint16_t kControlPort = 7100;
inline constexpr std::uint16_t kUpstreamPort = 8000;
inline constexpr const char* kSecret = "bed-secret";
/** Groups of the sides whose upstream is an engine, or a plain service. */
inline constexpr const char* kEngineGroup = "llm-pool";
inline constexpr const char* kServiceGroup = "register";

/** Services of the platform that a test bed runs fakes of. */
enum class Service
{
  Log,
  Store,
  Origin,
  VmList
};

/** Links of one VM that the fault-injecting proxy can forward. */
enum class Link
{
  /** Other daemons and the operators' tool to this VM's daemon. */
  Control,
  /** The daemon to its upstream. */
  Upstream,
  /** The daemon to the log. */
  Log
};

/** One data centre of a test bed, with its number of VMs by kind. */
struct Site
{
  std::string dataCentre;
  std::string region;
  std::size_t entries = 1;
  /** Sides whose upstream is an engine. */
  std::size_t sides = 0;
  /** Sides whose upstream is a plain service. */
  std::size_t services = 0;
};

/** One VM of a test bed: its daemon and, for a side, its upstream. */
struct BedNode
{
  schema::Vm vm;
  net::Endpoint control;
  /** Where callers connect; entries only. */
  net::Endpoint caller;
  /** Address of the engine or plain service; sides only. */
  net::Endpoint upstream;
  bool isService = false;
  std::string settingsFile;
  std::string logFile;
  std::unique_ptr<Process> process;

  bool IsEntry() const { return vm.role() == "entry"; }
  bool IsEngineSide() const { return !IsEntry() && !isService; }
};

/** Configuration of a test bed. */
struct BedOptions
{
  std::vector<Site> sites;
  std::uint64_t seed = 1;
  /** TOML tables, such as [control] or [weights], for every daemon. */
  std::string settings;
  /** Additional lines of the tables [entry] and [side]. */
  std::string entryLines;
  std::string sideLines;
  std::string logLevel = "info";
  /** Lets each daemon write its trace spans to a file in the folder. */
  bool spans = false;
  std::map<Service, fakes::Faults> serviceFaults;
  fakes::Faults engineFaults;
  fakes::Faults upstreamServiceFaults;
  /** Fake engines per process; those of a process share a thread. */
  std::size_t enginesPerProcess = 200;
  /** Does not delete the folder with settings and logs at the end. */
  bool keepFolder = false;
  /** Routes every Link of every VM through the fault-injecting proxy. */
  bool proxied = false;
  /** False: the daemons are started one by one, by StartNode. */
  bool startDaemons = true;
};

/**
 * A test bed: a complete deployment of real processes for one test or
 * measurement. It consists of the platform's fakes, the upstreams and the
 * daemons, on a block of loopback addresses that no other test bed uses. The
 * destructor ends all of them. Its functions suspend the calling fiber.
 *
 *     RunWithBed(options, [](Bed& aBed) { ... });
 */
class Bed
{
public:
  /**
   * Starts all processes and waits until each of them answers; null, with
   * aReason set, if one does not.
   */
  static std::unique_ptr<Bed> Make(BedOptions aOptions, utils::Error& aReason);

  ~Bed();

  Bed(const Bed&) = delete;
  Bed& operator=(const Bed&) = delete;

  const std::string& GetFolder() const { return folder_; }
  net::HttpClient& GetClient() { return client_; }
  std::vector<std::unique_ptr<BedNode>>& GetNodes() { return nodes_; }
  /** The VM with the id aVm, which must exist. */
  BedNode& GetNode(const std::string& aVm);
  /** All in the order of the sites. */
  std::vector<BedNode*> GetEntries();
  std::vector<BedNode*> GetEngineSides();
  std::vector<BedNode*> GetServiceSides();
  net::Endpoint GetEndpoint(Service aService) const;

  /**
   * Start the daemon of a VM, or signal it: SIGKILL, SIGSTOP, SIGCONT and
   * SIGTERM. The VM's upstream is not affected.
   */
  bool StartNode(BedNode& aNode, utils::Error& aReason);
  void Kill(BedNode& aNode);
  void Pause(BedNode& aNode);
  void Resume(BedNode& aNode);
  void Terminate(BedNode& aNode);

  /** Wait until /healthz, or /readyz, answers 200; false on a timeout. */
  bool WaitHealthy(BedNode& aNode, utils::Millis aTimeout);
  bool WaitReady(BedNode& aNode, utils::Millis aTimeout);

  /** Polls until aCondition holds; false on a timeout. */
  static bool WaitFor(const std::function<bool()>& aCondition,
                      utils::Millis aTimeout);

  /**
   * Change the platform's VM list, which readers see after its lag: set the
   * complete list, mark a VM as leaving, or remove it.
   */
  bool PutVms(utils::Error& aReason);
  void SetLeaving(BedNode& aNode);
  void RemoveVm(BedNode& aNode);

  /** Creates the same weights version in the store and at the origin. */
  std::optional<fakes::VersionReply> MakeVersion(
    const fakes::VersionSpec& aSpec,
    utils::Error& aReason);

  /** Appends a change to the config stream; returns its offset. */
  std::optional<std::uint64_t> Append(const schema::ProfileChange& aChange,
                                      utils::Error& aReason);
  /** Appends the publication of a new profile; returns its offset. */
  std::optional<std::uint64_t> Publish(const schema::Profile& aProfile,
                                       utils::Error& aReason);

  /** The state of an engine; empty if it does not answer. */
  std::optional<schema::EngineState> GetEngineState(const BedNode& aSide);
  std::size_t CountEnginesWith(const std::string& aVersion);
  bool WaitEnginesWith(const std::string& aVersion,
                       std::size_t aCount,
                       utils::Millis aTimeout);

  /** Replace all faults of a fake; false if it does not answer. */
  bool SetFaults(const net::Endpoint& aFake, const fakes::Faults& aFaults);
  bool SetFaults(Service aService, const fakes::Faults& aFaults);
  /** Replace the faults of links; require BedOptions::proxied. */
  bool SetLink(const BedNode& aNode, Link aLink, fakes::LinkFaults aFaults);
  bool SetAllLinks(const fakes::LinkFaults& aFaults);
  /**
   * Holds (aCut) or forwards all bytes between the daemons of a region and
   * those of other regions, and between the region and the log. Requires
   * BedOptions::proxied.
   */
  bool SetRegionCut(const std::string& aRegion, bool aCut);
  /**
   * Whether every running daemon has applied all records of the config
   * stream below aNextOffset, and all of them report the same state digest.
   */
  bool IsInForce(std::uint64_t aNextOffset);
  /** The counters of a fake; empty if it does not answer. */
  std::optional<fakes::Counters> GetCounters(const net::Endpoint& aFake);
  std::optional<fakes::Counters> GetCounters(Service aService);
  /** How often the plain services ran the request aId, in total. */
  std::uint64_t CountServiceRuns(const std::string& aId);
  /** How often the engines ran aPrompt, in total. */
  std::uint64_t CountPromptRuns(const std::string& aPrompt);
  /** Weight violations that the engines detected, one line each. */
  std::vector<std::string> GetViolations();

private:
  explicit Bed(BedOptions aOptions);

  std::vector<BedNode*> FindNodes(
    const std::function<bool(const BedNode&)>& aPredicate);
  bool Start(utils::Error& aReason);
  void CreateNodes();
  BedNode& AddNode(const Site& aSite,
                   unsigned aSiteIndex,
                   unsigned aIndex,
                   const std::string& aKind);
  bool StartPlatform(utils::Error& aReason);
  bool StartUpstreams(utils::Error& aReason);
  bool StartProxy(utils::Error& aReason);
  net::Endpoint GetProxyControl() const;
  /** The address that clients of a link use: the proxy's, if there is one. */
  net::Endpoint GetLinkEndpoint(const BedNode& aNode, Link aLink) const;
  net::Endpoint GetLinkTarget(const BedNode& aNode, Link aLink) const;
  bool StartFake(const std::string& aCommand,
                 const std::vector<net::Endpoint>& aListen,
                 const fakes::Faults& aFaults,
                 utils::Error& aReason);
  bool WaitForFake(const net::Endpoint& aFake);
  bool StartDaemons(utils::Error& aReason);
  void WriteSettings(const BedNode& aNode) const;
  bool WaitForOk(const net::Endpoint& aPeer,
                 const std::string& aPath,
                 utils::Millis aTimeout);
  bool Send(const net::Endpoint& aPeer,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            std::string& aAnswer,
            utils::Error& aReason);

  BedOptions options_;
  std::unique_ptr<AddressBlock> block_;
  std::string folder_;
  net::HttpClient client_;
  std::vector<std::unique_ptr<Process>> fakes_;
  std::vector<std::unique_ptr<BedNode>> nodes_;
};

/**
 * Creates a test bed and runs aTest with it in a fiber. An exception from
 * aTest, such as doctest's for a failed REQUIRE, is rethrown here after all
 * processes have ended. Throws std::runtime_error if the bed does not start.
 */
void
RunWithBed(const BedOptions& aOptions, const std::function<void(Bed&)>& aTest);

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_Bed_h
