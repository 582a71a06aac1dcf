#ifndef waxwingyoke_bed_Process_h
#define waxwingyoke_bed_Process_h

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::bed {

/**
 * A program that a test started. It is killed, by its id, with this object
 * at the latest.
 */
class Process
{
public:
  /** Starts aArguments[0]; its output goes to the end of aOutputFile. */
  static std::unique_ptr<Process> Start(
    const std::vector<std::string>& aArguments,
    const std::string& aOutputFile,
    utils::Error& aReason);

  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t GetId() const { return id_; }

  /** Sends a signal; nothing if the process has ended. */
  void Signal(int aSignal);

  bool IsRunning();

  /** Waits in the calling fiber; false if it still runs after aTimeout. */
  bool WaitForEnd(utils::Millis aTimeout);

  /** What waitpid said once it ended. */
  int GetWaitStatus() const { return waitStatus_; }

private:
  explicit Process(pid_t aId);

  pid_t id_;
  bool ended_ = false;
  int waitStatus_ = 0;
};

/** The path of a program of this build. */
std::string
GetProgramPath(const std::string& aName);

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_Process_h
