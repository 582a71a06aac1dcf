#ifndef waxwingyoke_soak_Ledger_h
#define waxwingyoke_soak_Ledger_h

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::soak {

/** What a request asks for; the routes of the stand-in deployment. */
enum class RouteKind
{
  Stream,
  Once,
  Safe
};

/** The first part of a route's path. */
const char*
GetPath(RouteKind aKind);

/** One request as its caller saw it. */
struct Attempt
{
  std::string id;
  RouteKind route = RouteKind::Safe;
  std::string key;
  std::size_t entry = 0;
  utils::Millis sentAt;
  utils::Millis endedAt;
  /** 0: no answer, or one that was cut. */
  int status = 0;
  std::string body;
};

/** When something was done to the system. */
struct Moment
{
  std::string what;
  utils::Millis begin;
  utils::Millis end;
};

/**
 * Holds what callers and upstreams saw against the promises: answers are
 * whole, what may run once runs once, a refusal has not run, a revoked key
 * runs nothing after its bound, a stop cuts nothing.
 */
class Ledger
{
public:
  /** Runs of an attempt at all upstreams together. */
  using RunCounter = std::function<int(const std::string& aId)>;

  explicit Ledger(RunCounter aCountRuns)
    : countRuns_(std::move(aCountRuns))
  {
  }

  /** Checks what can be told at once, keeps the rest for Close. */
  void Note(const Attempt& aAttempt);
  void NoteRevoked(const std::string& aKey, utils::Millis aNow);
  void NoteFault(const Moment& aFault) { faults_.push_back(aFault); }
  void NoteStop(std::size_t aEntry, utils::Millis aNow);
  void AddViolation(const std::string& aText);

  /** Checks what must hold at the end of all. */
  void Close();

  const std::vector<std::string>& GetViolations() const { return violations_; }
  int Count(int aStatus) const;
  std::size_t GetAttempts() const { return attempts_.size(); }

private:
  void CheckWhole(const Attempt& aAttempt);
  void CheckRevoked(const Attempt& aAttempt);
  void CheckStop(const Attempt& aAttempt);
  bool IsDisturbed(utils::Millis aFrom, utils::Millis aTo) const;

  struct Stop
  {
    std::size_t entry;
    utils::Millis at;
  };

  RunCounter countRuns_;
  std::vector<Attempt> attempts_;
  std::map<std::string, utils::Millis> revokedAt_;
  std::vector<Moment> faults_;
  std::vector<Stop> stops_;
  std::vector<std::string> violations_;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_Ledger_h
