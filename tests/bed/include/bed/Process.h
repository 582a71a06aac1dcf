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
 * A child process. The destructor sends SIGKILL if it still runs, to its
 * process id only, and waits for it.
 */
class Process
{
public:
  /**
   * Starts the program aArguments[0]; its stdout and stderr are appended to
   * aOutputFile. Null, with aReason set, if it cannot be started.
   */
  static std::unique_ptr<Process> Start(
    const std::vector<std::string>& aArguments,
    const std::string& aOutputFile,
    utils::Error& aReason);

  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t GetId() const { return id_; }

  /** Sends a signal; does nothing if the process has ended. */
  void Signal(int aSignal);

  /**
   * Whether it ignores or catches the signal. A program that is to catch one
   * does not until it has reached its own code, some milliseconds after Start.
   */
  bool HandlesSignal(int aSignal) const;

  bool IsRunning();

  /** Suspends the calling fiber; false if it still runs after aTimeout. */
  bool WaitForEnd(utils::Millis aTimeout);

  /** The status from waitpid; valid once the process has ended. */
  int GetWaitStatus() const { return waitStatus_; }

private:
  explicit Process(pid_t aId);

  pid_t id_;
  bool ended_ = false;
  int waitStatus_ = 0;
};

/** The path of a program in the bin folder of this build. */
std::string
GetProgramPath(const std::string& aName);

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_Process_h
