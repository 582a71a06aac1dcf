#include <bed/Process.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <fstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <bed/AddressBlock.h>
#include <net/Runtime.h>

extern char** environ;

namespace waxwingyoke::bed {

std::unique_ptr<Process>
Process::Start(const std::vector<std::string>& aArguments,
               const std::string& aOutputFile,
               utils::Error& aReason)
{
  constexpr mode_t kMode = 0644;
  std::vector<char*> arguments;
  std::ranges::transform(
    aArguments, std::back_inserter(arguments), [](const auto& aText) {
      return const_cast<char*>(aText.c_str());
    });
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // If this process is killed, its children run on and use the addresses of its
  // blocks. As the locks ascend, none is overwritten before it is duplicated.
  int firstUnused = STDERR_FILENO + 1;
  for (int lock : AddressBlock::ListLocks()) {
    posix_spawn_file_actions_adddup2(&actions, lock, firstUnused);
    ++firstUnused;
  }
  // A process that held a fake's listening socket would keep its address in use
  // after the fake has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, firstUnused);
  pid_t id = 0;
  int error = posix_spawn(
    &id, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    aReason.Set(utils::ErrorKind::Internal,
                aArguments[0] + ": " + std::strerror(error));
    return nullptr;
  }
  return std::unique_ptr<Process>(new Process(id));
}

Process::Process(pid_t aId)
  : id_(aId)
{
}

Process::~Process()
{
  if (IsRunning()) {
    Signal(SIGKILL);
    waitpid(id_, &waitStatus_, 0);
  }
}

void
Process::Signal(int aSignal)
{
  // The id is reused only after waitpid() has reaped the process, which sets
  // ended_. Until then the signal cannot reach another process.
  if (!ended_) {
    kill(id_, aSignal);
  }
}

bool
Process::HandlesSignal(int aSignal) const
{
  std::ifstream status("/proc/" + std::to_string(id_) + "/status");
  std::string name;
  while (status >> name) {
    std::uint64_t mask = 0;
    if ((name == "SigIgn:" || name == "SigCgt:") &&
        status >> std::hex >> mask && (mask >> (aSignal - 1) & 1) != 0) {
      return true;
    }
  }
  return false;
}

bool
Process::IsRunning()
{
  ended_ = ended_ || waitpid(id_, &waitStatus_, WNOHANG) == id_;
  return !ended_;
}

bool
Process::WaitForEnd(utils::Millis aTimeout)
{
  constexpr utils::Millis kPoll(5);
  utils::Clock clock;
  auto deadline = clock.Now() + aTimeout;
  while (IsRunning()) {
    if (clock.Now() > deadline) {
      return false;
    }
    net::Runtime::Sleep(kPoll);
  }
  return true;
}

std::string
GetProgramPath(const std::string& aName)
{
  return std::string(WAXWINGYOKE_BIN_DIR) + "/" + aName;
}

} // namespace waxwingyoke::bed
