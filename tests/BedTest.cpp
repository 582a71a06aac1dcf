// What the addresses of the test bed rest on: who holds them, and until when.

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include <unistd.h>

#include <Deployment.h>
#include <bed/AddressBlock.h>
#include <bed/Bed.h>
#include <bed/Process.h>
#include <net/HttpClient.h>
#include <net/Runtime.h>

using namespace waxwingyoke;
using namespace waxwingyoke::bed;
using utils::Millis;

namespace {

// The largest port that a test bed, a soak or a test of the daemons listens on.
constexpr int kLargestPort = 9010;
constexpr Millis kTimeout(20000);
constexpr Millis kPoll(5);

std::string
MakeLogName()
{
  auto name = "bed-test-" + std::to_string(getpid()) + ".log";
  return (std::filesystem::temp_directory_path() / name).string();
}

/** A process that listens on an address of a block, and can start again. */
class Listener
{
public:
  explicit Listener(const AddressBlock& aBlock)
    : endpoint_{ aBlock.GetAddress(1, 1), kControlPort }
    , link_(aBlock.GetAddress(1, 2) + ":7200=" + aBlock.GetAddress(1, 3) +
            ":7200")
  {
  }
  ~Listener() { std::filesystem::remove(MakeLogName()); }

  void Start()
  {
    utils::Error reason;
    process = Process::Start({ GetProgramPath("waxwingyoke-fakes"),
                               "proxy",
                               "--control",
                               endpoint_.ToString(),
                               "--link",
                               link_ },
                             MakeLogName(),
                             reason);
    REQUIRE_MESSAGE(process, reason.detail);
  }

  /** False if the process ends before it accepts a connection. */
  bool AwaitListening()
  {
    utils::Clock clock;
    auto end = clock.Now() + kTimeout;
    while (clock.Now() < end && process->IsRunning()) {
      if (Connect()) {
        return true;
      }
      net::Runtime::Sleep(kPoll);
    }
    return false;
  }

  bool Connect() { return client_.CanConnect(endpoint_, kTimeout); }

  /** Opens connections with a request each, and waits for no answer. */
  void OpenConnections(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      ++openCalls_;
      net::Runtime::SpawnHere([this] {
        net::HttpRequest request;
        request.target = "/links";
        utils::Error ignored;
        client_.Call(endpoint_, request, {}, ignored);
        --openCalls_;
      });
    }
    net::Runtime::Sleep(kPoll);
  }

  /** Waits until the connections that were opened have ended. */
  bool AwaitEnds()
  {
    utils::Clock clock;
    auto end = clock.Now() + kTimeout;
    while (openCalls_ > 0 && clock.Now() < end) {
      net::Runtime::Sleep(kPoll);
    }
    return openCalls_ == 0;
  }

  std::unique_ptr<Process> process;

private:
  int openCalls_ = 0;
  net::Endpoint endpoint_;
  std::string link_;
  net::HttpClient client_;
};

/** Starts an entry whose log can't be reached. */
std::unique_ptr<Process>
StartEntry(const AddressBlock& aBlock, const net::Endpoint& aReadiness)
{
  auto settings = MakeLogName() + ".json";
  auto address = aBlock.GetAddress(1, 1);
  std::ofstream(settings) << adapter::MakeDaemonSettings(
    { "vm1",
      address,
      { address, 8005 },
      aReadiness,
      { address, 8001 },
      { aBlock.GetAddress(1, 9), 8007 } });
  setenv("WAXWINGYOKE_BOOT", settings.c_str(), 1);
  utils::Error reason;
  auto entry = Process::Start(
    { GetProgramPath("waxwingyoked"), "fleet-entry" }, MakeLogName(), reason);
  REQUIRE_MESSAGE(entry, reason.detail);
  return entry;
}

std::unique_ptr<AddressBlock>
AcquireBlock()
{
  utils::Error reason;
  auto block = AddressBlock::Acquire(reason);
  REQUIRE_MESSAGE(block, reason.detail);
  return block;
}

} // namespace

// Guards against a test program that meets the daemons of one that was killed:
// they hold the addresses of its block, and answer in the place of its own.
TEST_CASE("a block of addresses is reserved until its processes have ended")
{
  net::Runtime runtime(1);
  runtime.Run([] {
    auto block = AcquireBlock();
    auto address = block->GetAddress(1, 1);
    Listener listener(*block);
    listener.Start();
    REQUIRE(listener.AwaitListening());
    block.reset();
    CHECK(AcquireBlock()->GetAddress(1, 1) != address);
    listener.process.reset();
    CHECK(AcquireBlock()->GetAddress(1, 1) == address);
    return 0;
  });
}

// Guards against a process that can't start again because a process that was
// killed before it, also while suspended, still holds its address. Some of the
// old one's connections were accepted and some were not.
TEST_CASE("a killed process has released its address when it has ended")
{
  constexpr int kRestarts = 40;
  constexpr int kConnections = 8;
  net::Runtime runtime(1);
  runtime.Run([] {
    auto block = AcquireBlock();
    Listener listener(*block);
    listener.Start();
    for (int i = 0; i < kRestarts; ++i) {
      REQUIRE(listener.AwaitListening());
      listener.OpenConnections(kConnections);
      if (i % 2 == 0) {
        listener.process->Signal(SIGSTOP);
        listener.OpenConnections(kConnections);
      }
      listener.process->Signal(SIGKILL);
      REQUIRE(listener.process->WaitForEnd(kTimeout));
      listener.Start();
    }
    CHECK(listener.AwaitListening());
    REQUIRE(listener.AwaitEnds());
    return 0;
  });
}

// Guards against a SIGHUP that ends a daemon without a line in its log, because
// it is sent while the daemon is being loaded.
TEST_CASE("a daemon that handles SIGHUP goes on when it receives it")
{
  constexpr int kStarts = 10;
  net::Runtime runtime(1);
  runtime.Run([] {
    auto block = AcquireBlock();
    net::Endpoint readiness{ block->GetAddress(1, 1), 8002 };
    net::HttpClient client;
    for (int i = 0; i < kStarts; ++i) {
      auto entry = StartEntry(*block, readiness);
      utils::Clock clock;
      auto end = clock.Now() + kTimeout;
      while (!entry->HandlesSignal(SIGHUP) && clock.Now() < end) {
        net::Runtime::Sleep(Millis(1));
      }
      entry->Signal(SIGHUP);
      while (entry->IsRunning() && clock.Now() < end &&
             !client.CanConnect(readiness, kTimeout)) {
        net::Runtime::Sleep(kPoll);
      }
      CHECK(entry->IsRunning());
    }
    std::filesystem::remove(MakeLogName() + ".json");
    std::filesystem::remove(MakeLogName());
    return 0;
  });
}

// Guards against a process that can't listen because an outgoing connection
// of any other process, to which the kernel gave the port, occupies it.
TEST_CASE("the bed's ports are below those that outgoing connections get")
{
  std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
  int first = 0;
  file >> first;
  REQUIRE(first > 0);
  CHECK(first > kLargestPort);
}
