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
/** Group of the sides beside engines, and beside plain services. */
inline constexpr const char* kEngineGroup = "llm-pool";
inline constexpr const char* kServiceGroup = "register";

/** Which stand-in a fault is for. */
enum class Service
{
  Log,
  Store,
  Origin,
  VmList
};

/** Links of one VM that the proxy can stand before. */
enum class Link
{
  /** Other processes of ours to this VM's daemon. */
  Control,
  /** The daemon to its upstream. */
  Upstream,
  /** The daemon to the log. */
  Log
};

/** One data centre of a bed. */
struct Site
{
  std::string dataCentre;
  std::string region;
  std::size_t entries = 1;
  std::size_t sides = 0;
  std::size_t services = 0;
};

/** One VM of a bed: its daemon and, for a side, the upstream beside it. */
struct BedNode
{
  schema::Vm vm;
  net::Endpoint control;
  /** Entries only. */
  net::Endpoint caller;
  /** Sides only. */
  net::Endpoint upstream;
  bool isService = false;
  std::string settingsFile;
  std::string logFile;
  std::unique_ptr<Process> process;

  bool IsEntry() const { return vm.role() == "entry"; }
  bool IsEngineSide() const { return !IsEntry() && !isService; }
};

/** What a bed is made of. */
struct BedOptions
{
  std::vector<Site> sites;
  std::uint64_t seed = 1;
  /** Whole TOML tables, such as [control] or [weights], for every daemon. */
  std::string settings;
  /** More lines of the tables [entry] and [side]. */
  std::string entryLines;
  std::string sideLines;
  std::string logLevel = "info";
  bool spans = false;
  std::map<Service, fakes::Faults> serviceFaults;
  fakes::Faults engineFaults;
  fakes::Faults upstreamServiceFaults;
  /** Engine stand-ins of one program share a thread. */
  std::size_t enginesPerProgram = 200;
  /** Leaves the folder with settings and logs in place. */
  bool keepFolder = false;
  /** Puts the fault-injecting proxy before every Link of every VM. */
  bool proxied = false;
  /** False: the daemons are started one by one, by StartNode. */
  bool startDaemons = true;
};

/**
 * Real processes for one test or measurement: the platform's stand-ins, the
 * upstreams and the daemons, on loopback addresses of their own. All of them
 * end with this object. Its functions suspend the calling fiber.
 *
 *     RunWithBed(options, [](Bed& aBed) { ... });
 */
class Bed
{
public:
  /** Starts everything and waits until it answers; null with a reason. */
  static std::unique_ptr<Bed> Make(BedOptions aOptions, utils::Error& aReason);

  ~Bed();

  Bed(const Bed&) = delete;
  Bed& operator=(const Bed&) = delete;

  const std::string& GetFolder() const { return folder_; }
  net::HttpClient& GetClient() { return client_; }
  std::vector<std::unique_ptr<BedNode>>& GetNodes() { return nodes_; }
  BedNode& GetNode(const std::string& aVm);
  /** Entries in the order of the sites; likewise sides beside engines. */
  std::vector<BedNode*> GetEntries();
  std::vector<BedNode*> GetEngineSides();
  std::vector<BedNode*> GetServiceSides();
  net::Endpoint GetEndpoint(Service aService) const;

  /** Processes; the VM's upstream goes on when its daemon is killed. */
  bool StartNode(BedNode& aNode, utils::Error& aReason);
  void Kill(BedNode& aNode);
  void Pause(BedNode& aNode);
  void Resume(BedNode& aNode);
  void Terminate(BedNode& aNode);

  /** Waits for /healthz, or for /readyz. */
  bool WaitHealthy(BedNode& aNode, utils::Millis aTimeout);
  bool WaitReady(BedNode& aNode, utils::Millis aTimeout);

  /** Polls until aCondition holds. */
  static bool WaitFor(const std::function<bool()>& aCondition,
                      utils::Millis aTimeout);

  /** The list of VMs as the platform will show it, after its lag. */
  bool PutVms(utils::Error& aReason);
  void SetLeaving(BedNode& aNode);
  void RemoveVm(BedNode& aNode);

  /** Makes a version in store and origin alike. */
  std::optional<fakes::VersionReply> MakeVersion(
    const fakes::VersionSpec& aSpec,
    utils::Error& aReason);

  /** Appends a change to the config stream; its offset. */
  std::optional<std::uint64_t> Append(const schema::ProfileChange& aChange,
                                      utils::Error& aReason);
  /** Appends the first publication of a profile. */
  std::optional<std::uint64_t> Publish(const schema::Profile& aProfile,
                                       utils::Error& aReason);

  /** What an engine holds; empty if it can't be asked. */
  std::optional<schema::EngineState> GetEngineState(const BedNode& aSide);
  std::size_t CountEnginesWith(const std::string& aVersion);
  bool WaitEnginesWith(const std::string& aVersion,
                       std::size_t aCount,
                       utils::Millis aTimeout);

  bool SetFaults(const net::Endpoint& aFake, const fakes::Faults& aFaults);
  bool SetFaults(Service aService, const fakes::Faults& aFaults);
  /** Needs a proxied bed. */
  bool SetLink(const BedNode& aNode, Link aLink, fakes::LinkFaults aFaults);
  bool SetAllLinks(const fakes::LinkFaults& aFaults);
  /**
   * Holds or lets pass all bytes between the daemons of a region and those
   * of the others, and between the region and the log. Needs a proxied bed.
   */
  bool SetRegionCut(const std::string& aRegion, bool aCut);
  /**
   * Whether every daemon that runs has all records below aNextOffset in
   * force, and all of them the same state.
   */
  bool IsInForce(std::uint64_t aNextOffset);
  std::optional<fakes::Counters> GetCounters(const net::Endpoint& aFake);
  std::optional<fakes::Counters> GetCounters(Service aService);
  /** Runs of an id over all plain services. */
  std::uint64_t CountServiceRuns(const std::string& aId);
  /** Runs of a prompt over all engines. */
  std::uint64_t CountPromptRuns(const std::string& aPrompt);
  /** Violations that any engine saw, one line each. */
  std::vector<std::string> GetViolations();

private:
  explicit Bed(BedOptions aOptions);

  std::vector<BedNode*> FindNodes(
    const std::function<bool(const BedNode&)>& aWanted);
  bool Start(utils::Error& aReason);
  void LayOut();
  BedNode& AddNode(const Site& aSite,
                   unsigned aSiteIndex,
                   unsigned aPlace,
                   const std::string& aKind);
  bool StartPlatform(utils::Error& aReason);
  bool StartUpstreams(utils::Error& aReason);
  bool StartProxy(utils::Error& aReason);
  net::Endpoint GetProxyControl() const;
  /** Where a link of a VM is reached: at the proxy, if there is one. */
  net::Endpoint GetLink(const BedNode& aNode, Link aLink) const;
  net::Endpoint GetLinkTarget(const BedNode& aNode, Link aLink) const;
  bool StartFake(const std::string& aCommand,
                 const std::vector<net::Endpoint>& aListen,
                 const fakes::Faults& aFaults,
                 utils::Error& aReason);
  bool WaitFake(const net::Endpoint& aFake);
  bool StartDaemons(utils::Error& aReason);
  void WriteSettings(const BedNode& aNode) const;
  bool WaitAnswer(const net::Endpoint& aPeer,
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
 * Makes a bed and runs aTest with it in a fiber. What aTest throws, as
 * doctest's REQUIRE does, is thrown again here after all processes ended.
 */
void
RunWithBed(const BedOptions& aOptions, const std::function<void(Bed&)>& aTest);

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_Bed_h
